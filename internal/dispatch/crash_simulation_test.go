// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The bound that callers rely on: after crashLimit workers have crashed while they ran a task, the
// task is started fewer than maxExtraStarts times more.
const (
	crashLimit     = 3
	maxExtraStarts = 3
)

// crashFaults configures tasks that crash each worker that starts them, and counts the crashes.
type crashFaults struct {
	// isCrashing reports whether a task crashes its workers.
	isCrashing func(work.TaskID) bool
	// The worker crashes crashDelay after the start. Its machine gets a worker again restartDelay
	// after the crash, and the entry of the crashed one leaves the list unlistDelay after the
	// crash.
	crashDelay, restartDelay, unlistDelay time.Duration
	// crashesUnder counts, for each such task, the workers that crashed while it ran there, and
	// extraStarts its starts after crashLimit of them.
	crashesUnder, extraStarts map[work.TaskID]int
	// isSilent means that the machine of a crashed worker does not answer at all, instead of
	// refusing connections.
	isSilent bool
	// keepsName means that crashed workers restart under their names; otherwise a worker of another
	// name replaces them.
	keepsName bool
	// crashCount counts all crashes of workers.
	crashCount int
}

// crashWorkersOf makes the tasks for which isCrashing returns true crash their workers.
func (w *sim) crashWorkersOf(isCrashing func(work.TaskID) bool) {
	w.crashFaults = &crashFaults{
		isCrashing: isCrashing, crashDelay: 10 * time.Millisecond, restartDelay: 3 * time.Second, unlistDelay: 4500 * time.Millisecond,
		crashesUnder: map[work.TaskID]int{}, extraStarts: map[work.TaskID]int{},
	}
}

// crashWorkersOfTask makes one task crash its workers.
func (w *sim) crashWorkersOfTask(id work.TaskID) {
	w.crashWorkersOf(func(other work.TaskID) bool { return other == id })
}

// recordCrashingStart checks the bound at the start of a task that crashes its workers, and
// schedules the crash.
func (w *sim) recordCrashingStart(m *modelWorker, id work.TaskID) {
	c := w.crashFaults
	if c == nil || !c.isCrashing(id) {
		return
	}
	if c.crashesUnder[id] >= crashLimit {
		c.extraStarts[id]++
	}
	if c.extraStarts[id] >= maxExtraStarts {
		w.reportViolation("%s is started %d more times after %d workers crashed while running it", id, c.extraStarts[id], crashLimit)
	}
	w.schedule(c.crashDelay, func() { w.crashRunning(m, id) })
}

// crashRunning crashes a worker if the task still runs there.
func (w *sim) crashRunning(m *modelWorker, id work.TaskID) {
	if m.isDead || m.running[id] == nil {
		return
	}
	for task := range m.sortedRuns() {
		if w.crashFaults.isCrashing(task) {
			w.crashFaults.crashesUnder[task]++
		}
	}
	w.breakGangs(id)
	w.crashAndRestart(m)
}

// liveWorkers returns the sorted names of the workers that are not dead.
func (w *sim) liveWorkers() []string {
	ids := []string{}
	for id, m := range w.allWorkers() {
		if !m.isDead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// crashRandomWorkers crashes n random live workers; no task is the cause.
func (w *sim) crashRandomWorkers(n int) {
	ids := w.liveWorkers()
	w.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		w.crashAndRestart(w.workers[id])
	}
}

// crashAndRestart crashes a worker, and later starts its next incarnation or its replacement on the
// same machine.
func (w *sim) crashAndRestart(m *modelWorker) {
	c := w.crashFaults
	c.crashCount++
	if c.keepsName {
		w.restart(m, c.restartDelay, time.Duration(w.rng.IntN(200))*time.Hour)
		return
	}
	old := m.entry
	m.refusesConnections = !c.isSilent
	m.isDead, m.running = true, map[work.TaskID]*modelRun{}
	w.staleEntries = append(w.staleEntries, old)
	next := fmt.Sprintf("%s.%d", old.Machine, c.crashCount)
	w.schedule(c.restartDelay, func() { w.replaceWorker(next, m) })
	w.schedule(c.unlistDelay, func() { w.removeStaleEntry(old.ID) })
}

// breakGangs ends all members of a task's gang that run, as members of a broken gang.
func (w *sim) breakGangs(id work.TaskID) {
	if !w.specs[id.Job].Steps[id.Step].IsGang {
		return
	}
	for _, m := range w.allWorkers() {
		for other, r := range m.sortedRuns() {
			if other.StepID() == id.StepID() {
				m.endRun(other, r, order.EndGangBroken)
			}
		}
	}
}

// replaceWorker starts a worker of a new name on the machine of a worker that crashed.
func (w *sim) replaceWorker(id string, m *modelWorker) {
	replacement := newModelWorker(id, m.entry.Capacity, -w.elapsed(), m.drift)
	replacement.entry.Machine = m.entry.Machine
	w.workers[replacement.name] = replacement
}

// removeStaleEntry removes the entry of a crashed worker from the list.
func (w *sim) removeStaleEntry(id order.WorkerID) {
	remaining := w.staleEntries[:0:0]
	for _, entry := range w.staleEntries {
		if entry.ID != id {
			remaining = append(remaining, entry)
		}
	}
	w.staleEntries = remaining
}
