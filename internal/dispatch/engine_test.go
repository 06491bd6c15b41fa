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

// No task of a step may start before all tasks of the step before it have ended.
func TestStepStartsOnlyAfterPredecessorEnds(t *testing.T) {
	w := newSim(1)
	w.addWorkers(3, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(5, 300*time.Millisecond), newStep(2, 300*time.Millisecond))
	w.run(200 * time.Millisecond)
	expectState(t, w, "a", work.JobRunning)
	if w.startCount != 5 {
		t.Errorf("starts before the first step has ended: got: %d, want: 5", w.startCount)
	}
	w.run(2 * time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectNoViolations(t, w)
}

// A task must not start before the store has accepted its job: a job that is refused in the end
// would have run.
func TestJobStartsOnlyOncePersisted(t *testing.T) {
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

// The engine must not confirm an end to the worker before the store has it: a worker forgets
// confirmed ends, so that the end would be lost with the owner.
func TestEndIsConfirmedOnlyOncePersisted(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 100*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.isStoreDown = true
	w.run(time.Second)
	if got := len(w.workers["w00"].finished); got != 1 {
		t.Errorf("unconfirmed ends of the worker while the store is down: got: %d, want: 1", got)
	}
	expectState(t, w, "a", work.JobRunning)
	w.isStoreDown = false
	w.run(time.Second)
	if got := len(w.workers["w00"].finished); got != 0 {
		t.Errorf("unconfirmed ends of the worker after the store is back: got: %d, want: 0", got)
	}
	expectState(t, w, "a", work.JobSucceeded)
}

// The engine must pause between polls of a worker with unconfirmed ends, because such a worker
// answers at once. Polling it again without a pause, while the store was down and no end could be
// confirmed, led to 21 listings per second from each worker.
func TestUnconfirmedEndsCauseNoBusyPolling(t *testing.T) {
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
		t.Errorf("listings in 2 s with an end that is not persisted: got: %d, want: at most 8", got)
	}
}

// The capacity of a start whose answer was lost must stay reserved, since the start may reach its
// worker seconds later. If the capacity were freed in between, the task would run twice or exceed
// the worker's capacity.
func TestUnacknowledgedStartKeepsItsCapacity(t *testing.T) {
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

// A job must fail when one of its tasks has failed in the last of the queue's MaxAttempts attempts,
// and the task must not start again.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
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

// A failure that is in the store must not count again when a worker lists it after a takeover,
// which it does if the confirmation has not reached it. If the failure counted twice, the job would
// fail after too few attempts.
func TestFailureIsCountedOnceAfterTakeover(t *testing.T) {
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
	// Both failures are in the store, but their confirmations have not reached the workers: they
	// list the failures again.
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

// The cancellation of a job must stop its running tasks, and the cancellation of an unknown job
// must report that there is no such job.
func TestCancelStopsRunningTasks(t *testing.T) {
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
		t.Error("cancel of a job that was never submitted: got: true, want: false")
	}
}

// A new owner must adopt the tasks that it finds running instead of starting them again.
func TestTakeoverRestartsNoRunningTasks(t *testing.T) {
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

// A new owner must let the leases of the previous owner run out before it treats their tasks as
// lost. It has granted no lease itself, and once regarded those leases as expired: it would have
// started their tasks a second time.
func TestTakeoverRespectsPreviousOwnersLeases(t *testing.T) {
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
	if got := w.engine.Counts().Expired; got != 0 {
		t.Errorf("leases regarded as expired 4 s after the takeover: got: %d, want: 0", got)
	}
}

// A new owner whose ownership is not confirmed yet renews no lease. Only the previous owner's
// leases then show that tasks may still run: the new owner must not regard them as expired, or it
// would start tasks a second time.
func TestUnconfirmedOwnerRespectsPreviousOwnersLeases(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(6, 20*time.Second))
	w.run(time.Second)
	w.takeOver()
	w.engine.SetOwnershipConfirmed(false)
	w.run(300 * time.Millisecond)
	for _, m := range w.allWorkers() {
		m.isPartitioned = true
	}
	w.run(3 * time.Second)
	if got := w.engine.Counts().Expired; got != 0 {
		t.Errorf("leases regarded as expired 3 s after the takeover: got: %d, want: 0", got)
	}
}

// Only the tasks that may run on an unreachable draining worker have to wait for its lease after a
// takeover. A worker that was draining when the owner was lost, and then became unreachable, once
// delayed all tasks of all jobs by 9.7 s: the new owner waited for its lease before it started
// anything.
func TestDrainingWorkerDelaysNoOtherTasksAfterTakeover(t *testing.T) {
	w := newSim(1)
	w.addWorkers(3, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(1, 30*time.Second))
	w.run(300 * time.Millisecond)
	draining := w.workerOf(work.TaskID{Job: "a"})
	draining.entry.IsDraining = true
	w.submit("b", newStep(2, 300*time.Millisecond), newStep(2, 300*time.Millisecond))
	w.run(800 * time.Millisecond)
	draining.isPartitioned = true
	w.takeOver()
	w.run(3 * time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	if got := w.startCount; got != 5 {
		t.Errorf("starts before the lease of the draining worker has expired: got: %d, want: 5", got)
	}
	w.run(10 * time.Second)
	if got := w.startCount; got != 6 {
		t.Errorf("starts after the lease has expired: got: %d, want: 6", got)
	}
	expectNoViolations(t, w)
}

// No task may be placed on a worker that its platform drains.
func TestDrainingWorkerGetsNoNewTasks(t *testing.T) {
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

// Long-running tasks must be moved to other workers while their worker drains. They once ran on it
// until it left, and were then not running for 6 s, until its lease had expired.
func TestLongRunningTasksAreMovedWhileTheirWorkerDrains(t *testing.T) {
	w := newSim(1)
	w.addWorkers(3, workerCapacity)
	w.run(time.Second)
	longRunning := newStep(4, time.Hour)
	longRunning.IsLongRunning = true
	w.submit("a", longRunning)
	w.run(time.Second)
	draining := w.workerOf(work.TaskID{Job: "a"})
	draining.entry.IsDraining = true
	for range 60 {
		w.run(100 * time.Millisecond)
		running := 0
		for _, m := range w.allWorkers() {
			running += len(m.running)
		}
		if running < 3 {
			t.Fatalf("running long-running tasks while the worker drains: got: %d, want: 3 or more of 4", running)
		}
	}
	if got := len(draining.running); got != 0 {
		t.Errorf("tasks on the draining worker: got: %d, want: 0", got)
	}
	expectNoViolations(t, w)
}

// An owner whose ownership is not confirmed must neither start tasks nor renew leases: another
// owner may have taken over the shard.
func TestUnconfirmedOwnerStartsNoTasks(t *testing.T) {
	w := newSim(1)
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	w.engine.SetOwnershipConfirmed(false)
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

// The entry of a crashed worker stays in the list for some seconds beside that of its replacement
// on the same machine, and must not end the replacement's tasks. The engine once regarded each of
// the two entries in turn as the later one, so that tasks of the live worker were started again.
func TestStaleWorkerEntryEndsNoTasksOfReplacement(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(8, 20*time.Second))
	w.run(time.Second)
	crashed := w.workers["w00"]
	w.crashAndReplace("w00", "x00")
	w.staleEntries = []order.Worker{crashed.entry}
	w.run(3 * time.Second)
	for _, m := range w.allWorkers() {
		if !m.isDead && len(m.running) != 4 {
			t.Errorf("%s: got: %d running, want: 4", m.entry.ID, len(m.running))
		}
	}
	if w.startCount != 12 {
		t.Errorf("starts: got: %d, want: 12, 8 at first and 4 again after the crash", w.startCount)
	}
	expectNoViolations(t, w)
}

// A task must not count as stuck while its worker sends no listing. The answers to orders carry the
// worker's clock but no progress: tasks on a worker that answered many orders, and sent no listing
// meanwhile, once counted as stuck because the clock advanced without progress.
func TestTaskIsNotCountedAsStuckWithoutListing(t *testing.T) {
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
		t.Fatalf("starts while no listing came: got: %d, want: 10 or more", w.startCount)
	}
	if got := w.engine.Counts().Stopped; got != 0 {
		t.Errorf("attempts stopped: got: %d, want: 0", got)
	}
}

// A task that makes no progress for too long must be stopped and started on another worker.
func TestStuckTaskIsStartedElsewhere(t *testing.T) {
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

// Only the tasks that the store has placed on a lost worker have to wait for its lease. When two
// workers were lost together with the owner, all tasks of all jobs once waited 9.8 s for the leases
// of these workers, because any task might have been started there.
func TestWorkerLostWithOwnerDelaysNoOtherTasks(t *testing.T) {
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
		t.Errorf("starts in total, with the lost worker's task started twice: got: %d, want: 6", got)
	}
	expectNoViolations(t, w)
}

// A start must only be ordered when its placement is in the store: the next owner could not find
// the run otherwise. The exception is write-behind mode, which the engine enters after a longer
// outage so that jobs make progress.
func TestStartIsOrderedOnlyOncePlacementIsPersisted(t *testing.T) {
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
		t.Errorf("starts while placements cannot be persisted: got: %d, want: 2", w.startCount)
	}
	w.isWriteBehind = true
	w.run(time.Second)
	if w.startCount != 4 {
		t.Errorf("starts while the engine runs write-behind: got: %d, want: 4", w.startCount)
	}
}

// The previous owner ran write-behind, so that any task may run on any worker without the store
// having the placement. The new owner must start nothing before the previous owner's leases have
// expired, or tasks would run twice.
func TestUnpersistedStartsDoNotRunTwiceAfterTakeover(t *testing.T) {
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
		t.Errorf("starts before the previous owner's leases have expired: got: %d, want: none", w.startCount-before)
	}
}

// A listing that was requested before a start was confirmed, and lacks the attempt, must not end
// it. A worker stamps a listing with its clock when it answers, which is after it has assembled the
// listing. Such a listing therefore lacked the attempt despite a later time stamp, and the task was
// started a second time (soak test with seed 1 on a busy machine).
func TestListingRequestedBeforeStartEndsNoAttempt(t *testing.T) {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
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

// An immediate poll without an answer must be repeated soon, but not without a pause. The engine
// sends one for a listing after a stop was confirmed. When the answer was lost it once waited up to
// 0.9 s before it polled again.
func TestLostImmediatePollIsRetried(t *testing.T) {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: workerCapacity}}, true)
	e.PollAnswered(&order.Poll{Worker: "w", AskedAt: c.Now()}, &order.Listing{At: 10})
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}})
	immediatePolls := 0
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
		t.Errorf("immediate polls in 0.6 s without an answer: got: %d, want: 3 or more", immediatePolls)
	}
	if immediatePolls > 4 {
		t.Errorf("immediate polls in 0.6 s without an answer: got: %d, want: at most 4", immediatePolls)
	}
}

// The more workers there are, the less often each must be asked for listings that report only
// progress: at an interval of 0.5 s for each of 1,100 workers these made up two thirds of an
// owner's messages.
func TestManyWorkersArePolledLessOften(t *testing.T) {
	for workers, want := range map[int]time.Duration{48: 500 * time.Millisecond, 1100: 1100 * time.Millisecond, 5000: 2 * time.Second} {
		c := clock.NewFake()
		e := dispatch.NewEngine(dispatch.Options{})
		e.Advance(c.Now())
		e.SetOwnershipConfirmed(true)
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
				t.Errorf("%d workers: length of a poll of a busy worker: got: %v, want: %v", workers, p.Wait, want)
			}
		}
	}
}
