// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

var room = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 8000}

func step(count int, d time.Duration) work.Step {
	return work.Step{Count: count, Need: leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 500}, Estimate: d, MaxUnavailable: -1}
}

func state(w *world, id work.JobID) work.JobState {
	s, _ := w.engine.State(id)
	return s
}

func expectState(t *testing.T, w *world, id work.JobID, want work.JobState) {
	t.Helper()
	if got := state(w, id); got != want {
		t.Errorf("job %s: got: %v, want: %v", id, got, want)
	}
}

func expectWhole(t *testing.T, w *world) {
	t.Helper()
	for _, b := range w.broken {
		t.Error(b)
	}
}

func TestAJobRunsStepByStep(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(3, room)
	w.run(time.Second)
	w.submit("a", step(5, 300*time.Millisecond), step(2, 300*time.Millisecond))
	w.run(200 * time.Millisecond)
	expectState(t, w, "a", work.JobRunning)
	if w.starts != 5 {
		t.Errorf("starts before the first step is done: got: %d, want: 5", w.starts)
	}
	w.run(2 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectWhole(t, w)
}

func TestAJobIsNotStartedBeforeItIsKept(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(3, room)
	w.run(time.Second)
	w.isOut = true
	w.submit("a", step(1, time.Second))
	w.run(time.Second)
	if w.starts != 0 {
		t.Errorf("starts: got: %d, want: 0", w.starts)
	}
	if refused := w.engine.RefuseNew(); len(refused) != 1 {
		t.Errorf("refused: got: %v, want: one job", refused)
	}
	w.isOut = false
	w.run(2 * time.Second)
	if w.starts != 0 {
		t.Errorf("starts of a refused job: got: %d, want: 0", w.starts)
	}
}

func TestEndsAreConfirmedAfterTheyAreKept(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, room)
	w.run(time.Second)
	w.submit("a", step(1, 100*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isOut = true
	w.run(time.Second)
	if got := len(w.workers["w00"].finished); got != 1 {
		t.Errorf("ends that the worker keeps while the store is out: got: %d, want: 1", got)
	}
	expectState(t, w, "a", work.JobRunning)
	w.isOut = false
	w.run(time.Second)
	if got := len(w.workers["w00"].finished); got != 0 {
		t.Errorf("ends that the worker keeps afterwards: got: %d, want: 0", got)
	}
	expectState(t, w, "a", work.JobSucceeded)
}

// A listing with ends that are not confirmed comes back at once: asking again
// without a pause made 21 listings a second of each worker.
func TestUnconfirmedEndsAreNotAskedForAgainAndAgain(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, room)
	w.run(time.Second)
	w.isOut = true
	w.submit("a", step(1, 100*time.Millisecond))
	w.isOut = false
	w.run(150 * time.Millisecond)
	w.isOut = true
	before := w.holds("w00")
	w.run(2 * time.Second)
	if got := w.holds("w00") - before; got > 8 {
		t.Errorf("listings in 2 s with an end that is not kept: got: %d, want: at most 8", got)
	}
}

func TestAnOrderWithoutAnswerKeepsItsRoomUntilItsFateIsKnown(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1000})
	w.run(time.Second)
	w.lostShare, w.lateShare = 1, 1
	w.submit("a", step(1, time.Second))
	w.run(200 * time.Millisecond)
	w.lostShare = 0
	w.run(20 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectWhole(t, w)
}

func TestATaskFailsItsJobAfterAsManyAttemptsAsItMay(t *testing.T) {
	w := newWorld(1)
	w.failShare = 1
	w.addWorkers(6, room)
	w.run(time.Second)
	w.submit("a", step(1, 100*time.Millisecond))
	w.run(5 * time.Second)
	expectState(t, w, "a", work.JobFailed)
	if w.starts != testQueue.MaxAttempts {
		t.Errorf("starts: got: %d, want: %d", w.starts, testQueue.MaxAttempts)
	}
}

func TestAFailureThatIsListedAgainAfterATakeoverCountsOnce(t *testing.T) {
	w := newWorld(1)
	w.failShare = 1
	w.addWorkers(6, room)
	w.run(time.Second)
	w.submit("a", step(1, 400*time.Millisecond))
	for w.starts < 2 {
		w.run(tick)
	}
	w.failShare = 0
	for w.starts < 3 {
		w.run(tick)
	}
	// Both failures are kept, the workers have not been told: they list them again.
	id := work.TaskID{Job: "a"}
	for _, m := range w.each() {
		if run := m.barred[id]; run > 0 {
			m.finished = []order.End{{Number: 1, Task: id, Run: run, Kind: order.EndFailed}}
		}
	}
	w.takeOver()
	w.run(5 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectWhole(t, w)
}

func TestCancelStopsWhatRuns(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(6, time.Minute))
	w.run(500 * time.Millisecond)
	if !w.engine.Cancel("a", "") {
		t.Fatal("cancel: got: no such job, want: true")
	}
	w.run(time.Second)
	expectState(t, w, "a", work.JobCancelled)
	for id, m := range w.each() {
		if len(m.running) > 0 {
			t.Errorf("%s: got: %d running, want: 0", id, len(m.running))
		}
	}
	if w.engine.Cancel("b", "") {
		t.Error("cancel of a job that was never handed in: got: true, want: false")
	}
}

func TestATakeoverGoesOnWithWhatRuns(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(6, 3*time.Second))
	w.run(time.Second)
	w.takeOver()
	w.run(5 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	if w.starts != 6 {
		t.Errorf("starts: got: %d, want: 6", w.starts)
	}
	expectWhole(t, w)
}

// A new owner has given no lease yet: it took the leases of the earlier one as
// lapsed, and would have started their tasks a second time.
func TestATakeoverCountsTheEarlierOwnersLeases(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(6, 20*time.Second))
	w.run(time.Second)
	w.takeOver()
	w.run(30 * time.Millisecond)
	for _, m := range w.each() {
		m.isCut = true
	}
	w.run(4 * time.Second)
	if got := w.engine.Counts().Expired; got != 0 {
		t.Errorf("leases taken as lapsed 4 s after the takeover: got: %d, want: 0", got)
	}
}

// Before a new owner is trusted it renews nothing: the earlier owner's leases are
// all that keeps tasks from being started a second time.
func TestAnOwnerWithoutTrustCountsTheEarlierOwnersLeases(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(6, 20*time.Second))
	w.run(time.Second)
	w.takeOver()
	w.engine.SetOwnershipConfirmed(false)
	w.run(300 * time.Millisecond)
	for _, m := range w.each() {
		m.isCut = true
	}
	w.run(3 * time.Second)
	if got := w.engine.Counts().Expired; got != 0 {
		t.Errorf("leases taken as lapsed 3 s after the takeover: got: %d, want: 0", got)
	}
}

// One worker of the roster that was draining when the owner died held up all
// tasks of all jobs for 9.7 s.
func TestAWorkerThatGotNothingNewHoldsUpOnlyItsOwnTasks(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(3, room)
	w.run(time.Second)
	w.submit("a", step(1, 30*time.Second))
	w.run(300 * time.Millisecond)
	drained := w.workerOf(work.TaskID{Job: "a"})
	drained.entry.IsDraining = true
	w.submit("b", step(2, 300*time.Millisecond), step(2, 300*time.Millisecond))
	w.run(800 * time.Millisecond)
	drained.isCut = true
	w.takeOver()
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	if got := w.starts; got != 5 {
		t.Errorf("starts while the drained worker's lease runs: got: %d, want: 5", got)
	}
	w.run(10 * time.Second)
	if got := w.starts; got != 6 {
		t.Errorf("starts after its lease: got: %d, want: 6", got)
	}
	expectWhole(t, w)
}

func TestAWorkerThatDrainsGetsNothingNew(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, room)
	w.run(time.Second)
	w.workers["w00"].entry.IsDraining = true
	w.run(100 * time.Millisecond)
	w.submit("a", step(1, time.Second))
	w.run(2 * time.Second)
	if w.starts != 0 {
		t.Errorf("starts: got: %d, want: 0", w.starts)
	}
}

// A worker that leaves ran its lasting tasks until its end; they were away until
// its lease was over, for 6 s.
func TestLastingTasksLeaveAWorkerThatDrains(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(3, room)
	w.run(time.Second)
	lasting := step(4, time.Hour)
	lasting.IsLongRunning = true
	w.submit("a", lasting)
	w.run(time.Second)
	leaving := w.workerOf(work.TaskID{Job: "a"})
	leaving.entry.IsDraining = true
	for range 60 {
		w.run(100 * time.Millisecond)
		running := 0
		for _, m := range w.each() {
			running += len(m.running)
		}
		if running < 3 {
			t.Fatalf("lasting tasks at work meanwhile: got: %d, want: 3 or more of 4", running)
		}
	}
	if got := len(leaving.running); got != 0 {
		t.Errorf("tasks on the leaving worker: got: %d, want: 0", got)
	}
	expectWhole(t, w)
}

func TestNothingStartsWithoutTrust(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, room)
	w.run(time.Second)
	w.engine.SetOwnershipConfirmed(false)
	deadline := w.workers["w00"].deadline
	w.submit("a", step(1, time.Second))
	w.run(3 * time.Second)
	if w.starts != 0 {
		t.Errorf("starts: got: %d, want: 0", w.starts)
	}
	if got := w.workers["w00"].deadline - deadline; got > order.WorkerTime(300*time.Millisecond) {
		t.Errorf("lease renewed by: got: %v, want: nothing", time.Duration(got))
	}
}

// The entry of a crashed worker stays in the list for some seconds beside that of
// the machine's next life. Each took the other for the later one in turn, so that
// tasks of the live one were started again.
func TestTheEntryOfAnEarlierLifeEndsNothing(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(8, 20*time.Second))
	w.run(time.Second)
	old := w.workers["w00"]
	w.crash("w00", "x00")
	w.lingering = []order.Worker{old.entry}
	w.run(3 * time.Second)
	for _, m := range w.each() {
		if !m.isDead && len(m.running) != 4 {
			t.Errorf("%s: got: %d running, want: 4", m.entry.ID, len(m.running))
		}
	}
	if w.starts != 12 {
		t.Errorf("starts: got: %d, want: 8 and 4 again", w.starts)
	}
	expectWhole(t, w)
}

// The answers to orders told the worker's clock but no progress: tasks on a worker
// that got many orders and no listing counted as stuck.
func TestATaskIsNotStuckBecauseNoListingCame(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, leverdyke.Resources{MilliCPU: 20_000, MemoryMiB: 20_000})
	w.run(time.Second)
	w.submit("a", step(1, 10*time.Second))
	w.run(300 * time.Millisecond)
	w.holdDelay = 5 * time.Second
	w.run(300 * time.Millisecond)
	for i := range 18 {
		w.submit(fmt.Sprintf("b%02d", i), step(1, 10*time.Second))
		w.run(170 * time.Millisecond)
	}
	if w.starts < 10 {
		t.Fatalf("orders that were answered meanwhile: got: %d, want: 10 or more", w.starts)
	}
	if got := w.engine.Counts().Stopped; got != 0 {
		t.Errorf("attempts stopped: got: %d, want: 0", got)
	}
}

func TestATaskThatStandsStillStartsElsewhere(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1000})
	w.run(time.Second)
	w.submit("a", step(1, 400*time.Millisecond))
	w.run(100 * time.Millisecond)
	stuck := w.workerOf(work.TaskID{Job: "a"})
	stuck.running[work.TaskID{Job: "a"}].isStuck = true
	w.run(3 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectWhole(t, w)
}

// Two workers died with the owner: all tasks of all jobs waited 9.8 s for their
// leases, as any of them might have been started there.
func TestAWorkerThatDiesWithTheOwnerHoldsUpOnlyItsOwnTasks(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(4, room)
	w.run(time.Second)
	whole := step(1, 30*time.Second)
	whole.Need = room
	w.submit("a", whole)
	w.run(300 * time.Millisecond)
	w.submit("b", step(2, 600*time.Millisecond), step(2, 300*time.Millisecond))
	w.run(300 * time.Millisecond)
	w.workerOf(work.TaskID{Job: "a"}).isCut = true
	w.takeOver()
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	w.run(12 * time.Second)
	if got := w.starts; got != 6 {
		t.Errorf("starts in all, the task of the dead worker's twice: got: %d, want: 6", got)
	}
	expectWhole(t, w)
}

func TestNothingIsOrderedBeforeItsPlaceIsKept(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(2, 200*time.Millisecond), step(2, 200*time.Millisecond))
	for w.starts < 2 {
		w.run(tick)
	}
	w.isOut = true
	w.run(2 * time.Second)
	if w.starts != 2 {
		t.Errorf("starts while places cannot be kept: got: %d, want: 2", w.starts)
	}
	w.runsAhead = true
	w.run(time.Second)
	if w.starts != 4 {
		t.Errorf("starts after the store has been out for long: got: %d, want: 4", w.starts)
	}
}

func TestAnOwnerThatStartedWithoutTheStoreLeavesAllTasksInDoubt(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	w.submit("a", step(1, 200*time.Millisecond), step(1, 200*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isOut, w.runsAhead = true, true
	w.run(250 * time.Millisecond)
	for _, m := range w.each() {
		m.isCut = true
	}
	w.isOut, w.isInexact = false, true
	w.takeOver()
	before := w.starts
	w.run(9 * time.Second)
	if w.starts != before {
		t.Errorf("starts while leases may run: got: %d, want: none", w.starts-before)
	}
}

// A worker stamps a listing when it answers, after it has put it together: a
// listing that was asked for before a start was confirmed did not have the
// attempt, and the task started a second time (soak seed 1 on a busy machine).
func TestAListingAskedForBeforeAStartEndsNothing(t *testing.T) {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: room}, {ID: "v", Service: "pool", Capacity: room}}, true)
	listed := func(id order.WorkerID, at order.WorkerTime, askedAt time.Time) {
		e.PollAnswered(&order.Poll{Worker: id, AskedAt: askedAt}, &order.Listing{At: at})
	}
	askedAt := c.Now()
	listed("w", 10, askedAt)
	listed("v", 10, askedAt)
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(1, time.Second)}})
	starts := []order.Start{}
	settle := func() {
		e.Schedule()
		for b := e.TakeBatch(); b != nil; b = e.TakeBatch() {
			e.Committed(b)
			e.Schedule()
		}
		for _, a := range e.Actions() {
			if s, ok := a.(order.Start); ok {
				starts = append(starts, s)
			}
		}
	}
	settle()
	c.Advance(5 * time.Millisecond)
	e.Advance(c.Now())
	e.StartAnswered(starts[0].Worker, starts[0].Task, 1, order.StartSucceeded, 20)
	listed(starts[0].Worker, 30, askedAt)
	settle()
	if len(starts) != 1 {
		t.Errorf("starts: got: %d, want: 1", len(starts))
	}
	for at := order.WorkerTime(40); at <= 50; at += 10 {
		askedAt = c.Now()
		c.Advance(5 * time.Millisecond)
		e.Advance(c.Now())
		listed(starts[0].Worker, at, askedAt)
		settle()
	}
	if len(starts) != 2 {
		t.Errorf("starts after a later listing without the attempt: got: %d, want: 2", len(starts))
	}
}

// After a stop was confirmed the engine waited up to 0.9 s for a listing whose
// answer was lost before it asked for another one.
func TestALostListingIsAskedForAgain(t *testing.T) {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: room}}, true)
	e.PollAnswered(&order.Poll{Worker: "w", AskedAt: c.Now()}, &order.Listing{At: 10})
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(1, time.Second)}})
	looks := 0
	advance := func(d time.Duration) {
		c.Advance(d)
		e.Advance(c.Now())
		e.Tick()
		e.Schedule()
		for b := e.TakeBatch(); b != nil; b = e.TakeBatch() {
			e.Committed(b)
		}
		for _, a := range e.Actions() {
			switch a := a.(type) {
			case order.Start:
				e.StartAnswered(a.Worker, a.Task, a.Run, order.StartUnknown, 0)
			case order.Stop:
				e.StopAnswered(a.Worker, a.Task, a.Run, true, 20)
			case order.Poll:
				if a.IsImmediate {
					looks++
				}
			case order.QueryPermission, order.Pace:
			}
		}
	}
	for range 60 {
		advance(10 * time.Millisecond)
	}
	if looks < 3 {
		t.Errorf("listings asked for without an answer in 0.6 s: got: %d, want: 3 or more", looks)
	}
	if looks > 4 {
		t.Errorf("listings asked for without an answer in 0.6 s: got: %d, want: at most 4", looks)
	}
}

// Listings of many workers that only tell of progress are asked for less often: at
// 0.5 s for each of 1,100 workers they were two of three messages of an owner.
func TestListingsOfManyWorkersAreAskedForLessOften(t *testing.T) {
	for workers, want := range map[int]time.Duration{48: 500 * time.Millisecond, 1100: 1100 * time.Millisecond, 5000: 2 * time.Second} {
		c := clock.NewFake()
		e := dispatch.NewEngine(dispatch.Options{})
		e.Advance(c.Now())
		e.SetOwnershipConfirmed(true)
		e.SetQueues([]order.Queue{testQueue})
		e.RestoreJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(1, time.Second)}}, nil)
		list := []order.Worker{}
		for i := range workers {
			list = append(list, order.Worker{ID: order.WorkerID(fmt.Sprint(i)), Service: "pool", Capacity: room})
		}
		e.SetWorkers(list, true)
		running := []order.Running{{Task: work.TaskID{Job: "a"}, Run: 1}}
		for _, a := range e.Actions() {
			if h := a.(order.Poll); h.Worker == "0" {
				e.PollAnswered(&h, &order.Listing{At: 1, Running: running})
			}
		}
		for _, a := range e.Actions() {
			if h, ok := a.(order.Poll); ok && h.Wait != want {
				t.Errorf("%d workers: wait of a busy one: got: %v, want: %v", workers, h.Wait, want)
			}
		}
	}
}
