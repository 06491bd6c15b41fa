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
type successor struct {
	*dispatch.Engine
	clock *clock.Fake
}

func newSuccessor(listed int) *successor {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{Heartbeat: 1500 * time.Millisecond})
	e.Advance(c.Now())
	e.SetTrusted(true)
	e.SetQueues([]order.Queue{testQueue})
	e.RestoreJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(1, time.Second)}}, nil)
	e.Inherit(c.Now().Add(9*time.Second), false, listed)
	return &successor{e, c}
}

// starts lets time pass and returns how many tasks are ordered to start.
func (s *successor) startsAfter(d time.Duration) int {
	s.clock.Advance(d)
	s.Advance(s.clock.Now())
	s.Tick()
	s.Decide()
	for b := s.TakeBatch(); b != nil; b = s.TakeBatch() {
		s.Committed(b)
	}
	n := 0
	for _, a := range s.Actions() {
		if _, ok := a.(order.Start); ok {
			n++
		}
	}
	return n
}

// list sets the platform's list, told lets a worker tell that it runs nothing.
func (s *successor) setWorkerList(ids ...order.WorkerID) {
	workers := []order.Worker{}
	for _, id := range ids {
		workers = append(workers, order.Worker{ID: id, Service: "pool", Capacity: room})
	}
	s.SetWorkers(workers, true)
}

func (s *successor) reportIdle(id order.WorkerID) {
	at := order.WorkerTime(s.clock.Now().Sub(clock.NewFake().Now()) + time.Second)
	s.PollAnswered(&order.Poll{Worker: id, AskedAt: s.clock.Now()}, &order.Listing{At: at})
}

// All tasks of all jobs waited 6.5 s for leases after an owner that had run ahead
// of the store, also when all workers had told what they ran.
func TestUncertaintyEndsWhenAllWorkersHaveReported(t *testing.T) {
	owner := newSuccessor(2)
	owner.setWorkerList("v", "w")
	owner.reportIdle("v")
	if got := owner.startsAfter(100 * time.Millisecond); got != 0 {
		t.Errorf("one worker has told: got: %d starts, want: none", got)
	}
	owner.reportIdle("w")
	if got := owner.startsAfter(100 * time.Millisecond); got != 1 {
		t.Errorf("all have told: got: %d starts, want: 1", got)
	}
	if owner.HasUnkept() {
		t.Error("got: places are not kept, want: kept")
	}
}

func TestUncertaintyRemainsWhileWorkerListIsIncomplete(t *testing.T) {
	owner := newSuccessor(2)
	owner.setWorkerList("v")
	owner.reportIdle("v")
	if got := owner.startsAfter(2200 * time.Millisecond); got != 0 {
		t.Errorf("one of two workers is listed: got: %d starts, want: none", got)
	}
	if got := owner.startsAfter(200 * time.Millisecond); got != 1 {
		t.Errorf("entries of all that live are back: got: %d starts, want: 1", got)
	}
}

func TestUncertaintyRemainsUntilLeaseOfUnreportedWorkerExpires(t *testing.T) {
	owner := newSuccessor(2)
	owner.setWorkerList("v", "w")
	owner.reportIdle("v")
	owner.setWorkerList("v")
	if got := owner.startsAfter(3 * time.Second); got != 0 {
		t.Errorf("its lease may run: got: %d starts, want: none", got)
	}
	owner.reportIdle("v")
	if got := owner.startsAfter(time.Second); got != 1 {
		t.Errorf("its lease is over: got: %d starts, want: 1", got)
	}
}

// An owner learned from workers which tasks an earlier one had started ahead of the store, and that
// one of them had ended. It said that all was kept when the last worker had told, before its own
// batch was: the next owner started the task again at once.
func TestReportedWorkOfPreviousOwnerIsUnpersistedUntilCommitted(t *testing.T) {
	owner := newSuccessor(1)
	owner.setWorkerList("v")
	owner.PollAnswered(&order.Poll{Worker: "v", AskedAt: owner.clock.Now()}, &order.Listing{
		At: order.WorkerTime(time.Second), Finished: []order.End{{Number: 1, Task: work.TaskID{Job: "a"}, Run: 1, Kind: order.EndSucceeded}},
	})
	owner.clock.Advance(100 * time.Millisecond)
	owner.Advance(owner.clock.Now())
	owner.Tick()
	b := owner.TakeBatch()
	if !owner.HasUnkept() {
		t.Error("the store does not have the end: got: all is kept, want: the next owner must not rely on it")
	}
	owner.Refused(b)
	if !owner.HasUnkept() {
		t.Error("the store has refused it: got: all is kept, want: the next owner must not rely on it")
	}
	owner.clock.Advance(100 * time.Millisecond)
	owner.Advance(owner.clock.Now())
	owner.Committed(owner.TakeBatch())
	if owner.HasUnkept() {
		t.Error("the store has it: got: not all is kept, want: all")
	}
}

// A task was planned anew by an owner that knew of no attempt, by the number of one that an earlier
// owner had started ahead of the store. That one's end was told while the place waited for the
// store, and the task started all the same, as the numbers of both were the same.
func TestPlannedAttemptIsDroppedWhenSameNumberedAttemptHasEnded(t *testing.T) {
	expectOnlyOtherTaskStarts(t, func(m *modelWorker, id work.TaskID) { m.end(id, &modelRun{run: 1}, order.EndSucceeded) })
}

// The same, but the earlier owner's attempt still runs: it is gone on with.
func TestPlannedAttemptIsDroppedWhenTaskIsAlreadyRunning(t *testing.T) {
	expectOnlyOtherTaskStarts(t, func(m *modelWorker, id work.TaskID) {
		m.running[id] = &modelRun{run: 1, beganAt: m.now, endsAt: m.now.Add(200 * time.Millisecond)}
	})
}

// expectOtherStart lets a worker tell of an attempt of one of two tasks while places for both wait
// for the store.
func expectOnlyOtherTaskStarts(t *testing.T, report func(m *modelWorker, id work.TaskID)) {
	t.Helper()
	w := newTellingWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(2, 300*time.Millisecond))
	w.run(tick)
	w.isOut = true
	w.run(500 * time.Millisecond)
	m, id := w.workers["w01"], work.TaskID{Job: "a"}
	report(m, id)
	w.run(500 * time.Millisecond)
	w.isOut = false
	w.run(time.Second)
	if w.starts != 1 {
		t.Errorf("starts: got: %d, want: that of the other task", w.starts)
	}
	expectState(t, w, "a", work.JobSucceeded)
}
