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

// TestInvariantsHoldUnderRandomFaults runs random jobs with lost and late orders, partitioned and
// crashed workers, an unreachable store and takeovers, and checks the invariants from outside the
// engine.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("no invariant is violated and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return holdsInvariants(runRandomFaults(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// A seed must give the same simulation each time, or a violation that it shows once could not be
// traced. The engine must therefore never depend on the iteration order of a built-in map.
func TestSameSeedGivesSameTrace(t *testing.T) {
	t.Parallel()
	for name, run := range map[string]func(uint64) *sim{
		"days": runRandomFaults, "days with permission": runRandomFaultsWithPermission, "workers that start again": simulateRestarts, "rooms that change": simulateResizing, "crashes": simulateCrashes, "partial listings": runPartialListings, "repeated orders": runRepeatedOrders, "workers that leave": simulateLeaving,
		"cancellations": func(seed uint64) *sim {
			return simulateCancels(seed, cancelFaults{hasRestarts: true, hasLateOrders: true}).sim
		},
	} {
		for seed := range uint64(3) {
			first, second := run(seed).trace, run(seed).trace
			for i := range min(len(first), len(second)) {
				if first[i] != second[i] {
					t.Errorf("%s, seed %d, action %d: got: %+v, want: %+v", name, seed, i, second[i], first[i])
					break
				}
			}
			if len(first) != len(second) {
				t.Errorf("%s, seed %d: got: %d actions, want: %d", name, seed, len(second), len(first))
			}
		}
	}
}

// holdsInvariants reports whether no invariant was violated and all jobs have ended; the error says
// what was wrong.
func holdsInvariants(w *sim, seed uint64) (bool, error) {
	if len(w.violations) > 0 {
		return false, fmt.Errorf("seed %d: %s (and %d more)", seed, w.violations[0], len(w.violations)-1)
	}
	for _, id := range w.jobOrder {
		if s := jobState(w, id); !s.IsFinal() {
			return false, fmt.Errorf("seed %d: job %s is %s at the end", seed, id, s)
		}
	}
	return true, nil
}

// runRandomFaults runs 40 s of random faults and then lets all jobs end.
func runRandomFaults(seed uint64) *sim {
	w := newSim(seed)
	w.addWorkers(6, workerCapacity)
	w.run(time.Second)
	for i := range 40 {
		w.submit(fmt.Sprintf("j%02d", i), newStep(1+w.rng.IntN(6), time.Duration(100+w.rng.IntN(2500))*time.Millisecond), newStep(1+w.rng.IntN(3), 300*time.Millisecond))
		w.injectRandomFault(i)
		w.run(time.Second)
	}
	w.clearFaults()
	w.run(40 * time.Second)
	return w
}

// clearFaults ends all faults.
func (w *sim) clearFaults() {
	w.lostAnswerShare, w.failureShare, w.isStoreDown, w.refusedShare = 0, 0, false, 0
	for _, m := range w.allWorkers() {
		m.isPartitioned = false
	}
}

// injectRandomFault begins or ends a random fault.
func (w *sim) injectRandomFault(i int) {
	names := w.liveWorkers()
	if len(names) == 0 {
		return
	}
	m := w.workers[names[w.rng.IntN(len(names))]]
	switch w.rng.IntN(10) {
	case 0:
		w.lostAnswerShare, w.lateOrderShare = 0.1*w.rng.Float64(), w.rng.Float64()
	case 1:
		w.lostAnswerShare = 0
	case 2:
		m.isPartitioned = true
	case 3, 4:
		for _, o := range w.allWorkers() {
			o.isPartitioned = false
		}
	case 5:
		w.crashAndReplace(m.entry.ID, fmt.Sprintf("x%02d", i))
	case 6:
		w.takeOver()
	case 7:
		w.isStoreDown, w.isWriteBehind = !w.isStoreDown, w.rng.IntN(2) == 0
	case 8:
		w.failureShare = 0.1 * w.rng.Float64()
	case 9:
		w.maxStoreDelay, w.refusedShare = time.Duration(w.rng.IntN(300))*time.Millisecond, 0.2*w.rng.Float64()
	}
}
