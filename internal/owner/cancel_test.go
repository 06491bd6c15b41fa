// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// partitionedLog is a store that is unreachable for one node while others reach it.
type partitionedLog struct {
	store.Log
	isPartitioned atomic.Bool
}

var errPartitioned = &store.Error{Failure: store.Unknown, Err: errors.New("cut off")}

func (l *partitionedLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	if l.isPartitioned.Load() {
		return 0, errPartitioned
	}
	return l.Log.Append(ctx, a)
}

func (l *partitionedLog) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	if l.isPartitioned.Load() {
		return nil, errPartitioned
	}
	return l.Log.ReadNewest(ctx, topic)
}

// startReplacedOwner returns an owner that does not know that it was replaced, the store that it is
// cut off from, and the current owner, which has accepted the job a.
func startReplacedOwner(t *testing.T) (replacedOwner *owner.Owner, partitioned *partitionedLog, currentOwner *owner.Owner) {
	t.Helper()
	log := fakestore.NewLog()
	partitioned = &partitionedLog{Log: log}
	replacedOwner = startOwner(t, partitioned, newFakeWorkers())
	partitioned.isPartitioned.Store(true)
	workers := newFakeWorkers()
	workers.gate = make(chan struct{})
	t.Cleanup(func() { close(workers.gate) })
	currentOwner = startOwner(t, log, workers)
	if err := currentOwner.Submit(t.Context(), newJob("a")); err != nil {
		t.Fatal(err)
	}
	return replacedOwner, partitioned, currentOwner
}

// Issue 15: a replaced owner, partitioned from the store, answered that there is no such job because it
// did not know the job. The caller regarded that as an acknowledgement of its cancellation, and the job
// continued to run.
func TestReplacedOwnerAcknowledgesNoCancel(t *testing.T) {
	replacedOwner, partitioned, currentOwner := startReplacedOwner(t)
	// While it is partitioned, it cannot know whether it is still the owner, and gives no answer.
	ctx, cancel := context.WithTimeout(t.Context(), 2*tick)
	defer cancel()
	if _, err := replacedOwner.Cancel(ctx, "a", work.Caller{}); err == nil {
		t.Error("cancellation at the replaced owner, cut off: got: acknowledged, want: an error")
	}
	answered := make(chan error, 1)
	go func() {
		_, err := replacedOwner.Cancel(t.Context(), "a", work.Caller{})
		answered <- err
	}()
	partitioned.isPartitioned.Store(false)
	if err := <-answered; err == nil {
		t.Error("cancellation at the replaced owner: got: acknowledged, want: an error")
	}
	if state, ok, err := currentOwner.State(t.Context(), "a", work.Caller{}); state.IsFinal() || !ok || err != nil {
		t.Errorf("the job at the current owner: got: %v, %v, %v, want: it runs", state, ok, err)
	}
}

// As with cancellations, only the current owner may answer that there is no such job.
func TestReplacedOwnerDeniesNoJob(t *testing.T) {
	replacedOwner, partitioned, _ := startReplacedOwner(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*tick)
	defer cancel()
	if _, _, err := replacedOwner.State(ctx, "a", work.Caller{}); err == nil {
		t.Error("state at the replaced owner, cut off: got: no such job, want: an error")
	}
	answered := make(chan error, 1)
	go func() {
		_, _, err := replacedOwner.State(t.Context(), "a", work.Caller{})
		answered <- err
	}()
	partitioned.isPartitioned.Store(false)
	if err := <-answered; err == nil {
		t.Error("state at the replaced owner: got: no such job, want: an error")
	}
}

// A cancellation may arrive before the submission of its job, which a caller may send more than
// once. A cancelled job must not run, whichever node owns the shard then.
func TestCancelOfUnknownJobIsPersisted(t *testing.T) {
	log := fakestore.NewLog()
	o := startOwner(t, log, newFakeWorkers())
	if ok, err := o.Cancel(t.Context(), "a", work.Caller{}); ok || err != nil {
		t.Fatalf("cancellation before the submission: got: %v, %v, want: not known", ok, err)
	}
	if _, ok, err := o.State(t.Context(), "a", work.Caller{}); ok || err != nil {
		t.Errorf("its state: got: %v, %v, want: not known", ok, err)
	}
	o.Stop()
	workers := newFakeWorkers()
	next := startOwner(t, log, workers)
	for _, id := range []string{"a", "b"} {
		if err := next.Submit(t.Context(), newJob(id)); err != nil {
			t.Fatalf("submission of %s: got: %v, want: accepted", id, err)
		}
	}
	awaitState(t, next, "b", work.JobSucceeded)
	if state, ok, err := next.State(t.Context(), "a", work.Caller{}); state != work.JobCancelled || !ok || err != nil {
		t.Errorf("the cancelled job: got: %v, %v, %v, want: %v", state, ok, err, work.JobCancelled)
	}
	if workers.hasStarted("a") {
		t.Error("the cancelled job: got: started, want: never")
	}
}

// refusingLog blocks the first append of jobs until refuse is closed, and then refuses it.
type refusingLog struct {
	store.Log
	refuse     chan struct{}
	hasRefused atomic.Bool
}

func (l *refusingLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	if a.Topic == owner.TopicJobs && len(a.Records) > 0 && l.hasRefused.CompareAndSwap(false, true) {
		<-l.refuse
		return 0, &store.Error{Failure: store.NotApplied}
	}
	return l.Log.Append(ctx, a)
}

// The store refuses a job while its caller cancels it. The retry of the submission must not bring
// the job back.
func TestCancelOfRefusedJobIsPersisted(t *testing.T) {
	log, workers := &refusingLog{Log: fakestore.NewLog(), refuse: make(chan struct{})}, newFakeWorkers()
	o := startOwner(t, log, workers)
	submitted, cancelled := make(chan error, 1), make(chan error, 1)
	go func() { submitted <- o.Submit(t.Context(), newJob("a")) }()
	awaitState(t, o, "a", work.JobQueued)
	go func() {
		_, err := o.Cancel(t.Context(), "a", work.Caller{})
		cancelled <- err
	}()
	// Until the cancellation is persisted, the caller sees the job as running.
	awaitState(t, o, "a", work.JobRunning)
	close(log.refuse)
	if err := <-submitted; err == nil {
		t.Fatal("the submission: got: accepted, want: refused")
	}
	if err := <-cancelled; err != nil {
		t.Fatalf("the cancellation: got: %v, want: acknowledged", err)
	}
	for _, id := range []string{"a", "b"} {
		await.True(t, id+" is accepted", func() bool { return o.Submit(t.Context(), newJob(id)) == nil })
	}
	awaitState(t, o, "b", work.JobSucceeded)
	if state, ok, err := o.State(t.Context(), "a", work.Caller{}); state != work.JobCancelled || !ok || err != nil {
		t.Errorf("the cancelled job: got: %v, %v, %v, want: %v", state, ok, err, work.JobCancelled)
	}
	if workers.hasStarted("a") {
		t.Error("the cancelled job: got: started, want: never")
	}
}

func (w *fakeWorkers) hasStarted(id work.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.starts {
		if w.starts[i].Task.Job == id {
			return true
		}
	}
	return false
}
