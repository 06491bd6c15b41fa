// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

var otherQueue = order.Queue{Name: "other", Service: "pool"}

// Guards against an accepted job whose queue leaves the configuration: after a change of owner nothing of
// it was started any more, and its tasks could fail without a limit.
func TestJobsKeepTheLastPolicyOfTheirQueue(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 500*time.Millisecond), newStep(2, 500*time.Millisecond))
	w.submit("b", newStep(1, 500*time.Millisecond))
	w.run(200 * time.Millisecond)
	changed := testQueue
	changed.MaxAttempts = 2
	w.queues = []order.Queue{changed}
	w.engine.SetQueues(w.queues)
	w.run(200 * time.Millisecond)
	w.queues = []order.Queue{otherQueue}
	w.engine.SetQueues(w.queues)
	w.failureShare = 1
	for range 3 {
		w.takeOver()
		w.run(2 * time.Second)
	}
	expectState(t, w, "a", work.JobFailed)
	// Each first step has one start, of a task that ends well.
	if got, want := w.startCount, 2+2*changed.MaxAttempts; got != want {
		t.Errorf("starts: got: %d, want: %d, as the tasks of the second step fail", got, want)
	}
}

// Guards against policies that are written again with each batch, and against ones that are lost with a
// batch that the store refuses.
func TestPoliciesAreWrittenWhenTheyChange(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.refusedShare = 1
	w.run(time.Second)
	w.submit("a", newStep(1, 300*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.refusedShare = 0
	w.submit("b", newStep(20, 300*time.Millisecond))
	w.run(3 * time.Second)
	if got := w.policyWrites; got != 1 {
		t.Errorf("writes of the policy: got: %d, want: 1", got)
	}
	w.takeOver()
	w.submit("c", newStep(1, 300*time.Millisecond))
	w.run(time.Second)
	if got := w.policyWrites; got != 1 {
		t.Errorf("writes after a takeover: got: %d, want: 1", got)
	}
}

// Guards against a limit that ends with the owner: a customer leaves the configuration while it has jobs, and
// the next owner has never seen its limit.
func TestJobsKeepTheLastLimitOfTheirCustomer(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 5))
	w.submitFor("a", "q", "j", newStep(40, time.Second))
	w.run(200 * time.Millisecond)
	w.limit(limitOf("a", 3))
	w.run(3 * time.Second)
	w.limit()
	w.run(200 * time.Millisecond)
	for range 3 {
		w.takeOver()
		for range 10 {
			w.run(100 * time.Millisecond)
			if got := runningTasksOf(w, "a"); got > 3 {
				t.Fatalf("running at %v: got: %d, want: 3 at most", w.elapsed(), got)
			}
		}
	}
	w.run(20 * time.Second)
	expectState(t, w, "j", work.JobSucceeded)
}

// Guards against a customer without a limit that gets an earlier one back after it has left the configuration.
func TestLimitThatWasLiftedStaysLifted(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 1))
	w.submitFor("a", "q", "j", newStep(8, 2*time.Second))
	w.run(200 * time.Millisecond)
	w.limit(limitOf("a", 0))
	w.run(200 * time.Millisecond)
	w.limit()
	w.run(200 * time.Millisecond)
	w.takeOver()
	w.run(time.Second)
	if got := runningTasksOf(w, "a"); got != 8 {
		t.Errorf("running: got: %d, want: 8", got)
	}
}
