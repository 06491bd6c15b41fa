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

var workerCapacity = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 8000}

func newStep(count int, d time.Duration) work.Step {
	return work.Step{Count: count, Need: leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 500}, Estimate: d, MaxUnavailable: -1}
}

func jobState(w *sim, id work.JobID) work.JobState {
	s, _ := w.engine.State(id)
	return s
}

func expectState(t *testing.T, w *sim, id work.JobID, want work.JobState) {
	t.Helper()
	if got := jobState(w, id); got != want {
		t.Errorf("job %s: got: %v, want: %v", id, got, want)
	}
}

func expectNoViolations(t *testing.T, w *sim) {
	t.Helper()
	for _, b := range w.violations {
		t.Error(b)
	}
}

func TestStepsRunInDependencyOrder(t *testing.T) {
	w := newSim(1)
	w.addWorkers(3, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(5, 300*time.Millisecond), newStep(2, 300*time.Millisecond))
	w.run(200 * time.Millisecond)
	expectState(t, w, "a", work.JobRunning)
	if w.startCount != 5 {
		t.Errorf("starts before the first step is done: got: %d, want: 5", w.startCount)
	}
	w.run(2 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
}

func TestJobStartedBeforePersisted(t *testing.T) {
	w := newSim(1)
	w.addWorkers(3, workerCapacity)
	w.run(time.Second)
	w.isStoreDown = true
	w.submit("a", newStep(1, time.Second))
	w.run(time.Second)
	if w.startCount != 0 {
		t.Errorf("starts: got: %d, want: 0", w.startCount)
	}
	if refused := w.engine.RefuseNew(); len(refused) != 1 {
		t.Errorf("refused: got: %v, want: one job", refused)
	}
	w.isStoreDown = false
	w.run(2 * time.Second)
	if w.startCount != 0 {
		t.Errorf("starts of a refused job: got: %d, want: 0", w.startCount)
	}
}

func TestEndConfirmedBeforePersisted(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 100*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isStoreDown = true
	w.run(time.Second)
	if got := len(w.workers["w00"].finished); got != 1 {
		t.Errorf("ends that the worker keeps while the store is out: got: %d, want: 1", got)
	}
	expectState(t, w, "a", work.JobRunning)
	w.isStoreDown = false
	w.run(time.Second)
	if got := len(w.workers["w00"].finished); got != 0 {
		t.Errorf("ends that the worker keeps afterwards: got: %d, want: 0", got)
	}
	expectState(t, w, "a", work.JobSucceeded)
}

// A listing with ends that are not confirmed comes back at once: asking again
// without a pause made 21 listings a second of each worker.
func TestUnconfirmedEndsCauseBusyPolling(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.isStoreDown = true
	w.submit("a", newStep(1, 100*time.Millisecond))
	w.isStoreDown = false
	w.run(150 * time.Millisecond)
	w.isStoreDown = true
	before := w.pollCount("w00")
	w.run(2 * time.Second)
	if got := w.pollCount("w00") - before; got > 8 {
		t.Errorf("listings in 2 s with an end that is not kept: got: %d, want: at most 8", got)
	}
}

func TestUnacknowledgedStartLosesItsCapacity(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1000})
	w.run(time.Second)
	w.lostAnswerShare, w.lateOrderShare = 1, 1
	w.submit("a", newStep(1, time.Second))
	w.run(200 * time.Millisecond)
	w.lostAnswerShare = 0
	w.run(20 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
}

func TestJobNotFailedAfterMaxAttempts(t *testing.T) {
	w := newSim(1)
	w.failureShare = 1
	w.addWorkers(6, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 100*time.Millisecond))
	w.run(5 * time.Second)
	expectState(t, w, "a", work.JobFailed)
	if w.startCount != testQueue.MaxAttempts {
		t.Errorf("starts: got: %d, want: %d", w.startCount, testQueue.MaxAttempts)
	}
}

func TestFailureCountedTwiceAfterTakeover(t *testing.T) {
	w := newSim(1)
	w.failureShare = 1
	w.addWorkers(6, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 400*time.Millisecond))
	for w.startCount < 2 {
		w.run(tick)
	}
	w.failureShare = 0
	for w.startCount < 3 {
		w.run(tick)
	}
	// Both failures are kept, the workers have not been told: they list them again.
	id := work.TaskID{Job: "a"}
	for _, m := range w.allWorkers() {
		if run := m.highestEndedRun[id]; run > 0 {
			m.finished = []order.End{{Number: 1, Task: id, Run: run, Kind: order.EndFailed}}
		}
	}
	w.takeOver()
	w.run(5 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
}

func TestCancelLeavesTasksRunning(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(6, time.Minute))
	w.run(500 * time.Millisecond)
	if !w.engine.Cancel("a", "") {
		t.Fatal("cancel: got: no such job, want: true")
	}
	w.run(time.Second)
	expectState(t, w, "a", work.JobCancelled)
	for id, m := range w.allWorkers() {
		if len(m.running) > 0 {
			t.Errorf("%s: got: %d running, want: 0", id, len(m.running))
		}
	}
	if w.engine.Cancel("b", "") {
		t.Error("cancel of a job that was never handed in: got: true, want: false")
	}
}

func TestTakeoverRestartsRunningTasks(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(6, 3*time.Second))
	w.run(time.Second)
	w.takeOver()
	w.run(5 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	if w.startCount != 6 {
		t.Errorf("starts: got: %d, want: 6", w.startCount)
	}
	expectNoViolations(t, w)
}

// A new owner has given no lease yet: it took the leases of the earlier one as
// lapsed, and would have started their tasks a second time.
func TestTakeoverIgnoresPreviousOwnersLeases(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(6, 20*time.Second))
	w.run(time.Second)
	w.takeOver()
	w.run(30 * time.Millisecond)
	for _, m := range w.allWorkers() {
		m.isPartitioned = true
	}
	w.run(4 * time.Second)
	if got := w.engine.Counts().Lapsed; got != 0 {
		t.Errorf("leases taken as lapsed 4 s after the takeover: got: %d, want: 0", got)
	}
}

// Before a new owner is trusted it renews nothing: the earlier owner's leases are
// all that keeps tasks from being started a second time.
func TestUntrustedOwnerIgnoresPreviousOwnersLeases(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(6, 20*time.Second))
	w.run(time.Second)
	w.takeOver()
	w.engine.SetTrusted(false)
	w.run(300 * time.Millisecond)
	for _, m := range w.allWorkers() {
		m.isPartitioned = true
	}
	w.run(3 * time.Second)
	if got := w.engine.Counts().Lapsed; got != 0 {
		t.Errorf("leases taken as lapsed 3 s after the takeover: got: %d, want: 0", got)
	}
}

// One worker of the roster that was draining when the owner died held up all
// tasks of all jobs for 9.7 s.
func TestDrainingWorkerDelaysOtherTasksAfterTakeover(t *testing.T) {
	w := newSim(1)
	w.addWorkers(3, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 30*time.Second))
	w.run(300 * time.Millisecond)
	drained := w.workerOf(work.TaskID{Job: "a"})
	drained.entry.IsDraining = true
	w.submit("b", newStep(2, 300*time.Millisecond), newStep(2, 300*time.Millisecond))
	w.run(800 * time.Millisecond)
	drained.isPartitioned = true
	w.takeOver()
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	if got := w.startCount; got != 5 {
		t.Errorf("starts while the drained worker's lease runs: got: %d, want: 5", got)
	}
	w.run(10 * time.Second)
	if got := w.startCount; got != 6 {
		t.Errorf("starts after its lease: got: %d, want: 6", got)
	}
	expectNoViolations(t, w)
}

func TestDrainingWorkerGetsNewTasks(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.workers["w00"].entry.IsDraining = true
	w.run(100 * time.Millisecond)
	w.submit("a", newStep(1, time.Second))
	w.run(2 * time.Second)
	if w.startCount != 0 {
		t.Errorf("starts: got: %d, want: 0", w.startCount)
	}
}

// A worker that leaves ran its lasting tasks until its end; they were away until
// its lease was over, for 6 s.
func TestLongRunningTasksInterruptedByDraining(t *testing.T) {
	w := newSim(1)
	w.addWorkers(3, workerCapacity)
	w.run(time.Second)
	longRunning := newStep(4, time.Hour)
	longRunning.IsLongRunning = true
	w.submit("a", longRunning)
	w.run(time.Second)
	leaving := w.workerOf(work.TaskID{Job: "a"})
	leaving.entry.IsDraining = true
	for range 60 {
		w.run(100 * time.Millisecond)
		running := 0
		for _, m := range w.allWorkers() {
			running += len(m.running)
		}
		if running < 3 {
			t.Fatalf("lasting tasks at work meanwhile: got: %d, want: 3 or more of 4", running)
		}
	}
	if got := len(leaving.running); got != 0 {
		t.Errorf("tasks on the leaving worker: got: %d, want: 0", got)
	}
	expectNoViolations(t, w)
}

func TestUntrustedOwnerStartsTasks(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.engine.SetTrusted(false)
	deadline := w.workers["w00"].deadline
	w.submit("a", newStep(1, time.Second))
	w.run(3 * time.Second)
	if w.startCount != 0 {
		t.Errorf("starts: got: %d, want: 0", w.startCount)
	}
	if got := w.workers["w00"].deadline - deadline; got > order.WorkerTime(300*time.Millisecond) {
		t.Errorf("lease renewed by: got: %v, want: nothing", time.Duration(got))
	}
}

// The entry of a crashed worker stays in the list for some seconds beside that of
// the machine's next life. Each took the other for the later one in turn, so that
// tasks of the live one were started again.
func TestStaleWorkerEntryEndsTasksOfReplacement(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(8, 20*time.Second))
	w.run(time.Second)
	old := w.workers["w00"]
	w.crashAndReplace("w00", "x00")
	w.staleEntries = []order.Worker{old.entry}
	w.run(3 * time.Second)
	for _, m := range w.allWorkers() {
		if !m.isDead && len(m.running) != 4 {
			t.Errorf("%s: got: %d running, want: 4", m.entry.ID, len(m.running))
		}
	}
	if w.startCount != 12 {
		t.Errorf("starts: got: %d, want: 8 and 4 again", w.startCount)
	}
	expectNoViolations(t, w)
}

// The answers to orders told the worker's clock but no progress: tasks on a worker
// that got many orders and no listing counted as stuck.
func TestTaskCountedAsStuckWithoutListing(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, leverdyke.Resources{MilliCPU: 20_000, MemoryMiB: 20_000})
	w.run(time.Second)
	w.submit("a", newStep(1, 10*time.Second))
	w.run(300 * time.Millisecond)
	w.pollDelay = 5 * time.Second
	w.run(300 * time.Millisecond)
	for i := range 18 {
		w.submit(fmt.Sprintf("b%02d", i), newStep(1, 10*time.Second))
		w.run(170 * time.Millisecond)
	}
	if w.startCount < 10 {
		t.Fatalf("orders that were answered meanwhile: got: %d, want: 10 or more", w.startCount)
	}
	if got := w.engine.Counts().Stopped; got != 0 {
		t.Errorf("attempts stopped: got: %d, want: 0", got)
	}
}

func TestStuckTaskNotStartedElsewhere(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1000})
	w.run(time.Second)
	w.submit("a", newStep(1, 400*time.Millisecond))
	w.run(100 * time.Millisecond)
	stuck := w.workerOf(work.TaskID{Job: "a"})
	stuck.running[work.TaskID{Job: "a"}].isStuck = true
	w.run(3 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
}

// Two workers died with the owner: all tasks of all jobs waited 9.8 s for their
// leases, as any of them might have been started there.
func TestWorkerLostWithOwnerDelaysOtherTasks(t *testing.T) {
	w := newSim(1)
	w.addWorkers(4, workerCapacity)
	w.run(time.Second)
	wholeWorkerStep := newStep(1, 30*time.Second)
	wholeWorkerStep.Need = workerCapacity
	w.submit("a", wholeWorkerStep)
	w.run(300 * time.Millisecond)
	w.submit("b", newStep(2, 600*time.Millisecond), newStep(2, 300*time.Millisecond))
	w.run(300 * time.Millisecond)
	w.workerOf(work.TaskID{Job: "a"}).isPartitioned = true
	w.takeOver()
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	w.run(12 * time.Second)
	if got := w.startCount; got != 6 {
		t.Errorf("starts in all, the task of the dead worker's twice: got: %d, want: 6", got)
	}
	expectNoViolations(t, w)
}

func TestStartOrderedBeforePlacementPersisted(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(2, 200*time.Millisecond), newStep(2, 200*time.Millisecond))
	for w.startCount < 2 {
		w.run(tick)
	}
	w.isStoreDown = true
	w.run(2 * time.Second)
	if w.startCount != 2 {
		t.Errorf("starts while places cannot be kept: got: %d, want: 2", w.startCount)
	}
	w.isWriteBehind = true
	w.run(time.Second)
	if w.startCount != 4 {
		t.Errorf("starts after the store has been out for long: got: %d, want: 4", w.startCount)
	}
}

func TestUnpersistedStartsRunTwiceAfterTakeover(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 200*time.Millisecond), newStep(1, 200*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isStoreDown, w.isWriteBehind = true, true
	w.run(250 * time.Millisecond)
	for _, m := range w.allWorkers() {
		m.isPartitioned = true
	}
	w.isStoreDown, w.mayHaveUnpersistedStarts = false, true
	w.takeOver()
	before := w.startCount
	w.run(9 * time.Second)
	if w.startCount != before {
		t.Errorf("starts while leases may run: got: %d, want: none", w.startCount-before)
	}
}

// A worker stamps a listing when it answers, after it has put it together: a
// listing that was asked for before a start was confirmed did not have the
// attempt, and the task started a second time (soak seed 1 on a busy machine).
func TestListingRequestedBeforeStartEndsAttempt(t *testing.T) {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(c.Now())
	e.SetTrusted(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: workerCapacity}, {ID: "v", Service: "pool", Capacity: workerCapacity}}, true)
	listed := func(id order.WorkerID, at order.WorkerTime, askedAt time.Time) {
		e.PollAnswered(&order.Poll{Worker: id, AskedAt: askedAt}, &order.Listing{At: at})
	}
	askedAt := c.Now()
	listed("w", 10, askedAt)
	listed("v", 10, askedAt)
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}})
	starts := []order.Start{}
	settle := func() {
		e.Decide()
		for b := e.TakeBatch(); b != nil; b = e.TakeBatch() {
			e.Committed(b)
			e.Decide()
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
func TestLostImmediatePollNotRetried(t *testing.T) {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(c.Now())
	e.SetTrusted(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: workerCapacity}}, true)
	e.PollAnswered(&order.Poll{Worker: "w", AskedAt: c.Now()}, &order.Listing{At: 10})
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}})
	immediatePolls := 0
	advance := func(d time.Duration) {
		c.Advance(d)
		e.Advance(c.Now())
		e.Tick()
		e.Decide()
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
					immediatePolls++
				}
			case order.QueryPermission, order.Pace:
			}
		}
	}
	for range 60 {
		advance(10 * time.Millisecond)
	}
	if immediatePolls < 3 {
		t.Errorf("listings asked for without an answer in 0.6 s: got: %d, want: 3 or more", immediatePolls)
	}
	if immediatePolls > 4 {
		t.Errorf("listings asked for without an answer in 0.6 s: got: %d, want: at most 4", immediatePolls)
	}
}

// Listings of many workers that only tell of progress are asked for less often: at
// 0.5 s for each of 1,100 workers they were two of three messages of an owner.
func TestManyWorkersPolledTooOften(t *testing.T) {
	for workers, want := range map[int]time.Duration{48: 500 * time.Millisecond, 1100: 1100 * time.Millisecond, 5000: 2 * time.Second} {
		c := clock.NewFake()
		e := dispatch.NewEngine(dispatch.Options{})
		e.Advance(c.Now())
		e.SetTrusted(true)
		e.SetQueues([]order.Queue{testQueue})
		e.RestoreJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}}, nil)
		list := []order.Worker{}
		for i := range workers {
			list = append(list, order.Worker{ID: order.WorkerID(fmt.Sprint(i)), Service: "pool", Capacity: workerCapacity})
		}
		e.SetWorkers(list, true)
		running := []order.Running{{Task: work.TaskID{Job: "a"}, Run: 1}}
		for _, a := range e.Actions() {
			if p := a.(order.Poll); p.Worker == "0" {
				e.PollAnswered(&p, &order.Listing{At: 1, Running: running})
			}
		}
		for _, a := range e.Actions() {
			if p, ok := a.(order.Poll); ok && p.Wait != want {
				t.Errorf("%d workers: wait of a busy one: got: %v, want: %v", workers, p.Wait, want)
			}
		}
	}
}
