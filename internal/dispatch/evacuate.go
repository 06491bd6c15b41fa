// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

// evacuate stops the long-running tasks of a worker that drains or whose zone is drained, one of each
// step at a time, so that each is at work elsewhere before the next one is stopped. Otherwise they
// would run until the worker ends, and could not start elsewhere before its lease has expired. Other
// tasks mostly end before the worker does.
func (e *Engine) evacuate(w *worker) {
	if !e.isEnabled(MechanismEvacuation) {
		return
	}
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning || a.isStopping || !a.step.spec.IsLongRunning || a.step.spec.IsGang {
			continue
		}
		if a.step.waiting > 0 || a.step.isMoving() || !w.IsDraining && !e.mayMoveOffZone(a.step) {
			continue
		}
		e.stop(a, "its worker leaves")
	}
}

// isMoving reports whether an attempt of the step is being stopped, or is not at work yet.
func (s *step) isMoving() bool {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && (a.isStopping || a.phase != phaseRunning || a.percent < 100) {
			return true
		}
	}
	return false
}
