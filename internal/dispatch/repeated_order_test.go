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

// Guards against a task that starts again because its order was delivered twice and was refused after
// its run had ended.
func TestRefusedStartOfARunThatHasEndedDoesNotStartAgain(t *testing.T) {
	for seed := range uint64(20) {
		w := newSim(seed)
		w.addWorkers(3, workerCapacity)
		w.run(time.Second)
		w.repeatedOrderShare = 1
		w.submit("a", newStep(9, 50*time.Millisecond))
		w.run(5 * time.Second)
		expectState(t, w, "a", work.JobSucceeded)
		expectNoViolations(t, w)
		if w.startCount != 9 {
			t.Errorf("seed %d: starts: got: %d, want: 9", seed, w.startCount)
		}
	}
}

// A refused start must not keep its task waiting: the next listing shows that it does not run.
func TestRefusedTaskStartsElsewhereAfterTheNextListing(t *testing.T) {
	for _, outcome := range []order.StartOutcome{order.StartRefused, order.StartNoCapacity, order.StartNoPermit, order.StartFenced, order.StartUnhealthy} {
		c := newRetryCluster("v", "w")
		c.refusal = outcome
		c.submit("a", false)
		c.refusal = ""
		if len(c.starts) != 0 {
			t.Fatalf("%s: starts: got: %d, want: none", outcome, len(c.starts))
		}
		c.advance(500 * time.Millisecond)
		if len(c.starts) != 1 {
			t.Errorf("%s: starts within 0.5 s: got: %d, want: 1", outcome, len(c.starts))
		}
	}
}

// runRepeatedOrders is runRandomFaults with orders to start that are delivered twice.
func runRepeatedOrders(seed uint64) *sim {
	w := newSim(seed)
	w.addWorkers(6, workerCapacity)
	w.repeatedOrderShare = 0.3
	w.run(time.Second)
	for i := range 30 {
		w.submit(fmt.Sprintf("j%02d", i), newStep(1+w.rng.IntN(6), time.Duration(20+w.rng.IntN(800))*time.Millisecond), newStep(1+w.rng.IntN(3), 100*time.Millisecond))
		w.injectRandomFault(i)
		w.run(time.Second)
	}
	w.clearFaults()
	w.run(40 * time.Second)
	return w
}

// TestInvariantsHoldWithRepeatedOrders runs random faults with orders that are delivered twice.
func TestInvariantsHoldWithRepeatedOrders(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("no invariant is violated and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return holdsInvariants(runRepeatedOrders(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}
