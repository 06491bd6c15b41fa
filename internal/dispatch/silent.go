// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/leasebound"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
)

const (
	// unlistedSilence and listedSilence are how long a worker must not have answered until the owner
	// hands its bound on: a worker that is in the platform's list probably answers again, and then
	// waits for a record.
	unlistedSilence = 500 * time.Millisecond
	listedSilence   = 2 * time.Second
	// maxSilentWorkers bounds the workers that are handed on. The next owner waits anew for any more.
	maxSilentWorkers = 512
	// namedPollDelay is the pause before a worker that answers and is still named in a record is polled
	// again. It doubles up to maxNamedPollDelay, as no record can be written in an outage of the store.
	namedPollDelay    = 20 * time.Millisecond
	maxNamedPollDelay = 320 * time.Millisecond
	// maxDeferralDoublings is how often that pause doubles.
	maxDeferralDoublings = 4
	// endedRetention is how long a worker is handed on after its lease has ended, so that the
	// progress of its jobs is stored before.
	endedRetention = 10 * time.Second
)

// silentWorkers is what an owner knows and hands on of the leases of workers that do not answer.
type silentWorkers struct {
	ledger leasebound.Ledger
	// inheritedUntil has, by worker, when the lease ends that the previous owner handed on.
	inheritedUntil ordered.Map[order.WorkerID, time.Time]
	// endedAt has workers whose leases ended lately without an answer.
	endedAt ordered.Map[order.WorkerID, time.Time]
	// firstListedAt is when the first complete list of workers arrived.
	firstListedAt time.Time
	// hasAnswer means that a worker which the records name has answered.
	hasAnswer bool
	// hasForeignLease means that a worker may have got a longer lease than this owner gives.
	hasForeignLease bool
	// foreignUntil has the workers whose foreign leases the previous owner handed on, with their ends.
	foreignUntil ordered.Map[order.WorkerID, time.Time]
}

// InheritBounds takes over what the previous owner handed on about the leases of silent workers.
// It is called after Inherit.
func (e *Engine) InheritBounds(bounds []leasebound.Bound) {
	for i := range bounds {
		e.silent.inheritedUntil.Set(bounds[i].Worker, e.now.Add(max(bounds[i].Left, 0)))
	}
	e.silent.ledger.Set(bounds)
}

// InheritForeignLeases takes over which workers may have longer leases than the previous owner gave. It is
// called after Inherit and before the workers are known.
func (e *Engine) InheritForeignLeases(leases []leasebound.Bound) {
	for i := range leases {
		e.silent.foreignUntil.Set(leases[i].Worker, e.now.Add(max(leases[i].Left, 0)))
	}
}

// foreignUntil returns when the foreign leases that were handed on have expired which any incarnation of a worker may
// have; the zero time if there are none.
func (e *Engine) foreignUntil(name string) time.Time {
	latest := time.Time{}
	for id, until := range e.silent.foreignUntil.All() {
		if id.Name() == name && until.After(latest) {
			latest = until
		}
	}
	return latest
}

// inheritedUntil returns when the leases that previous owners gave a worker have expired.
func (e *Engine) inheritedUntil(id order.WorkerID) time.Time {
	until := e.inheritedLeasesUntil
	if handedOn, ok := e.silent.inheritedUntil.Find(id); ok && handedOn.Before(until) {
		until = handedOn
	}
	if foreign := e.foreignUntil(id.Name()); foreign.After(until) {
		return foreign
	}
	return until
}

// UpdateSilentWorkers returns what the next record of the owner says of silent workers, and the version
// of their set. Unless isOnlyOwner, a previous owner may still renew leases, and only what that
// one's predecessors handed on is known.
func (e *Engine) UpdateSilentWorkers(isOnlyOwner bool) ([]leasebound.Bound, uint64) {
	s := &e.silent
	s.hasAnswer, s.hasForeignLease = false, false
	out := []leasebound.Bound{}
	add := func(id order.WorkerID, until time.Time) {
		if len(out) < maxSilentWorkers {
			out = append(out, leasebound.Bound{Worker: id, Left: max(until.Sub(e.now), 0)})
		}
	}
	for id, w := range e.workers.All() {
		if e.isHandedOn(w, isOnlyOwner) {
			add(id, e.leaseEnd(w))
		}
	}
	for id := range e.uncertainTasks.workers() {
		if e.workers.Get(id) == nil && e.isUnknownHandedOn(id, isOnlyOwner) {
			add(id, e.inheritedUntil(id))
		}
	}
	for id, until := range s.inheritedUntil.All() {
		// It may run what a previous owner started before the placement was persisted.
		_, hasEnded := s.endedAt.Find(id)
		if e.workers.Get(id) == nil && !e.uncertainTasks.has(id) && !hasEnded && e.now.Before(until) {
			add(id, until)
		}
	}
	for id, at := range s.endedAt.All() {
		switch {
		case e.now.Sub(at) > endedRetention:
			s.endedAt.Delete(id)
		case e.workers.Get(id) == nil && !e.uncertainTasks.has(id):
			add(id, e.now)
		}
	}
	s.ledger.Set(out)
	return out, s.ledger.Version()
}

// NeedsSilentUpdate reports whether a worker that the records name has answered, or may have got a longer
// lease than they say, so that the next record should be written soon.
func (e *Engine) NeedsSilentUpdate() bool { return e.silent.hasAnswer || e.silent.hasForeignLease }

// ForeignLeases returns the workers whose leases may last longer than those of this owner, since they were given
// by the clocks of earlier incarnations, and for how long. The next owner has to wait for these.
func (e *Engine) ForeignLeases() []leasebound.Bound {
	out := []leasebound.Bound{}
	add := func(id order.WorkerID, until time.Time) {
		if until.After(e.now) {
			out = append(out, leasebound.Bound{Worker: id, Left: until.Sub(e.now)})
		}
	}
	for id, w := range e.workers.All() {
		add(id, w.session.ForeignExpireAt())
	}
	for id, until := range e.silent.foreignUntil.All() {
		if e.workers.Get(id) == nil {
			add(id, until)
		}
	}
	return out
}

// SilentWorkersPersisted records that the newest record in the store has the set of silent workers of
// that version, or a later one.
func (e *Engine) SilentWorkersPersisted(version uint64) { e.silent.ledger.Persisted(version) }

// isHandedOn reports whether the next record names the worker: it has not answered for some time.
func (e *Engine) isHandedOn(w *worker, isOnlyOwner bool) bool {
	if !w.answeredNamedAt.IsZero() && e.now.Sub(w.answeredNamedAt) < unlistedSilence {
		return false
	}
	_, isInherited := e.silent.inheritedUntil.Find(w.ID)
	isHeard := !w.session.LastHeardAt().IsZero()
	if isInherited && !isHeard {
		return true
	}
	if e.isPaused && isOnlyOwner && isHeard && w.session.HasMissed() {
		// No later record of this owner can say so.
		return true
	}
	since := w.addedAt
	if isHeard {
		since = w.session.LastHeardAt()
	}
	limit := listedSilence
	if w.isUnlisted {
		limit = unlistedSilence
	}
	return isOnlyOwner && (!isHeard || w.session.HasMissed()) && e.now.Sub(since) >= limit
}

// isUnknownHandedOn is isHandedOn for a worker that is not in the list, of which only tasks that may
// run there are known.
func (e *Engine) isUnknownHandedOn(id order.WorkerID, isOnlyOwner bool) bool {
	if _, isInherited := e.silent.inheritedUntil.Find(id); isInherited {
		return true
	}
	listedAt := e.silent.firstListedAt
	return isOnlyOwner && !listedAt.IsZero() && e.now.Sub(listedAt) >= unlistedSilence
}

// leaseEnd returns when all leases of a worker have expired unless they are renewed.
func (e *Engine) leaseEnd(w *worker) time.Time {
	until := w.session.ExpiresAt()
	if inherited := e.inheritedUntil(w.ID); w.session.LastHeardAt().IsZero() && inherited.After(until) {
		return inherited
	}
	return until
}

// recordLeaseEnd records that the lease of a worker ended without an answer.
func (e *Engine) recordLeaseEnd(id order.WorkerID) { e.silent.endedAt.Set(id, e.now) }

// unreportedUntil returns when nothing runs any more that a previous owner started on a worker, if the
// worker does not report it. A worker that has reported in part has a lease of this owner.
func (e *Engine) unreportedUntil(id order.WorkerID) time.Time {
	until := e.inheritedUntil(id)
	if w := e.workers.Get(id); w != nil && w.session.ExpiresAt().After(until) {
		return w.session.ExpiresAt()
	}
	return until
}

// mayRunUnlisted reports whether a worker that the previous owner handed on may still run what that one
// started, and has not reported it.
func (e *Engine) mayRunUnlisted() bool { return e.hasUnreported(&e.silent.inheritedUntil) }

// mayRunForeign reports the same of a worker whose foreign lease was handed on.
func (e *Engine) mayRunForeign() bool { return e.hasUnreported(&e.silent.foreignUntil) }

// hasUnreported reports whether one of the leases lasts, and its worker has not reported what it runs.
func (e *Engine) hasUnreported(leases *ordered.Map[order.WorkerID, time.Time]) bool {
	for id, until := range leases.All() {
		if w := e.workers.Get(id); e.now.Before(until) && !e.endedIncarnations[id] && (w == nil || !w.session.IsListed()) {
			return true
		}
	}
	return false
}

// deferAnswer handles an answer of a worker while a record may name it: what the worker runs must not be
// known, and its lease not be renewed, before a record without it is in the store. It reports whether it
// did; the worker is then polled again.
func (e *Engine) deferAnswer(w *worker, poll *order.Poll) bool {
	if !e.silent.ledger.Names(w.ID) {
		w.deferredAnswers = 0
		return false
	}
	if w.deferredAnswers == 0 {
		e.options.Log(events.SilentWorkerAnswers, "worker", w.ID, "attempts", w.attempts.Len())
	}
	w.answeredNamedAt, e.silent.hasAnswer, w.needsTick = e.now, true, true
	e.silent.endedAt.Delete(w.ID)
	if poll.IsImmediate {
		w.session.EndImmediatePoll()
		return true
	}
	w.session.EndLongPoll()
	w.session.DelayLongPollUntil(e.now.Add(min(namedPollDelay<<min(w.deferredAnswers, maxDeferralDoublings), maxNamedPollDelay)))
	w.deferredAnswers++
	return true
}
