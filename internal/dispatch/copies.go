// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// Speculative copies: where the caller allows it, a second attempt of a task runs beside an attempt
// that may be lost or is slow. The result of whichever ends first counts.

// hasCopy reports whether the attempt's task has, or wants, a speculative copy.
func (a *attempt) hasCopy() bool {
	t := &a.step.tasks[a.id.Index]
	return t.copy != nil || t.wantsCopy
}

// mayHaveCopy reports whether the task of the attempt may have a speculative copy.
func (e *Engine) mayHaveCopy(a *attempt) bool {
	s := a.step
	if s == nil || !e.isEnabled(MechanismSpeculativeCopies) || !s.spec.AllowsSpeculation || s.spec.IsGang || s.spec.IsLongRunning {
		return false
	}
	// A task with crashes may have crashed its worker; a copy could crash another one.
	return len(s.tasks[a.id.Index].crashes) == 0
}

// requestCopy requests a speculative copy beside the attempt. It returns false if the task may not
// have one, or if that is not worthwhile.
func (e *Engine) requestCopy(a *attempt) bool {
	if !e.mayHaveCopy(a) {
		return false
	}
	s, t := a.step, &a.step.tasks[a.id.Index]
	if t.attempt != a || t.copy != nil || t.wantsCopy || t.state != taskPlaced {
		return true
	}
	if !e.isCopyWorthwhile(a) {
		return false
	}
	t.wantsCopy = true
	s.copiesWanted++
	e.enqueue(s)
	e.needsScheduling = true
	return true
}

// isCopyWorthwhile reports whether a speculative copy beside the attempt gains more than it costs.
func (e *Engine) isCopyWorthwhile(a *attempt) bool {
	if !e.isEnabled(MechanismDiscard) {
		return true
	}
	s := a.step
	q := e.queues[s.job.spec.Queue]
	projected := a.projectedDuration()
	c := discard.Copy{
		IsLost: a.worker.session.IsSilent() || a.isStalled, IsUnconfirmed: a.phase != phaseRunning, Remaining: projected - e.now.Sub(a.orderedAt),
		Replacement: e.durationElsewhere(a, projected), StopTime: e.options.StopTime, IsPoolFull: e.poolUsage[q.Service] >= fullPoolUsage,
	}
	if c.Replacement <= 0 {
		c.Replacement = e.expectedDuration(s)
	}
	c.TimeLeft, c.HasDeadline = e.slackOf(s, &q, 0)
	return c.IsWorthwhile()
}

// requestCopyIfSilent requests a copy of an attempt whose worker does not answer.
func (e *Engine) requestCopyIfSilent(a *attempt) {
	if a.step != nil && a.worker.session.IsSilent() && !a.isStopping {
		e.requestCopy(a)
	}
}

// cancelCopyRequest withdraws the request for a copy of a task.
func (s *step) cancelCopyRequest(t *task) {
	if t.wantsCopy {
		t.wantsCopy = false
		s.copiesWanted--
	}
}

// placeCopies starts the requested copies for which there is a worker with free capacity.
func (e *Engine) placeCopies(s *step, q *order.Queue) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.wantsCopy && !e.isCopyWorthwhile(t.attempt) {
			// The order was only late, or the worker answers again.
			s.cancelCopyRequest(t)
			t.attempt.isReplaced = false
		}
		if !t.wantsCopy || e.allowedByQuota(s) == 0 {
			continue
		}
		w := e.chooseWorker(s, i, q, nil)
		if needsIndividualPlacement(t) && w == nil {
			continue
		}
		if w == nil || w.speed.IsSlow(e.now) {
			return
		}
		e.options.Log(events.SpeculativeCopyStarted, "task", t.attempt.id, "run", t.run+1, "worker", w.ID, "beside", t.attempt.worker.ID)
		s.cancelCopyRequest(t)
		t.copy = e.planAttempt(w, s, i, t.run+1)
	}
}
