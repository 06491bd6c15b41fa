// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// isUsable reports whether the worker may get something new of the step.
func (e *Engine) isUsable(w *worker, s *step) bool {
	isEarlyProbe := s.mayTryEarly && w.health.MayTryEarly(e.now)
	switch {
	case !e.isReachable(w), len(w.foreign) > 0, e.now.Before(w.trialUntil):
		return false
	case w.keptFor != s && e.now.Before(w.keptUntil):
		return false
	case w.health.IsPaused(e.now) && !isEarlyProbe, w.health.OnTrial && w.probeCount() > 0:
		return false
	}
	return true
}

// mayProbeEarly reports whether tasks of the step may be tried on workers that are set aside before
// their pause is over: nothing else has taken them.
func (e *Engine) mayProbeEarly(s *step, pool string) bool {
	if !s.spec.IsLasting {
		return e.isStarved(s, pool)
	}
	isNotRunning := func(t task) bool { return t.state == taskWaiting && e.awayFor(s, &t) >= otherPatience }
	return slices.ContainsFunc(s.tasks, isNotRunning)
}

// isReachable reports whether the worker takes orders, whatever its health.
func (e *Engine) isReachable(w *worker) bool {
	return w.session.IsListed() && !w.isGone && !w.IsDraining && !w.IsUnclear && !w.session.IsSilent() && e.now.Sub(w.session.HeardAt()) <= unreachableAfter
}

// probeCount returns how many attempts the worker is on trial with.
func (w *worker) probeCount() int {
	n := 0
	for _, a := range w.attempts.All() {
		if w.health.IsTrial(a.orderedAt) {
			n++
		}
	}
	return n
}
