// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// newTellingWorld returns a world in which workers tell when they started.
func newSimWithStartTimes(seed uint64) *sim {
	w := newSim(seed)
	w.workersStartedAt = w.startedAt
	return w
}

// named returns the worker to which an order goes: the platform knows it by its name, and
// whichever start is there gets it.
func (w *sim) workerByID(id order.WorkerID) *modelWorker { return w.workers[id.Name()] }

// restart ends all that a worker runs and starts it again some time later under its ID, with
// a clock that shows clock then. What is on its way to it meanwhile is lost; what comes later
// reaches the newer start.
func (w *sim) restart(m *modelWorker, after, clock time.Duration) {
	if m.isDead {
		return
	}
	m.isDead, m.isRestarting = true, true
	m.running = map[work.TaskID]*modelRun{}
	w.schedule(after, func() {
		m.startIncarnation(w.clock.Now(), w.elapsed(), clock)
		m.listedFrom = w.clock.Now().Add(max(w.listLag, defaultListLag))
	})
}

// listLag is how long after a worker has started again the list has its new entry, where a
// world does not say otherwise.
const defaultListLag = 400 * time.Millisecond

// loseOwner replaces the owner by one that does nothing for a while.
func (w *sim) takeOverAfterGap(gap time.Duration) {
	w.takeOver()
	for end := w.clock.Now().Add(gap); w.clock.Now().Before(end); {
		w.clock.Advance(tick)
		w.stepWorkers()
	}
}

// stopsTo lets the engine go on at the world's time and returns the orders to stop that go to a
// worker.
func (w *sim) stopsTo(name string) []order.Stop {
	w.engine.Advance(w.clock.Now())
	w.stepWorkers()
	w.engine.SetWorkers(w.workerList(), true)
	w.engine.Tick()
	stops := []order.Stop{}
	for _, a := range w.engine.Actions() {
		if s, ok := a.(order.Stop); ok && s.Worker.Name() == name {
			stops = append(stops, s)
		}
		w.execute(a)
	}
	return stops
}

// listed returns the worker's entry as the list has it.
func (m *modelWorker) listedEntry(now time.Time) order.Worker {
	if now.Before(m.listedFrom) {
		return m.previousEntry
	}
	return m.entry
}

// restartSome lets a worker start again, one second in three. Orders are not held up for
// seconds: TestAnOrderThatIsFirstToReachANewerStartRunsNothingTwice has those.
func (w *sim) restartRandomWorker() {
	w.lateOrderShare = 0
	ids := w.liveWorkers()
	if len(ids) == 0 || w.rng.IntN(3) > 0 {
		return
	}
	after := time.Duration(250+w.rng.IntN(3000)) * time.Millisecond
	w.restart(w.workers[ids[w.rng.IntN(len(ids))]], after, time.Duration(w.rng.IntN(4))*time.Hour)
}

// begin begins another start of the worker: it knows nothing of before.
func (m *modelWorker) startIncarnation(now time.Time, since, clock time.Duration) {
	m.isDead, m.isRestarting = false, false
	m.previousEntry = m.entry
	m.entry.ID = order.NewWorkerID(m.name, now)
	m.clockOffset = clock - time.Duration(float64(since)*(1-m.drift))
	m.fence, m.deadline = 0, 0
	m.running, m.highestEndedRun = map[work.TaskID]*modelRun{}, map[work.TaskID]uint64{}
	m.finished, m.nextEndNumber, m.confirmedUpTo = nil, 1, 0
}

// running returns how many tasks of a job run.
func (w *sim) runningTasks(id work.JobID) int {
	n := 0
	for _, m := range w.allWorkers() {
		for task := range m.running {
			if task.Job == id {
				n++
			}
		}
	}
	return n
}
