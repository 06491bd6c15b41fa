// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

// isUsable reports whether the worker may get something new.
func (e *Engine) isUsable(w *worker) bool {
	switch {
	case !e.isReachable(w), len(w.foreign) > 0:
		return false
	case w.health.IsPaused(e.now), e.now.Before(w.trialUntil):
		return false
	case w.health.OnTrial && w.trials() > 0:
		return false
	}
	return true
}

// isReachable reports whether the worker takes orders, whatever its health.
func (e *Engine) isReachable(w *worker) bool {
	return w.session.IsListed() && !w.isGone && !w.IsDraining && !w.IsUnclear && !w.session.IsSilent() && e.now.Sub(w.session.HeardAt()) <= overdueAfter
}

// trials returns how many attempts the worker is on trial with.
func (w *worker) trials() int {
	n := 0
	for _, a := range w.attempts.All() {
		if w.health.IsTrial(a.orderedAt) {
			n++
		}
	}
	return n
}
