// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// A new job that was cancelled and then refused stayed in the batch. Handed in
// again, it was kept as cancelled, without its steps, and yet accepted and run: the
// next owner knew nothing of it, and its end counted as kept before it was.
func TestResubmittedJobIsStoredAsItIsRun(t *testing.T) {
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(clock.NewFake().Now())
	e.SetTrusted(true)
	e.SetQueues([]order.Queue{testQueue})
	spec := func() *work.Spec {
		return &work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(1, 0)}}
	}
	e.AddJob(spec())
	e.Cancel("a", "")
	e.RefuseNew()
	e.AddJob(spec())
	b := e.TakeBatch()
	if b == nil {
		t.Fatal("got: no batch, want: one")
	}
	stored := work.JobQueued
	if p := b.Progress["a"]; p != nil {
		stored = p.State
	}
	e.Committed(b)
	if got, _ := e.State("a"); got != stored {
		t.Errorf("the job here: got: %v, want: %v, as it is kept", got, stored)
	}
	e.Cancel("a", "")
	if stored != work.JobCancelled && e.IsFinalPersisted("a") {
		t.Error("its cancelling: got: settled, want: not yet kept")
	}
}

// A job handed in after its cancelling, which was kept as that of an unknown job, was
// shown as cancelled before the store had it: a loss of all memory took that back.
func TestJobCancelledBeforeSubmissionIsShownOncePersisted(t *testing.T) {
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(clock.NewFake().Now())
	e.Cancel("a", "")
	e.Committed(e.TakeBatch())
	if state, ok := e.State("a"); ok || !e.IsFinalPersisted("a") {
		t.Errorf("cancelled before it came: got: %v, %v, want: settled, and no such job", state, ok)
	}
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(1, 0)}})
	if state, _ := e.State("a"); state.IsFinal() || e.IsFinalPersisted("a") || e.IsKept("a") {
		t.Errorf("handed in, not kept: got: %v, settled: %v, want: not yet", state, e.IsFinalPersisted("a"))
	}
	e.Committed(e.TakeBatch())
	if state, _ := e.State("a"); state != work.JobCancelled || !e.IsKept("a") {
		t.Errorf("kept: got: %v, want: %v", state, work.JobCancelled)
	}
}
