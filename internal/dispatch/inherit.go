// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Inherit says that the jobs known so far had an earlier owner, whose leases are
// all over at until. A task that it may have started on a worker is not started
// elsewhere before that worker has told what it runs, or until.
//
// isExact means that the earlier owner kept each place of a task before it
// ordered the start. Otherwise any task may run anywhere, and none is started
// before all workers have told what they run, or until. listed is how many
// workers the earlier owner's list had.
func (e *Engine) Inherit(until time.Time, isExact bool, listed int) {
	e.inheritedLeasesUntil = until
	if !isExact {
		e.inherited = &inheritedDoubt{until: until, listed: listed, entriesBackAt: e.now.Add(entriesBack)}
	}
	for _, j := range e.activeJobs {
		j.isInherited, j.isInexact = true, !isExact
	}
}

// entriesBack is how long after the store's return the entries of workers that
// live may be missing from the platform's list: about two seconds by its word.
const entriesBack = 2300 * time.Millisecond

// inheritedDoubt is what is open about the orders of an earlier owner that did not keep
// the places of all tasks.
type inheritedDoubt struct {
	// until is when all leases that it gave are over.
	until time.Time
	// listed is how many workers its list had. A shorter list may lack some that
	// live until entriesBackAt.
	listed        int
	entriesBackAt time.Time
	// entries is how many workers the list has now; 0 before it is known to be whole.
	entries int
	// hasUnclear means that the list has entries of unknown workers that tell nothing. A
	// worker writes its own again with each heartbeat.
	hasUnclear bool
	// lostUntil is when the leases are over of workers that went from the list before
	// they told what they run.
	lostUntil time.Time
}

// lost takes that a worker went from the list before it told what it runs. One
// that drained has ended; another was silent for two heartbeats at least, and
// goes on under its lease if it is only cut off.
func (e *Engine) lost(w *worker) {
	if e.inherited == nil || w.session.IsListed() || w.IsDraining {
		return
	}
	e.inherited.lostUntil = e.now.Add(session.OwnBound - (heartbeatsMissed-1)*e.options.HeartbeatInterval)
}

// isDoubtOver reports whether all workers have told what they run, or nothing of the
// earlier owner's can run any more.
func (e *Engine) isDoubtOver() bool {
	d := e.inherited
	if !e.now.Before(d.until) {
		return true
	}
	isWhole := d.entries > 0 && (d.entries >= d.listed && !d.hasUnclear || !e.now.Before(d.entriesBackAt))
	if !isWhole || e.now.Before(d.lostUntil) {
		return false
	}
	for _, w := range e.workers.All() {
		if !w.session.IsListed() && !w.isGone {
			return false
		}
	}
	return true
}

// holdTask notes that a task may run on a worker by an earlier owner's order.
func (e *Engine) holdTask(id work.TaskID, worker order.WorkerID) {
	s, t := e.find(id)
	if t == nil || t.state != taskWaiting || slices.Contains(t.heldBy, worker) {
		return
	}
	t.heldBy = append(t.heldBy, worker)
	e.chargeCustomer(s)
	e.uncertainTasks.Set(worker, append(e.uncertainTasks.Get(worker), id))
}

// isBlocked reports whether any task of the job may run where nobody can tell.
func (e *Engine) isBlocked(j *job) bool {
	return j.isInherited && e.inherited != nil
}

// settle says that it is known what a worker runs.
func (e *Engine) settle(id order.WorkerID, why string) {
	tasks, ok := e.uncertainTasks.Find(id)
	if !ok {
		return
	}
	e.uncertainTasks.Delete(id)
	for _, task := range tasks {
		if s, t := e.find(task); t != nil {
			t.heldBy = slices.DeleteFunc(t.heldBy, func(w order.WorkerID) bool { return w == id })
			e.releaseCustomer(s)
			if w := e.workers.Get(id); w == nil || w.attempts.Get(task) == nil {
				e.abandonedStarts.Note(id, task, t.run, e.now, e.now)
			}
		}
	}
	if why != settledByListing {
		e.noteInheritedCrash(id, tasks, why == settledByLife)
	}
	e.needsScheduling = true
	if why != settledByListing {
		e.options.Log(events.InheritedSettled, "worker", id, "tasks", len(tasks), "why", why)
	}
	if e.uncertainTasks.Len() == 0 {
		e.options.Log(events.Inherited, "last", id, "why", why)
	}
}

// Why it is known what a worker runs.
const (
	settledByListing = "told what it runs"
	settledByLife    = "life over"
	settledByTime    = "leases lapsed"
)

// tickInherited settles workers whose leases are over and that nobody reaches.
func (e *Engine) tickInherited() {
	if e.inherited != nil && e.isDoubtOver() {
		e.options.Log(events.DoubtOver, "entries", e.inherited.entries, "earlier", e.inherited.listed, "left", e.inherited.until.Sub(e.now))
		e.inherited = nil
		e.needsScheduling = true
		e.hasUnpersistedReports = true
		e.currentBatch()
	}
	if e.now.Before(e.inheritedLeasesUntil) {
		return
	}
	for id := range e.uncertainTasks.All() {
		if w := e.workers.Get(id); w == nil || e.now.After(w.session.Until()) {
			e.settle(id, settledByTime)
		}
	}
}
