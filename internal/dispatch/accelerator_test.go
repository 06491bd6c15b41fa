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

// whole and part are queues of a pool of workers with accelerators: the one has tasks
// that take a whole worker, the other tasks that take an eighth of it.
var (
	wholeWorkerQueue = order.Queue{
		Name: "whole", Service: "pool", Priority: 1, MaxAttempts: 3, Stretch: 2.2, TargetLatency: time.Second,
		Permission: &order.PermissionPolicy{BaseTime: 490 * time.Millisecond, TimePerWorker: 7 * time.Millisecond, ValidFor: 2 * time.Second},
	}
	fractionQueue = order.Queue{
		Name: "part", Service: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, TargetLatency: 3 * time.Second,
		Permission: &order.PermissionPolicy{BaseTime: 140 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, ValidFor: 2 * time.Second},
	}
	// urgent is a queue that goes before both.
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

// newLab returns a world with such workers and ways to ask which are permitted.
func newAcceleratorSim(workers int, without ...dispatch.Mechanism) *sim {
	w := newSim(1)
	w.queues, w.disabledMechanisms, w.channels = []order.Queue{wholeWorkerQueue, fractionQueue, urgentQueue}, without, []string{"a", "b", "c", "d", "e", "f"}
	w.takeOver()
	w.addWorkers(workers, acceleratorCapacity)
	w.run(time.Second)
	return w
}

// Who is permitted was only asked about workers with room: what became free stood
// idle for as long as a call takes, 0.5 s for these tasks, or went to others.
func TestFreeCapacityIdleUntilPermissionQueried(t *testing.T) {
	w := newAcceleratorSim(1)
	w.submitTo("whole", "first", wholeWorkerStep(1, 3*time.Second))
	w.run(time.Second)
	w.submitTo("whole", "second", wholeWorkerStep(1, 3*time.Second))
	w.run(8 * time.Second)
	gap := w.endedAt["second"] - w.endedAt["first"]
	if gap == 0 || gap > 3300*time.Millisecond {
		t.Errorf("from the end of one task of 3 s to that of the next: got: %v, want: at most 3.3 s", gap)
	}
	expectNoViolations(t, w)
}

// playMixedLab lets small tasks come all the time to eight workers, as many as fill
// seven tenths of them, and large ones that need a worker each and fill the next two. It returns, from the longest
// to the shortest, how long callers waited for the jobs of a queue.
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

// Small tasks that come all the time leave no worker empty: a task that takes a whole
// one waited until there was none of them by chance.
func TestLargeTasksStarvedBySmallTasks(t *testing.T) {
	t.Parallel()
	w := newAcceleratorSim(8)
	large, small := runMixedAcceleratorLoad(w)
	withoutReservations, _ := runMixedAcceleratorLoad(newAcceleratorSim(8, dispatch.MechanismReservations))
	t.Logf("longest and middle waits: large %v, %v, small %v, %v; large without reservations %v, %v",
		large[0], large[len(large)/2], small[0], small[len(small)/2], withoutReservations[0], withoutReservations[len(withoutReservations)/2])
	objective := time.Duration(wholeWorkerQueue.Stretch*float64(1900*time.Millisecond)) + wholeWorkerQueue.TargetLatency
	if large[0] > objective {
		t.Errorf("longest wait for a large job: got: %v, want: at most %v", large[0], objective)
	}
	if withoutReservations[0] < objective {
		t.Errorf("longest wait without reservations: got: %v, want: over %v, or the load shows nothing", withoutReservations[0], objective)
	}
	if small[0] > 4*2100*time.Millisecond+fractionQueue.TargetLatency {
		t.Errorf("longest wait for a small job: got: %v, want: within its objective", small[0])
	}
	expectNoViolations(t, w)
}

// A task with one attempt left was only asked for at workers that had failed nothing since
// their last success. The one that it may run on was empty and kept for it, so that
// nothing else ran there and proved it sound: both waited for ever.
func TestLastAttemptReservesWorkerForever(t *testing.T) {
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

// Room that is kept for others must not hold up what is more urgent, not even until it
// is kept anew.
func TestReservationDelaysUrgentTasks(t *testing.T) {
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

// With 40 large steps that wait, an owner of 98 workers worked out where room is kept for
// them in each look, 1.2 ms of 500 looks a second, and answered nothing in time any more.
func TestReservationsPlannedInEachPass(t *testing.T) {
	w := newAcceleratorSim(4)
	for i := range 40 {
		w.submitTo("whole", fmt.Sprintf("w%d", i), wholeWorkerStep(2, time.Minute))
	}
	w.run(3 * time.Second)
	before := w.engine.Counts().Plans
	for range 500 {
		w.clock.Advance(2 * time.Millisecond)
		w.engine.Advance(w.clock.Now())
		w.engine.SetQueues(w.queues)
		w.engine.Decide()
	}
	if got := w.engine.Counts().Plans - before; got == 0 || got > 20*12 {
		t.Errorf("plans in 500 looks of a second: got: %d, want: some, at most 240", got)
	}
}

// TestPromisesHoldInAnyLab plays tasks that make way for others, gangs and room that is
// kept, with the troubles of TestPromisesHoldInAnyWorld.
func TestInvariantsHoldOnAcceleratorWorkers(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 15
	properties := gopter.NewProperties(parameters)
	properties.Property("no promise is broken and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) {
			return holdsInvariants(runRandomAcceleratorFaults(newSim(seed)), seed)
		}, gen.UInt64()))
	properties.Property("nor where workers start again under their names", prop.ForAll(
		func(seed uint64) (bool, error) {
			return holdsInvariants(runRandomAcceleratorFaults(newSimWithStartTimes(seed)), seed)
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// playRandomLab plays 30 s of troubles and then lets all end. Where workers tell when they
// started, some start again.
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
