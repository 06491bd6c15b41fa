// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// heir is the engine of an owner whose earlier one ran ahead of the store, with a
// job that waits.
type heir struct {
	*dispatch.Engine
	clock *clock.Fake
}

func newHeir(listed int) *heir {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{HeartbeatInterval: 1500 * time.Millisecond})
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.RestoreJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}}, nil)
	e.Inherit(c.Now().Add(9*time.Second), false, listed)
	return &heir{e, c}
}

// starts lets time pass and returns how many tasks are ordered to start.
func (h *heir) starts(d time.Duration) int {
	h.clock.Advance(d)
	h.Advance(h.clock.Now())
	h.Tick()
	h.Schedule()
	for b := h.TakeBatch(); b != nil; b = h.TakeBatch() {
		h.Committed(b)
	}
	n := 0
	for _, a := range h.Actions() {
		if _, ok := a.(order.Start); ok {
			n++
		}
	}
	return n
}

// list sets the platform's list, told lets a worker tell that it runs nothing.
func (h *heir) list(ids ...order.WorkerID) {
	list := []order.Worker{}
	for _, id := range ids {
		list = append(list, order.Worker{ID: id, Service: "pool", Capacity: workerCapacity})
	}
	h.SetWorkers(list, true)
}

func (h *heir) told(id order.WorkerID) {
	at := order.WorkerTime(h.clock.Now().Sub(clock.NewFake().Now()) + time.Second)
	h.PollAnswered(&order.Poll{Worker: id, AskedAt: h.clock.Now()}, &order.Listing{At: at})
}

// All tasks of all jobs waited 6.5 s for leases after an owner that had run ahead
// of the store, also when all workers had told what they ran.
func TestDoubtEndsWhenAllWorkersHaveTold(t *testing.T) {
	h := newHeir(2)
	h.list("v", "w")
	h.told("v")
	if got := h.starts(100 * time.Millisecond); got != 0 {
		t.Errorf("one worker has told: got: %d starts, want: none", got)
	}
	h.told("w")
	if got := h.starts(100 * time.Millisecond); got != 1 {
		t.Errorf("all have told: got: %d starts, want: 1", got)
	}
	if h.HasUnpersisted() {
		t.Error("got: places are not kept, want: kept")
	}
}

func TestAShortListIsWaitedFor(t *testing.T) {
	h := newHeir(2)
	h.list("v")
	h.told("v")
	if got := h.starts(2200 * time.Millisecond); got != 0 {
		t.Errorf("one of two workers is listed: got: %d starts, want: none", got)
	}
	if got := h.starts(200 * time.Millisecond); got != 1 {
		t.Errorf("entries of all that live are back: got: %d starts, want: 1", got)
	}
}

func TestAWorkerThatGoesUnheardIsWaitedFor(t *testing.T) {
	h := newHeir(2)
	h.list("v", "w")
	h.told("v")
	h.list("v")
	if got := h.starts(3 * time.Second); got != 0 {
		t.Errorf("its lease may run: got: %d starts, want: none", got)
	}
	h.told("v")
	if got := h.starts(time.Second); got != 1 {
		t.Errorf("its lease is over: got: %d starts, want: 1", got)
	}
}

// An owner learned from workers which tasks an earlier one had started ahead of the store, and that
// one of them had ended. It said that all was kept when the last worker had told, before its own
// batch was: the next owner started the task again at once.
func TestWhatIsLearnedOfAnEarlierOwnerIsUnkeptUntilTheStoreHasIt(t *testing.T) {
	h := newHeir(1)
	h.list("v")
	h.PollAnswered(&order.Poll{Worker: "v", AskedAt: h.clock.Now()}, &order.Listing{
		At: order.WorkerTime(time.Second), Finished: []order.End{{Number: 1, Task: work.TaskID{Job: "a"}, Run: 1, Kind: order.EndSucceeded}},
	})
	h.clock.Advance(100 * time.Millisecond)
	h.Advance(h.clock.Now())
	h.Tick()
	b := h.TakeBatch()
	if !h.HasUnpersisted() {
		t.Error("the store does not have the end: got: all is kept, want: the next owner must not rely on it")
	}
	h.Refused(b)
	if !h.HasUnpersisted() {
		t.Error("the store has refused it: got: all is kept, want: the next owner must not rely on it")
	}
	h.clock.Advance(100 * time.Millisecond)
	h.Advance(h.clock.Now())
	h.Committed(h.TakeBatch())
	if h.HasUnpersisted() {
		t.Error("the store has it: got: not all is kept, want: all")
	}
}

// A task was planned anew by an owner that knew of no attempt, by the number of one that an earlier
// owner had started ahead of the store. That one's end was told while the place waited for the
// store, and the task started all the same, as the numbers of both were the same.
func TestAPlannedAttemptGoesWhenAnotherOfItsNumberIsDone(t *testing.T) {
	expectOtherStart(t, func(m *modelWorker, id work.TaskID) { m.endRun(id, &modelRun{run: 1}, order.EndSucceeded) })
}

// The same, but the earlier owner's attempt still runs: it is gone on with.
func TestAPlannedAttemptGoesWhenTheTaskRunsAlready(t *testing.T) {
	expectOtherStart(t, func(m *modelWorker, id work.TaskID) {
		m.running[id] = &modelRun{run: 1, beganAt: m.now, endsAt: m.now.Add(200 * time.Millisecond)}
	})
}

// expectOtherStart lets a worker tell of an attempt of one of two tasks while places for both wait
// for the store.
func expectOtherStart(t *testing.T, play func(m *modelWorker, id work.TaskID)) {
	t.Helper()
	w := newSimWithStartTimes(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(2, 300*time.Millisecond))
	w.run(tick)
	w.isStoreDown = true
	w.run(500 * time.Millisecond)
	m, id := w.workers["w01"], work.TaskID{Job: "a"}
	play(m, id)
	w.run(500 * time.Millisecond)
	w.isStoreDown = false
	w.run(time.Second)
	if w.startCount != 1 {
		t.Errorf("starts: got: %d, want: that of the other task", w.startCount)
	}
	expectState(t, w, "a", work.JobSucceeded)
}
