// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"fmt"
	"slices"
)

// Inconsistencies returns what contradicts itself in what the engine knows: any of it would
// leave a task waiting for ever, or room unused. writing is the batch that is on its way to the
// store; nil when none is.
func (e *Engine) Inconsistencies(writing *Batch) []string {
	found := []string{}
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for _, j := range e.jobs {
		if j.state.IsFinal() {
			continue
		}
		for _, r := range j.rounds {
			for _, s := range r.steps {
				e.checkStep(s, writing, report)
			}
		}
	}
	for id, w := range e.workers.All() {
		for task, a := range w.attempts.All() {
			if a.worker != w || a.id != task {
				report("%s has an attempt of %s on %s", id, a.id, a.worker.ID)
			}
		}
	}
	return found
}

func (e *Engine) checkStep(s *step, writing *Batch, report func(format string, args ...any)) {
	waiting, copies := 0, 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskWaiting {
			waiting++
		}
		if t.wantsCopy {
			copies++
		}
		e.checkTask(s, i, writing, report)
	}
	if s.waiting != waiting || s.copiesWanted != copies {
		report("%s: %d wait and %d copies are wanted, counted: %d and %d", s.id, waiting, copies, s.waiting, s.copiesWanted)
	}
	isWanted := s.isOpen && s.job.isPersisted && (waiting > 0 || copies > 0)
	if isWanted && !(s.isQueued && slices.Contains(e.queue, s)) {
		report("%s: %d wait and %d copies are wanted, and it is not in the queue", s.id, waiting, copies)
	}
}

func (e *Engine) checkTask(s *step, i int, writing *Batch, report func(format string, args ...any)) {
	t, id := &s.tasks[i], s.taskID(i)
	if t.state == taskPlaced && t.attempt == nil && len(t.unwanted) == 0 {
		report("%s is placed and has no attempt", id)
	}
	if t.state != taskPlaced && t.attempt != nil && t.state != taskDone {
		report("%s is %s and has an attempt", id, t.state)
	}
	for _, a := range append([]*attempt{t.attempt, t.copy}, t.unwanted...) {
		if a != nil && t.state == taskPlaced {
			e.checkAttempt(a, writing, report)
		}
	}
	for _, w := range t.mayRunOn {
		if !slices.Contains(e.unsettled.Get(w), id) {
			report("%s is held by %s, of which nothing is to be settled", id, w)
		}
	}
}

func (e *Engine) checkAttempt(a *attempt, writing *Batch, report func(format string, args ...any)) {
	if e.workers.Get(a.worker.ID) != a.worker || a.worker.attempts.Get(a.id) != a {
		report("%s has an attempt, %s, on %s, which does not have it", a.id, a.phase, a.worker.ID)
	}
	if a.phase != phasePlanned {
		return
	}
	isToPersist := slices.ContainsFunc([]*Batch{e.batch, writing}, func(b *Batch) bool { return b != nil && slices.Contains(b.planned, a) })
	if !isToPersist && !slices.Contains(e.ready, a) {
		report("%s is planned on %s, and nothing orders it", a.id, a.worker.ID)
	}
}
