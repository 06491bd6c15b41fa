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

// Guards against a task that starts again because a listing that has only part of the ends lacks
// its end, while the store is down and no end can be confirmed.
func TestTaskWhoseEndIsNotListedYetDoesNotStartAgain(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.endsPerListing, w.isWriteBehind = 2, true
	w.run(time.Second)
	w.submit("a", newStep(9, 300*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isStoreDown = true
	w.run(5 * time.Second)
	w.isStoreDown = false
	w.run(10 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
	if w.startCount != 9 {
		t.Errorf("starts: got: %d, want: 9", w.startCount)
	}
}

// Guards against a task that a new owner starts again because the first listing has only part of
// the ends.
func TestNewOwnerAwaitsAllEndsOfAWorker(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(6, 300*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isStoreDown = true
	w.run(time.Second)
	w.endsPerListing = 1
	w.takeOver()
	w.run(time.Second)
	w.isStoreDown = false
	w.run(10 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
	if w.startCount != 6 {
		t.Errorf("starts: got: %d, want: 6", w.startCount)
	}
}

// Guards against a task that a new owner starts again because the previous owner's leases have expired,
// while a worker that answers has not listed its end yet.
func TestNewOwnerAwaitsAllEndsBeyondThePreviousOwnersLeases(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.isWriteBehind = true
	w.run(time.Second)
	w.submit("a", newStep(14, 300*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isStoreDown = true
	w.run(2 * time.Second)
	w.endsPerListing = 1
	w.takeOver()
	w.run(13 * time.Second)
	w.isStoreDown = false
	w.run(10 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
	if w.startCount != 14 {
		t.Errorf("starts: got: %d, want: 14", w.startCount)
	}
}

// Guards against ends that are passed over because a listing has them out of order.
func TestEndsListedOutOfOrderAreAllHandled(t *testing.T) {
	c := newRetryCluster("v")
	c.entries[0].Capacity = newStep(1, 0).Need.Add(newStep(1, 0).Need)
	c.engine.SetWorkers(c.entries, true)
	c.submit("a", false)
	c.submit("b", false)
	ends := []order.End{}
	for i, s := range c.starts {
		ends = append([]order.End{{Number: uint64(i + 1), Task: s.Task, Run: s.Run, Kind: order.EndSucceeded}}, ends...)
	}
	if len(ends) != 2 {
		t.Fatalf("starts: got: %d, want: 2", len(ends))
	}
	c.answerPoll("v", ends...)
	c.starts = nil
	c.advance(time.Second)
	for _, id := range []work.JobID{"a", "b"} {
		if got, _ := c.engine.State(id); got != work.JobSucceeded {
			t.Errorf("%s: got: %v, want: %v", id, got, work.JobSucceeded)
		}
	}
	if len(c.starts) != 0 {
		t.Errorf("started again: got: %v, want: none", c.starts)
	}
}

// runPartialListings is runRandomFaults with workers that list a few ends at a time, out of order.
func runPartialListings(seed uint64) *sim {
	w := newSim(seed)
	w.addWorkers(6, workerCapacity)
	w.endsPerListing, w.hasShuffledEnds = 1+w.rng.IntN(4), true
	w.run(time.Second)
	for i := range 30 {
		w.submit(fmt.Sprintf("j%02d", i), newStep(1+w.rng.IntN(9), time.Duration(100+w.rng.IntN(1500))*time.Millisecond), newStep(1+w.rng.IntN(3), 300*time.Millisecond))
		w.injectRandomFault(i)
		w.run(time.Second)
	}
	w.clearFaults()
	w.run(40 * time.Second)
	return w
}

// TestInvariantsHoldWithPartialListings runs random faults with workers that list a few ends at a
// time, out of order.
func TestInvariantsHoldWithPartialListings(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("no invariant is violated and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return holdsInvariants(runPartialListings(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}
