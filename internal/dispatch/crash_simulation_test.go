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
	crashesAllowed = 3
	moreStarts     = 3
)

// crashes is what a world knows of tasks that crash each worker that starts them.
type crashes struct {
	// isCrashing tells such tasks.
	isCrashing func(work.TaskID) bool
	// after is how long after its start the worker crashes, backAfter how long after that
	// its next life begins, and unlistedAfter how long the entry of the old one stays.
	after, backAfter, unlistedAfter time.Duration
	// under counts, by such a task, the workers that crashed while it ran there, and more
	// the starts since as many as are allowed.
	under, more map[work.TaskID]int
	// isDark means that a worker that crashed is silent, and does not refuse connections.
	isDark bool
	// isUnderName means that workers that crashed start again under their names.
	isUnderName bool
	// workers counts all that crashed.
	workers int
}

// crashing makes the tasks for which isCrashing holds crash their workers.
func (w *world) crashing(isCrashing func(work.TaskID) bool) {
	w.crashes = &crashes{
		isCrashing: isCrashing, after: 10 * time.Millisecond, backAfter: 3 * time.Second, unlistedAfter: 4500 * time.Millisecond,
		under: map[work.TaskID]int{}, more: map[work.TaskID]int{},
	}
}

// crashingTask makes one task crash its workers.
func (w *world) crashingTask(id work.TaskID) {
	w.crashing(func(other work.TaskID) bool { return other == id })
}

// noteCrashing takes the start of a task that may crash its worker.
func (w *world) noteCrashing(m *modelWorker, id work.TaskID) {
	c := w.crashes
	if c == nil || !c.isCrashing(id) {
		return
	}
	if c.under[id] >= crashesAllowed {
		c.more[id]++
	}
	if c.more[id] >= moreStarts {
		w.breaks("%s is started %d times more after %d workers have crashed under it", id, c.more[id], crashesAllowed)
	}
	w.orderLater(c.after, func() { w.crashUnder(m, id) })
}

// crashUnder ends a worker's life, if the task still runs there.
func (w *world) crashUnder(m *modelWorker, id work.TaskID) {
	if m.isDead || m.running[id] == nil {
		return
	}
	for task := range m.runs() {
		if w.crashes.isCrashing(task) {
			w.crashes.under[task]++
		}
	}
	w.breakGangs(id)
	w.crashAndReturn(m)
}

// living returns the names of the workers that live, in their order.
func (w *world) living() []string {
	ids := []string{}
	for id, m := range w.each() {
		if !m.isDead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// crashSome crashes workers that live, by no task's doing.
func (w *world) crashSome(n int) {
	ids := w.living()
	w.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		w.crashAndReturn(w.workers[id])
	}
}

// crashAndReturn ends a worker's life, and begins the next one of its machine later.
func (w *world) crashAndReturn(m *modelWorker) {
	c := w.crashes
	c.workers++
	if c.isUnderName {
		w.restart(m, c.backAfter, time.Duration(w.rng.IntN(200))*time.Hour)
		return
	}
	old := m.entry
	m.refuses = !c.isDark
	m.isDead, m.running = true, map[work.TaskID]*modelRun{}
	w.lingering = append(w.lingering, old)
	next := fmt.Sprintf("%s.%d", old.Machine, c.workers)
	w.orderLater(c.backAfter, func() { w.bear(next, m) })
	w.orderLater(c.unlistedAfter, func() { w.unlist(old.ID) })
}

// breakGangs ends the other members of a gang of which one is gone.
func (w *world) breakGangs(id work.TaskID) {
	if !w.specs[id.Job].Steps[id.Step].IsGang {
		return
	}
	for _, m := range w.each() {
		for other, r := range m.runs() {
			if other.StepID() == id.StepID() {
				m.end(other, r, order.EndGangBroken)
			}
		}
	}
}

// bear begins the next life on the machine of a worker that crashed.
func (w *world) bear(id string, m *modelWorker) {
	born := newModelWorker(id, m.entry.Capacity, -w.since(), m.drift)
	born.entry.Machine = m.entry.Machine
	w.workers[born.name] = born
}

// unlist takes the entry of a life that is over out of the list.
func (w *world) unlist(id order.WorkerID) {
	kept := w.lingering[:0:0]
	for _, entry := range w.lingering {
		if entry.ID != id {
			kept = append(kept, entry)
		}
	}
	w.lingering = kept
}
