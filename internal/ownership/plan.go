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
	rackPrefix     = "rack/"
	jobShardPrefix = "home/"
	// JobShardsPerRegion is how many shards the teams of a region are divided into.
	JobShardsPerRegion = 16
	deputyCount        = 2
	// moveDelay is how long a better owner must stay the better one before a
	// live owner hands a shard over.
	moveDelay = 10 * time.Second
	// maxMovesPerPlan bounds the balance moves of one plan.
	maxMovesPerPlan = 2
)

// RackShard returns the shard of a rack.
func RackShard(region, rack string) state.ShardID {
	return state.ShardID(rackPrefix + region + "/" + rack)
}

// JobShard returns the shard that is home to a team in a region.
func JobShard(region, team string) state.ShardID {
	return jobShardID(region, int(xxhash.Sum64String(team)%JobShardsPerRegion))
}

func jobShardID(region string, n int) state.ShardID {
	return state.ShardID(fmt.Sprintf("%s%s/%02d", jobShardPrefix, region, n))
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

// JobShards lists the home shards of a region.
func JobShards(region string) []Shard {
	list := make([]Shard, 0, JobShardsPerRegion)
	for n := range JobShardsPerRegion {
		list = append(list, Shard{ID: jobShardID(region, n)})
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
	betterOwners map[state.ShardID]candidate
}

type candidate struct {
	node  state.NodeID
	since time.Time
}

// Plan returns the claims to append now. The log decides between the claims of
// several nodes, so that a wrong guess costs a move and never harms.
func (p *Planner) Plan(v *View) []state.Claim {
	if p.betterOwners == nil {
		p.betterOwners = map[state.ShardID]candidate{}
	}
	claims := []state.Claim{}
	moves := 0
	for _, s := range v.Shards {
		ranked := Rank(v, s)
		if len(ranked) == 0 {
			continue
		}
		current := v.State.Shards[s.ID]
		if current == nil || v.State.IsEnded(current.Owner) || v.IsDead(current.Owner.Node) {
			if ranked[0] == v.Self.Node {
				claims = append(claims, newClaim(v, s, current, ranked))
			}
			continue
		}
		if current.Owner == v.Self && v.IsFenced(s.ID) {
			claims = append(claims, newClaim(v, s, current, ranked))
			continue
		}
		if current.Owner != v.Self || !p.shouldMove(v, s, ranked[0]) {
			continue
		}
		if moves < maxMovesPerPlan || v.IsDraining {
			moves++
			claims = append(claims, newClaim(v, s, current, ranked))
		}
	}
	return claims
}

func (p *Planner) shouldMove(v *View, s Shard, best state.NodeID) bool {
	if best == v.Self.Node {
		delete(p.betterOwners, s.ID)
		return false
	}
	if v.IsDraining {
		return true
	}
	c := p.betterOwners[s.ID]
	if c.node != best {
		p.betterOwners[s.ID] = candidate{best, v.Now}
		return false
	}
	return v.Now.Sub(c.since) >= moveDelay
}

func newClaim(v *View, s Shard, current *state.Shard, ranked []state.NodeID) state.Claim {
	epoch := uint64(0)
	if current != nil {
		epoch = current.Epoch
	}
	c := state.Claim{Shard: s.ID, Epoch: epoch + 1, Owner: ranked[0], Incarnation: v.State.Members[ranked[0]].Incarnation}
	if IsRack(s.ID) {
		c.Deputies = ranked[1:min(len(ranked), 1+deputyCount)]
	}
	return c
}

// Rank orders the live members by how much each should own the shard: nodes of
// a rack's own availability zone first, then by rendezvous hashing.
func Rank(v *View, s Shard) []state.NodeID {
	type scored struct {
		node       state.NodeID
		isSameZone bool
		score      uint64
	}
	list := make([]scored, 0, len(v.Alive))
	for _, n := range v.Alive {
		member := v.State.Members[n]
		if member == nil || member.HasLeft {
			continue
		}
		list = append(list, scored{n, s.Zone != "" && member.Zone == s.Zone, xxhash.Sum64String(string(n) + "|" + string(s.ID))})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.isSameZone != b.isSameZone {
			if a.isSameZone {
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

// DeputyRank returns this node's place among the deputies who are still
// alive, from 1, or 0 if it is none, or one before it is alive.
func DeputyRank(v *View, current *state.Shard) int {
	for i, d := range current.Deputies {
		if d == v.Self.Node {
			return i + 1
		}
		if slices.Contains(v.Alive, d) {
			return 0
		}
	}
	return 0
}
