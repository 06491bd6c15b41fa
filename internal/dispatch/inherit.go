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

// Inherit records that the jobs known so far had a previous owner, whose leases have all expired
// at until. A task that it may have started on a worker is not started elsewhere before that
// worker has sent its listing, or before until.
//
// areStartsPersisted means that the previous owner persisted each placement of a task before it
// ordered the start. Otherwise any task may run anywhere, and none is started before all workers
// have sent their listings, or before until; InheritWorkers narrows that down. listedWorkers is how
// many workers the previous owner's list had.
func (e *Engine) Inherit(until time.Time, areStartsPersisted bool, listedWorkers int) {
	e.inheritedLeasesUntil = until
	if !areStartsPersisted {
		e.inherited = &inheritedUncertainty{leasesExpireAt: until, previouslyListed: listedWorkers, listCompleteAt: e.now.Add(listRecoveryTime)}
	}
	for _, j := range e.activeJobs {
		j.mayHaveUnpersistedStarts = !areStartsPersisted
	}
}

// ConfirmPlacements records that the previous owner is known, after all, to have persisted each placement of a task before it
// ordered the start, and to do so as long as it acts.
func (e *Engine) ConfirmPlacements() {
	if e.inherited == nil {
		return
	}
	e.logUncertaintyEnded(uncertaintyRuledOut)
	e.inherited = nil
	for _, j := range e.activeJobs {
		j.mayHaveUnpersistedStarts = false
	}
	e.needsScheduling = true
}

// ConfirmPlacementsSince records that each placement of a task of the jobs accepted in an epoch from since on is known to have
// been persisted before the start was ordered.
func (e *Engine) ConfirmPlacementsSince(since uint64) {
	if e.inherited == nil || since == 0 {
		return
	}
	for _, j := range e.activeJobs {
		if j.spec.Epoch >= since {
			j.mayHaveUnpersistedStarts = false
		}
	}
	e.needsScheduling = true
}

// Reasons why the uncertainty about a previous owner's starts has ended; they are logged.
const (
	uncertaintyRuledOut = "nothing was started ahead of the store"
	uncertaintyResolved = "all workers told what they run, or their leases lapsed"
)

func (e *Engine) logUncertaintyEnded(why string) {
	d := e.inherited
	e.options.Log(events.UncertaintyEnded, "why", why, "entries", d.currentlyListed, "earlier", d.previouslyListed, "known", d.areWorkersKnown,
		"missing", len(d.unreported.byName), "left", d.leasesExpireAt.Sub(e.now))
}

// ExtendInheritedLeases records that the previous owner may still renew leases, so that these expire
// no earlier than until.
func (e *Engine) ExtendInheritedLeases(until time.Time) {
	if until.After(e.inheritedLeasesUntil) {
		e.setInheritedLeases(until)
	}
}

// HaveInheritedLeasesExpired reports whether all leases of previous owners have expired.
func (e *Engine) HaveInheritedLeasesExpired() bool { return !e.now.Before(e.inheritedLeasesUntil) }

// ShortenInheritedLeases records that the previous owner renews no more leases, so that these expire no later than until.
func (e *Engine) ShortenInheritedLeases(until time.Time) {
	if until.Before(e.inheritedLeasesUntil) {
		e.setInheritedLeases(until)
	}
}

func (e *Engine) setInheritedLeases(until time.Time) {
	e.inheritedLeasesUntil = until
	if e.inherited != nil {
		e.inherited.leasesExpireAt = until
	}
}

// listRecoveryTime is how long after the store's recovery the platform's list may lack entries of
// running workers; the platform states about two seconds.
const listRecoveryTime = 2300 * time.Millisecond

// inheritedUncertainty is what is not known about the orders of a previous owner that did not
// persist the placements of all tasks.
type inheritedUncertainty struct {
	// leasesExpireAt is when all leases that it gave have expired.
	leasesExpireAt time.Time
	// previouslyListed is how many workers its list had. A shorter list may lack running workers
	// until listCompleteAt.
	previouslyListed int
	listCompleteAt   time.Time
	// currentlyListed is how many workers the list has now; 0 until the list is known to be
	// complete.
	currentlyListed int
	// hasUnclear means that the list has unclear entries of workers that are not known otherwise,
	// so that it is not known what these run. Each worker writes its entry again with its next
	// heartbeat, so that this does not last.
	hasUnclear bool
	// areWorkersKnown means that the previous owner stored the IDs of the workers concerned, and the placements
	// of long-running tasks. Then unreported has the workers that have not reported yet, and of the other
	// fields only leasesExpireAt is used.
	areWorkersKnown bool
	unreported      unreportedWorkers
	// unlistedLeasesUntil is when the leases have expired of workers that were removed from the
	// list before they sent a listing.
	unlistedLeasesUntil time.Time
}

// extendUncertainty extends the uncertainty for a worker that was removed from the list before it
// sent a listing. The next poll tells whether one that seems to have shut down has ended. Any other
// was silent for two heartbeats at least, and if it is only unreachable, it continues to run until
// its lease expires.
func (e *Engine) extendUncertainty(w *worker) {
	if e.inherited == nil || w.session.IsListed() || w.hasShutDown {
		return
	}
	// Only owners of earlier versions leave workers behind that they have not stored.
	until := e.now.Add(session.EarlierLeaseBound - (heartbeatsUntilRemoval-1)*e.options.HeartbeatInterval)
	if handedOn, ok := e.silent.inheritedUntil.Find(w.ID); ok && handedOn.Before(until) {
		until = handedOn
	}
	if foreign := e.foreignUntil(w.ID.Name()); foreign.After(until) {
		until = foreign
	}
	if until.After(e.inherited.unlistedLeasesUntil) {
		e.inherited.unlistedLeasesUntil = until
	}
}

// isUncertaintyResolved reports whether all workers have sent their listings, or nothing that the
// previous owner started can run any more.
func (e *Engine) isUncertaintyResolved() bool {
	d := e.inherited
	if !e.now.Before(d.leasesExpireAt) {
		return !e.hasPartialListing() && !e.mayRunForeign()
	}
	if d.areWorkersKnown {
		d.unreported.dropExpired(e.now, e.unreportedUntil)
		return d.unreported.isEmpty()
	}
	isListComplete := d.currentlyListed > 0 && (d.currentlyListed >= d.previouslyListed && !d.hasUnclear || !e.now.Before(d.listCompleteAt))
	if !isListComplete || e.now.Before(d.unlistedLeasesUntil) || e.mayRunUnlisted() {
		return false
	}
	for _, w := range e.workers.All() {
		if !w.session.IsListed() && (!w.isUnlisted || w.hasShutDown) && e.now.Before(e.unreportedUntil(w.ID)) {
			return false
		}
	}
	return true
}

// hasPartialListing reports whether a worker answers, so that its lease goes on, and has not listed all
// its ends yet.
func (e *Engine) hasPartialListing() bool {
	for _, w := range e.workers.All() {
		if !w.session.IsListed() && !w.session.LastHeardAt().IsZero() && !w.session.HasExpired(e.now) {
			return true
		}
	}
	return false
}

// addInheritedTask records that a task may run on a worker by a previous owner's order.
func (e *Engine) addInheritedTask(id work.TaskID, worker order.WorkerID) {
	s, t := e.findTask(id)
	if t == nil || t.state != taskWaiting || slices.Contains(t.mayRunOn, worker) {
		return
	}
	t.mayRunOn = append(t.mayRunOn, worker)
	e.chargeCustomer(s)
	e.uncertainTasks.add(worker, id)
}

// mayHaveUnknownStarts reports whether tasks of the job may run on any worker by a previous owner's order.
func (e *Engine) mayHaveUnknownStarts(j *job) bool {
	return j.mayHaveUnpersistedStarts && e.inherited != nil
}

// isBlocked reports whether tasks of the step may run on any worker by a previous owner's order, so
// that none of them may be started.
func (e *Engine) isBlocked(s *step) bool {
	return e.mayHaveUnknownStarts(s.job) && !(s.spec.IsLongRunning && e.inherited.areWorkersKnown)
}

// resolveInherited records that it is now known which of a previous owner's tasks the worker runs.
func (e *Engine) resolveInherited(id order.WorkerID, reason string) {
	tasks, ok := e.uncertainTasks.take(id)
	if !ok {
		return
	}
	for _, task := range tasks {
		if s, t := e.findTask(task); t != nil {
			t.mayRunOn = slices.DeleteFunc(t.mayRunOn, func(w order.WorkerID) bool { return w == id })
			e.releaseCustomer(s)
			if !s.job.state.IsFinal() && !t.isPlacedOn(id) {
				// The store still says that the task may run there.
				e.markDirty(s.job)
			}
			if w := e.workers.Get(id); w == nil || w.attempts.Get(task) == nil {
				if t.state != taskDone {
					e.givenUp.add(givenUpRun{task, t.run, id, givenUpInherited + reason, e.now})
				}
				e.abandonedStarts.Add(id, task, t.run, e.now, e.now)
			}
		}
	}
	if reason != resolvedByListing {
		e.recordInheritedCrashes(id, tasks, reason == resolvedByIncarnationEnd)
	}
	e.needsScheduling = true
	if reason != resolvedByListing {
		e.options.Log(events.PreviousAttemptsEnded, "worker", id, "tasks", len(tasks), "why", reason)
	}
	if e.uncertainTasks.isEmpty() {
		e.options.Log(events.PreviousAttemptsKnown, "last", id, "why", reason)
	}
}

// isPlacedOn reports whether the task has an attempt on the worker, as its placements say.
func (t *task) isPlacedOn(id order.WorkerID) bool {
	return t.attempt != nil && t.attempt.worker.ID == id || t.copy != nil && t.copy.worker.ID == id
}

// Reasons why it is known what a worker runs; they are logged.
const (
	resolvedByListing        = "told what it runs"
	resolvedByIncarnationEnd = "life over"
	resolvedByLeaseExpiry    = "leases lapsed"
)

// tickInherited ends the uncertainty once it is resolved, and resolves workers that cannot be
// reached and whose leases have expired.
func (e *Engine) tickInherited() {
	if e.inherited != nil && e.isUncertaintyResolved() {
		e.logUncertaintyEnded(uncertaintyResolved)
		e.inherited = nil
		e.needsScheduling = true
		e.hasUnpersistedReports = true
		e.currentBatch()
	}
	for id := range e.uncertainTasks.workers() {
		if e.now.Before(e.inheritedUntil(id)) {
			continue
		}
		if w := e.workers.Get(id); w == nil || e.now.After(w.session.ExpiresAt()) {
			e.recordLeaseEnd(id)
			e.resolveInherited(id, resolvedByLeaseExpiry)
		}
	}
}
