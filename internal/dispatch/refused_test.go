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

// A new job that was cancelled and then refused stayed in the batch. When it was submitted again,
// it was stored as cancelled and without its steps, although it was accepted and run: the next
// owner knew nothing of it, and its end counted as persisted before it was.
func TestResubmittedJobIsStoredAsItIsRun(t *testing.T) {
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(clock.NewFake().Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	spec := func() *work.Spec {
		return &work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, 0)}}
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
		t.Errorf("the job in the engine: got: %v, want: %v, as in the store", got, stored)
	}
	e.Cancel("a", "")
	if stored != work.JobCancelled && e.IsFinalPersisted("a") {
		t.Error("its cancellation: got: persisted, want: not yet")
	}
}

// The cancellation of an unknown job is stored before the job arrives. When the job was then
// submitted, it was shown as cancelled before the store had the job itself, and a loss of all
// nodes' memory reverted that.
func TestJobCancelledBeforeSubmissionIsShownOncePersisted(t *testing.T) {
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(clock.NewFake().Now())
	e.Cancel("a", "")
	e.Committed(e.TakeBatch())
	if state, ok := e.State("a"); ok || !e.IsFinalPersisted("a") {
		t.Errorf("cancelled before its submission: got: %v, %v, want: cancellation persisted, and no such job", state, ok)
	}
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, 0)}})
	if state, _ := e.State("a"); state.IsFinal() || e.IsFinalPersisted("a") || e.IsPersisted("a") {
		t.Errorf("submitted, not committed: got: %v, final state persisted: %v, want: neither final nor persisted", state, e.IsFinalPersisted("a"))
	}
	e.Committed(e.TakeBatch())
	if state, _ := e.State("a"); state != work.JobCancelled || !e.IsPersisted("a") {
		t.Errorf("committed: got: %v, want: %v, persisted", state, work.JobCancelled)
	}
}
