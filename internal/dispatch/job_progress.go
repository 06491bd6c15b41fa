// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"github.com/leverdyke/leverdyke/internal/statequery"
	"github.com/leverdyke/leverdyke/internal/work"
)

// minEndingShare is the share of its expected duration for which a task must have run before it may
// end at any moment. Callers' estimates are often off by half.
const minEndingShare = 0.25

// maxEndingTasks is how many tasks of a step may be left when its job may end at any moment.
const maxEndingTasks = 200

// Progress says how near the end of a job is. It is Active for a job of a queue without an
// objective, whose callers are not measured by when they learn of the end.
func (e *Engine) Progress(id work.JobID) statequery.Progress {
	j := e.jobs[id]
	switch {
	case j == nil || j.isFinalPersisted:
		return statequery.Settled
	case e.queues[j.spec.Queue].Stretch <= 0 || !e.isEnabled(MechanismStateWait):
		return statequery.Active
	case j.state.IsFinal():
		return statequery.Ended
	case e.isEnding(j):
		return statequery.Ending
	}
	return statequery.Active
}

// isEnding reports whether all tasks of a job that are not done have run for a while.
func (e *Engine) isEnding(j *job) bool {
	r := j.rounds[0]
	if r == nil || j.spec.Rounds > 0 || j.attempts == 0 {
		return false
	}
	for _, s := range r.steps {
		if !s.isOpen || s.waiting > 0 || s.spec.IsLongRunning {
			return false
		}
		if s.tasksLeft > 0 && !e.areEnding(s) {
			return false
		}
	}
	return true
}

// areEnding reports whether each task of a step that is not done has run for minEndingShare of its
// expected duration.
func (e *Engine) areEnding(s *step) bool {
	if s.tasksLeft > maxEndingTasks {
		return false
	}
	least := minEndingShare * float64(e.expectedDuration(s))
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskDone {
			continue
		}
		if a := t.attempt; a == nil || a.phase == phasePlanned || float64(e.now.Sub(a.orderedAt)) < least {
			return false
		}
	}
	return true
}
