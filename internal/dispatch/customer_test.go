// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// runningTasksOf returns how many tasks made by step a customer has running.
func runningTasksOf(w *sim, name work.CustomerName) int {
	return int(w.capacityUsedBy(name).MilliCPU / 1000)
}

// newLimitedWorld returns a world with five workers and the limits of the customers.
func newLimitedWorld(customers ...order.Customer) *sim {
	w := newSim(1)
	w.limit(customers...)
	w.addWorkers(5, workerCapacity)
	w.run(time.Second)
	return w
}

// The running tasks of a customer must stay within its limit; a limit of 0 is none.
func TestRunningTasksStayWithinCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 3), limitOf("b", 0))
	w.submitFor("a", "q", "j1", newStep(8, time.Second))
	w.submitFor("b", "q", "j2", newStep(8, time.Second))
	w.run(500 * time.Millisecond)
	if a, b := runningTasksOf(w, "a"), runningTasksOf(w, "b"); a != 3 || b != 8 {
		t.Errorf("running: got: %d and %d, want: 3 under the limit and 8 without one", a, b)
	}
	w.run(4 * time.Second)
	expectState(t, w, "j1", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A task that is being stopped may run until its end is known, and counts until then.
func TestStoppingTasksCountAgainstCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", newStep(4, time.Minute))
	w.run(500 * time.Millisecond)
	w.submitFor("a", "q", "j2", newStep(4, 200*time.Millisecond))
	w.engine.Cancel("j1", "a")
	w.run(modelStopTime - 3*tick)
	if got := jobState(w, "j2"); got != work.JobQueued {
		t.Errorf("while the tasks of the other job are being stopped: got: %v, want: %v", got, work.JobQueued)
	}
	w.run(time.Second)
	expectState(t, w, "j2", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A new owner knows from the store where tasks of a customer may run, before the workers have
// reported. A task on an unreachable worker counts against the limit until that worker's lease
// expires.
func TestTasksOfPreviousOwnerCountAgainstCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", newStep(4, time.Minute))
	w.run(500 * time.Millisecond)
	cutOff := w.workerOf(work.TaskID{Job: "j1"})
	elsewhere := 4 - len(cutOff.running)
	cutOff.isPartitioned = true
	w.takeOver()
	w.submitFor("a", "q", "j2", newStep(4, time.Second))
	w.run(3 * time.Second)
	if got := jobState(w, "j2"); got != work.JobQueued {
		t.Errorf("with %d tasks of the customer on an unreachable worker and %d elsewhere: got: %v, want: %v", len(cutOff.running), elsewhere, got, work.JobQueued)
	}
	w.run(20 * time.Second)
	if got := runningTasksOf(w, "a"); got != 4 {
		t.Errorf("once the lease has expired: got: %d running, want: 4", got)
	}
	expectNoViolations(t, w)
}

// A previous owner in write-behind mode may have started any task of its jobs on any worker. All of
// them count against the limit until the workers have reported what they run.
func TestTasksWithUnknownPlacementCountAgainstCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", newStep(4, time.Minute))
	w.run(tick)
	w.isStoreDown, w.isWriteBehind = true, true
	w.run(time.Second)
	w.workerOf(work.TaskID{Job: "j1"}).isPartitioned = true
	w.mayHaveUnpersistedStarts, w.isStoreDown = true, false
	w.takeOver()
	w.submitFor("a", "q", "j2", newStep(4, time.Second))
	w.run(3 * time.Second)
	if got := jobState(w, "j2"); got != work.JobQueued {
		t.Errorf("while a worker has not reported what it runs: got: %v, want: %v", got, work.JobQueued)
	}
	w.run(20 * time.Second)
	expectNoViolations(t, w)
}

// The store keeps only the final state of a job that has ended, so that a new owner does not know
// the size of its tasks that still run. No task of the customer may start until these are stopped.
func TestTasksOfUnknownSizeBlockTheirCustomerUntilStopped(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", newStep(4, time.Minute))
	w.run(500 * time.Millisecond)
	w.progress["j1"] = &work.Progress{State: work.JobCancelled, Customer: "a"}
	w.takeOver()
	w.submitFor("a", "q", "j2", newStep(4, 200*time.Millisecond))
	w.run(2 * time.Second)
	expectState(t, w, "j2", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A speculative copy beside an attempt that may still run uses its resources a second time.
func TestSpeculativeCopyCountsAgainstCustomerLimit(t *testing.T) {
	for limit, want := range map[int64]int{1: 1, 2: 2} {
		w := newLimitedWorld(limitOf("a", limit))
		s := newStep(1, time.Minute)
		s.AllowsSpeculation = true
		w.submitFor("a", "q", "j", s)
		w.run(500 * time.Millisecond)
		w.workerOf(work.TaskID{Job: "j"}).isPartitioned = true
		// The worker's lease lasts longer.
		w.run(4 * time.Second)
		if w.startCount != want {
			t.Errorf("limit of %d tasks, with an attempt on an unreachable worker: got: %d starts, want: %d", limit, w.startCount, want)
		}
	}
}

// A lowered limit stops no running task. New tasks start only when enough others have ended.
func TestLoweredLimitStopsNoTaskButDelaysNewStarts(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	w.submitFor("a", "q", "j1", newStep(6, 2*time.Second))
	w.submitFor("a", "q", "j2", newStep(6, time.Second))
	w.run(500 * time.Millisecond)
	w.limit(limitOf("a", 2))
	w.run(time.Second)
	if got := runningTasksOf(w, "a"); got != 6 {
		t.Errorf("after the limit was lowered: got: %d running, want: 6 as before", got)
	}
	w.run(time.Second)
	if got := runningTasksOf(w, "a"); got != 2 {
		t.Errorf("after the first job has ended: got: %d running, want: 2", got)
	}
	w.limit(limitOf("a", 6))
	w.run(100 * time.Millisecond)
	if got := runningTasksOf(w, "a"); got != 6 {
		t.Errorf("after the limit was raised again: got: %d running, want: 6", got)
	}
	expectNoViolations(t, w)
}

// A start that is planned while the store is unavailable must not be ordered if the limit is
// lowered before its placement is stored.
func TestPlannedStartIsDroppedWhenLimitIsLowered(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	w.submitFor("a", "q", "j", newStep(6, time.Second))
	w.run(tick)
	w.isStoreDown = true
	w.run(300 * time.Millisecond)
	w.limit(limitOf("a", 2))
	w.run(300 * time.Millisecond)
	w.isStoreDown = false
	w.run(300 * time.Millisecond)
	if got := runningTasksOf(w, "a"); got != 2 {
		t.Errorf("after the store has recovered: got: %d running, want: 2", got)
	}
	expectNoViolations(t, w)
}

// Small jobs of the same customer must not starve a gang that waits for the customer's limit, even
// if they arrive all the time: what becomes free is reserved for the gang.
func TestGangIsNotStarvedWithinCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	gang := newStep(5, time.Second)
	gang.IsGang = true
	for i := range 30 {
		w.submitFor("a", "q", fmt.Sprintf("small%02d", i), newStep(2, 900*time.Millisecond))
		if i == 4 {
			w.submitFor("a", "q", "gang", gang)
		}
		w.run(300 * time.Millisecond)
	}
	expectState(t, w, "gang", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A gang that cannot fit within the limit beside long-running tasks must not block other jobs of
// its customer.
func TestGangThatCannotFitLimitDoesNotBlockOtherJobs(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	longRunning := newStep(3, time.Hour)
	longRunning.IsLongRunning = true
	w.submitFor("a", "q", "lasting", longRunning)
	w.run(500 * time.Millisecond)
	gang := newStep(5, time.Second)
	gang.IsGang = true
	w.submitFor("a", "q", "gang", gang)
	w.submitFor("a", "q", "small", newStep(3, time.Second))
	w.run(3 * time.Second)
	expectState(t, w, "gang", work.JobQueued)
	expectState(t, w, "small", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A job with a task or gang that exceeds the customer's limit by itself could never run. CheckJob
// returns the reason, so that it can be rejected.
func TestCheckJobRejectsJobThatCanNeverFitLimit(t *testing.T) {
	w := newSim(1)
	w.limit(limitOf("a", 3))
	gang := newStep(4, time.Second)
	gang.IsGang = true
	large := newStep(1, time.Second)
	large.Need.MilliCPU = 3001
	for name, tc := range map[string]struct {
		customer work.CustomerName
		step     work.Step
		canRun   bool
	}{
		"fits":             {"a", newStep(9, time.Second), true},
		"a gang":           {"a", gang, false},
		"a task":           {"a", large, false},
		"no customer":      {"", gang, true},
		"unknown customer": {"c", gang, true},
	} {
		reason := w.engine.CheckJob(&work.Spec{Customer: tc.customer, Steps: []work.Step{tc.step}})
		if (reason == "") != tc.canRun {
			t.Errorf("%s: got: %q, want: can run: %v", name, reason, tc.canRun)
		}
	}
}

// A job is accessible to its customer only, also when it has ended or was cancelled before it was
// submitted. Jobs without a customer, and unknown jobs, are accessible to all callers.
func TestJobIsAccessibleOnlyToItsCustomer(t *testing.T) {
	w := newSim(1)
	w.submitFor("a", "q", "j", newStep(1, time.Second))
	w.engine.RestoreJob(&work.Spec{ID: "over", Customer: "a"}, &work.Progress{State: work.JobSucceeded, Customer: "a"})
	w.engine.RestoreJob(&work.Spec{ID: "old", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}}, nil)
	w.engine.Cancel("withdrawn", "a")
	for _, id := range []work.JobID{"j", "over", "withdrawn"} {
		if !w.engine.MayAccess(id, work.Caller{Customer: "a"}) || w.engine.MayAccess(id, work.Caller{Customer: "b"}) {
			t.Errorf("%s accessible: got: a: %v, b: %v, want: only to its customer, a", id, w.engine.MayAccess(id, work.Caller{Customer: "a"}), w.engine.MayAccess(id, work.Caller{Customer: "b"}))
		}
	}
	for _, id := range []work.JobID{"old", "none"} {
		if !w.engine.MayAccess(id, work.Caller{Customer: "b"}) {
			t.Errorf("%s: got: not accessible to b, want: accessible to anyone", id)
		}
	}
}

// Customer limits must hold for random jobs while the limits change, under random faults of
// workers, the store and owners.
func TestCustomerLimitsHoldUnderRandomFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("no limit is broken and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return holdsInvariants(simulateCustomers(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// simulateCustomers simulates 40 s of random faults with jobs of three customers, and then lets all
// jobs end.
func simulateCustomers(seed uint64) *sim {
	w := newSimWithStartTimes(seed)
	w.latePollShare = 0.5
	lowLimit, highLimit := limitOf("a", 3), limitOf("a", 7)
	w.limit(highLimit, limitOf("b", 5), limitOf("c", 0))
	w.addWorkers(6, workerCapacity)
	w.run(time.Second)
	for i := range 40 {
		customer := []work.CustomerName{"a", "b", "c"}[w.rng.IntN(3)]
		s := newStep(1+w.rng.IntN(4), time.Duration(100+w.rng.IntN(2000))*time.Millisecond)
		s.IsGang = s.Count <= 3 && w.rng.IntN(4) == 0
		w.submitFor(customer, "q", fmt.Sprintf("j%02d", i), s, newStep(1+w.rng.IntN(3), 300*time.Millisecond))
		w.injectRandomFault(i)
		if w.rng.IntN(8) == 0 {
			w.limit([]order.Customer{lowLimit, highLimit}[w.rng.IntN(2)], limitOf("b", 5), limitOf("c", 0))
		}
		if w.rng.IntN(6) == 0 {
			w.engine.Cancel(work.JobID(fmt.Sprintf("j%02d", w.rng.IntN(i+1))), customer)
		}
		w.run(time.Second)
	}
	w.clearFaults()
	w.run(60 * time.Second)
	return w
}
