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
	// pacedWait is for a worker on which tasks disturb each other.
	pacedWait = 500 * time.Millisecond
	// firstRetry is the pause after a listing that did not come; it doubles up to
	// longestRetry.
	// confirmWait is the longest that a listing waits for ends to be kept: the
	// store may be out, and progress and new ends are worth telling again.
	confirmWait  = 400 * time.Millisecond
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
)

// hold asks for the next listing of a worker.
func (e *Engine) hold(w *worker) {
	if w.isHeld {
		return
	}
	w.isHeld, w.heldOn = true, e.now
	h := order.Hold{Worker: w.ID, Addr: w.Addr, Confirmed: w.confirmed, Wait: w.holdWait()}
	// The lease of a worker that does not answer is left to end: where its tasks
	// may run is known the sooner.
	if !w.readAt.IsZero() && e.isTrusted && w.holdFailures == 0 {
		h.Deadline = e.renew(w)
	}
	e.do(h)
}

// look asks for a listing at once.
func (e *Engine) look(w *worker) {
	if w.isLooked {
		w.wantsLook = true
		return
	}
	w.isLooked, w.lookedOn = true, e.now
	e.do(order.Hold{Worker: w.ID, Addr: w.Addr, Confirmed: w.confirmed, IsLook: true})
}

func (w *worker) holdWait() time.Duration {
	switch {
	case !w.isListed || w.holdFailures > 0:
		return 0
	case len(w.attempts) == 0:
		return idleWait
	}
	hasServing, hasFiller := false, false
	for _, a := range w.attempts {
		if a.step != nil {
			hasServing = hasServing || a.step.spec.TailTarget > 0
			hasFiller = hasFiller || a.step.spec.IsFiller
		}
	}
	if hasServing && hasFiller {
		return pacedWait
	}
	return busyWait
}

// HoldFailed says that a listing did not come.
func (e *Engine) HoldFailed(id order.WorkerID, isLook bool) {
	w := e.workers[id]
	if w == nil {
		return
	}
	if !isLook {
		w.holdAt = e.now.Add(min(firstRetry<<min(w.holdFailures, 4), longestRetry))
		w.holdFailures++
	}
	e.answeredHold(w, isLook)
}

func (e *Engine) answeredHold(w *worker, isLook bool) {
	if isLook {
		w.isLooked = false
		if w.wantsLook {
			w.wantsLook = false
			e.look(w)
		}
		return
	}
	w.isHeld = false
	if w.holdFailures > 0 {
		return
	}
	if w.handled > w.confirmed {
		// Until the ends are confirmed the worker would tell them again at once.
		w.holdAt = e.now.Add(confirmWait)
		return
	}
	e.hold(w)
}

// confirm lets a worker forget ends, and asks it for the next.
func (e *Engine) confirm(w *worker, number uint64) {
	w.confirmed = max(w.confirmed, number)
	if w.holdFailures == 0 && w.confirmed >= w.handled && e.workers[w.ID] == w {
		e.hold(w)
	}
}
