// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// Guards against a takeover that writes the progress of all jobs again although the workers report what the
// store says: with 12,000 workers some 2 MB.
func TestTakeoverWritesNoProgressThatTheStoreHas(t *testing.T) {
	log := fakestore.NewLog()
	workers := newWorkersOfEndedOwner(t, log)
	before := log.CountKey(owner.TopicJobs, "p/a")
	second := runOwner(t, log, workers, oneWorkerList{}, clock.Real{}, nil)
	// Three records take longer than the pause between two batches.
	await.True(t, "the second owner writes records", func() bool { n, _ := second.LastRecord(); return n >= 3 })
	if got := log.CountKey(owner.TopicJobs, "p/a"); got != before {
		t.Errorf("records of the job: got: %d, want: %d", got, before)
	}
	close(workers.gate)
}

// newWorkersOfEndedOwner returns workers on which the two tasks of job a run that an owner started, which has
// ended. The tasks end when the gate is closed.
func newWorkersOfEndedOwner(t *testing.T, log *fakestore.Log) *fakeWorkers {
	t.Helper()
	workers := newFakeWorkers()
	workers.gate = make(chan struct{})
	first := runOwner(t, log, workers, oneWorkerList{}, clock.Real{}, nil)
	if err := first.Submit(t.Context(), newJob("a")); err != nil {
		t.Fatal(err)
	}
	await.True(t, "the tasks run", func() bool { return workers.startsOf("a") == 2 })
	first.Stop()
	<-first.Done()
	return workers
}
