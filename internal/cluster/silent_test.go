// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/leasebound"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Guards against an owner whose claim forgets what its predecessors know of the leases of silent workers:
// if it ends soon, the next owner waits for them anew.
func TestClaimHandsOnTheBoundsOfSilentWorkers(t *testing.T) {
	log := fakestore.NewLog()
	const left = 5 * time.Second
	lost := owner.Record{Node: "lost", Addr: closedAddr(t), Incarnation: "1", Epoch: 1, Silent: []leasebound.Bound{{Worker: "w", Left: left}}}
	if _, err := owner.AppendRecord(t.Context(), log, &lost, 0); err != nil {
		t.Fatal(err)
	}
	newNode(t, log, "n0", "1")
	r := awaitRecordOf(t, log, "n0")
	i := slices.IndexFunc(r.Silent, func(b leasebound.Bound) bool { return b.Worker == "w" })
	if i < 0 || r.Silent[i].Left > left {
		t.Errorf("got: %v, want: at most %v left for w", r.Silent, left)
	}
}

// Guards against an owner that forgets at its claim which runs have outlasted the window for crashes: if its
// worker crashes as several owners follow each other, each would count that against the task.
func TestClaimHandsOnOutlastedRuns(t *testing.T) {
	log := fakestore.NewLog()
	run := crash.OutlastedRun{Task: work.TaskID{Job: "a", Step: 1, Index: 2}, Run: 3, Worker: "w"}
	lost := owner.Record{Node: "lost", Addr: closedAddr(t), Incarnation: "1", Epoch: 1, Outlasted: []crash.OutlastedRun{run}}
	if _, err := owner.AppendRecord(t.Context(), log, &lost, 0); err != nil {
		t.Fatal(err)
	}
	newNode(t, log, "n0", "1")
	if r := awaitRecordOf(t, log, "n0"); !slices.Equal(r.Outlasted, lost.Outlasted) {
		t.Errorf("got: %v, want: %v", r.Outlasted, lost.Outlasted)
	}
}
