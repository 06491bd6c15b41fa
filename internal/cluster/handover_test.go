// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/cluster"
)

// A load that makes any owner late for half a second when it takes over, and now and
// then after, went from node to node each second.
func TestALoadIsNotHandedFromNodeToNode(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	nodes := make([]cluster.Fitness, 8)
	at, changes := 0, 0
	nodes[at].Own(now)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		if !nodes[at].IsUnfit(0.3, false, now) {
			continue
		}
		nodes[at].Yield(now)
		at, changes = (at+1)%len(nodes), changes+1
		nodes[at].Yield(now)
		nodes[at].Own(now)
	}
	if changes > 2 {
		t.Errorf("owners in 20 s of a load that is too much for any: got: %d changes, want: at most 2", changes)
	}
}

func TestAnUnfitOwnerHandsOver(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, tc := range map[string]struct {
		lag    float64
		isWeak bool
		// owned is for how long it owns the shard, yielded how long ago it was handed over
		// for that reason; 0 means never.
		owned, yielded time.Duration
		want           bool
	}{
		"fit":                         {0.1, false, time.Minute, 0, false},
		"slow":                        {0.4, false, 4 * time.Second, 0, true},
		"new":                         {0.4, false, time.Second, 0, false},
		"weak, new":                   {0, true, 100 * time.Millisecond, 0, true},
		"slow, after a slow one":      {0.4, false, 4 * time.Second, 4 * time.Second, false},
		"slow, long after a slow one": {0.4, false, 11 * time.Second, 11 * time.Second, true},
	} {
		f := cluster.Fitness{}
		f.Own(begin)
		now := begin.Add(tc.owned)
		if tc.yielded > 0 {
			f.Yield(now.Add(-tc.yielded))
		}
		if got := f.IsUnfit(tc.lag, tc.isWeak, now); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}
