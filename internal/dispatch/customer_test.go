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

// tasksOf is how many tasks of step a customer has running.
func runningTasksOf(w *world, name work.CustomerName) int { return int(w.usedBy(name).MilliCPU / 1000) }

// newLimitedWorld returns a world of five workers in which limits are in force.
func newLimitedWorld(customers ...order.Customer) *world {
	w := newWorld(1)
	w.limit(customers...)
	w.addWorkers(5, room)
	w.run(time.Second)
	return w
}

func TestRunningTasksStayWithinCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 3), limitOf("b", 0))
	w.submitFor("a", "q", "j1", step(8, time.Second))
	w.submitFor("b", "q", "j2", step(8, time.Second))
	w.run(500 * time.Millisecond)
	if a, b := runningTasksOf(w, "a"), runningTasksOf(w, "b"); a != 3 || b != 8 {
		t.Errorf("running: got: %d and %d, want: 3 under the limit and 8 without one", a, b)
	}
	w.run(4 * time.Second)
	expectState(t, w, "j1", work.JobSucceeded)
	expectWhole(t, w)
}

// What is being stopped may run until its end is known.
func TestStoppingTasksCountAgainstCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", step(4, time.Minute))
	w.run(500 * time.Millisecond)
	w.submitFor("a", "q", "j2", step(4, 200*time.Millisecond))
	w.engine.Cancel("j1", "a")
	w.run(modelStopTime - 3*tick)
	if got := state(w, "j2"); got != work.JobQueued {
		t.Errorf("while the tasks of the other job are being stopped: got: %v, want: %v", got, work.JobQueued)
	}
	w.run(time.Second)
	expectState(t, w, "j2", work.JobSucceeded)
	expectWhole(t, w)
}

// A new owner knows from the store where tasks of a customer may run, before it has heard from
// the workers: those on a worker that is cut off count until its lease is over.
func TestTasksOfPreviousOwnerCountAgainstCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", step(4, time.Minute))
	w.run(500 * time.Millisecond)
	cutOff := w.workerOf(work.TaskID{Job: "j1"})
	elsewhere := 4 - len(cutOff.running)
	cutOff.isCut = true
	w.takeOver()
	w.submitFor("a", "q", "j2", step(4, time.Second))
	w.run(3 * time.Second)
	if got := state(w, "j2"); got != work.JobQueued {
		t.Errorf("with %d tasks of the customer on a worker that is cut off and %d elsewhere: got: %v, want: %v", len(cutOff.running), elsewhere, got, work.JobQueued)
	}
	w.run(20 * time.Second)
	if got := runningTasksOf(w, "a"); got != 4 {
		t.Errorf("once the lease is over: got: %d running, want: 4", got)
	}
	expectWhole(t, w)
}

// An owner that ran ahead of the store may have started any task of its jobs anywhere.
func TestTasksWithUnknownPlacementCountAgainstCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", step(4, time.Minute))
	w.run(tick)
	w.isOut, w.runsAhead = true, true
	w.run(time.Second)
	w.workerOf(work.TaskID{Job: "j1"}).isCut = true
	w.isInexact, w.isOut = true, false
	w.takeOver()
	w.submitFor("a", "q", "j2", step(4, time.Second))
	w.run(3 * time.Second)
	if got := state(w, "j2"); got != work.JobQueued {
		t.Errorf("while a worker has not told what it runs: got: %v, want: %v", got, work.JobQueued)
	}
	w.run(20 * time.Second)
	expectWhole(t, w)
}

// The tasks of a job that is over, of which the store has no more than its end, have a size
// that a new owner does not know.
func TestTasksOfUnknownSizeBlockTheirCustomerUntilStopped(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 4))
	w.submitFor("a", "q", "j1", step(4, time.Minute))
	w.run(500 * time.Millisecond)
	w.progress["j1"] = &work.Progress{State: work.JobCancelled, Customer: "a"}
	w.takeOver()
	w.submitFor("a", "q", "j2", step(4, 200*time.Millisecond))
	w.run(2 * time.Second)
	expectState(t, w, "j2", work.JobSucceeded)
	expectWhole(t, w)
}

// A copy beside an attempt that may run takes as much again.
func TestSpeculativeCopyCountsAgainstCustomerLimit(t *testing.T) {
	for limit, want := range map[int64]int{1: 1, 2: 2} {
		w := newLimitedWorld(limitOf("a", limit))
		s := step(1, time.Minute)
		s.AllowsSpeculation = true
		w.submitFor("a", "q", "j", s)
		w.run(500 * time.Millisecond)
		w.workerOf(work.TaskID{Job: "j"}).isCut = true
		w.run(5 * time.Second)
		if w.starts != want {
			t.Errorf("limit of %d, beside an attempt on a worker that is cut off: got: %d starts, want: %d", limit, w.starts, want)
		}
	}
}

func TestLoweredLimitStopsNoTaskButDelaysNewStarts(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	w.submitFor("a", "q", "j1", step(6, 2*time.Second))
	w.submitFor("a", "q", "j2", step(6, time.Second))
	w.run(500 * time.Millisecond)
	w.limit(limitOf("a", 2))
	w.run(time.Second)
	if got := runningTasksOf(w, "a"); got != 6 {
		t.Errorf("after the limit has fallen: got: %d running, want: 6 as before", got)
	}
	w.run(time.Second)
	if got := runningTasksOf(w, "a"); got != 2 {
		t.Errorf("later: got: %d running, want: 2", got)
	}
	w.limit(limitOf("a", 6))
	w.run(100 * time.Millisecond)
	if got := runningTasksOf(w, "a"); got != 6 {
		t.Errorf("after it has risen again: got: %d running, want: 6", got)
	}
	expectWhole(t, w)
}

// A place that is planned while the store is slow does not become a start once the limit has
// fallen.
func TestPlannedStartIsDroppedWhenLimitIsLowered(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	w.submitFor("a", "q", "j", step(6, time.Second))
	w.run(tick)
	w.isOut = true
	w.run(300 * time.Millisecond)
	w.limit(limitOf("a", 2))
	w.run(300 * time.Millisecond)
	w.isOut = false
	w.run(300 * time.Millisecond)
	if got := runningTasksOf(w, "a"); got != 2 {
		t.Errorf("got: %d running, want: 2", got)
	}
	expectWhole(t, w)
}

// A gang that waits for the limit of its customer gets what becomes free, though small jobs of
// the customer come all the time.
func TestGangIsNotStarvedWithinCustomerLimit(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	gang := step(5, time.Second)
	gang.IsGang = true
	for i := range 30 {
		w.submitFor("a", "q", fmt.Sprintf("small%02d", i), step(2, 900*time.Millisecond))
		if i == 4 {
			w.submitFor("a", "q", "gang", gang)
		}
		w.run(300 * time.Millisecond)
	}
	expectState(t, w, "gang", work.JobSucceeded)
	expectWhole(t, w)
}

// One that cannot fit beside tasks that last does not keep the others of its customer from
// running.
func TestGangThatCannotFitLimitDoesNotBlockOtherJobs(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 6))
	longRunning := step(3, time.Hour)
	longRunning.IsLongRunning = true
	w.submitFor("a", "q", "lasting", longRunning)
	w.run(500 * time.Millisecond)
	gang := step(5, time.Second)
	gang.IsGang = true
	w.submitFor("a", "q", "gang", gang)
	w.submitFor("a", "q", "small", step(3, time.Second))
	w.run(3 * time.Second)
	expectState(t, w, "gang", work.JobQueued)
	expectState(t, w, "small", work.JobSucceeded)
	expectWhole(t, w)
}

func TestCheckJobRejectsJobThatCanNeverFitLimit(t *testing.T) {
	w := newWorld(1)
	w.limit(limitOf("a", 3))
	gang := step(4, time.Second)
	gang.IsGang = true
	large := step(1, time.Second)
	large.Need.MilliCPU = 3001
	for name, tc := range map[string]struct {
		customer work.CustomerName
		step     work.Step
		canRun   bool
	}{
		"fits":             {"a", step(9, time.Second), true},
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

func TestJobIsAccessibleOnlyToItsCustomer(t *testing.T) {
	w := newWorld(1)
	w.submitFor("a", "q", "j", step(1, time.Second))
	w.engine.RestoreJob(&work.Spec{ID: "over", Customer: "a"}, &work.Progress{State: work.JobSucceeded, Customer: "a"})
	w.engine.RestoreJob(&work.Spec{ID: "old", Queue: "q", Steps: []work.Step{step(1, time.Second)}}, nil)
	w.engine.Cancel("withdrawn", "a")
	for _, id := range []work.JobID{"j", "over", "withdrawn"} {
		if !w.engine.MayAccess(id, work.Caller{Customer: "a"}) || w.engine.MayAccess(id, work.Caller{Customer: "b"}) {
			t.Errorf("%s: got: a: %v, b: %v, want: only its customer", id, w.engine.MayAccess(id, work.Caller{Customer: "a"}), w.engine.MayAccess(id, work.Caller{Customer: "b"}))
		}
	}
	for _, id := range []work.JobID{"old", "none"} {
		if !w.engine.MayAccess(id, work.Caller{Customer: "b"}) {
			t.Errorf("%s: got: not for b, want: for anyone", id)
		}
	}
}

// TestLimitsHoldInAnyWorld plays random jobs of customers with limits that change, beside
// everything that may happen to workers, the store and owners.
func TestCustomerLimitsHoldUnderRandomFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("no limit is broken and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return keepsPromises(simulateCustomers(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// playCustomersDay plays 40 s of troubles with three customers, and then lets all end.
func simulateCustomers(seed uint64) *world {
	w := newTellingWorld(seed)
	w.lateHoldShare = 0.5
	lowLimit, highLimit := limitOf("a", 3), limitOf("a", 7)
	w.limit(highLimit, limitOf("b", 5), limitOf("c", 0))
	w.addWorkers(6, room)
	w.run(time.Second)
	for i := range 40 {
		customer := []work.CustomerName{"a", "b", "c"}[w.rng.IntN(3)]
		s := step(1+w.rng.IntN(4), time.Duration(100+w.rng.IntN(2000))*time.Millisecond)
		s.IsGang = s.Count <= 3 && w.rng.IntN(4) == 0
		w.submitFor(customer, "q", fmt.Sprintf("j%02d", i), s, step(1+w.rng.IntN(3), 300*time.Millisecond))
		w.trouble(i)
		if w.rng.IntN(8) == 0 {
			w.limit([]order.Customer{lowLimit, highLimit}[w.rng.IntN(2)], limitOf("b", 5), limitOf("c", 0))
		}
		if w.rng.IntN(6) == 0 {
			w.engine.Cancel(work.JobID(fmt.Sprintf("j%02d", w.rng.IntN(i+1))), customer)
		}
		w.run(time.Second)
	}
	w.heal()
	w.run(60 * time.Second)
	return w
}
