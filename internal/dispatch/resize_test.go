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
func (w *world) resize(m *modelWorker, capacity leverdyke.Resources) {
	m.resized = append(m.resized, capacityChange{w.clock.Now(), m.entry.Capacity})
	m.entry.Capacity = capacity
}

// resizing is when a worker's room changed, and what it was before.
type capacityChange struct {
	at       time.Time
	previous leverdyke.Resources
}

// allowed returns the most room that a start may go by now.
func (m *modelWorker) maxAllowedCapacity(now time.Time) leverdyke.Resources {
	most := m.entry.Capacity
	for _, change := range m.resized {
		if now.Sub(change.at) < shrinkGrace {
			most = most.Max(change.previous)
		}
	}
	return most
}

// Places were worked out while the store was out and orders left seconds later, when it had
// kept them: by then the worker had said that it has half of the room.
func TestNoStartIsOrderedOnAWorkerWhoseCapacityShrank(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, room)
	w.run(time.Second)
	w.submit("a", step(2, 20*time.Second))
	w.run(500 * time.Millisecond)
	w.submit("b", step(2, 300*time.Millisecond))
	w.keep()
	w.isOut = true
	w.run(100 * time.Millisecond)
	w.resize(w.workers["w00"], leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 4000})
	w.run(3 * time.Second)
	w.isOut = false
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobQueued)
	w.resize(w.workers["w00"], room)
	w.run(2 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectWhole(t, w)
}

// A worker of which one dimension is overfull gets nothing at all, also no task that needs
// none of that.
func TestOvercommittedWorkerGetsNoTask(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, room)
	w.run(time.Second)
	w.submit("a", step(4, 5*time.Second))
	w.run(500 * time.Millisecond)
	w.resize(w.workers["w00"], leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 8000})
	w.run(2 * time.Second)
	bestEffort := step(1, 100*time.Millisecond)
	bestEffort.IsBestEffort = true
	w.submit("b", bestEffort)
	w.run(2 * time.Second)
	expectState(t, w, "b", work.JobQueued)
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectWhole(t, w)
}

// TestPromisesHoldWhereRoomShrinksAndGrows plays rooms that change, with the troubles of
// TestPromisesHoldInAnyWorld.
func TestInvariantsHoldWhenWorkerCapacitiesChange(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("no promise is broken and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return keepsPromises(simulateResizing(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// playResizingDay plays 30 s of troubles and of rooms that change, and then lets all end.
func simulateResizing(seed uint64) *world {
	w := newWorld(seed)
	w.addWorkers(6, room)
	w.run(time.Second)
	for i := range 60 {
		w.submit(fmt.Sprintf("j%02d", i), step(1+w.rng.IntN(6), time.Duration(100+w.rng.IntN(2500))*time.Millisecond))
		w.resizeRandomWorker()
		if i%2 == 0 {
			w.trouble(i)
		}
		w.run(500 * time.Millisecond)
	}
	w.lostShare, w.failShare, w.isOut, w.refusedShare = 0, 0, false, 0
	for _, m := range w.each() {
		m.isCut = false
		w.resize(m, room)
	}
	w.run(60 * time.Second)
	return w
}

// resizeOne changes the room of some worker that lives, down to nothing at times.
func (w *world) resizeRandomWorker() {
	ids := w.living()
	m := w.workers[ids[w.rng.IntN(len(ids))]]
	w.resize(m, leverdyke.Resources{MilliCPU: int64(1000 * w.rng.IntN(5)), MemoryMiB: int64(2000 * w.rng.IntN(5))})
}
