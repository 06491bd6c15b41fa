// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/cluster"
)

// Guards against repeated handovers under a load that is too high for every node: each new owner
// lags for half a second while it takes over, and from time to time later. Without a minimum time
// between handovers, the shard moved to another node every second.
func TestOverloadDoesNotCauseRepeatedHandovers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	nodes := make([]cluster.Fitness, 8)
	current, handovers := 0, 0
	nodes[current].BecomeOwner(now)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		if !nodes[current].IsUnfit(0.3, false, now) {
			continue
		}
		nodes[current].HandOver(now)
		current, handovers = (current+1)%len(nodes), handovers+1
		nodes[current].HandOver(now)
		nodes[current].BecomeOwner(now)
	}
	if handovers > 2 {
		t.Errorf("handovers in 20 s of a load that is too high for every node: got: %d, want: at most 2", handovers)
	}
}

// Guards against an owner that stays although its node is too slow or too weak, and against
// handovers because of the lag of a new owner or soon after another handover.
func TestAnUnfitOwnerHandsOver(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, tc := range map[string]struct {
		lag    float64
		isWeak bool
		// ownedFor is how long the node has owned the shard. handedOverAgo is how long ago the
		// shard was last handed over because of an unfit owner; 0 means never.
		ownedFor, handedOverAgo time.Duration
		want                    bool
	}{
		"fit":                         {0.1, false, time.Minute, 0, false},
		"slow":                        {0.4, false, 4 * time.Second, 0, true},
		"new":                         {0.4, false, time.Second, 0, false},
		"weak, new":                   {0, true, 100 * time.Millisecond, 0, true},
		"slow, soon after a handover": {0.4, false, 4 * time.Second, 4 * time.Second, false},
		"slow, long after a handover": {0.4, false, 11 * time.Second, 11 * time.Second, true},
	} {
		f := cluster.Fitness{}
		f.BecomeOwner(begin)
		now := begin.Add(tc.ownedFor)
		if tc.handedOverAgo > 0 {
			f.HandOver(now.Add(-tc.handedOverAgo))
		}
		if got := f.IsUnfit(tc.lag, tc.isWeak, now); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

// simulatedNode is a node in a play of handovers.
type simulatedNode struct {
	cluster.Fitness
	strength float64
	// ownerLag is its lag as the owner, followerLag the one as a follower.
	ownerLag, followerLag float64
}

// playHandovers plays handovers because of unfit owners, the first node being the first owner, and returns when each one
// was and the last owner. Nodes come in the order in which an owner prefers them.
func playHandovers(nodes []*simulatedNode, length time.Duration) (at []time.Duration, last int) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const step = 100 * time.Millisecond
	nodes[0].BecomeOwner(begin)
	for now := begin; now.Before(begin.Add(length)); now = now.Add(step) {
		own, isWeak := nodes[last], false
		others, strengths, reports := []int{}, []float64{}, []*cluster.FitnessReport{}
		for i, n := range nodes {
			if i == last {
				continue
			}
			r := n.Report(n.followerLag, now)
			others, strengths, reports = append(others, i), append(strengths, n.strength), append(reports, &r)
			isWeak = isWeak || own.strength < 0.9*n.strength
		}
		if !own.IsUnfit(own.ownerLag, isWeak, now) {
			continue
		}
		if fitter := own.Decide(own.ownerLag, own.strength, isWeak, strengths, reports, now); len(fitter) > 0 {
			at, last = append(at, now.Sub(begin)), others[fitter[0]]
			nodes[last].Succeed(now)
			nodes[last].BecomeOwner(now)
		}
	}
	return at, last
}

// Guards against a shard that goes from node to node although none is fitter, at the cost of a standstill each time.
func TestShardStaysWhereNoNodeIsFitter(t *testing.T) {
	const length = 150 * time.Second
	for name, tc := range map[string]struct {
		followerLag float64
		want        int
	}{
		"followers lag as well":         {0.5, 0},
		"followers lag a little":        {0.35, 0},
		"followers lag only as owners":  {0, 4},
		"followers lag less than usual": {0.05, 4},
	} {
		nodes := []*simulatedNode{}
		for range 7 {
			nodes = append(nodes, &simulatedNode{strength: 0.4, ownerLag: 0.6, followerLag: tc.followerLag})
		}
		if at, _ := playHandovers(nodes, length); len(at) > tc.want {
			t.Errorf("%s: handovers in %v: got: %v, want: %d at most", name, length, at, tc.want)
		}
	}
}

func TestUnfitOwnerHandsOverToAFitterNodeInTime(t *testing.T) {
	for name, tc := range map[string]struct {
		nodes []*simulatedNode
		// within is when the shard is with the node that stays the owner.
		within time.Duration
		want   int
	}{
		"weak among strong": {
			[]*simulatedNode{{strength: 0.2, ownerLag: 0.1}, {strength: 0.8, ownerLag: 0.05}, {strength: 0.8, ownerLag: 0.05}}, 0, 1,
		},
		"weak and slow among strong": {
			[]*simulatedNode{{strength: 0.2, ownerLag: 0.7, followerLag: 0.3}, {strength: 0.8, ownerLag: 0.1, followerLag: 0.05}}, 0, 1,
		},
		"slow among equally strong": {
			[]*simulatedNode{{strength: 0.8, ownerLag: 0.5}, {strength: 0.8, ownerLag: 0.1, followerLag: 0.05}}, 3 * time.Second, 1,
		},
		"slow, the next one, too": {
			[]*simulatedNode{{strength: 0.8, ownerLag: 0.5}, {strength: 0.8, ownerLag: 0.6}, {strength: 0.8, ownerLag: 0.1}}, 13 * time.Second, 2,
		},
		"strong and slow beside a weaker one that is not": {
			[]*simulatedNode{{strength: 0.8, ownerLag: 0.6, followerLag: 0.4}, {strength: 0.5, ownerLag: 0.1}}, 3 * time.Second, 1,
		},
		"strong and slow beside weaker ones that are not": {
			[]*simulatedNode{{strength: 0.8, ownerLag: 0.6, followerLag: 0.4}, {strength: 0.5, ownerLag: 0.1}, {strength: 0.5, ownerLag: 0.1}}, 3 * time.Second, 1,
		},
	} {
		at, last := playHandovers(tc.nodes, time.Minute)
		if len(at) == 0 || at[len(at)-1] > tc.within || last != tc.want {
			t.Errorf("%s: got: handovers after %v, at last to node %d, want: the last one after %v at most, to node %d", name, at, last, tc.within, tc.want)
		}
	}
}
