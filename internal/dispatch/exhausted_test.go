// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// queueWithAttempts is testQueue with another number of attempts.
func queueWithAttempts(n int) order.Queue {
	q := testQueue
	q.MaxAttempts = n
	return q
}

// newFailingJob returns a world with a job of one task that always fails.
func newFailingJob(attempts int) *sim {
	w := newSim(1)
	w.queues = []order.Queue{queueWithAttempts(attempts)}
	w.engine.SetQueues(w.queues)
	w.addWorkers(4, workerCapacity)
	w.run(time.Second)
	w.failureShare = 1
	w.submit("a", newStep(1, 500*time.Millisecond))
	return w
}

// newUnconfiguredOwner returns a world in which the last attempt of a job's task has failed while the owner had
// no configuration.
func newUnconfiguredOwner() *sim {
	w := newFailingJob(2)
	w.run(time.Second)
	for w.startCount < 2 {
		w.run(tick)
	}
	w.isUnconfigured = true
	w.takeOver()
	w.run(2 * time.Second)
	return w
}

// expectFailedAfter checks that the job of newFailingJob fails after a number of starts.
func expectFailedAfter(t *testing.T, w *sim, starts int) {
	t.Helper()
	w.run(5 * time.Second)
	expectState(t, w, "a", work.JobFailed)
	if got := w.startCount; got != starts {
		t.Errorf("starts: got: %d, want: %d", got, starts)
	}
}

// Guards against a task that is started more often than it may: its last attempt failed while a new owner had
// no configuration yet, and nothing was decided when that came.
func TestLastFailureCountsBeforeTheConfigurationIsKnown(t *testing.T) {
	w := newUnconfiguredOwner()
	w.engine.SetQueues(w.queues)
	expectFailedAfter(t, w, 2)
}

// Guards against the same when several owners follow each other: the one that has a configuration reads of the
// last failure in the store.
func TestLastFailureCountsAfterAnotherChangeOfOwner(t *testing.T) {
	w := newUnconfiguredOwner()
	w.isUnconfigured = false
	w.takeOver()
	expectFailedAfter(t, w, 2)
}

// Guards against a job that fails while an attempt runs that may still succeed, because a new configuration
// allows fewer attempts.
func TestLoweredAttemptsApplyOnceTheAttemptEnds(t *testing.T) {
	w := newFailingJob(5)
	for w.startCount < 3 {
		w.run(tick)
	}
	w.queues = []order.Queue{queueWithAttempts(2)}
	w.engine.SetQueues(w.queues)
	w.run(200 * time.Millisecond)
	if got := jobState(w, "a"); got != work.JobRunning {
		t.Errorf("while the attempt runs: got: %v, want: %v", got, work.JobRunning)
	}
	expectFailedAfter(t, w, 3)
}
