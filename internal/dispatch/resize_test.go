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

// shrinkGrace is how long after a worker's entry shows less capacity a start that relies on the
// earlier capacity is not a violation, as the owner may not have the new entry yet. Workers
// themselves tolerate this for seconds.
const shrinkGrace = time.Second

// resize changes the capacity of a worker.
func (w *sim) resize(m *modelWorker, capacity leverdyke.Resources) {
	m.capacityChanges = append(m.capacityChanges, capacityChange{w.clock.Now(), m.entry.Capacity})
	m.entry.Capacity = capacity
}

// capacityChange records when the capacity of a worker changed, and what it was before.
type capacityChange struct {
	at       time.Time
	previous leverdyke.Resources
}

// maxAllowedCapacity returns the largest capacity that a start may rely on now.
func (m *modelWorker) maxAllowedCapacity(now time.Time) leverdyke.Resources {
	most := m.entry.Capacity
	for _, change := range m.capacityChanges {
		if now.Sub(change.at) < shrinkGrace {
			most = most.Max(change.previous)
		}
	}
	return most
}

// A start must not be ordered on a worker whose capacity has shrunk since the placement was
// computed. Placements were computed while the store was unavailable, and the starts were ordered
// seconds later, when it had stored them: by then the worker had reported only half of its
// capacity.
func TestNoStartIsOrderedOnAWorkerWhoseCapacityShrank(t *testing.T) {
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

// A worker that is overcommitted in one dimension gets no task at all, not even one that needs
// nothing of that dimension.
func TestOvercommittedWorkerGetsNoTask(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(4, 5*time.Second))
	w.run(500 * time.Millisecond)
	w.resize(w.workers["w00"], leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 8000})
	w.run(2 * time.Second)
	bestEffort := newStep(1, 100*time.Millisecond)
	bestEffort.IsBestEffort = true
	w.submit("b", bestEffort)
	w.run(2 * time.Second)
	expectState(t, w, "b", work.JobQueued)
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectNoViolations(t, w)
}

// The invariants hold while capacities change under the random faults of random_test.go.
func TestInvariantsHoldWhenWorkerCapacitiesChange(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("no promise is broken and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return holdsInvariants(simulateResizing(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// simulateResizing simulates 30 s of random faults and capacity changes, and then lets all jobs
// end.
func simulateResizing(seed uint64) *sim {
	w := newSim(seed)
	w.addWorkers(6, workerCapacity)
	w.run(time.Second)
	for i := range 60 {
		w.submit(fmt.Sprintf("j%02d", i), newStep(1+w.rng.IntN(6), time.Duration(100+w.rng.IntN(2500))*time.Millisecond))
		w.resizeRandomWorker()
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

// resizeRandomWorker changes the capacity of a random running worker, at times to zero.
func (w *sim) resizeRandomWorker() {
	ids := w.liveWorkers()
	m := w.workers[ids[w.rng.IntN(len(ids))]]
	w.resize(m, leverdyke.Resources{MilliCPU: int64(1000 * w.rng.IntN(5)), MemoryMiB: int64(2000 * w.rng.IntN(5))})
}
