// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// longRunningStep returns a step of long-running tasks.
func longRunningStep(count int) work.Step {
	s := newStep(count, time.Hour)
	s.IsLongRunning = true
	return s
}

// A worker that was ejected because tasks failed on it must be probed again after it has recovered,
// even while it still runs a long-running task. Such a worker once got no new task until its
// long-running tasks had ended.
func TestEjectedWorkerIsProbedWhileALongRunningTaskRuns(t *testing.T) {
	for name, failing := range map[string]work.Step{"short tasks": newStep(1, time.Second), "long-running tasks": longRunningStep(1)} {
		w := newSim(1)
		w.addWorkers(1, workerCapacity.Times(2))
		w.submit("stays", longRunningStep(1))
		w.run(time.Second)
		w.workers["w00"].isDegraded = true
		w.submit("a", failing)
		w.submit("b", failing)
		w.run(time.Second)
		w.workers["w00"].isDegraded = false
		w.submit("late", longRunningStep(2))
		w.run(6 * time.Second)
		if got := w.runningTasks("late"); got != 2 {
			t.Errorf("after failures of %s: tasks that run 6 s after the worker is healthy again: got: %d, want: 2", name, got)
		}
	}
}

// Permission queries for a step must name workers with free capacity for it. They once named only
// the workers on which tasks of the step ran already, and none that could start another one.
func TestPermissionQueryNamesWorkersWithCapacityNotThoseRunningTheStep(t *testing.T) {
	o := newLoadSim(1, 100)
	o.runWithoutArrivals(time.Second)
	s := work.Step{Count: 15, Need: longStepNeed, Estimate: time.Hour, IsLongRunning: true, MaxPerWorker: 1, MaxUnavailable: -1}
	queried := map[order.WorkerID]bool{}
	o.onPermissionQuery = func(a order.QueryPermission) {
		for _, id := range a.Workers {
			queried[id] = true
		}
	}
	o.submitTo("lasting", "a", s)
	o.runWithoutArrivals(4 * time.Second)
	if got := o.runningTasks("a"); got != s.Count || len(queried) == o.workerCount {
		t.Fatalf("got: %d tasks that run, %d workers queried, want: %d, and fewer than %d", got, len(queried), s.Count, o.workerCount)
	}
	for id := range queried {
		if m := o.workerByID(id); len(m.running) == 0 {
			m.entry.IsDraining = true
		}
	}
	o.crashAndReplace(o.workerOf(work.TaskID{Job: "a", Index: 3}).entry.ID, "again")
	o.runWithoutArrivals(9 * time.Second)
	if got := o.runningTasks("a"); got != s.Count {
		t.Errorf("tasks that run 9 s after one was lost: got: %d, want: %d", got, s.Count)
	}
}

// The pause before an ejected worker is probed again must stay short if no other worker can run the
// task. A worker on which all tasks had failed for a while once got no task for up to 12 s after it
// had recovered.
func TestOnlyWorkerIsReadmittedSoonAfterRecovery(t *testing.T) {
	for name, followUp := range map[string]work.Step{"a long-running task": longRunningStep(1), "a short task": newStep(1, 10*time.Second)} {
		for degradedFor := 20 * time.Second; degradedFor < 32*time.Second; degradedFor += time.Second {
			w := newSim(1)
			w.addWorkers(1, workerCapacity.Times(2))
			w.run(time.Second)
			w.workers["w00"].isDegraded = true
			w.submit("a", longRunningStep(1))
			w.submit("b", longRunningStep(1))
			w.run(degradedFor)
			w.workers["w00"].isDegraded = false
			w.submit("late", followUp)
			w.run(7 * time.Second)
			if got := w.runningTasks("late"); got != 1 {
				t.Errorf("%s, 7 s after the recovery of the worker, which had been degraded for %v: got: %d tasks that run, want: 1", name, degradedFor, got)
			}
		}
	}
}

// If a step has more tasks than there is capacity for, the task that has waited longest starts
// first. Otherwise the last ones never ran, while others that had failed were started again.
func TestLongRunningTaskThatWaitedLongestStartsFirst(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.longRunningFailureShare, w.maxLongRunningFailureTime = 1, time.Second
	w.submit("a", longRunningStep(6))
	starts := map[int]int{}
	for range 30 {
		w.run(time.Second)
		for _, m := range w.allWorkers() {
			for id := range m.running {
				starts[id.Index]++
			}
		}
	}
	for i := range 6 {
		if starts[i] == 0 {
			t.Errorf("task %d: got: never running, want: as often as the others: %v", i, starts)
		}
	}
}

// A long-running task that was once on a crashed worker is a suspect, and starts only on a worker
// where no other task has just started. A busy worker has no such moment, and the task never
// started again: a worker must be reserved for it.
func TestSuspectedLongRunningTaskRestartsOnABusyWorker(t *testing.T) {
	for name, ranFor := range map[string]time.Duration{"long run since the crash": 15 * time.Second, "short run since the crash": 2 * time.Second} {
		w := newSim(1)
		w.crashWorkersOf(func(work.TaskID) bool { return false })
		w.addWorkers(1, workerCapacity.Times(2))
		w.run(time.Second)
		w.submit("a", longRunningStep(1))
		for w.runningTasks("a") == 0 {
			w.run(tick)
		}
		w.crashRandomWorkers(1)
		for w.runningTasks("a") == 0 && w.elapsed() < 20*time.Second {
			w.run(tick)
		}
		submitShortJobs := func(d time.Duration) {
			for range d / (100 * time.Millisecond) {
				w.submit(fmt.Sprintf("short%v", w.elapsed()), newStep(1, 200*time.Millisecond))
				w.run(100 * time.Millisecond)
			}
		}
		submitShortJobs(ranFor)
		w.workerOf(work.TaskID{Job: "a"}).fail(work.TaskID{Job: "a"})
		submitShortJobs(6 * time.Second)
		if got := w.runningTasks("a"); got != 1 {
			t.Errorf("%s: got: %d tasks that run 6 s after the failure, want: 1", name, got)
		}
	}
}

// Whatever faults workers and owners have, a long-running task must not stay without a running
// attempt while workers that may run it have free capacity.
func TestLongRunningTasksRestartWhileCapacityIsFree(t *testing.T) {
	t.Parallel()
	for fault, seeds := range map[longRunningFault][]uint64{degradedWorkers: {26, 86, 97}, crashes: {22, 97}, takeovers: {1}} {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", fault, seed), func(t *testing.T) {
				t.Parallel()
				for id, idleFor := range runLongRunning(seed, fault).overdue {
					t.Errorf("%s: got: not running for %v, want: less than %v", id, idleFor, maxNotRunning)
				}
			})
		}
	}
}

// A long-running task that has run well since its last crash must not fail for earlier ones.
// Callers saw a job as failed whose task had been on three crashed workers, had run well
// since, and was on one more worker that was lost together with the owner.
func TestRecoveredTaskIsNotFailedForEarlierCrashes(t *testing.T) {
	w := newSim(1)
	w.crashWorkersOf(func(work.TaskID) bool { return false })
	w.addWorkers(6, workerCapacity)
	w.run(time.Second)
	w.submit("a", longRunningStep(1))
	task := work.TaskID{Job: "a"}
	crashAfter := func(ranFor time.Duration) {
		for w.workerOf(task) == nil && w.elapsed() < time.Minute {
			w.run(tick)
		}
		w.run(ranFor)
		w.crashAndRestart(w.workerOf(task))
	}
	for range 3 {
		crashAfter(500 * time.Millisecond)
	}
	crashAfter(5 * time.Second)
	w.takeOver()
	w.run(20 * time.Second)
	expectState(t, w, "a", work.JobRunning)
	if got := w.runningTasks("a"); got != 1 {
		t.Errorf("tasks that run: got: %d, want: 1", got)
	}
}
