// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// isUsable reports whether the worker may be given new tasks of the step. It may not if it cannot
// be reached, runs attempts of unknown size, is being probed, is reserved for another step, or is
// ejected because of its health. A step for which mayProbeEarly holds may use an ejected worker all
// the same, one task at a time.
func (e *Engine) isUsable(w *worker, s *step) bool {
	isEarlyProbe := s.mayProbeEarly && w.health.MayProbeEarly(e.now)
	switch {
	case !e.isReachable(w), w.unknownRuns.Len() > 0, e.now.Before(w.isolatedUntil):
		return false
	case w.exclusiveStep != s && e.now.Before(w.exclusiveUntil):
		return false
	case w.health.IsPaused(e.now) && !isEarlyProbe, w.health.IsOnProbation && w.probeCount() > 0:
		return false
	case w.health.IsOnProbation && !s.mayProbeEarly && e.isSuspectJob(s.job):
		// Its failure would prove nothing, and it would keep another probe away.
		return false
	}
	return true
}

// mayProbeEarly reports whether tasks of the step may run as probes on ejected workers before the
// ejection time has ended. That is so if the step's job has had nothing running for long although
// its pool has free capacity or, for a long-running step, if one of its tasks has not run for some
// seconds: evidently no other worker takes it.
func (e *Engine) mayProbeEarly(s *step, pool string) bool {
	if !s.spec.IsLongRunning {
		return e.isStarved(s, pool)
	}
	isNotRunning := func(t task) bool { return t.state == taskWaiting && e.notRunningFor(s, &t) >= otherWorkerTimeout }
	return slices.ContainsFunc(s.tasks, isNotRunning)
}

// isReachable reports whether orders can be sent to the worker, regardless of its health.
func (e *Engine) isReachable(w *worker) bool {
	return w.session.IsListed() && !w.isUnlisted && !w.IsDraining && !w.isZoneDrained && !w.IsUncertain && !w.session.IsSilent() && !e.silent.ledger.Names(w.ID) && e.now.Sub(w.session.LastHeardAt()) <= unreachableAfter
}

// probeCount returns how many attempts on the worker are probes of its health.
func (w *worker) probeCount() int {
	n := 0
	for _, a := range w.attempts.All() {
		if w.health.IsProbe(a.orderedAt) {
			n++
		}
	}
	return n
}
