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

// Bounds that callers rely on: a task under which that many workers have crashed is
// started fewer times more than moreStarts.
const (
	crashLimit     = 3
	maxExtraStarts = 3
)

// crashes is what a world knows of tasks that crash each worker that starts them.
type crashFaults struct {
	// isCrashing tells such tasks.
	isCrashing func(work.TaskID) bool
	// after is how long after its start the worker crashes, backAfter how long after that
	// its next life begins, and unlistedAfter how long the entry of the old one stays.
	crashDelay, restartDelay, unlistDelay time.Duration
	// under counts, by such a task, the workers that crashed while it ran there, and more
	// the starts since as many as are allowed.
	crashesUnder, extraStarts map[work.TaskID]int
	// isDark means that a worker that crashed is silent, and does not refuse connections.
	isSilent bool
	// isUnderName means that workers that crashed start again under their names.
	keepsName bool
	// workers counts all that crashed.
	crashCount int
}

// crashing makes the tasks for which isCrashing holds crash their workers.
func (w *sim) crashWorkersOf(isCrashing func(work.TaskID) bool) {
	w.crashFaults = &crashFaults{
		isCrashing: isCrashing, crashDelay: 10 * time.Millisecond, restartDelay: 3 * time.Second, unlistDelay: 4500 * time.Millisecond,
		crashesUnder: map[work.TaskID]int{}, extraStarts: map[work.TaskID]int{},
	}
}

// crashingTask makes one task crash its workers.
func (w *sim) crashWorkersOfTask(id work.TaskID) {
	w.crashWorkersOf(func(other work.TaskID) bool { return other == id })
}

// noteCrashing takes the start of a task that may crash its worker.
func (w *sim) recordCrashingStart(m *modelWorker, id work.TaskID) {
	c := w.crashFaults
	if c == nil || !c.isCrashing(id) {
		return
	}
	if c.crashesUnder[id] >= crashLimit {
		c.extraStarts[id]++
	}
	if c.extraStarts[id] >= maxExtraStarts {
		w.reportViolation("%s is started %d times more after %d workers have crashed under it", id, c.extraStarts[id], crashLimit)
	}
	w.schedule(c.crashDelay, func() { w.crashRunning(m, id) })
}

// crashUnder ends a worker's life, if the task still runs there.
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

// living returns the names of the workers that live, in their order.
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

// crashSome crashes workers that live, by no task's doing.
func (w *sim) crashRandomWorkers(n int) {
	ids := w.liveWorkers()
	w.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		w.crashAndRestart(w.workers[id])
	}
}

// crashAndReturn ends a worker's life, and begins the next one of its machine later.
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

// breakGangs ends the other members of a gang of which one is gone.
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

// bear begins the next life on the machine of a worker that crashed.
func (w *sim) replaceWorker(id string, m *modelWorker) {
	replacement := newModelWorker(id, m.entry.Capacity, -w.elapsed(), m.drift)
	replacement.entry.Machine = m.entry.Machine
	w.workers[replacement.name] = replacement
}

// unlist takes the entry of a life that is over out of the list.
func (w *sim) removeStaleEntry(id order.WorkerID) {
	kept := w.staleEntries[:0:0]
	for _, entry := range w.staleEntries {
		if entry.ID != id {
			kept = append(kept, entry)
		}
	}
	w.staleEntries = kept
}
