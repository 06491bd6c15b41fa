// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// wholeWorkerQueue and fractionQueue are queues of a pool of workers with 8 accelerators each: a
// task of the first takes all accelerators of a worker, a task of the second takes one of them.
var (
	wholeWorkerQueue = order.Queue{
		Name: "whole", Service: "pool", Priority: 1, MaxAttempts: 3, Stretch: 2.2, TargetLatency: time.Second,
		Permission: &order.PermissionPolicy{BaseTime: 490 * time.Millisecond, TimePerWorker: 7 * time.Millisecond, ValidFor: 2 * time.Second},
	}
	fractionQueue = order.Queue{
		Name: "part", Service: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, TargetLatency: 3 * time.Second,
		Permission: &order.PermissionPolicy{BaseTime: 140 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, ValidFor: 2 * time.Second},
	}
	// urgentQueue has priority over both.
	urgentQueue         = order.Queue{Name: "urgent", Service: "pool", MaxAttempts: 3}
	acceleratorCapacity = leverdyke.Resources{MilliCPU: 64_000, MemoryMiB: 128_000, Accelerators: 8}
)

func wholeWorkerStep(count int, d time.Duration) work.Step {
	need := leverdyke.Resources{MilliCPU: 31_000, MemoryMiB: 45_000, Accelerators: 8}
	return work.Step{Count: count, Need: need, Estimate: d, IsResumable: true, MaxUnavailable: -1}
}

func fractionStep(count int, d time.Duration) work.Step {
	need := leverdyke.Resources{MilliCPU: 5600, MemoryMiB: 11_000, Accelerators: 1}
	return work.Step{Count: count, Need: need, Estimate: d, IsResumable: true, MaxUnavailable: -1}
}

// newAcceleratorSim returns a simulation with accelerator workers and with channels to the
// permission service.
func newAcceleratorSim(workers int, disabled ...dispatch.Mechanism) *sim {
	w := newSim(1)
	w.queues, w.disabledMechanisms, w.channels = []order.Queue{wholeWorkerQueue, fractionQueue, urgentQueue}, disabled, []string{"a", "b", "c", "d", "e", "f"}
	w.takeOver()
	w.addWorkers(workers, acceleratorCapacity)
	w.run(time.Second)
	return w
}

// Permission must be queried before the capacity for a task becomes free. It was once queried only
// for workers with free capacity. Capacity that became free then stood idle while the query ran,
// 0.5 s for these tasks, or was given to other tasks.
func TestPermissionIsQueriedBeforeCapacityIsFree(t *testing.T) {
	w := newAcceleratorSim(1)
	w.submitTo("whole", "first", wholeWorkerStep(1, 3*time.Second))
	w.run(time.Second)
	w.submitTo("whole", "second", wholeWorkerStep(1, 3*time.Second))
	w.run(8 * time.Second)
	gap := w.endedAt["second"] - w.endedAt["first"]
	if gap == 0 || gap > 3300*time.Millisecond {
		t.Errorf("time from the end of one task of 3 s to the end of the next: got: %v, want: at most 3.3 s", gap)
	}
	expectNoViolations(t, w)
}

// runMixedAcceleratorLoad submits small tasks at a steady rate that takes seven tenths of eight
// workers, and large tasks, each of which needs a whole worker, that take another two tenths. It
// returns how long callers waited for the jobs of each kind, longest first.
func runMixedAcceleratorLoad(w *sim) (large, small []time.Duration) {
	submittedAt := map[work.JobID]time.Duration{}
	submit := func(queue string, id string, s work.Step) {
		w.submitTo(queue, id, s)
		submittedAt[work.JobID(id)] = w.elapsed()
	}
	for i := range 60 {
		for k := range 4 {
			d := 2100*time.Millisecond + time.Duration((i+k)%3)*800*time.Millisecond
			submit("part", fmt.Sprintf("p%d.%d", i, k), fractionStep(2, d))
		}
		if i%3 == 0 {
			submit("whole", fmt.Sprintf("w%d", i), wholeWorkerStep(1, 1900*time.Millisecond))
		}
		w.run(500 * time.Millisecond)
	}
	w.run(30 * time.Second)
	for id, at := range submittedAt {
		wait := w.endedAt[id] - at
		if w.specs[id].Queue == "whole" {
			large = append(large, wait)
		} else {
			small = append(small, wait)
		}
	}
	for _, waits := range [][]time.Duration{large, small} {
		slices.SortFunc(waits, func(a, b time.Duration) int { return int(b - a) })
	}
	return large, small
}

// A steady load of small tasks leaves no worker empty. A task that takes a whole worker must get
// one by a reservation: without it the task waited until some worker happened to have no small
// task.
func TestLargeTasksAreNotStarvedBySmallTasks(t *testing.T) {
	t.Parallel()
	w := newAcceleratorSim(8)
	large, small := runMixedAcceleratorLoad(w)
	withoutReservations, _ := runMixedAcceleratorLoad(newAcceleratorSim(8, dispatch.MechanismReservations))
	t.Logf("longest and median waits: large %v, %v, small %v, %v; large without reservations %v, %v",
		large[0], large[len(large)/2], small[0], small[len(small)/2], withoutReservations[0], withoutReservations[len(withoutReservations)/2])
	objective := time.Duration(wholeWorkerQueue.Stretch*float64(1900*time.Millisecond)) + wholeWorkerQueue.TargetLatency
	if large[0] > objective {
		t.Errorf("longest wait for a large job: got: %v, want: at most %v", large[0], objective)
	}
	if withoutReservations[0] < objective {
		t.Errorf("longest wait without reservations: got: %v, want: over %v, since this load must need reservations", withoutReservations[0], objective)
	}
	if small[0] > 4*2100*time.Millisecond+fractionQueue.TargetLatency {
		t.Errorf("longest wait for a small job: got: %v, want: within its objective", small[0])
	}
	expectNoViolations(t, w)
}

// A task with one attempt left must not keep an empty worker reserved that it may not start on.
// Permission for such a task was once only queried for workers without a failure since their last
// success. The only worker that the task was permitted on was empty and reserved for it, so that no
// other task ran there that could have shown the worker to be healthy: the task waited and the
// worker's capacity stood idle forever.
func TestLastAttemptReservesNoWorkerForever(t *testing.T) {
	w := newAcceleratorSim(1)
	w.failureShare = 1
	w.submitTo("whole", "w", wholeWorkerStep(1, 300*time.Millisecond))
	for w.engine.Counts().Failed < 2 && w.elapsed() < 20*time.Second {
		w.run(tick)
	}
	failedAt := w.elapsed()
	w.failureShare = 0
	w.submitTo("part", "p", fractionStep(2, 300*time.Millisecond))
	w.run(5 * time.Second)
	for _, id := range []work.JobID{"w", "p"} {
		if wait := w.endedAt[id] - failedAt; jobState(w, id) != work.JobSucceeded || wait > 3500*time.Millisecond {
			t.Errorf("job %s: got: %s after %v, want: succeeded within 3.5s of the second failure", id, jobState(w, id), wait)
		}
	}
	expectNoViolations(t, w)
}

// A reservation for other tasks must not delay tasks of a higher priority, not even until the next
// time that reservations are planned.
func TestReservationDoesNotDelayUrgentTasks(t *testing.T) {
	w := newAcceleratorSim(1)
	nonResumable := fractionStep(3, time.Minute)
	nonResumable.IsResumable = false
	w.submitTo("part", "p", nonResumable)
	w.run(time.Second)
	w.submitTo("whole", "w", wholeWorkerStep(1, time.Minute))
	w.run(2 * time.Second)
	for i := range 5 {
		before := w.engine.Counts().Starts
		w.submitTo("urgent", fmt.Sprintf("u%d", i), fractionStep(1, time.Hour))
		w.run(40 * time.Millisecond)
		if got := w.engine.Counts().Starts - before; got != 1 {
			t.Errorf("urgent task %d: got: %d starts in 40ms, want: 1", i, got)
		}
	}
	expectNoViolations(t, w)
}

// Reservations must be planned at intervals, not anew in each scheduling pass. With 40 large steps
// waiting, an owner of 98 workers once planned them in each pass. That took 1.2 ms in each of 500
// passes per second, and the owner no longer answered anything in time.
func TestReservationsAreNotPlannedInEachPass(t *testing.T) {
	w := newAcceleratorSim(4)
	for i := range 40 {
		w.submitTo("whole", fmt.Sprintf("w%d", i), wholeWorkerStep(2, time.Minute))
	}
	w.run(3 * time.Second)
	before := w.engine.Counts().ReservationPlans
	for range 500 {
		w.clock.Advance(2 * time.Millisecond)
		w.engine.Advance(w.clock.Now())
		w.engine.SetQueues(w.queues)
		w.engine.Schedule()
	}
	if got := w.engine.Counts().ReservationPlans - before; got == 0 || got > 20*12 {
		t.Errorf("reservation plans in 500 scheduling passes within 1 s: got: %d, want: some, at most 240", got)
	}
}

// TestInvariantsHoldOnAcceleratorWorkers runs preemption, gangs and reservations under the random
// faults of TestInvariantsHoldUnderRandomFaults.
func TestInvariantsHoldOnAcceleratorWorkers(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 15
	properties := gopter.NewProperties(parameters)
	properties.Property("no invariant is violated and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) {
			return holdsInvariants(runRandomAcceleratorFaults(newSim(seed)), seed)
		}, gen.UInt64()))
	properties.Property("also when workers restart under their names", prop.ForAll(
		func(seed uint64) (bool, error) {
			return holdsInvariants(runRandomAcceleratorFaults(newSimWithStartTimes(seed)), seed)
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// runRandomAcceleratorFaults runs 30 s of random faults and then lets all jobs end. Where workers
// report their start times, some of them restart.
func runRandomAcceleratorFaults(w *sim) *sim {
	w.queues, w.channels = []order.Queue{wholeWorkerQueue, fractionQueue}, []string{"a", "b", "c", "d"}
	w.takeOver()
	w.addWorkers(5, acceleratorCapacity)
	w.run(time.Second)
	for i := range 30 {
		d := time.Duration(200+w.rng.IntN(2500)) * time.Millisecond
		w.submitTo("part", fmt.Sprintf("p%02d", i), fractionStep(1+w.rng.IntN(8), d), fractionStep(1, d))
		large := wholeWorkerStep(1+w.rng.IntN(2), d)
		large.IsGang = w.rng.IntN(2) == 0
		if i%2 == 0 {
			w.submitTo("whole", fmt.Sprintf("w%02d", i), large)
		}
		w.injectRandomFault(i)
		if !w.workersStartedAt.IsZero() {
			w.restartRandomWorker()
		}
		w.run(time.Second)
	}
	w.clearFaults()
	w.run(60 * time.Second)
	return w
}
