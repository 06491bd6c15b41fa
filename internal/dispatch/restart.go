// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/abandoned"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/session"
)

// A worker may restart under its name. Each incarnation is a worker of its own here (see
// order.WorkerID), so that nothing known about one is applied to another. Only what is in flight
// outlasts an incarnation: an order reaches whichever incarnation is running when it arrives. A
// newer one would carry it out, because it knows neither the fencing token nor the runs that were
// stopped, and because by its clock, which started anew, the end of the lease in the order lies
// far in the future.

// mayBeInFlight reports whether the order to start may not have arrived yet: the worker has not
// reported the attempt.
func (a *attempt) mayBeInFlight() bool { return a.mayHaveRun() && !a.isAcknowledged && !a.isAdopted }

// refuseAbandoned makes an incarnation of a worker refuse abandoned orders to start. It is called
// for one that has just become known, and when a worker does not answer, so that a newer one may
// have begun. The refusals are sent before that one is known, as an abandoned order may be the
// first message to reach it.
func (e *Engine) refuseAbandoned(w *worker) {
	w.refusals.Add(e.abandonedStarts.ForWorker(w.ID, e.now))
	w.needsTick = w.needsTick || w.refusals.HasPending()
	e.sendRefusals(w)
}

// sendRefusals asks the worker to refuse abandoned orders, and repeats this until the worker has
// confirmed it.
func (e *Engine) sendRefusals(w *worker) {
	if !w.refusals.HasPending() {
		return
	}
	for _, o := range w.refusals.Due(e.now, stopRetryInterval, w.session.HasMissed()) {
		e.emitStop(w, o.Task, o.Run)
	}
}

// handleRestart handles an answer from another incarnation of a worker than the one that was
// polled: that one has ended. The platform's list may not have the newer one yet; it is polled at
// once for what it runs, and gets nothing new before it has answered.
func (e *Engine) handleRestart(id, newID order.WorkerID) {
	old := e.workers.Get(id)
	if old == nil {
		return
	}
	e.options.Log(events.WorkerRestarted, "worker", newID, "before", id, "attempts", old.attempts.Len(), "handled", old.session.LastAcceptedEnd(), "clockBefore", time.Duration(old.session.Clock()))
	successor := e.workers.Get(newID)
	if successor == nil && !e.endedIncarnations[newID] {
		entry := old.Worker
		entry.ID, entry.IsDraining, entry.IsUncertain = newID, false, true
		successor = e.addWorker(&entry)
	}
	e.endIncarnation(id, successor)
}

// transferInFlight transfers the attempts whose orders may be in flight from a previous
// incarnation of a worker to a newer one. They keep their resources and their tasks until the
// newer one has reported whether it runs them; if it does not, it refuses them from then on. Each
// such order extends the worker's lease by the clock of the previous incarnation, even if it is
// refused, so that the longest possible lease has to be waited for.
func (e *Engine) transferInFlight(old, successor *worker) {
	for id, a := range old.attempts.All() {
		if a.mayBeInFlight() && successor.attempts.Get(id) == nil {
			e.transferAttempt(a, successor)
			e.waitForForeignLease(successor, a.orderedAt.Add(abandoned.MaxDelay))
		}
	}
	for _, o := range e.abandonedStarts.ForWorker(successor.ID, e.now) {
		e.waitForForeignLease(successor, o.Until)
	}
	if old.session.IsLongPolling() && !old.session.HasMissed() {
		// A poll in flight may do so, too: the owner did not know of the newer incarnation when it
		// sent the poll.
		e.waitForForeignLease(successor, e.now.Add(abandoned.MaxDelay))
	}
	if successor.fencedFrom > 0 {
		e.abandonedStarts.NextGeneration(successor.ID)
		successor.fencedFrom = e.abandonedStarts.Generation(successor.ID)
		e.pollNow(successor)
	}
}

// waitForForeignLease waits for a lease whose end by the clock of an earlier incarnation may still arrive
// until then. It cannot arrive any more once the worker has answered a poll of a later generation.
func (e *Engine) waitForForeignLease(w *worker, arrivesUntil time.Time) {
	w.session.RecordForeignLeases(arrivesUntil.Add(session.AnyLeaseBound))
	e.silent.hasForeignLease = true
	w.fencedFrom = e.abandonedStarts.Generation(w.ID) + 1
}

// observeGeneration records that the worker has answered a poll of that generation.
func (e *Engine) observeGeneration(w *worker, generation uint64) {
	if w.fencedFrom > 0 && generation >= w.fencedFrom {
		w.session.FenceForeignLeases(e.now)
		w.fencedFrom = 0
	}
}

// transferAttempt transfers an attempt to another incarnation of its worker, which may or may not
// carry out the order.
func (e *Engine) transferAttempt(a *attempt, successor *worker) {
	a.worker.attempts.Delete(a.id)
	a.worker.used = a.worker.used.Sub(a.charge)
	a.worker = successor
	successor.attempts.Set(a.id, a)
	successor.used = successor.used.Add(a.charge)
	successor.needsTick = true
	a.phase, a.unacknowledgedAt, a.isMissing = phaseUnacknowledged, e.now, false
	a.startConfirmedClock, a.startConfirmedAt = 0, time.Time{}
	a.stopConfirmedClock, a.stopConfirmedAt = 0, time.Time{}
	if a.isStopping {
		e.sendStop(a)
	}
}

// resolveIncarnations resolves what previous owners may have started on any incarnation of a
// worker that has sent its listing.
func (e *Engine) resolveIncarnations(w *worker) {
	for _, id := range e.uncertainTasks.incarnationsOf(w.ID) {
		reason := resolvedByListing
		if id.IsOtherIncarnation(w.ID) {
			reason = resolvedByIncarnationEnd
		}
		e.resolveInherited(id, reason)
	}
}

// waitForOtherLeases waits for leases that a previous owner may have given by the clock of another
// incarnation, on which it may have started tasks.
func (e *Engine) waitForOtherLeases(w *worker) {
	for _, id := range e.uncertainTasks.incarnationsOf(w.ID) {
		if id.IsOtherIncarnation(w.ID) {
			w.session.RecordForeignLeases(e.now.Add(session.AnyLeaseBound))
			e.silent.hasForeignLease = true
		}
	}
}

// hasUnresolved reports whether a previous owner may have started tasks on any incarnation of a
// worker.
func (e *Engine) hasUnresolved(worker order.WorkerID) bool {
	return len(e.uncertainTasks.incarnationsOf(worker)) > 0
}

// otherIncarnation returns the list's entry of another incarnation of a worker, nil if there is
// none.
func otherIncarnation(list []order.Worker, id order.WorkerID) *order.Worker {
	for i := range list {
		if !list[i].IsRemoved && list[i].ID.IsOtherIncarnation(id) {
			return &list[i]
		}
	}
	return nil
}
