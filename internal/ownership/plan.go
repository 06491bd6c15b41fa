// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package ownership decides which node should own which shard, and when a
// claim may be written. It is pure: it has no clock and does no I/O.
package ownership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	rackPrefix = "rack/"
	homePrefix = "home/"
	// HomeBuckets is how many shards the teams of a region are divided into.
	HomeBuckets = 16
	deputies    = 2
	// settleTime is how long a better owner must stay the better one before a
	// live owner hands a shard over.
	settleTime = 10 * time.Second
	// handOversAtOnce bounds the balance moves of one plan.
	handOversAtOnce = 2
)

// RackShard returns the shard of a rack.
func RackShard(region, rack string) state.ShardID {
	return state.ShardID(rackPrefix + region + "/" + rack)
}

// HomeShard returns the shard that is home to a team in a region.
func HomeShard(region, team string) state.ShardID {
	return homeBucket(region, int(xxhash.Sum64String(team)%HomeBuckets))
}

func homeBucket(region string, n int) state.ShardID {
	return state.ShardID(fmt.Sprintf("%s%s/%02d", homePrefix, region, n))
}

// IsRack reports whether the shard is a rack.
func IsRack(s state.ShardID) bool { return strings.HasPrefix(string(s), rackPrefix) }

// Region returns the region that a shard lives in.
func Region(s state.ShardID) string {
	_, rest, _ := strings.Cut(string(s), "/")
	region, _, _ := strings.Cut(rest, "/")
	return region
}

// Shard is a shard that should have an owner.
type Shard struct {
	ID state.ShardID
	// Zone is where a rack stands; empty for a home.
	Zone string
}

// Homes lists the home shards of a region.
func Homes(region string) []Shard {
	list := make([]Shard, 0, HomeBuckets)
	for n := range HomeBuckets {
		list = append(list, Shard{ID: homeBucket(region, n)})
	}
	return list
}

// View is what a plan is made from.
type View struct {
	Now    time.Time
	Self   state.Process
	Region string
	// State is the fold; Alive the nodes of the region that may own shards,
	// sorted; IsDead the judgement about an owner.
	State  *state.State
	Alive  []state.NodeID
	IsDead func(state.NodeID) bool
	// IsFenced reports whether the workers of a rack that this node owns obey a
	// deputy; the node then needs the next epoch.
	IsFenced func(state.ShardID) bool
	// Shards lists the region's racks and homes.
	Shards []Shard
	// IsDraining means that this node gives away all that it owns.
	IsDraining bool
}

// Planner remembers since when another node would be the better owner. It
// belongs to one goroutine. Its zero value works.
type Planner struct {
	better map[state.ShardID]candidate
}

type candidate struct {
	node  state.NodeID
	since time.Time
}

// Plan returns the claims to append now. The log decides between the claims of
// several nodes, so that a wrong guess costs a move and never harms.
func (p *Planner) Plan(v *View) []state.Claim {
	if p.better == nil {
		p.better = map[state.ShardID]candidate{}
	}
	claims := []state.Claim{}
	moves := 0
	for _, s := range v.Shards {
		ranked := Rank(v, s)
		if len(ranked) == 0 {
			continue
		}
		cur := v.State.Shards[s.ID]
		if cur == nil || v.State.IsEnded(cur.Owner) || v.IsDead(cur.Owner.Node) {
			if ranked[0] == v.Self.Node {
				claims = append(claims, claim(v, s, cur, ranked))
			}
			continue
		}
		if cur.Owner == v.Self && v.IsFenced(s.ID) {
			claims = append(claims, claim(v, s, cur, ranked))
			continue
		}
		if cur.Owner != v.Self || !p.shouldMove(v, s, ranked[0]) {
			continue
		}
		if moves < handOversAtOnce || v.IsDraining {
			moves++
			claims = append(claims, claim(v, s, cur, ranked))
		}
	}
	return claims
}

func (p *Planner) shouldMove(v *View, s Shard, best state.NodeID) bool {
	if best == v.Self.Node {
		delete(p.better, s.ID)
		return false
	}
	if v.IsDraining {
		return true
	}
	c := p.better[s.ID]
	if c.node != best {
		p.better[s.ID] = candidate{best, v.Now}
		return false
	}
	return v.Now.Sub(c.since) >= settleTime
}

func claim(v *View, s Shard, cur *state.Shard, ranked []state.NodeID) state.Claim {
	epoch := uint64(0)
	if cur != nil {
		epoch = cur.Epoch
	}
	c := state.Claim{Shard: s.ID, Epoch: epoch + 1, Owner: ranked[0], Incarnation: v.State.Members[ranked[0]].Incarnation}
	if IsRack(s.ID) {
		c.Deputies = ranked[1:min(len(ranked), 1+deputies)]
	}
	return c
}

// Rank orders the live members by how much each should own the shard: nodes of
// a rack's own availability zone first, then by rendezvous hashing.
func Rank(v *View, s Shard) []state.NodeID {
	type scored struct {
		node   state.NodeID
		isNear bool
		score  uint64
	}
	list := make([]scored, 0, len(v.Alive))
	for _, n := range v.Alive {
		m := v.State.Members[n]
		if m == nil || m.HasLeft {
			continue
		}
		list = append(list, scored{n, s.Zone != "" && m.Zone == s.Zone, xxhash.Sum64String(string(n) + "|" + string(s.ID))})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.isNear != b.isNear {
			if a.isNear {
				return -1
			}
			return 1
		}
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.node), string(b.node))
	})
	ranked := make([]state.NodeID, 0, len(list))
	for _, c := range list {
		ranked = append(ranked, c.node)
	}
	return ranked
}

// DeputyPlace returns this node's place among the deputies who are still
// alive, from 1, or 0 if it is none, or one before it is alive.
func DeputyPlace(v *View, cur *state.Shard) int {
	for i, d := range cur.Deputies {
		if d == v.Self.Node {
			return i + 1
		}
		if slices.Contains(v.Alive, d) {
			return 0
		}
	}
	return 0
}
