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
	busyWait = 500 * time.Millisecond
	idleWait = 2 * time.Second
	// listingRate is how many listings a second are asked for only to hear of progress.
	// With more workers each waits longer for an end, up to idleWait; ends are told at once
	// in any case.
	listingRate = 1000
	// lossyWait is for a worker with tasks for lossyTime after an answer was lost: an
	// end is not told while the engine waits for an answer that does not come.
	lossyWait = 150 * time.Millisecond
	lossyTime = 5 * time.Second
	// holdPatiences is how many times as long as an order to start a listing may
	// stay without an answer, besides its wait, and shortestHoldPatience the least.
	holdPatiences        = 3
	shortestHoldPatience = 150 * time.Millisecond
	// pacedWait is for a worker on which tasks disturb each other.
	pacedWait = 500 * time.Millisecond
	// confirmWait is the longest that a listing waits for ends to be kept: the
	// store may be out, and progress and new ends are worth telling again.
	confirmWait = 400 * time.Millisecond
	// firstPatience is how long the first listing of a worker may take until another
	// one is asked for beside it: until it is there, what an earlier owner started on
	// the worker is not known.
	firstPatience = 200 * time.Millisecond
)

// hold asks for the next listing of a worker.
func (e *Engine) hold(w *worker) {
	if w.session.IsWaiting() {
		return
	}
	w.session.Wait(e.now)
	h := order.Hold{Worker: w.ID, Addr: w.Addr, Generation: e.abandonedStarts.Generation(w.ID), Confirmed: w.session.Confirmable(e.now), Wait: e.holdWait(w), Patience: e.holdPatience(), AskedAt: e.now}
	// The lease of a worker that does not answer is left to end: where its tasks
	// may run is known the sooner.
	if !w.session.HeardAt().IsZero() && e.isOwnershipConfirmed && !w.session.HasMissed() {
		h.Deadline = w.session.Renew(e.now)
	}
	e.emit(h)
}

// look asks for a listing at once, or as soon as the last such question is
// answered or overdue: an answer may be lost.
func (e *Engine) look(w *worker) {
	if !w.session.Look(e.now) {
		w.isRestless = true
		return
	}
	e.emit(order.Hold{Worker: w.ID, Addr: w.Addr, Generation: e.abandonedStarts.Generation(w.ID), Confirmed: w.session.Confirmable(e.now), IsLook: true, Patience: e.holdPatience(), AskedAt: e.now})
}

// holdPatience returns how much longer than it waits a listing may take.
func (e *Engine) holdPatience() time.Duration {
	return max(holdPatiences*e.answerTimes.Patience(), shortestHoldPatience)
}

func (e *Engine) holdWait(w *worker) time.Duration {
	switch {
	case !w.session.IsListed() || w.session.HasMissed():
		return 0
	case w.attempts.Len() == 0:
		return idleWait
	case e.now.Before(e.lossyUntil):
		return lossyWait
	}
	hasServing, hasFiller := false, false
	for _, a := range w.attempts.All() {
		if a.step != nil {
			hasServing = hasServing || a.step.spec.TailTarget > 0
			hasFiller = hasFiller || a.step.spec.IsFiller
		}
	}
	if hasServing && hasFiller {
		return pacedWait
	}
	return min(max(busyWait, time.Duration(e.workers.Len())*time.Second/listingRate), idleWait)
}

// HoldFailed says that a listing did not come.
func (e *Engine) HoldFailed(h *order.Hold) {
	w := e.workers.Get(h.Worker)
	if w == nil {
		return
	}
	if w.hasLeft {
		e.LifeOver(w.ID)
		return
	}
	if !h.IsLook {
		if !w.session.HasMissed() {
			e.silences.Began(w.ID, w.session.HeardAt(), e.now)
		}
		e.abandonedStarts.NextGeneration(w.ID)
		w.session.Missed(e.now)
		e.refuseStrays(w)
	}
	e.answeredHold(w, h.IsLook)
}

func (e *Engine) answeredHold(w *worker, isLook bool) {
	if isLook {
		w.session.LookAnswered()
		if w.session.WantsLook() {
			e.look(w)
		}
		return
	}
	w.session.Answered()
	w.isRestless = true
	if w.session.IsSilent() {
		return
	}
	if !w.session.AreConfirmed() {
		// Until the ends are confirmed the worker would tell them again at once.
		w.session.RestUntil(e.now.Add(confirmWait))
		return
	}
	e.hold(w)
}

// confirm lets a worker forget ends, and asks it for the next.
func (e *Engine) confirm(w *worker, number uint64) {
	w.session.Confirm(number)
	if !w.session.IsSilent() && w.session.AreConfirmed() && e.workers.Get(w.ID) == w {
		e.hold(w)
	}
}
