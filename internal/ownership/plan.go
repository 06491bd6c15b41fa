// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package ownership decides which node should own which shard, and which claims
// a node writes to the log. It does no I/O and reads no clock; the caller passes
// the current time.
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
	// jobShardPrefix is part of the shard IDs in the log.
	jobShardPrefix = "home/"
	// JobShardsPerRegion is the number of job shards among which the teams of a
	// region are divided.
	JobShardsPerRegion = 16
	deputyCount        = 2
	// moveDelay is how long the same other node must rank first for a shard
	// before a healthy owner hands the shard over to it.
	moveDelay = 10 * time.Second
	// maxMovesPerPlan limits how many shards a node that is not draining hands
	// over in one plan.
	maxMovesPerPlan = 2
)

// RackShard returns the ID of the shard that has the workers of a rack.
func RackShard(region, rack string) state.ShardID {
	return state.ShardID(rackPrefix + region + "/" + rack)
}

// JobShard returns the ID of the shard that has the jobs of a team in a region.
func JobShard(region, team string) state.ShardID {
	return jobShardID(region, int(xxhash.Sum64String(team)%JobShardsPerRegion))
}

// jobShardID returns the ID of the nth job shard of a region.
func jobShardID(region string, n int) state.ShardID {
	return state.ShardID(fmt.Sprintf("%s%s/%02d", jobShardPrefix, region, n))
}

// IsRack reports whether the shard is that of a rack.
func IsRack(s state.ShardID) bool { return strings.HasPrefix(string(s), rackPrefix) }

// Region returns the region that a shard belongs to; it is part of the ID.
func Region(s state.ShardID) string {
	_, rest, _ := strings.Cut(string(s), "/")
	region, _, _ := strings.Cut(rest, "/")
	return region
}

// Shard is a shard that should have an owner.
type Shard struct {
	ID state.ShardID
	// Zone is the availability zone of a rack; it is empty for a job shard and
	// for a rack that is no longer in the platform's VM list.
	Zone string
}

// JobShards lists the job shards of a region.
func JobShards(region string) []Shard {
	list := make([]Shard, 0, JobShardsPerRegion)
	for n := range JobShardsPerRegion {
		list = append(list, Shard{ID: jobShardID(region, n)})
	}
	return list
}

// View is the input of a plan: what this node knows of its region.
type View struct {
	Now    time.Time
	Self   state.Process
	Region string
	// State is the state of the log that this node has applied.
	State *state.State
	// Alive lists the nodes of the region that may own shards, sorted.
	Alive []state.NodeID
	// IsDead reports whether a node is considered failed, so that others may
	// claim its shards.
	IsDead func(state.NodeID) bool
	// IsFenced reports whether the workers of a rack that this node owns have
	// accepted the higher epoch of a deputy. They reject this node's orders
	// until the next epoch has been claimed.
	IsFenced func(state.ShardID) bool
	// Shards lists the racks and the job shards of the region.
	Shards []Shard
	// IsDraining means that this node hands over all its shards.
	IsDraining bool
}

// Planner decides which claims a node writes. It remembers how long another node
// has ranked first for each of this node's shards. It is not safe for concurrent
// use. The zero value is ready to use.
type Planner struct {
	betterOwners map[state.ShardID]candidate
}

// candidate is the node that ranks first for a shard, and since when.
type candidate struct {
	node  state.NodeID
	since time.Time
}

// Plan returns the claims to append now. If a shard's owner is missing or failed,
// only the node that ranks first claims the shard; a healthy owner itself claims
// it for the node to which it hands it over. Several nodes with different views
// may claim the same shard: the first claim of an epoch in the log takes effect,
// so a wrong view costs an unnecessary move, but two claims of one epoch never
// both take effect.
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

// shouldMove reports whether this node, the owner of s, should hand it over to
// best: at once if the node is draining, and otherwise once best has ranked first
// for moveDelay.
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

// newClaim returns the claim of the next epoch for the node that ranks first. The
// next deputyCount nodes become the deputies of a rack.
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

// Rank lists the nodes of v.Alive that are members, the preferred owner of the
// shard first: nodes in the availability zone of a rack come before others, and
// rendezvous hashing decides among the rest.
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

// DeputyRank returns this node's position, from 1, in the list of deputies of a
// rack. It returns 0 if this node is not a deputy or if a deputy before it is
// alive and therefore takes over first.
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
