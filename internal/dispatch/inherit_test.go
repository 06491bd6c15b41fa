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

// successor is the engine of an owner that has taken over with one waiting job. The previous owner
// was in write-behind mode, so that the job's task may run on any worker.
type successor struct {
	*dispatch.Engine
	clock *clock.Fake
}

// newSuccessor returns such an engine. The previous owner's worker list had listed workers, and its
// last lease expires after 9 s.
func newSuccessor(listed int) *successor {
	c := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{HeartbeatInterval: 1500 * time.Millisecond})
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.RestoreJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}}, nil)
	e.Inherit(c.Now().Add(9*time.Second), false, listed)
	return &successor{e, c}
}

// startsAfter advances the time by d and returns the number of orders to start a task that the
// engine issues then.
func (s *successor) startsAfter(d time.Duration) int {
	s.clock.Advance(d)
	s.Advance(s.clock.Now())
	s.Tick()
	s.Schedule()
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

// setWorkerList sets the platform's list of workers.
func (s *successor) setWorkerList(ids ...order.WorkerID) {
	workers := []order.Worker{}
	for _, id := range ids {
		workers = append(workers, order.Worker{ID: id, Service: "pool", Capacity: workerCapacity})
	}
	s.SetWorkers(workers, true)
}

// reportIdle answers a poll for a worker that runs nothing.
func (s *successor) reportIdle(id order.WorkerID) {
	at := order.WorkerTime(s.clock.Now().Sub(clock.NewFake().Now()) + time.Second)
	s.PollAnswered(&order.Poll{Worker: id, AskedAt: s.clock.Now()}, &order.Listing{At: at})
}

// After a takeover from an owner in write-behind mode, tasks may start once all workers have
// reported what they run. All tasks of all jobs once waited 6.5 s for leases to expire even then.
func TestUncertaintyEndsWhenAllWorkersHaveReported(t *testing.T) {
	owner := newSuccessor(2)
	owner.setWorkerList("v", "w")
	owner.reportIdle("v")
	if got := owner.startsAfter(100 * time.Millisecond); got != 0 {
		t.Errorf("one of two workers has reported: got: %d starts, want: none", got)
	}
	owner.reportIdle("w")
	if got := owner.startsAfter(100 * time.Millisecond); got != 1 {
		t.Errorf("all workers have reported: got: %d starts, want: 1", got)
	}
	if owner.HasUnpersisted() {
		t.Error("got: unpersisted placements, want: none")
	}
}

// A worker list that is shorter than the previous owner's may lack running workers until the
// platform has restored all entries, which takes up to 2.3 s.
func TestUncertaintyRemainsWhileWorkerListIsIncomplete(t *testing.T) {
	owner := newSuccessor(2)
	owner.setWorkerList("v")
	owner.reportIdle("v")
	if got := owner.startsAfter(2200 * time.Millisecond); got != 0 {
		t.Errorf("one of two workers is listed: got: %d starts, want: none", got)
	}
	if got := owner.startsAfter(200 * time.Millisecond); got != 1 {
		t.Errorf("the list is complete again: got: %d starts, want: 1", got)
	}
}

// A worker that is removed from the list before it has reported may be unreachable and still run
// tasks until its lease expires.
func TestUncertaintyRemainsUntilLeaseOfUnreportedWorkerExpires(t *testing.T) {
	owner := newSuccessor(2)
	owner.setWorkerList("v", "w")
	owner.reportIdle("v")
	owner.setWorkerList("v")
	if got := owner.startsAfter(3 * time.Second); got != 0 {
		t.Errorf("its lease may be valid: got: %d starts, want: none", got)
	}
	owner.reportIdle("v")
	if got := owner.startsAfter(time.Second); got != 1 {
		t.Errorf("its lease has expired: got: %d starts, want: 1", got)
	}
}

// Guards against tasks that start elsewhere because a draining worker that never reported was removed
// from the list: it may be cut off, and run until its lease expires.
func TestUncertaintyRemainsUntilLeaseOfUnreportedDrainingWorkerExpires(t *testing.T) {
	for name, tc := range map[string]struct {
		heartbeatAge time.Duration
		// isFailed means that polls have failed, which were sent askedBefore the removal was seen.
		isFailed    bool
		askedBefore time.Duration
		// wants is how many starts are wanted before its lease can have expired.
		wants int
	}{
		"old heartbeat":                         {5 * time.Second, true, 0, 0},
		"recent heartbeat, not polled yet":      {time.Second, false, 0, 0},
		"recent heartbeat, earlier polls fail":  {time.Second, true, time.Millisecond, 0},
		"recent heartbeat, the next polls fail": {time.Second, true, 0, 1},
	} {
		owner := newSuccessor(2)
		v := order.Worker{ID: "v", Service: "pool", Capacity: workerCapacity}
		w := order.Worker{ID: "w", Service: "pool", Capacity: workerCapacity, IsDraining: true}
		owner.SetWorkers([]order.Worker{v, w}, true)
		owner.reportIdle("v")
		w.IsRemoved, w.HeartbeatAfter = true, owner.clock.Now().Add(-tc.heartbeatAge)
		owner.SetWorkers([]order.Worker{v, w}, true)
		failPolls := func(askedAt time.Time) {
			for range dispatch.PollsUntilShutDown {
				owner.PollFailed(&order.Poll{Worker: "w", AskedAt: askedAt, IsImmediate: true})
			}
		}
		if tc.isFailed {
			failPolls(owner.clock.Now().Add(-tc.askedBefore))
		}
		owner.startsAfter(2900 * time.Millisecond)
		owner.reportIdle("v")
		if got := owner.startsAfter(100 * time.Millisecond); got != tc.wants {
			t.Errorf("%s: its lease may be valid: got: %d starts, want: %d", name, got, tc.wants)
		}
		owner.reportIdle("v")
		failPolls(owner.clock.Now())
		if got := owner.startsAfter(time.Second); got != 1-tc.wants {
			t.Errorf("%s: its lease has expired, or it has ended: got: %d starts, want: %d", name, got, 1-tc.wants)
		}
	}
}

// What workers report of a previous owner's orders is unpersisted until the store has it. An owner
// learned from workers which tasks the previous owner had started in write-behind mode, and that
// one of them had ended. It declared everything persisted when the last worker had reported, before
// its own batch was committed: the next owner started that task again at once.
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
	if !owner.HasUnpersisted() {
		t.Error("before the commit: got: everything is persisted, want: the end is not, so that the next owner must not rely on it")
	}
	owner.Refused(b)
	if !owner.HasUnpersisted() {
		t.Error("the batch was refused: got: everything is persisted, want: the end is not, so that the next owner must not rely on it")
	}
	owner.clock.Advance(100 * time.Millisecond)
	owner.Advance(owner.clock.Now())
	owner.Committed(owner.TakeBatch())
	if owner.HasUnpersisted() {
		t.Error("after the commit: got: not everything is persisted, want: everything")
	}
}

// An owner that knew of no attempt planned a task under the number of an attempt that a previous
// owner had started in write-behind mode. The end of that attempt was reported while the placement
// waited for the store. The two have the same number, and the planned attempt was started
// nevertheless.
func TestPlannedAttemptIsDroppedWhenSameNumberedAttemptHasEnded(t *testing.T) {
	expectOnlyOtherTaskStarts(t, func(m *modelWorker, id work.TaskID) { m.endRun(id, &modelRun{run: 1}, order.EndSucceeded) })
}

// As above, but the previous owner's attempt still runs: the owner must adopt it.
func TestPlannedAttemptIsDroppedWhenTaskIsAlreadyRunning(t *testing.T) {
	expectOnlyOtherTaskStarts(t, func(m *modelWorker, id work.TaskID) {
		m.running[id] = &modelRun{run: 1, beganAt: m.now, endsAt: m.now.Add(200 * time.Millisecond)}
	})
}

// expectOnlyOtherTaskStarts lets a worker report an attempt of one of two tasks while the
// placements of both wait for the store, and checks that only the other task starts.
func expectOnlyOtherTaskStarts(t *testing.T, report func(m *modelWorker, id work.TaskID)) {
	t.Helper()
	w := newSimWithStartTimes(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(2, 300*time.Millisecond))
	w.run(tick)
	w.isStoreDown = true
	w.run(500 * time.Millisecond)
	m, id := w.workers["w01"], work.TaskID{Job: "a"}
	report(m, id)
	w.run(500 * time.Millisecond)
	w.isStoreDown = false
	w.run(time.Second)
	if w.startCount != 1 {
		t.Errorf("starts: got: %d, want: 1, of the other task", w.startCount)
	}
	expectState(t, w, "a", work.JobSucceeded)
}

// Guards against inherited tasks that wait for a worker on which nothing of theirs can run: the witnesses of the previous owner
// rule out that it started tasks ahead of the store.
func TestConfirmedPlacementsEndTheUncertainty(t *testing.T) {
	owner := newSuccessor(2)
	owner.InheritWorkers([]order.WorkerID{"v", "w"}, true)
	owner.setWorkerList("v")
	owner.reportIdle("v")
	if got := owner.startsAfter(time.Second); got != 0 {
		t.Errorf("before the confirmation: got: %d starts, want: none", got)
	}
	owner.ConfirmPlacements()
	if got := owner.startsAfter(100 * time.Millisecond); got != 1 {
		t.Errorf("after the confirmation: got: %d starts, want: 1", got)
	}
	if owner.HasUnpersisted() {
		t.Error("got: unpersisted placements, want: none")
	}
}

// Guards against jobs that wait for a lease because of what an owner before the one that accepted them may have started, and
// against tasks that run twice because jobs of before that are not held back any more.
func TestJobsAcceptedInADoubtWaitForNoEarlierOwner(t *testing.T) {
	const epoch = 7
	c := clock.NewFake()
	newOwner := func(epoch uint64) *successor {
		e := dispatch.NewEngine(dispatch.Options{HeartbeatInterval: 1500 * time.Millisecond, Epoch: epoch})
		e.Advance(c.Now())
		e.SetOwnershipConfirmed(true)
		e.SetQueues([]order.Queue{testQueue})
		return &successor{e, c}
	}
	newSpec := func(id work.JobID) *work.Spec {
		// A caller cannot choose the epoch.
		return &work.Spec{ID: id, Queue: "q", Steps: []work.Step{newStep(1, time.Second)}, Epoch: 1 << 40}
	}
	accepted := map[work.JobID]*work.Spec{}
	accept := func(owner *successor, id work.JobID) {
		owner.AddJob(newSpec(id))
		b := owner.TakeBatch()
		accepted[id] = b.NewJobs[0]
		owner.Committed(b)
	}
	first := newOwner(epoch - 1)
	accept(first, "before")
	second := newOwner(epoch)
	second.RestoreJob(accepted["before"], nil)
	second.Inherit(c.Now().Add(9*time.Second), false, 2)
	accept(second, "later")
	for id, want := range map[work.JobID]uint64{"before": 0, "later": epoch} {
		if got := accepted[id].Epoch; got != want {
			t.Errorf("epoch of the job %s: got: %d, want: %d", id, got, want)
		}
	}

	third := newOwner(epoch + 1)
	third.RestoreJob(accepted["before"], nil)
	third.RestoreJob(accepted["later"], nil)
	third.Inherit(c.Now().Add(9*time.Second), false, 2)
	third.InheritWorkers([]order.WorkerID{"v", "w"}, true)
	third.setWorkerList("v")
	third.reportIdle("v")
	if got := third.startsAfter(time.Second); got != 0 {
		t.Errorf("in doubt about both: got: %d starts, want: none", got)
	}
	third.ConfirmPlacementsSince(epoch)
	third.reportIdle("v")
	if got := third.startsAfter(100 * time.Millisecond); got != 1 {
		t.Errorf("in doubt about the earlier one: got: %d starts, want: 1, of the later one", got)
	}
	if !third.HasUnpersisted() || third.IsInheritanceKnown() {
		t.Error("got: all known, want: in doubt about the earlier one")
	}
}
