// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
)

const (
	// notRunningLogAfter is how long a long-running task is not running before that is logged.
	notRunningLogAfter = 3 * time.Second
	// notRunningLogInterval is the time between two lines on one step, and maxNotRunningLogged
	// bounds the steps that are logged at once.
	notRunningLogInterval = time.Second
	maxNotRunningLogged   = 8
)

// availability counts the workers with free capacity for a task of a step, by whether and why not
// the task may start there.
type availability struct {
	// withCapacity counts all of them. Of these, ejected get nothing because of their health,
	// denied are known not to be permitted, unqueried have not been part of a permission query,
	// and permitted may start the task now.
	withCapacity, ejected, denied, unqueried, permitted int
}

// logNotRunning logs which long-running tasks have not been running for long, and which workers
// could run them.
func (e *Engine) logNotRunning() {
	if e.now.Before(e.notRunningLogDueAt) {
		return
	}
	e.notRunningLogDueAt = e.now.Add(notRunningLogInterval)
	logged := 0
	for _, j := range e.activeJobs {
		for _, r := range j.rounds {
			for _, s := range r.steps {
				if logged < maxNotRunningLogged && s.spec.IsLongRunning && e.logNotRunningStep(s) {
					logged++
				}
			}
		}
	}
}

// logNotRunningStep logs this for the tasks of one step, in one line, and reports whether it wrote
// one.
func (e *Engine) logNotRunningStep(s *step) bool {
	if !s.isOpen || s.job.state.IsFinal() {
		return false
	}
	notRunning, longest, index := 0, time.Duration(0), 0
	for i := range s.tasks {
		d := e.notRunningFor(s, &s.tasks[i])
		if d < notRunningLogAfter {
			continue
		}
		if notRunning++; d > longest {
			longest, index = d, i
		}
	}
	if notRunning == 0 {
		return false
	}
	t, counts := &s.tasks[index], e.availabilityOf(s)
	e.options.Log(events.TaskNotRunning, "task", s.taskID(index), "run", t.run, "away", longest, "tasks", notRunning, "state", t.state, "phase", t.phase(),
		"reason", s.waitReason, "crashes", len(t.crashes), "held", len(t.mayRunOn), "roomy", counts.withCapacity, "setAside", counts.ejected,
		"denied", counts.denied, "unasked", counts.unqueried, "ticketed", counts.permitted)
	return true
}

// notRunningFor returns for how long no attempt of a task is known to have run.
func (e *Engine) notRunningFor(s *step, t *task) time.Duration {
	if t.state == taskDone || t.phase() == phaseRunning {
		return 0
	}
	if t.lastRanAt.After(s.openedAt) {
		return e.now.Sub(t.lastRanAt)
	}
	return e.now.Sub(s.openedAt)
}

// phase returns the phase of the task's attempt; empty if it has none.
func (t *task) phase() phase {
	if t.attempt == nil {
		return ""
	}
	return t.attempt.phase
}

// availabilityOf counts the workers on which a task of the step could start.
func (e *Engine) availabilityOf(s *step) availability {
	counts := availability{}
	q, ok := e.queues[s.job.spec.Queue]
	if !ok {
		return counts
	}
	for id, w := range e.workers.All() {
		if !e.isReachable(w) || !e.mayRun(w, s, q.Service) || e.fitCountIgnoringHealth(w, s, leverdyke.Resources{}) == 0 {
			continue
		}
		counts.withCapacity++
		isPermitted, isKnown := s.permissions.IsAllowed(id)
		_, hasPermit := s.permissions.ValidPermit(id, e.now)
		switch {
		case isKnown && !isPermitted:
			counts.denied++
		case !e.isUsable(w, s):
			counts.ejected++
		case q.Permission != nil && !isKnown:
			counts.unqueried++
		case q.Permission == nil || hasPermit:
			counts.permitted++
		}
	}
	return counts
}
