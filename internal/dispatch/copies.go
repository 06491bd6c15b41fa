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

// requestCopy asks for a copy beside the attempt. It reports false where copies are
// not allowed.
func (e *Engine) requestCopy(a *attempt) bool {
	s := a.step
	if s == nil || !e.isEnabled(MechanismSpeculativeCopies) || !s.spec.MayDuplicate || s.spec.IsGang || s.spec.IsLasting {
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
	e.needsScheduling = true
	return true
}

// requestCopyIfSilent asks for a copy of an attempt on a worker that does not answer.
func (e *Engine) requestCopyIfSilent(a *attempt) {
	if a.step != nil && a.worker.session.IsSilent() && !a.isStopping {
		e.requestCopy(a)
	}
}

// cancelCopyRequest ends the wish for a copy.
func (s *step) cancelCopyRequest(t *task) {
	if t.wantsCopy {
		t.wantsCopy = false
		s.copiesWanted--
	}
}

// placeCopies starts the copies that are wanted and have room.
func (e *Engine) placeCopies(s *step, q *order.Queue) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.wantsCopy || e.allowedByQuota(s) == 0 {
			continue
		}
		w := e.chooseWorker(s, i, q, nil)
		if isChoosy(t) && w == nil {
			continue
		}
		if w == nil || w.speed.IsSlow(e.now) {
			return
		}
		e.options.Log(events.CopyStarted, "task", t.attempt.id, "run", t.run+1, "worker", w.ID, "beside", t.attempt.worker.ID)
		s.cancelCopyRequest(t)
		t.copy = e.planAttempt(w, s, i, t.run+1)
	}
}
