// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// isUsable reports whether the worker may get something new of the step.
func (e *Engine) isUsable(w *worker, s *step) bool {
	isEarly := s.mayProbeEarly && w.health.MayProbeEarly(e.now)
	switch {
	case !e.isReachable(w), len(w.unknownRuns) > 0, e.now.Before(w.isolatedUntil):
		return false
	case w.exclusiveStep != s && e.now.Before(w.exclusiveUntil):
		return false
	case w.health.IsPaused(e.now) && !isEarly, w.health.IsOnProbation && w.trials() > 0:
		return false
	}
	return true
}

// mayTryEarly reports whether tasks of the step may be tried on workers that are set aside before
// their pause is over: nothing else has taken them.
func (e *Engine) mayTryEarly(s *step, pool string) bool {
	if !s.spec.IsLongRunning {
		return e.isStarved(s, pool)
	}
	isAway := func(t task) bool { return t.state == taskWaiting && e.notRunningFor(s, &t) >= otherWorkerTimeout }
	return slices.ContainsFunc(s.tasks, isAway)
}

// isReachable reports whether the worker takes orders, whatever its health.
func (e *Engine) isReachable(w *worker) bool {
	return w.session.IsListed() && !w.isUnlisted && !w.IsDraining && !w.IsUncertain && !w.session.IsSilent() && e.now.Sub(w.session.LastHeardAt()) <= overdueAfter
}

// trials returns how many attempts the worker is on trial with.
func (w *worker) trials() int {
	n := 0
	for _, a := range w.attempts.All() {
		if w.health.IsProbe(a.orderedAt) {
			n++
		}
	}
	return n
}
