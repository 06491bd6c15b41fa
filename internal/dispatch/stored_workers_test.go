// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/leasebound"
	"github.com/leverdyke/leverdyke/internal/order"
)

// Guards against tasks that run twice because the list of a new owner counts as complete: it had as many
// entries as that of an owner that had just begun, or entries of other workers, or was two seconds old.
func TestUncertaintyEndsOnceAllStoredWorkersHaveReported(t *testing.T) {
	owner := newSuccessor(0)
	owner.InheritWorkers([]order.WorkerID{"v", "w"}, true)
	owner.setWorkerList("v", "new", "newer")
	for _, id := range []order.WorkerID{"v", "new", "newer"} {
		owner.reportIdle(id)
	}
	if got := owner.startsAfter(4 * time.Second); got != 0 {
		t.Errorf("a stored worker has not reported: got: %d starts, want: none", got)
	}
	owner.setWorkerList("v", "w", "new", "newer")
	for _, id := range []order.WorkerID{"v", "w", "new", "newer"} {
		owner.reportIdle(id)
	}
	if got := owner.startsAfter(100 * time.Millisecond); got != 1 {
		t.Errorf("all have reported: got: %d starts, want: 1", got)
	}
}

// Guards against jobs that wait for workers that have ended, or whose leases the previous owner knew
// to have ended.
func TestUncertaintyEndsForWorkersThatHaveEnded(t *testing.T) {
	for name, tc := range map[string]struct {
		bounds []leasebound.Bound
		end    func(owner *successor)
	}{
		"its lease was handed on": {[]leasebound.Bound{{Worker: "w", Left: time.Second}}, func(*successor) {}},
		"it has ended":            {nil, func(owner *successor) { owner.IncarnationEnded("w") }},
	} {
		owner := newSuccessor(2)
		owner.InheritBounds(tc.bounds)
		owner.InheritWorkers([]order.WorkerID{"v", "w"}, true)
		owner.setWorkerList("v")
		owner.reportIdle("v")
		if got := owner.startsAfter(900 * time.Millisecond); got != 0 {
			t.Errorf("%s, before: got: %d starts, want: none", name, got)
		}
		tc.end(owner)
		owner.reportIdle("v")
		if got := owner.startsAfter(300 * time.Millisecond); got != 1 {
			t.Errorf("%s: got: %d starts, want: 1", name, got)
		}
	}
}

// Guards against tasks that run on workers of which the next owner does not know that they may: what is
// started ahead of the store is started on stored workers only.
func TestNothingStartsAheadOfTheStoreOnWorkersThatAreNotStored(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 100*time.Millisecond))
	w.run(time.Second)
	if !w.storedWorkers["w00"] {
		t.Fatal("after a job: got: the worker is not stored, want: stored")
	}
	w.submit("b", newStep(20, 300*time.Millisecond))
	w.run(tick)
	w.isStoreDown, w.isWriteBehind = true, true
	next := newModelWorker("w01", workerCapacity, 0, 0)
	w.workers["w01"] = next
	w.run(2 * time.Second)
	if w.workers["w00"].begunCount() == 0 {
		t.Error("on the stored worker: got: no start, want: some")
	}
	if got := next.begunCount(); got != 0 {
		t.Errorf("on the other one: got: %d starts, want: none", got)
	}
}

// begunCount returns how many runs have begun on the worker.
func (m *modelWorker) begunCount() int { return len(m.running) + len(m.finished) }

// Guards against stored workers that pile up, and for which each new owner would wait.
func TestWorkersThatAreGoneAreRemovedFromTheStore(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 100*time.Millisecond))
	w.run(time.Second)
	m := w.workers["w01"]
	m.isDead, m.isUnlisted, m.running = true, true, nil
	w.run(10 * time.Second)
	w.submit("b", newStep(1, 100*time.Millisecond))
	w.run(time.Second)
	got := []order.WorkerID{}
	for id := range w.storedWorkers {
		got = append(got, id)
	}
	if !slices.Equal(got, []order.WorkerID{"w00"}) {
		t.Errorf("got: %v, want: [w00]", got)
	}
}

// Guards against a worker that counts as ended while it reports in parts: it runs on under the lease of
// the new owner.
func TestUncertaintyRemainsForAWorkerThatReportsInParts(t *testing.T) {
	owner := newSuccessor(2)
	owner.InheritBounds([]leasebound.Bound{{Worker: "w", Left: time.Second}})
	owner.InheritWorkers([]order.WorkerID{"v", "w"}, true)
	owner.setWorkerList("v", "w")
	owner.SilentWorkersPersisted(owner.answeredVersion("w"))
	for range 4 {
		owner.reportIdle("v")
		at := order.WorkerTime(owner.clock.Now().Sub(clock.NewFake().Now()) + time.Second)
		owner.PollAnswered(&order.Poll{Worker: "w", AskedAt: owner.clock.Now()}, &order.Listing{At: at, MayLackEnds: true})
		if got := owner.startsAfter(500 * time.Millisecond); got != 0 {
			t.Errorf("it has reported in part: got: %d starts, want: none", got)
		}
	}
}

// answeredVersion lets a worker answer that a record names, and returns the version of the set without it.
func (s *successor) answeredVersion(id order.WorkerID) uint64 {
	s.reportIdle(id)
	_, version := s.UpdateSilentWorkers(true)
	return version
}

// Guards against all inherited jobs waiting for workers that had left as planned together with their owner: nothing had
// been started there since they began to drain.
func TestLeavingWorkersAreRemovedFromTheStore(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.submit("a", newStep(1, 100*time.Millisecond))
	w.run(2 * time.Second)
	w.workers["w01"].entry.IsDraining = true
	w.submit("b", newStep(1, 100*time.Millisecond))
	w.run(2 * time.Second)
	if !w.storedWorkers["w00"] || w.storedWorkers["w01"] {
		t.Errorf("after w01 has begun to drain: got: %v, want: w00 only", w.storedWorkers)
	}
	w.workers["w01"].entry.IsDraining = false
	w.submit("c", newStep(1, 100*time.Millisecond))
	w.run(2 * time.Second)
	if !w.storedWorkers["w00"] || !w.storedWorkers["w01"] {
		t.Errorf("after it has gone on: got: %v, want: both", w.storedWorkers)
	}
}

// A leaving worker on which tasks run that are not in the store must stay there, or the next owner starts them again.
func TestLeavingWorkersStayStoredUntilTheirTasksAre(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.submit("a", newStep(1, 100*time.Millisecond), newStep(1, 20*time.Second))
	w.run(tick)
	w.isStoreDown, w.isWriteBehind = true, true
	w.run(2 * time.Second)
	if w.workers["w00"].begunCount() != 2 {
		t.Fatal("got: the second step has not begun ahead of the store, want: begun")
	}
	w.workers["w00"].entry.IsDraining = true
	w.run(2 * time.Second)
	if len(w.engine.TakeBatch().RemovedWorkers) != 0 {
		t.Error("got: the worker is removed, want: stored, as its task is not")
	}
}
