// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/lostwork"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/waits"
)

// recordWaits adds the time since the last call to the waiting time of all tasks that wait.
func (e *Engine) recordWaits(since time.Duration) {
	for _, s := range e.stepQueue {
		if s.waiting > 0 && !s.job.state.IsFinal() {
			e.waits.Add(s.job.spec.Queue, s.waitReason, s.waiting, since)
		}
	}
}

// TakeWaits returns the times that tasks have waited since the last call.
func (e *Engine) TakeWaits() []waits.Wait { return e.waits.Take() }

// Waiting returns what tasks wait for now.
func (e *Engine) Waiting() []waits.Waiting {
	entries := []waits.Waiting{}
	for _, s := range e.stepQueue {
		if s.waiting > 0 && !s.job.state.IsFinal() {
			entries = append(entries, waits.Waiting{
				Queue: s.job.spec.Queue, Customer: s.customer(), Reason: s.waitReason, Steps: 1, Tasks: s.waiting, Longest: e.now.Sub(s.openedAt),
			})
		}
	}
	return waits.Summarize(entries)
}

// recordLoss records the work that an attempt has lost, which ended in another way than by success.
func (e *Engine) recordLoss(a *attempt, how order.EndKind) {
	if a.step == nil || a.step.spec.IsLongRunning {
		return
	}
	reason := a.stopReason
	if reason == "" {
		reason = string(how)
	}
	lost := discard.Unsaved(max(e.now.Sub(a.orderedAt), 0), a.step.spec.IsResumable)
	e.lostWork.Add(a.step.job.spec.Queue, reason, a.charge.MilliCPU, lost)
}

// TakeLostWork returns the work that attempts have lost since the last call.
func (e *Engine) TakeLostWork() []lostwork.Loss { return e.lostWork.Take() }

// waitReason returns why the tasks of a step still wait after the scheduling pass has tried to
// place them.
func (e *Engine) waitReason(s *step, q *order.Queue) waits.Reason {
	switch {
	case s.hasUncertainTask():
		return waits.Uncertainty
	case e.allowedByQuota(s) == 0:
		return waits.Limit
	case q.Permission == nil || len(e.permittedWorkers(s, q)) > 0:
		return waits.Capacity
	case s.permissions.IsQuerying():
		return waits.Permission
	case e.planner.Channels().FreeChannel(q.Permission, e.now) == "":
		return waits.Channel
	case e.isDeniedEverywhere(s, q):
		return waits.Denied
	}
	return waits.Capacity
}

// isDeniedEverywhere reports whether the permission service lets none of the workers run the step that
// are reached and large enough for its tasks.
func (e *Engine) isDeniedEverywhere(s *step, q *order.Queue) bool {
	hasWorker, charge := false, s.spec.Charge()
	for id, w := range e.workers.All() {
		if !e.isReachable(w) || !e.mayRun(w, s, q.Service) || !charge.FitsIn(w.Capacity) {
			continue
		}
		if isAllowed, isKnown := s.permissions.IsAllowed(id); isAllowed || !isKnown {
			return false
		}
		hasWorker = true
	}
	return hasWorker
}
