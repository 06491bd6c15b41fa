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
