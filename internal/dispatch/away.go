// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
)

const (
	// awayAfter is how long nothing of a task that lasts may run until a line tells it.
	awayAfter = 3 * time.Second
	// awayLogPause is the time between two lines on one step, and maxAwayLogged bounds the steps
	// that are told of at once.
	awayLogPause  = time.Second
	maxAwayLogged = 8
)

// supply counts the workers with room for a task of a step, by why it may not be started there.
type supply struct {
	// roomy have room. Of these setAside get nothing because of their health, denied are known
	// not to be permitted, unasked were never asked about, and ticketed hold a permission now.
	roomy, setAside, denied, unasked, ticketed int
}

// logAway tells of which tasks that last nothing runs for long, and what might run them.
func (e *Engine) logAway() {
	if e.now.Before(e.notRunningLogDueAt) {
		return
	}
	e.notRunningLogDueAt = e.now.Add(awayLogPause)
	told := 0
	for _, j := range e.activeJobs {
		for _, r := range j.rounds {
			for _, s := range r.steps {
				if told < maxAwayLogged && s.spec.IsLasting && e.logAwayOf(s) {
					told++
				}
			}
		}
	}
}

// logAwayOf tells of the tasks of one step, in one line, and reports whether there was one.
func (e *Engine) logAwayOf(s *step) bool {
	if !s.isOpen || s.job.state.IsFinal() {
		return false
	}
	away, longest, index := 0, time.Duration(0), 0
	for i := range s.tasks {
		d := e.awayFor(s, &s.tasks[i])
		if d < awayAfter {
			continue
		}
		if away++; d > longest {
			longest, index = d, i
		}
	}
	if away == 0 {
		return false
	}
	t, has := &s.tasks[index], e.supplyOf(s)
	e.options.Log(events.TaskAway, "task", s.taskID(index), "run", t.run, "away", longest, "tasks", away, "state", t.state, "phase", t.phase(),
		"reason", s.waitsFor, "crashes", len(t.crashes), "held", len(t.heldBy), "roomy", has.roomy, "setAside", has.setAside,
		"denied", has.denied, "unasked", has.unasked, "ticketed", has.ticketed)
	return true
}

// awayFor returns for how long nothing of a task is known to have run.
func (e *Engine) awayFor(s *step, t *task) time.Duration {
	if t.state == taskDone || t.phase() == phaseRunning {
		return 0
	}
	if t.ranAt.After(s.openAt) {
		return e.now.Sub(t.ranAt)
	}
	return e.now.Sub(s.openAt)
}

// phase returns that of the task's attempt; empty when it has none.
func (t *task) phase() phase {
	if t.attempt == nil {
		return ""
	}
	return t.attempt.phase
}

func (e *Engine) supplyOf(s *step) supply {
	has := supply{}
	q, ok := e.queues[s.job.spec.Queue]
	if !ok {
		return has
	}
	for id, w := range e.workers.All() {
		if !e.isReachable(w) || !e.mayRun(w, s, q.Service) || e.fitCountIgnoringHealth(w, s, leverdyke.Resources{}) == 0 {
			continue
		}
		has.roomy++
		isGood, isKnown := s.permit.Verdict(id)
		_, hasTicket := s.permit.Holds(id, e.now)
		switch {
		case isKnown && !isGood:
			has.denied++
		case !e.isUsable(w, s):
			has.setAside++
		case q.Advice != nil && !isKnown:
			has.unasked++
		case q.Advice == nil || hasTicket:
			has.ticketed++
		}
	}
	return has
}
