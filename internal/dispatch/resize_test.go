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

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/work"
)

// shrinkGrace is how long after its entry tells that a worker has less room it is not held
// against an owner that a start still goes by the earlier one. Workers allow seconds.
const shrinkGrace = time.Second

// resize changes the room of a worker.
func (w *sim) resize(m *modelWorker, r leverdyke.Resources) {
	m.capacityChanges = append(m.capacityChanges, resizing{w.clock.Now(), m.entry.Capacity})
	m.entry.Capacity = r
}

// resizing is when a worker's room changed, and what it was before.
type resizing struct {
	at   time.Time
	from leverdyke.Resources
}

// allowed returns the most room that a start may go by now.
func (m *modelWorker) allowed(now time.Time) leverdyke.Resources {
	r := m.entry.Capacity
	for _, old := range m.capacityChanges {
		if now.Sub(old.at) < shrinkGrace {
			r = r.Max(old.from)
		}
	}
	return r
}

// Places were worked out while the store was out and orders left seconds later, when it had
// kept them: by then the worker had said that it has half of the room.
func TestAStartIsNotOrderedIntoRoomThatHasShrunk(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(2, 20*time.Second))
	w.run(500 * time.Millisecond)
	w.submit("b", newStep(2, 300*time.Millisecond))
	w.commitBatch()
	w.isStoreDown = true
	w.run(100 * time.Millisecond)
	w.resize(w.workers["w00"], leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 4000})
	w.run(3 * time.Second)
	w.isStoreDown = false
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobQueued)
	w.resize(w.workers["w00"], workerCapacity)
	w.run(2 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A worker of which one dimension is overfull gets nothing at all, also no task that needs
// none of that.
func TestAnOverfullWorkerGetsNothing(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(4, 5*time.Second))
	w.run(500 * time.Millisecond)
	w.resize(w.workers["w00"], leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 8000})
	w.run(2 * time.Second)
	filler := newStep(1, 100*time.Millisecond)
	filler.IsBestEffort = true
	w.submit("b", filler)
	w.run(2 * time.Second)
	expectState(t, w, "b", work.JobQueued)
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectNoViolations(t, w)
}

// TestPromisesHoldWhereRoomShrinksAndGrows plays rooms that change, with the troubles of
// TestPromisesHoldInAnyWorld.
func TestPromisesHoldWhereRoomShrinksAndGrows(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("no promise is broken and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return holdsInvariants(playResizingDay(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// playResizingDay plays 30 s of troubles and of rooms that change, and then lets all end.
func playResizingDay(seed uint64) *sim {
	w := newSim(seed)
	w.addWorkers(6, workerCapacity)
	w.run(time.Second)
	for i := range 60 {
		w.submit(fmt.Sprintf("j%02d", i), newStep(1+w.rng.IntN(6), time.Duration(100+w.rng.IntN(2500))*time.Millisecond))
		w.resizeOne()
		if i%2 == 0 {
			w.injectRandomFault(i)
		}
		w.run(500 * time.Millisecond)
	}
	w.lostAnswerShare, w.failureShare, w.isStoreDown, w.refusedShare = 0, 0, false, 0
	for _, m := range w.allWorkers() {
		m.isPartitioned = false
		w.resize(m, workerCapacity)
	}
	w.run(60 * time.Second)
	return w
}

// resizeOne changes the room of some worker that lives, down to nothing at times.
func (w *sim) resizeOne() {
	ids := w.liveWorkers()
	m := w.workers[ids[w.rng.IntN(len(ids))]]
	w.resize(m, leverdyke.Resources{MilliCPU: int64(1000 * w.rng.IntN(5)), MemoryMiB: int64(2000 * w.rng.IntN(5))})
}
