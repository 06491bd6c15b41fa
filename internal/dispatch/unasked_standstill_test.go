// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// newSlowPermissionSim returns a simulation whose queues, of rising priority numbers, need permits that take
// 0.4 s and are granted for a third of many workers.
func newSlowPermissionSim(queues ...string) *sim {
	o := newSim(1)
	o.queues = nil
	for i, name := range queues {
		o.queues = append(o.queues, order.Queue{
			Name: name, Service: "pool", Priority: i, MaxAttempts: 4, Permission: permissionFrom(400*time.Millisecond, 5700*time.Microsecond, 2*time.Second),
		})
	}
	o.channels = []string{"n0", "n1", "n2", "n3", "n4"}
	o.isStepPermitted = func(_ *order.Queue, s work.StepID, id order.WorkerID) bool { return uniformOf("%s %s", s, id) < 0.35 }
	o.maxStoreDelay, o.inheritedLease = storeDelay, 0
	o.takeOver()
	o.addWorkers(scarceWorkers, leverdyke.Resources{MilliCPU: 32_000, MemoryMiB: 65_536})
	o.run(3 * time.Second)
	return o
}

// runUntil advances the simulation until isDone, for limit at most, and returns how long that took.
func (w *sim) runUntil(limit time.Duration, isDone func() bool) time.Duration {
	startedAt := w.elapsed()
	for !isDone() && w.elapsed()-startedAt < limit {
		w.run(tick)
	}
	return w.elapsed() - startedAt
}

// Guards against a job that stands still after a failure, as the permit of the worker that failed it counts as sufficient.
func TestFailedTaskDoesNotWaitForTheWorkerThatFailedIt(t *testing.T) {
	o := newSlowPermissionSim("batch")
	for i := range 12 {
		id := work.TaskID{Job: work.JobID(fmt.Sprintf("job%02d", i))}
		isRunning := func() bool { return o.workerOf(id) != nil }
		o.failureShare = 1
		o.submitTo("batch", string(id.Job), work.Step{Count: 1, Need: leverdyke.Resources{MilliCPU: 5000, MemoryMiB: 7000}, Estimate: time.Second})
		o.runUntil(10*time.Second, isRunning)
		failedOn := o.workerOf(id)
		o.failureShare = 0
		o.runUntil(10*time.Second, func() bool { return !isRunning() })
		o.runUntil(10*time.Second, isRunning)
		if got := o.workerOf(id); got == nil || got == failedOn {
			t.Errorf("%s, second run: got: on the worker that failed the first, or none, want: another of the permitted ones", id)
		}
	}
}

// Guards against batch jobs that are never asked about, as long-running steps that cannot be placed use up each pass's permission queries.
func TestStepsThatCannotBePlacedDoNotKeepOthersFromBeingAskedAbout(t *testing.T) {
	o := newSlowPermissionSim("lasting", "batch")
	for i := range 12 {
		// A third of the workers is permitted, one task on each, so that many tasks wait.
		o.submitTo("lasting", fmt.Sprintf("lasting%02d", i), work.Step{
			Count: 40, Need: leverdyke.Resources{MilliCPU: 100, MemoryMiB: 100}, MaxPerWorker: 1, IsLongRunning: true, MaxUnavailable: -1, Estimate: time.Hour,
		})
	}
	o.run(30 * time.Second)
	id := work.TaskID{Job: "batch"}
	o.submitTo("batch", "batch", work.Step{Count: 1, Need: leverdyke.Resources{MilliCPU: 5000, MemoryMiB: 7000}, Estimate: time.Minute})
	if took := o.runUntil(20*time.Second, func() bool { return o.workerOf(id) != nil }); took > maxStandstill {
		t.Errorf("start of a batch job beside free workers: got: after %v, want: after %v at most", took, maxStandstill)
	}
}
