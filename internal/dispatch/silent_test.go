// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/leasebound"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// newLongRunningStep returns a step of n tasks that run until their job is cancelled.
func newLongRunningStep(n int) work.Step {
	s := newStep(n, time.Hour)
	s.IsLongRunning = true
	return s
}

// Guards against tasks that do not run as long as owners keep changing: each new owner waited anew
// for the leases of workers that were gone.
func TestTasksOfGoneWorkersRestartWhileOwnersChange(t *testing.T) {
	// No owner lasts until the leases of its predecessor have expired.
	const ownerTime = 5 * time.Second
	for name, tc := range map[string]struct {
		// isPartitioned means that the worker runs on, cut off from all nodes, isListed that its entry stays.
		isPartitioned, isListed bool
	}{
		"left":            {false, false},
		"cut off":         {true, true},
		"cut off, no row": {true, false},
	} {
		w := newSim(3)
		w.addWorkers(3, workerCapacity)
		w.run(time.Second)
		w.submit("a", newLongRunningStep(6))
		w.run(2 * time.Second)
		m := w.workers["w01"]
		lost := len(m.running)
		if lost == 0 {
			t.Fatalf("%s: got: no task on the worker, want: some", name)
		}
		w.takeOver()
		w.run(time.Second)
		m.isDead, m.isPartitioned, m.isUnlisted = !tc.isPartitioned, tc.isPartitioned, !tc.isListed
		if m.isDead {
			m.running = nil
		}
		for range 3 {
			w.run(ownerTime)
			w.takeOver()
		}
		w.run(time.Second)
		if running := len(w.workers["w00"].running) + len(w.workers["w02"].running); running != 6 {
			t.Errorf("%s: tasks on the other workers: got: %d, want: 6", name, running)
		}
		if len(w.violations) > 0 {
			t.Errorf("%s: got: %v and %d more, want: nothing runs twice", name, w.violations[0], len(w.violations)-1)
		}
	}
}

// namedWorker is the engine of an owner whose record names a worker that is in the list.
type namedWorker struct {
	*dispatch.Engine
	clock *clock.Fake
}

func newNamedWorker(left time.Duration) *namedWorker {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{HeartbeatInterval: simulatedHeartbeat})
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.RestoreJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}}, nil)
	e.Inherit(c.Now().Add(9*time.Second), true, 1)
	e.InheritBounds([]leasebound.Bound{{Worker: "w", Left: left}})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: workerCapacity}}, true)
	return &namedWorker{e, c}
}

// answer answers a poll of the worker, advances the time by a bit, and reports whether the engine has
// renewed the worker's lease or started a task there.
func (n *namedWorker) answer() (isUsed bool) {
	at := order.WorkerTime(n.clock.Now().Sub(clock.NewFake().Now()) + time.Second)
	n.PollAnswered(&order.Poll{Worker: "w", AskedAt: n.clock.Now()}, &order.Listing{At: at})
	for range 10 {
		n.clock.Advance(10 * time.Millisecond)
		n.Advance(n.clock.Now())
		n.Tick()
		n.Schedule()
		for b := n.TakeBatch(); b != nil; b = n.TakeBatch() {
			n.Committed(b)
		}
		for _, a := range n.Actions() {
			switch a := a.(type) {
			case order.Start:
				isUsed = true
			case order.Poll:
				isUsed = isUsed || a.Deadline > 0
			}
		}
	}
	return isUsed
}

// Guards against tasks that run twice because an owner renews a lease of which its record says that it
// is not renewed: the next owner would start the worker's tasks elsewhere.
func TestLeaseIsNotRenewedWhileARecordSaysSo(t *testing.T) {
	n := newNamedWorker(time.Second)
	if n.answer() {
		t.Error("the previous owner's record names it: got: used, want: not used")
	}
	if !n.NeedsSilentUpdate() {
		t.Error("it has answered: got: no record needed, want: one")
	}
	bounds, version := n.UpdateSilentWorkers(true)
	if len(bounds) != 0 {
		t.Errorf("next record: got: %v, want: without the worker", bounds)
	}
	if n.answer() {
		t.Error("the next record is not persisted: got: used, want: not used")
	}
	n.SilentWorkersPersisted(version)
	if !n.answer() {
		t.Error("the next record is persisted: got: not used, want: used")
	}
}

// Guards against a bound that is forgotten before its time, and against one that begins anew.
func TestBoundsAreHandedOnUntilTheyEnd(t *testing.T) {
	n := newNamedWorker(3 * time.Second)
	for range 5 {
		n.clock.Advance(500 * time.Millisecond)
		n.Advance(n.clock.Now())
		n.Tick()
		bounds, _ := n.UpdateSilentWorkers(false)
		want := 3*time.Second - n.clock.Now().Sub(clock.NewFake().Now())
		if len(bounds) != 1 || bounds[0].Worker != "w" || bounds[0].Left != want {
			t.Errorf("got: %v, want: %v left for w", bounds, want)
		}
	}
}

// Guards against bounds that an owner hands on while another one may still renew the leases.
func TestBoundsAreNotHandedOnWhileAnotherOwnerMayAct(t *testing.T) {
	h := newSuccessor(1)
	h.setWorkerList("w")
	h.startsAfter(3 * time.Second)
	if bounds, _ := h.UpdateSilentWorkers(false); len(bounds) != 0 {
		t.Errorf("another owner may act: got: %v, want: none", bounds)
	}
	if bounds, _ := h.UpdateSilentWorkers(true); len(bounds) != 1 {
		t.Errorf("it is the only owner: got: %v, want: the silent worker", bounds)
	}
}
