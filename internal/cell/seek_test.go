// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

func TestAnOwnerThatMayHaveRunAheadIsNotReliedOn(t *testing.T) {
	clk := &steppedClock{}
	n := newNodeWith(t, fakestore.NewLog(), "n0", "1", clk)
	for name, tc := range map[string]struct {
		record *owner.Record
		want   bool
	}{
		"none":        {nil, true},
		"no beat":     {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(-800 * time.Millisecond)}, false},
		"old":         {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(-1000 * time.Millisecond)}, false},
		"marked":      {&owner.Record{Epoch: 7, SentAt: clk.Now(), IsUnlogged: true}, false},
		"clock ahead": {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(2 * time.Second)}, false},
	} {
		if got := n.IsExact(tc.record); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

// The call of an owner that handed over waited at a node that had not taken it up,
// which then took the shard from the next owner, though that lived.
func TestALateCallToClaimEndsNoLaterOwner(t *testing.T) {
	log := fakestore.NewLog()
	n0 := newNode(t, log, "n0", "1")
	n0.submit(t, "a")
	n1 := newNode(t, log, "n1", "1")
	await.True(t, "n1 follows n0", n1.IsFollowing)
	r, _, err := owner.ReadRecord(t.Context(), log)
	if err != nil {
		t.Fatal(err)
	}
	if err := n1.TakeClaim(t.Context(), r.Epoch-1); err == nil {
		t.Error("the call of an earlier owner: got: n1 owns the shard, want: an error")
	}
	if r, _, err := owner.ReadRecord(t.Context(), log); err != nil || r.Node != "n0" {
		t.Errorf("the owner: got: %v, %v, want: n0", r, err)
	}
	if err := n1.TakeClaim(t.Context(), r.Epoch); err != nil {
		t.Errorf("the call of this owner: got: %v, want: n1 owns the shard", err)
	}
}
