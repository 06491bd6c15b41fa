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
)

// simulatedHeartbeat is the time between two heartbeats of a simulated worker.
const simulatedHeartbeat = 1500 * time.Millisecond

// removeEntry removes the entry of a worker whose last heartbeat was written that long ago. The
// engine's list shows the removal up to a second later.
func (w *sim) removeEntry(m *modelWorker, heartbeatAge time.Duration) {
	m.isUnlisted = true
	entry := m.entry
	entry.IsRemoved, entry.HeartbeatAfter = true, w.clock.Now().Add(-heartbeatAge)
	w.schedule(time.Duration(w.rng.IntN(1000))*time.Millisecond, func() { w.removedEntries = append(w.removedEntries, entry) })
}

// drainRandomWorker lets a worker drain. Then it shuts down, or it runs on and its entry is removed:
// after three heartbeats that the store did not get, also where no node reaches the worker, or for
// a while although there were heartbeats.
func (w *sim) drainRandomWorker(i int) {
	names := w.liveWorkers()
	if len(names) < 3 {
		return
	}
	m := w.workers[names[w.rng.IntN(len(names))]]
	if m.entry.IsDraining {
		return
	}
	m.entry.IsDraining = true
	after := time.Duration(500+w.rng.IntN(3000)) * time.Millisecond
	switch w.rng.IntN(3) {
	case 0:
		w.schedule(after, func() { w.shutDown(m, i) })
	case 1:
		m.isPartitioned = w.rng.IntN(2) == 0
		w.schedule(3*simulatedHeartbeat, func() {
			w.removeEntry(m, 3*simulatedHeartbeat+time.Duration(w.rng.IntN(2000))*time.Millisecond)
		})
		w.schedule(8*time.Second+after, func() { m.isUnlisted, m.isPartitioned, m.entry.IsDraining = false, false, false })
	case 2:
		w.schedule(after, func() { w.removeEntry(m, time.Duration(w.rng.IntN(2000))*time.Millisecond) })
		w.schedule(after+3*time.Second, func() { m.isUnlisted, m.entry.IsDraining = false, false })
	}
}

// shutDown ends a draining worker and all that it runs, and starts one of another name.
func (w *sim) shutDown(m *modelWorker, i int) {
	m.isDead, m.running, m.doneEnds = true, nil, nil
	w.removeEntry(m, time.Duration(w.rng.IntN(1500))*time.Millisecond)
	next := newModelWorker(fmt.Sprintf("y%02d", i), m.entry.Capacity, 0, m.drift)
	next.clockOffset = -w.elapsed()
	w.workers[next.name] = next
}

// simulateLeaving runs random faults beside workers that drain.
func simulateLeaving(seed uint64) *sim {
	w := newSim(seed)
	w.heartbeatInterval = simulatedHeartbeat
	w.takeOver()
	w.addWorkers(8, workerCapacity)
	w.run(time.Second)
	for i := range 30 {
		w.submit(fmt.Sprintf("j%02d", i), newStep(1+w.rng.IntN(9), time.Duration(100+w.rng.IntN(8000))*time.Millisecond), newStep(1+w.rng.IntN(3), 300*time.Millisecond))
		switch w.rng.IntN(6) {
		case 0, 1, 2:
			w.drainRandomWorker(i)
		case 3:
			w.lostAnswerShare, w.lateOrderShare = 0.1*w.rng.Float64(), w.rng.Float64()
		case 4:
			w.lostAnswerShare = 0
		case 5:
			w.takeOver()
		}
		w.run(time.Second)
	}
	w.run(12 * time.Second)
	w.clearFaults()
	w.run(40 * time.Second)
	return w
}

// TestInvariantsHoldWhenWorkersLeave runs workers that drain and shut down, and ones whose entry goes
// while they run on.
func TestInvariantsHoldWhenWorkersLeave(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("no invariant is violated and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return holdsInvariants(simulateLeaving(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}
