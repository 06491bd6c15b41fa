// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// How workers are asked for listings.
const (
	// busyWait is how long a worker with tasks waits for an end, idleWait one
	// without. Progress and tails are only told by listings; the worker accepts
	// 2 s at most.
	busyPollWait = 500 * time.Millisecond
	idlePollWait = 2 * time.Second
	// listingRate is how many listings a second are asked for only to hear of progress.
	// With more workers each waits longer for an end, up to idleWait; ends are told at once
	// in any case.
	maxPollRate = 1000
	// lossyWait is for a worker with tasks for lossyTime after an answer was lost: an
	// end is not told while the engine waits for an answer that does not come.
	lossyPollWait = 150 * time.Millisecond
	lossyPeriod   = 5 * time.Second
	// holdPatiences is how many times as long as an order to start a listing may
	// stay without an answer, besides its wait, and shortestHoldPatience the least.
	pollTimeoutFactor = 3
	minPollTimeout    = 150 * time.Millisecond
	// pacedWait is for a worker on which tasks disturb each other.
	pacedPollWait = 500 * time.Millisecond
	// confirmWait is the longest that a listing waits for ends to be kept: the
	// store may be out, and progress and new ends are worth telling again.
	maxConfirmWait = 400 * time.Millisecond
	// firstPatience is how long the first listing of a worker may take until another
	// one is asked for beside it: until it is there, what an earlier owner started on
	// the worker is not known.
	firstListingTimeout = 200 * time.Millisecond
)

// hold asks for the next listing of a worker.
func (e *Engine) longPoll(w *worker) {
	if w.session.IsWaiting() {
		return
	}
	w.session.Wait(e.now)
	poll := order.Hold{Worker: w.ID, Addr: w.Addr, Generation: e.strays.Generation(w.ID), Confirmed: w.session.Confirmable(e.now), Wait: e.longPollWait(w), Patience: e.pollTimeout(), AskedAt: e.now}
	// The lease of a worker that does not answer is left to end: where its tasks
	// may run is known the sooner.
	if !w.session.HeardAt().IsZero() && e.isTrusted && !w.session.HasMissed() {
		poll.Deadline = w.session.Renew(e.now)
	}
	e.do(poll)
}

// look asks for a listing at once, or as soon as the last such question is
// answered or overdue: an answer may be lost.
func (e *Engine) pollNow(w *worker) {
	if !w.session.Look(e.now) {
		w.needsTick = true
		return
	}
	e.do(order.Hold{Worker: w.ID, Addr: w.Addr, Generation: e.strays.Generation(w.ID), Confirmed: w.session.Confirmable(e.now), IsLook: true, Patience: e.pollTimeout(), AskedAt: e.now})
}

// holdPatience returns how much longer than it waits a listing may take.
func (e *Engine) pollTimeout() time.Duration {
	return max(pollTimeoutFactor*e.answers.Patience(), minPollTimeout)
}

func (e *Engine) longPollWait(w *worker) time.Duration {
	switch {
	case !w.session.IsListed() || w.session.HasMissed():
		return 0
	case w.attempts.Len() == 0:
		return idlePollWait
	case e.now.Before(e.lossyUntil):
		return lossyPollWait
	}
	hasServing, hasBestEffort := false, false
	for _, a := range w.attempts.All() {
		if a.step != nil {
			hasServing = hasServing || a.step.spec.TailTarget > 0
			hasBestEffort = hasBestEffort || a.step.spec.IsFiller
		}
	}
	if hasServing && hasBestEffort {
		return pacedPollWait
	}
	return min(max(busyPollWait, time.Duration(e.workers.Len())*time.Second/maxPollRate), idlePollWait)
}

// PollFailed says that a listing did not come.
func (e *Engine) PollFailed(poll *order.Hold) {
	w := e.workers.Get(poll.Worker)
	if w == nil {
		return
	}
	if w.hasShutDown {
		e.IncarnationEnded(w.ID)
		return
	}
	if !poll.IsLook {
		if !w.session.HasMissed() {
			e.silences.Began(w.ID, w.session.HeardAt(), e.now)
		}
		e.strays.NextGeneration(w.ID)
		w.session.Missed(e.now)
		e.refuseAbandoned(w)
	}
	e.finishPoll(w, poll.IsLook)
}

func (e *Engine) finishPoll(w *worker, isImmediate bool) {
	if isImmediate {
		w.session.LookAnswered()
		if w.session.WantsLook() {
			e.pollNow(w)
		}
		return
	}
	w.session.Answered()
	w.needsTick = true
	if w.session.IsSilent() {
		return
	}
	if !w.session.AreConfirmed() {
		// Until the ends are confirmed the worker would tell them again at once.
		w.session.RestUntil(e.now.Add(maxConfirmWait))
		return
	}
	e.longPoll(w)
}

// confirm lets a worker forget ends, and asks it for the next.
func (e *Engine) confirmEnds(w *worker, number uint64) {
	w.session.Confirm(number)
	if !w.session.IsSilent() && w.session.AreConfirmed() && e.workers.Get(w.ID) == w {
		e.longPoll(w)
	}
}
