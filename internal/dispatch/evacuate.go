// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

// evacuate stops the lasting tasks of a worker that leaves, one of a step at a
// time, so that each is at work elsewhere before the next one goes. They would
// run until the worker ends, and then be away until its lease is over. Other
// tasks mostly end before the worker does.
func (e *Engine) evacuate(w *worker) {
	if !e.isEnabled(MechanismEvacuation) {
		return
	}
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning || a.isStopping || !a.step.spec.IsLasting || a.step.spec.IsGang {
			continue
		}
		if a.step.waiting == 0 && !a.step.isMoving() {
			e.stop(a, "its worker leaves")
		}
	}
}

// isMoving reports whether an attempt of the step is on its way out or in.
func (s *step) isMoving() bool {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && (a.isStopping || a.phase != phaseRunning || a.percent < 100) {
			return true
		}
	}
	return false
}
