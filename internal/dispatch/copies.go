// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"github.com/leverdyke/leverdyke/internal/events"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Copies: where the caller allows it, a second attempt of a task runs beside one
// that may be lost or is slow. Whichever is done first counts.

// hasCopy reports whether the attempt is one of two of its task.
func (a *attempt) hasCopy() bool {
	t := &a.step.tasks[a.id.Index]
	return t.copy != nil || t.wantsCopy
}

// wantCopy asks for a copy beside the attempt. It reports false where copies are
// not allowed.
func (e *Engine) wantCopy(a *attempt) bool {
	s := a.step
	if s == nil || !e.has(MechanismCopies) || !s.spec.AllowsSpeculation || s.spec.IsGang || s.spec.IsLongRunning {
		return false
	}
	t := &s.tasks[a.id.Index]
	if len(t.crashes) > 0 {
		// The copy might take another worker with it.
		return false
	}
	if t.attempt != a || t.copy != nil || t.wantsCopy || t.state != taskPlaced {
		return true
	}
	t.wantsCopy = true
	s.copiesWanted++
	e.enqueue(s)
	e.isDirty = true
	return true
}

// copyIfSilent asks for a copy of an attempt on a worker that does not answer.
func (e *Engine) copyIfSilent(a *attempt) {
	if a.step != nil && a.worker.session.IsSilent() && !a.isStopping {
		e.wantCopy(a)
	}
}

// dropCopyWish ends the wish for a copy.
func (s *step) dropCopyWish(t *task) {
	if t.wantsCopy {
		t.wantsCopy = false
		s.copiesWanted--
	}
}

// placeCopies starts the copies that are wanted and have room.
func (e *Engine) placeCopies(s *step, q *order.Queue) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.wantsCopy || e.quotaRoom(s) == 0 {
			continue
		}
		w := e.choose(s, i, q, nil)
		if needsIndividualPlacement(t) && w == nil {
			continue
		}
		if w == nil || w.speed.IsSlow(e.now) {
			return
		}
		e.options.Log(events.CopyStarted, "task", t.attempt.id, "run", t.run+1, "worker", w.ID, "beside", t.attempt.worker.ID)
		s.dropCopyWish(t)
		t.copy = e.order(w, s, i, t.run+1)
	}
}
