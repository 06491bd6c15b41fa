// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// setEntriesUncertain marks the entries of all workers as overwritten by another writer, or as
// valid again.
func (w *sim) setEntriesUncertain(isUncertain bool) {
	for _, m := range w.allWorkers() {
		m.entry.IsUncertain = isUncertain
	}
}

// When another writer has overwritten a worker's entry, the worker's tasks must neither be stopped
// nor be started elsewhere, and the worker gets no new task until its next valid entry.
func TestWorkerWithUncertainEntryKeepsItsTasks(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	longRunning := newStep(3, time.Hour)
	longRunning.IsLongRunning = true
	w.submit("a", longRunning)
	w.run(time.Second)
	if w.startCount != 3 {
		t.Fatalf("starts: got: %d, want: 3", w.startCount)
	}
	w.setEntriesUncertain(true)
	w.run(time.Second)
	w.submit("b", newStep(1, 100*time.Millisecond))
	w.run(20 * time.Second)
	if w.startCount != 3 {
		t.Errorf("starts while the entries are uncertain: got: %d, want: 3", w.startCount)
	}
	if c := w.engine.Counts(); c.Stopped+c.Expired != 0 {
		t.Errorf("stopped attempts and expired leases: got: %d, want: 0", c.Stopped+c.Expired)
	}
	w.setEntriesUncertain(false)
	w.run(time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A new owner that knows a worker only by an overwritten entry must keep its tasks running, if the
// entry still has the worker's address.
func TestNewOwnerKeepsTasksOfAWorkerWithUncertainEntry(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	longRunning := newStep(2, time.Hour)
	longRunning.IsLongRunning = true
	w.submit("a", longRunning)
	w.run(time.Second)
	m := w.workers["w00"]
	goodEntry := m.entry
	// The model worker takes its capacity from its entry. The engine reads no capacity from an
	// uncertain entry.
	m.entry = order.Worker{ID: goodEntry.ID, Addr: netip.MustParseAddrPort("127.0.0.1:80"), Capacity: goodEntry.Capacity, IsUncertain: true}
	w.takeOver()
	w.run(20 * time.Second)
	if w.startCount != 2 || len(m.running) != 2 {
		t.Errorf("starts, running: got: %d, %d, want: 2, 2", w.startCount, len(m.running))
	}
	m.entry = goodEntry
	w.submit("b", newStep(1, 100*time.Millisecond))
	w.run(time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectNoViolations(t, w)
}

// Guards against jobs that wait for the lease of a worker whose entry was overwritten before the owner changed, and against an
// answer of another worker, at the address of an odd entry, by which a worker that runs counts as ended.
func TestNewOwnerPollsAWorkerWithUncertainEntryWhereItWasKnown(t *testing.T) {
	known, other := netip.MustParseAddrPort("127.0.0.1:80"), netip.MustParseAddrPort("127.0.0.1:81")
	for name, entry := range map[string]order.Worker{
		"nothing can be read":       {ID: "w", IsUncertain: true},
		"another address":           {ID: "w@1", Addr: other, IsUncertain: true},
		"another address, no start": {ID: "w", Addr: other, IsUncertain: true},
	} {
		owner := newSuccessor(0)
		owner.InheritAddrs(map[order.WorkerID]netip.AddrPort{"w@1": known})
		owner.InheritWorkers([]order.WorkerID{"w@1"}, true)
		polls := 0
		for range 3 {
			owner.SetWorkers([]order.Worker{entry}, true)
			owner.clock.Advance(time.Second)
			owner.Advance(owner.clock.Now())
			owner.Tick()
			for _, a := range owner.Actions() {
				poll, isPoll := a.(order.Poll)
				if !isPoll || poll.Worker != "w@1" || poll.Addr != known {
					t.Errorf("%s: got: %+v, want: a poll of w@1 at %v", name, a, known)
				}
				polls++
			}
		}
		if polls == 0 {
			t.Errorf("%s: got: no poll, want: some", name)
		}
	}
}

// Guards against a poll of one incarnation in the place of another: with several, an entry that does not tell which one it is of
// tells nothing.
func TestUncertainEntryOfOneOfSeveralIncarnationsIsNotPolled(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:80")
	owner := newSuccessor(0)
	owner.InheritAddrs(map[order.WorkerID]netip.AddrPort{"w@1": addr, "w@2": addr, "w@3": addr})
	owner.InheritWorkers([]order.WorkerID{"w@1", "w@2", "w@3"}, true)
	owner.SetWorkers([]order.Worker{{ID: "w", IsUncertain: true}}, true)
	owner.Tick()
	if got := owner.Actions(); len(got) != 0 {
		t.Errorf("actions: got: %v, want: none", got)
	}
}

// An entry under a key that belongs to no worker has no address, and must not be polled.
func TestUncertainEntryOfAnUnknownWorkerIsNotPolled(t *testing.T) {
	owner := newSuccessor(0)
	owner.SetWorkers([]order.Worker{{ID: "x", IsUncertain: true}}, true)
	owner.clock.Advance(time.Second)
	owner.Advance(owner.clock.Now())
	owner.Tick()
	if got := owner.Actions(); len(got) != 0 {
		t.Errorf("actions: got: %v, want: none", got)
	}
}
