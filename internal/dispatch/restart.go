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
func (a *attempt) mayBeOnItsWay() bool { return a.mayHaveRun() && !a.isTold && !a.isAdopted }

// refuseStrays makes orders that were given up be refused by a start of a worker that has just
// become known, or by one that may have begun since the worker was heard last: it is told so
// before it is known, as such an order may be the first to reach it.
func (e *Engine) refuseStrays(w *worker) {
	w.refusals.Add(e.abandonedStarts.Of(w.ID, e.now))
	w.isRestless = w.isRestless || w.refusals.HasAny()
	e.stopStrays(w)
}

// stopStrays tells a worker again to refuse the orders of which it has not said that it does.
func (e *Engine) stopStrays(w *worker) {
	if !w.refusals.HasAny() {
		return
	}
	for _, o := range w.refusals.Due(e.now, stopRetryInterval, w.session.HasMissed()) {
		e.emitStop(w, o.Task, o.Run)
	}
}

// startedAgain takes that another start of a worker has answered than the one that was
// asked: that one is over. The platform's list may not have the newer one yet; it is asked
// what it runs at once, and gets nothing new before.
func (e *Engine) startedAgain(id, newer order.WorkerID) {
	old := e.workers.Get(id)
	if old == nil {
		return
	}
	e.options.Log(events.WorkerRestarted, "worker", newer, "before", id, "attempts", old.attempts.Len(), "handled", old.session.Taken(), "clockBefore", time.Duration(old.session.Clock()))
	next := e.workers.Get(newer)
	if next == nil && !e.endedIncarnations[newer] {
		entry := old.Worker
		entry.ID, entry.IsDraining, entry.IsUnclear = newer, false, true
		next = e.addWorker(&entry)
	}
	e.lifeOver(id, next)
}

// inheritFrom makes a newer start of a worker responsible for what may be on its way to an
// earlier one: these attempts keep their room and their tasks until the newer start has told
// whether it runs them, and refuses them otherwise. Such an order brings the end of a lease by the
// earlier clock, also where it is refused.
func (e *Engine) inheritFrom(old, next *worker) {
	for id, a := range old.attempts.All() {
		if a.mayBeOnItsWay() && next.attempts.Get(id) == nil {
			e.move(a, next)
			next.session.WaitFor(a.orderedAt.Add(stray.Time + session.AnyBound))
		}
	}
	for _, o := range e.abandonedStarts.Of(next.ID, e.now) {
		next.session.WaitFor(o.Until.Add(session.AnyBound))
	}
	if old.session.IsWaiting() && !old.session.HasMissed() {
		// So may a question that is on its way: the owner did not know of the newer start.
		next.session.WaitFor(e.now.Add(session.AnyBound))
	}
}

// move makes an attempt one of another start of its worker, which may carry out the order
// or not.
func (e *Engine) move(a *attempt, next *worker) {
	a.worker.attempts.Delete(a.id)
	a.worker.used = a.worker.used.Sub(a.charge)
	a.worker = next
	next.attempts.Set(a.id, a)
	next.used = next.used.Add(a.charge)
	next.isRestless = true
	a.phase, a.doubtAt = phaseDoubtful, e.now
	a.startedAt, a.startedOn = 0, time.Time{}
	a.stopAckedAt, a.stopAckedOn = 0, time.Time{}
	if a.isStopping {
		e.sendStop(a)
	}
}

// settleStarts settles what earlier owners may have started on any start of a worker that
// has told what it runs.
func (e *Engine) settleStarts(w *worker) {
	for id := range e.uncertainTasks.All() {
		switch {
		case !id.IsSameWorker(w.ID):
		case id.IsOtherStart(w.ID):
			e.settle(id, settledByLife)
		default:
			e.settle(id, settledByListing)
		}
	}
}

// waitForOthers waits for leases that an earlier owner may have given by the clock of an
// earlier start: it had tasks there.
func (e *Engine) waitForOthers(w *worker) {
	for id := range e.uncertainTasks.All() {
		if id.IsOtherStart(w.ID) {
			w.session.WaitFor(e.now.Add(session.AnyBound))
		}
	}
}

// isUnsettled reports whether an earlier owner may have started tasks on any start of a
// worker.
func (e *Engine) isUnsettled(worker order.WorkerID) bool {
	for id := range e.uncertainTasks.All() {
		if id.IsSameWorker(worker) {
			return true
		}
	}
	return false
}

// otherStart returns the entry of another start of a worker; nil when the list has none.
func otherStart(list []order.Worker, id order.WorkerID) *order.Worker {
	for i := range list {
		if !list[i].IsRemoved && list[i].ID.IsOtherStart(id) {
			return &list[i]
		}
	}
	return nil
}
