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
	for name, tc := range map[string]struct {
		age       time.Duration
		isFlagged bool
		// unpersistedEpoch is the epoch of an owner whose last heartbeat said that it runs
		// write-behind, or 0.
		unpersistedEpoch uint64
		// isEarlierVersion means that the owner also runs write-behind without the flag.
		isEarlierVersion bool
		want             bool
	}{
		"unflagged":      {0, false, 0, false, true},
		"unflagged, old": {time.Hour, false, 0, false, true},
		"unflagged, the time of day was set back": {-time.Hour, false, 0, false, true},
		"flagged":      {0, true, 0, false, false},
		"flagged, old": {time.Hour, true, 0, false, false},
		"unflagged, its heartbeat says otherwise":    {0, false, 7, false, false},
		"unflagged, an earlier owner's heartbeat":    {0, false, 6, false, true},
		"flagged, a heartbeat of the same owner":     {0, true, 7, false, false},
		"unflagged, of an earlier version":           {0, false, 0, true, false},
		"flagged, an earlier owner ran write-behind": {0, true, 6, false, false},
	} {
		n.RecordOwnerHeartbeat(max(tc.unpersistedEpoch, 6), tc.unpersistedEpoch > 0)
		r := &owner.Record{Epoch: 7, HeartbeatSeq: 4, SentAt: clk.Now().Add(-tc.age), MayHaveUnpersisted: tc.isFlagged, WritesBehindByFlagOnly: !tc.isEarlierVersion}
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
