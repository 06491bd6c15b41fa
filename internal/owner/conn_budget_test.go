// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/connbudget"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Guards against owners that each count the connections of lost nodes anew: only what the record
// hands on bounds their sum.
func TestConnectionsOfLostOwnersAddUp(t *testing.T) {
	for name, tc := range map[string]struct {
		record    owner.Record
		areClosed bool
		want      connbudget.Left
	}{
		"an owner that closed them":        {owner.Record{LeftConns: 8, KeptConns: 4}, true, 8},
		"an owner that was lost":           {owner.Record{LeftConns: 8, KeptConns: 4}, false, 12},
		"one of an earlier version":        {owner.Record{}, false, connbudget.MaxOpen},
		"one that closed, of that version": {owner.Record{}, true, 0},
	} {
		if got := tc.record.LeftConnsAfter(tc.areClosed); got != tc.want {
			t.Errorf("%s: got: %d, want: %d", name, got, tc.want)
		}
	}
}

// Guards against a delegate whose power loss is not counted: it leaves connections open as an owner
// does.
func TestLostDelegateLowersTheKeptConnections(t *testing.T) {
	workers, log := newFakeWorkers(), fakestore.NewLog()
	o, _ := startDelegatingOwnerOn(t, log, workers)
	if err := o.Submit(t.Context(), newJob("j")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, o, "j", work.JobSucceeded)
	kept := connbudget.Left(0).Kept()
	want := connbudget.Left(0).AfterLoss(kept)
	o.FollowerLost("another node")
	o.FollowerLost("c")
	await.True(t, "the record counts one loss", func() bool {
		r, _, err := owner.ReadRecord(t.Context(), log)
		return err == nil && r.LeftConns == want && r.KeptConns == want.Kept()
	})
	if got := workers.keptConns.Load(); got != int64(want.Kept()) {
		t.Errorf("connections that the owner keeps: got: %d, want: %d", got, want.Kept())
	}
}

// Guards against an owner that keeps connections although earlier losses have used them up.
func TestOwnerKeepsWhatItsRecordAllows(t *testing.T) {
	workers := newFakeWorkers()
	runOwner(t, fakestore.NewLog(), workers, oneWorkerList{}, clock.Real{}, nil, func(options *owner.Options) {
		options.Claim.Record.LeftConns = 30
	})
	if got, want := workers.keptConns.Load(), int64(connbudget.Left(30).Kept()); got != want {
		t.Errorf("got: %d, want: %d", got, want)
	}
}
