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
func (e *Engine) Inherit(until time.Time, areStartsPersisted bool, listedWorkers int) {
	e.inheritedUntil = until
	if !areStartsPersisted {
		e.inherited = &inheritedUncertainty{leasesExpireAt: until, previouslyListed: listedWorkers, listCompleteAt: e.now.Add(listRecoveryTime)}
	}
	for _, j := range e.live {
		j.isInherited, j.mayHaveUnpersistedStarts = true, !areStartsPersisted
	}
}

// entriesBack is how long after the store's return the entries of workers that
// live may be missing from the platform's list: about two seconds by its word.
const listRecoveryTime = 2300 * time.Millisecond

// inheritedDoubt is what is open about the orders of an earlier owner that did not keep
// the places of all tasks.
type inheritedUncertainty struct {
	// until is when all leases that it gave are over.
	leasesExpireAt time.Time
	// listed is how many workers its list had. A shorter list may lack some that
	// live until entriesBackAt.
	previouslyListed int
	listCompleteAt   time.Time
	// entries is how many workers the list has now; 0 before it is known to be whole.
	currentlyListed int
	// hasUnclear means that the list has entries of unknown workers that tell nothing. A
	// worker writes its own again with each heartbeat.
	hasUnclear bool
	// lostUntil is when the leases are over of workers that went from the list before
	// they told what they run.
	unlistedLeasesUntil time.Time
}

// lost takes that a worker went from the list before it told what it runs. One
// that drained has ended; another was silent for two heartbeats at least, and
// goes on under its lease if it is only cut off.
func (e *Engine) extendUncertainty(w *worker) {
	if e.inherited == nil || w.session.IsListed() || w.IsDraining {
		return
	}
	e.inherited.unlistedLeasesUntil = e.now.Add(session.OwnBound - (heartbeatsUntilRemoval-1)*e.options.Heartbeat)
}

// isDoubtOver reports whether all workers have told what they run, or nothing of the
// earlier owner's can run any more.
func (e *Engine) isUncertaintyResolved() bool {
	d := e.inherited
	if !e.now.Before(d.leasesExpireAt) {
		return true
	}
	isListComplete := d.currentlyListed > 0 && (d.currentlyListed >= d.previouslyListed && !d.hasUnclear || !e.now.Before(d.listCompleteAt))
	if !isListComplete || e.now.Before(d.unlistedLeasesUntil) {
		return false
	}
	for _, w := range e.workers.All() {
		if !w.session.IsListed() && !w.isUnlisted {
			return false
		}
	}
	return true
}

// holdTask notes that a task may run on a worker by an earlier owner's order.
func (e *Engine) addInheritedTask(id work.TaskID, worker order.WorkerID) {
	s, t := e.findTask(id)
	if t == nil || t.state != taskWaiting || slices.Contains(t.mayRunOn, worker) {
		return
	}
	t.mayRunOn = append(t.mayRunOn, worker)
	e.chargeCustomer(s)
	e.unsettled.Set(worker, append(e.unsettled.Get(worker), id))
}

// isBlocked reports whether any task of the job may run where nobody can tell.
func (e *Engine) isBlocked(j *job) bool {
	return j.isInherited && e.inherited != nil
}

// settle says that it is known what a worker runs.
func (e *Engine) resolveInherited(id order.WorkerID, reason string) {
	tasks, ok := e.unsettled.Find(id)
	if !ok {
		return
	}
	e.unsettled.Delete(id)
	for _, task := range tasks {
		if s, t := e.findTask(task); t != nil {
			t.mayRunOn = slices.DeleteFunc(t.mayRunOn, func(w order.WorkerID) bool { return w == id })
			e.releaseCustomer(s)
			if w := e.workers.Get(id); w == nil || w.attempts.Get(task) == nil {
				e.strays.Note(id, task, t.run, e.now, e.now)
			}
		}
	}
	if reason != resolvedByListing {
		e.recordInheritedCrashes(id, tasks, reason == resolvedByIncarnationEnd)
	}
	e.isDirty = true
	if reason != resolvedByListing {
		e.options.Log(events.InheritedSettled, "worker", id, "tasks", len(tasks), "why", reason)
	}
	if e.unsettled.Len() == 0 {
		e.options.Log(events.Inherited, "last", id, "why", reason)
	}
}

// Why it is known what a worker runs.
const (
	resolvedByListing        = "told what it runs"
	resolvedByIncarnationEnd = "life over"
	resolvedByLeaseExpiry    = "leases lapsed"
)

// tickInherited settles workers whose leases are over and that nobody reaches.
func (e *Engine) tickInherited() {
	if e.inherited != nil && e.isUncertaintyResolved() {
		e.options.Log(events.DoubtOver, "entries", e.inherited.currentlyListed, "earlier", e.inherited.previouslyListed, "left", e.inherited.leasesExpireAt.Sub(e.now))
		e.inherited = nil
		e.isDirty = true
		e.hasLearned = true
		e.batchNow()
	}
	if e.now.Before(e.inheritedUntil) {
		return
	}
	for id := range e.unsettled.All() {
		if w := e.workers.Get(id); w == nil || e.now.After(w.session.Until()) {
			e.resolveInherited(id, resolvedByLeaseExpiry)
		}
	}
}
