// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/waits"
)

// noteWaits adds the time since the last call for all tasks that wait.
func (e *Engine) noteWaits(since time.Duration) {
	for _, s := range e.queue {
		if s.waiting > 0 && !s.job.state.IsFinal() {
			e.waits.Add(s.job.spec.Queue, s.waitReason, s.waiting, since)
		}
	}
}

// TakeWaits returns how long tasks have waited since the last call.
func (e *Engine) TakeWaits() []waits.Wait { return e.waits.Take() }

// whyWaiting returns what the tasks of a step wait for that were just looked at.
func (e *Engine) whyWaiting(s *step, q *order.Queue) waits.Reason {
	switch {
	case s.hasHeld():
		return waits.Uncertainty
	case e.quotaRoom(s) == 0:
		return waits.Limit
	case q.Permission == nil || len(e.permitted(s, q)) > 0:
		return waits.Capacity
	case s.permissions.IsQuerying():
		return waits.Permission
	case e.lanes.FreeChannel(q.Permission) == "":
		return waits.Channel
	}
	return waits.Capacity
}
