// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// newSimWithStartTimes returns a simulation in which workers report their start times.
func newSimWithStartTimes(seed uint64) *sim {
	w := newSim(seed)
	w.workersStartedAt = w.startedAt
	return w
}

// workerByID returns the worker that receives an order to id: the platform addresses a worker by
// its name, so that the order reaches whichever incarnation runs.
func (w *sim) workerByID(id order.WorkerID) *modelWorker { return w.workers[id.Name()] }

// restart ends all runs of a worker and starts its next incarnation some time later under the same
// name; its clock then starts at the given time. Orders that arrive in between are lost; orders
// that arrive later reach the new incarnation.
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

// defaultListLag is the least time after a restart for which the workers' list still has the entry
// of the previous incarnation; the field listLag can only extend it.
const defaultListLag = 400 * time.Millisecond

// takeOverAfterGap replaces the owner by one that does nothing for a while.
func (w *sim) takeOverAfterGap(gap time.Duration) {
	w.takeOver()
	for end := w.clock.Now().Add(gap); w.clock.Now().Before(end); {
		w.clock.Advance(tick)
		w.stepWorkers()
	}
}

// stopsTo runs the engine at the current time, without a scheduling pass, and returns the stops
// that it orders to a worker.
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

// listedEntry returns the entry that the platform's worker list shows for the worker. Until
// listedFrom it is the entry of the previous incarnation: a worker that has started writes its own
// entry into the list with some delay.
func (m *modelWorker) listedEntry(now time.Time) order.Worker {
	if now.Before(m.listedFrom) {
		return m.previousEntry
	}
	return m.entry
}

// restartRandomWorker restarts a random worker in one call of three. It switches off orders that
// arrive seconds late: TestAbandonedStartReachingANewIncarnationFirstRunsNoTaskTwice covers them.
func (w *sim) restartRandomWorker() {
	w.lateOrderShare = 0
	ids := w.liveWorkers()
	if len(ids) == 0 || w.rng.IntN(3) > 0 {
		return
	}
	after := time.Duration(250+w.rng.IntN(3000)) * time.Millisecond
	w.restart(w.workers[ids[w.rng.IntN(len(ids))]], after, time.Duration(w.rng.IntN(4))*time.Hour)
}

// startIncarnation starts the worker's next incarnation, which knows nothing of the previous one.
func (m *modelWorker) startIncarnation(now time.Time, since, clock time.Duration) {
	m.isDead, m.isRestarting = false, false
	m.previousEntry = m.entry
	m.entry.ID = order.NewWorkerID(m.name, now)
	m.clockOffset = clock - time.Duration(float64(since)*(1-m.drift))
	m.fence, m.deadline = 0, 0
	m.running, m.highestEndedRun = map[work.TaskID]*modelRun{}, map[work.TaskID]uint64{}
	m.finished, m.nextEndNumber, m.confirmedUpTo, m.doneEnds = nil, 1, 0, nil
}

// runningTasks returns how many tasks of a job run.
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
