// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/stray"
)

// A worker may start again under its name. Each start is a worker of its own here, so that
// nothing that is known of one is taken for another's: order.WorkerID. What outlasts a start
// is on its way to it. An order reaches whichever start is there when it comes, and a newer
// one carries it out: it knows no fence and no run that was stopped, and by its clock the end
// of the lease lies far ahead.

// mayBeOnItsWay reports whether the order to start may not have come to the worker yet:
// it has not told that it has.
func (a *attempt) mayBeInFlight() bool { return a.mayHaveRun() && !a.isAcknowledged && !a.isAdopted }

// refuseStrays makes orders that were given up be refused by a start of a worker that has just
// become known, or by one that may have begun since the worker was heard last: it is told so
// before it is known, as such an order may be the first to reach it.
func (e *Engine) refuseAbandoned(w *worker) {
	w.refusals.Add(e.strays.Of(w.ID, e.now))
	w.needsTick = w.needsTick || w.refusals.HasAny()
	e.sendRefusals(w)
}

// stopStrays tells a worker again to refuse the orders of which it has not said that it does.
func (e *Engine) sendRefusals(w *worker) {
	if !w.refusals.HasAny() {
		return
	}
	for _, o := range w.refusals.Due(e.now, stopRetry, w.session.HasMissed()) {
		e.doStop(w, o.Task, o.Run)
	}
}

// startedAgain takes that another start of a worker has answered than the one that was
// asked: that one is over. The platform's list may not have the newer one yet; it is asked
// what it runs at once, and gets nothing new before.
func (e *Engine) handleRestart(id, newID order.WorkerID) {
	old := e.workers.Get(id)
	if old == nil {
		return
	}
	e.options.Log(events.WorkerRestarted, "worker", newID, "before", id, "attempts", old.attempts.Len(), "handled", old.session.Taken(), "clockBefore", time.Duration(old.session.Clock()))
	successor := e.workers.Get(newID)
	if successor == nil && !e.over[newID] {
		entry := old.Worker
		entry.ID, entry.IsDraining, entry.IsUnclear = newID, false, true
		successor = e.addWorker(&entry)
	}
	e.endIncarnation(id, successor)
}

// inheritFrom makes a newer start of a worker responsible for what may be on its way to an
// earlier one: these attempts keep their room and their tasks until the newer start has told
// whether it runs them, and refuses them otherwise. Such an order brings the end of a lease by the
// earlier clock, also where it is refused.
func (e *Engine) transferInFlight(old, successor *worker) {
	for id, a := range old.attempts.All() {
		if a.mayBeInFlight() && successor.attempts.Get(id) == nil {
			e.transferAttempt(a, successor)
			successor.session.WaitFor(a.orderedAt.Add(stray.Time + session.AnyBound))
		}
	}
	for _, o := range e.strays.Of(successor.ID, e.now) {
		successor.session.WaitFor(o.Until.Add(session.AnyBound))
	}
	if old.session.IsWaiting() && !old.session.HasMissed() {
		// So may a question that is on its way: the owner did not know of the newer start.
		successor.session.WaitFor(e.now.Add(session.AnyBound))
	}
}

// move makes an attempt one of another start of its worker, which may carry out the order
// or not.
func (e *Engine) transferAttempt(a *attempt, successor *worker) {
	a.worker.attempts.Delete(a.id)
	a.worker.used = a.worker.used.Sub(a.charge)
	a.worker = successor
	successor.attempts.Set(a.id, a)
	successor.used = successor.used.Add(a.charge)
	successor.needsTick = true
	a.phase, a.unacknowledgedAt = phaseUnacknowledged, e.now
	a.startConfirmedClock, a.startConfirmedAt = 0, time.Time{}
	a.stopConfirmedClock, a.stopConfirmedAt = 0, time.Time{}
	if a.isStopping {
		e.sendStop(a)
	}
}

// settleStarts settles what earlier owners may have started on any start of a worker that
// has told what it runs.
func (e *Engine) resolveIncarnations(w *worker) {
	for id := range e.unsettled.All() {
		switch {
		case !id.IsSameWorker(w.ID):
		case id.IsOtherStart(w.ID):
			e.resolveInherited(id, resolvedByIncarnationEnd)
		default:
			e.resolveInherited(id, resolvedByListing)
		}
	}
}

// waitForOthers waits for leases that an earlier owner may have given by the clock of an
// earlier start: it had tasks there.
func (e *Engine) waitForOtherLeases(w *worker) {
	for id := range e.unsettled.All() {
		if id.IsOtherStart(w.ID) {
			w.session.WaitFor(e.now.Add(session.AnyBound))
		}
	}
}

// isUnsettled reports whether an earlier owner may have started tasks on any start of a
// worker.
func (e *Engine) hasUnresolved(worker order.WorkerID) bool {
	for id := range e.unsettled.All() {
		if id.IsSameWorker(worker) {
			return true
		}
	}
	return false
}

// otherStart returns the entry of another start of a worker; nil when the list has none.
func otherIncarnation(list []order.Worker, id order.WorkerID) *order.Worker {
	for i := range list {
		if !list[i].IsRemoved && list[i].ID.IsOtherStart(id) {
			return &list[i]
		}
	}
	return nil
}
