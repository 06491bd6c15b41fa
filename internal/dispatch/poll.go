// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Waits, timeouts and rates of the polls by which workers are asked for their listings.
const (
	// busyPollWait is how long a long poll may wait for a task to end on a worker with tasks, also
	// with ones that are unknown here, idlePollWait on one without. Progress and tail latencies are
	// only reported in listings. Workers accept a wait of 2 s at most.
	busyPollWait = 500 * time.Millisecond
	idlePollWait = 2 * time.Second
	// maxPollRate is how many polls a second are sent only to learn of progress. With more workers
	// than that allows, each poll waits longer, up to idlePollWait; the end of a task is reported
	// at once in any case.
	maxPollRate = 1000
	// lossyPollWait is the wait for a worker with tasks during lossyPeriod after an answer was
	// lost: no end can be reported while the engine waits for an answer that does not arrive.
	lossyPollWait = 150 * time.Millisecond
	lossyPeriod   = 5 * time.Second
	// A poll may stay unanswered for its wait and pollTimeoutFactor times the timeout of an order
	// to start, or for its wait and minPollTimeout if that is longer.
	pollTimeoutFactor = 3
	minPollTimeout    = 150 * time.Millisecond
	// pacedPollWait is the wait for a worker on which tasks disturb each other.
	pacedPollWait = 500 * time.Millisecond
	// maxConfirmWait is the longest that the next poll is delayed until the ends of attempts
	// reported so far are persisted. The store may be unavailable for longer, and progress and new
	// ends are needed even if the worker reports the old ends again with them.
	maxConfirmWait = 400 * time.Millisecond
	// pollsUntilShutDown is how many polls in a row must fail after a draining worker's entry was
	// removed until it counts as shut down: the platform may remove the entry of a worker that runs,
	// and single answers may be lost.
	pollsUntilShutDown = 4
	// firstListingTimeout is how long the first listing of a worker may take until another poll is
	// sent beside it: until a listing has arrived, it is not known what a previous owner started
	// on the worker.
	firstListingTimeout = 200 * time.Millisecond
)

// longPoll sends the next long poll to a worker, unless one is outstanding.
func (e *Engine) longPoll(w *worker) {
	if w.session.IsLongPolling() {
		return
	}
	w.session.BeginLongPoll(e.now)
	poll := order.Poll{Worker: w.ID, Addr: w.Addr, Generation: e.abandonedStarts.Generation(w.ID), Confirmed: w.session.ConfirmableEnd(e.now), Wait: e.longPollWait(w), Timeout: e.pollTimeout(), AskedAt: e.now}
	// The lease of a worker that does not answer is not renewed: the sooner it expires, the sooner
	// it is certain that its tasks have ended.
	if !w.session.LastHeardAt().IsZero() && e.isOwnershipConfirmed && !w.session.HasMissed() && !e.silent.ledger.Names(w.ID) {
		poll.Deadline = e.leaseEndOf(w)
	}
	e.emit(poll)
}

// pollNow polls a worker for an immediate answer. If such a poll is outstanding, this waits until
// that one is answered or overdue: an answer may be lost.
func (e *Engine) pollNow(w *worker) {
	if !w.session.TryImmediatePoll(e.now) {
		w.needsTick = true
		return
	}
	e.emit(order.Poll{Worker: w.ID, Addr: w.Addr, Generation: e.abandonedStarts.Generation(w.ID), Confirmed: w.session.ConfirmableEnd(e.now), IsImmediate: true, Timeout: e.pollTimeout(), AskedAt: e.now})
}

// pollTimeout returns how much longer than its wait a poll may take.
func (e *Engine) pollTimeout() time.Duration {
	return max(pollTimeoutFactor*e.answerTimes.Timeout(), minPollTimeout)
}

// longPollWait returns how long the worker may wait for an end before it answers a long poll.
func (e *Engine) longPollWait(w *worker) time.Duration {
	switch {
	case !w.session.IsListed() || w.session.HasMissed():
		return 0
	case w.attempts.Len() == 0 && w.unknownRuns.Len() == 0:
		return idlePollWait
	case e.now.Before(e.lossyUntil):
		return lossyPollWait
	}
	hasServing, hasBestEffort := false, false
	for _, a := range w.attempts.All() {
		if a.step != nil {
			hasServing = hasServing || a.step.spec.TailTarget > 0
			hasBestEffort = hasBestEffort || a.step.spec.IsBestEffort
		}
	}
	if hasServing && hasBestEffort {
		return pacedPollWait
	}
	return min(max(busyPollWait, time.Duration(e.workers.Len())*time.Second/maxPollRate), idlePollWait)
}

// PollFailed handles a poll that was not answered.
func (e *Engine) PollFailed(poll *order.Poll) {
	w := e.workers.Get(poll.Worker)
	if w == nil {
		return
	}
	if w.hasShutDown && !poll.AskedAt.Before(w.entryRemovedAt) {
		w.pollsFailedSince++
		if w.pollsFailedSince >= pollsUntilShutDown {
			e.IncarnationEnded(w.ID)
			return
		}
		defer e.pollNow(w)
	}
	if !poll.IsImmediate {
		if !w.session.HasMissed() {
			e.silences.Add(w.ID, w.session.LastHeardAt(), e.now)
		}
		e.abandonedStarts.NextGeneration(w.ID)
		w.session.CountMiss(e.now)
		e.refuseAbandoned(w)
	}
	e.finishPoll(w, poll.IsImmediate)
}

// finishPoll records that a poll is no longer outstanding, and sends the next one where it is due.
func (e *Engine) finishPoll(w *worker, isImmediate bool) {
	if isImmediate {
		w.session.EndImmediatePoll()
		if w.session.WantsImmediatePoll() {
			e.pollNow(w)
		}
		return
	}
	w.session.EndLongPoll()
	w.needsTick = true
	if w.session.IsSilent() {
		return
	}
	if !w.session.AreEndsStored() {
		// Until the ends are confirmed, the worker would answer the next poll at once with the
		// same ends.
		w.session.DelayLongPollUntil(e.now.Add(maxConfirmWait))
		return
	}
	e.longPoll(w)
}

// confirmEnds confirms the ends up to a number, so that the worker can forget them, and sends it
// the next poll.
func (e *Engine) confirmEnds(w *worker, number uint64) {
	w.session.MarkEndsStored(number)
	if !w.session.IsSilent() && w.session.AreEndsStored() && e.workers.Get(w.ID) == w {
		e.longPoll(w)
	}
}
