// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/waits"
)

// recordWaits adds the time since the last call to the waiting time of all tasks that wait.
func (e *Engine) recordWaits(since time.Duration) {
	for _, s := range e.stepQueue {
		if s.waiting > 0 && !s.job.state.IsFinal() {
			e.waits.Add(s.job.spec.Queue, s.waitsFor, s.waiting, since)
		}
	}
}

// TakeWaits returns the times that tasks have waited since the last call.
func (e *Engine) TakeWaits() []waits.Wait { return e.waits.Take() }

// waitReason returns why the tasks of a step still wait after the scheduling pass has tried to
// place them.
func (e *Engine) waitReason(s *step, q *order.Queue) waits.Reason {
	switch {
	case s.hasUncertainTask():
		return waits.Doubt
	case e.allowedByQuota(s) == 0:
		return waits.Limit
	case q.Advice == nil || len(e.permittedWorkers(s, q)) > 0:
		return waits.Room
	case s.permit.IsAsking():
		return waits.Permission
	case e.channels.Free(q.Advice) == "":
		return waits.Lane
	}
	return waits.Room
}
