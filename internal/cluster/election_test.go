// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// Guards against a node that relies on the store's placements after a previous owner that may have
// run write-behind. The tasks that such an owner started without persisting their placements would
// then be started twice.
func TestPlacementsAreNotReliedOnAfterPossibleWriteBehind(t *testing.T) {
	clk := &manualClock{}
	n := newNodeWith(t, fakestore.NewLog(), "n0", "1", clk)
	if !n.HasAllPlacements(nil) {
		t.Error("no previous owner: got: placements may be missing, want: all placements persisted")
	}
	const ms = time.Millisecond
	type lastHeartbeat struct {
		epoch, unflaggedSeq uint64
		age                 time.Duration
	}
	for name, tc := range map[string]struct {
		lastHeartbeat lastHeartbeat
		age           time.Duration
		isFlagged     bool
		want          bool
	}{
		"young":                                {lastHeartbeat{7, 4, 800 * ms}, 800 * ms, false, true},
		"old":                                  {lastHeartbeat{7, 4, 1000 * ms}, 1000 * ms, false, false},
		"marked":                               {lastHeartbeat{7, 4, 0}, 0, true, false},
		"clock ahead":                          {lastHeartbeat{7, 4, 0}, -2 * time.Second, false, false},
		"clock set back":                       {lastHeartbeat{7, 4, 1500 * ms}, 100 * ms, false, false},
		"a delayed heartbeat":                  {lastHeartbeat{7, 4, 0}, 1500 * ms, false, false},
		"a record since the heartbeat":         {lastHeartbeat{7, 3, 1100 * ms}, 800 * ms, false, true},
		"two records since the heartbeat, old": {lastHeartbeat{7, 2, 1600 * ms}, 800 * ms, false, false},
		"no heartbeat of this owner":           {lastHeartbeat{6, 4, 0}, 800 * ms, false, false},
		"no heartbeat at all":                  {lastHeartbeat{}, 800 * ms, false, false},
	} {
		n.RecordOwnerHeartbeat(tc.lastHeartbeat.epoch, tc.lastHeartbeat.unflaggedSeq, tc.lastHeartbeat.age)
		r := &owner.Record{Epoch: 7, HeartbeatSeq: 4, SentAt: clk.Now().Add(-tc.age), MayHaveUnpersisted: tc.isFlagged}
		if got := n.HasAllPlacements(r); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

// Guards against a claim request that takes effect too late: the request of an owner that handed
// over waited at a node that had not handled it, and the node then took the shard from the next
// owner, although that owner was alive.
func TestALateClaimRequestDoesNotReplaceALaterOwner(t *testing.T) {
	log := fakestore.NewLog()
	n0 := newNode(t, log, "n0", "1")
	n0.submit(t, "a")
	n1 := newNode(t, log, "n1", "1")
	await.True(t, "n1 follows n0", n1.IsFollowing)
	r, _, err := owner.ReadRecord(t.Context(), log)
	if err != nil {
		t.Fatal(err)
	}
	if err := n1.HandleClaim(t.Context(), r.Epoch-1); err == nil {
		t.Error("claim request of a previous owner: got: n1 owns the shard, want: an error")
	}
	checkOwner(t, log, "n0")
	if err := n1.HandleClaim(t.Context(), r.Epoch); err != nil {
		t.Errorf("claim request of this owner: got: %v, want: n1 owns the shard", err)
	}
}
