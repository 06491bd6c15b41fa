// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/throttle"
)

// fullPace is the pace of a task that is not throttled.
const fullPace = throttle.FullPace

// setPaces adjusts the pace of the best-effort tasks on a worker to the tail latencies of the tasks
// that serve users there.
func (e *Engine) setPaces(w *worker) {
	worstRatio := 0.0
	hasBestEffort := false
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning {
			continue
		}
		hasBestEffort = hasBestEffort || a.step.spec.IsBestEffort
		if target := a.step.spec.TailTarget; target > 0 && a.percent >= 100 {
			worstRatio = max(worstRatio, float64(a.metric)/float64(target.Milliseconds()))
		}
	}
	if !hasBestEffort {
		return
	}
	for _, a := range w.attempts.All() {
		if a.step != nil && a.step.spec.IsBestEffort && a.phase == phaseRunning && !a.isStopping {
			e.setPace(a, worstRatio)
		}
	}
}

// paceRetryInterval is how long an order to pace may stay unanswered until it is sent again.
const paceRetryInterval = 500 * time.Millisecond

// setPace orders the pace of an attempt if it changes, or if it is not known whether the worker has got
// the last order.
func (e *Engine) setPace(a *attempt, worstRatio float64) {
	newPace := throttle.Next(a.pace, e.now.Sub(a.paceChangedAt), worstRatio)
	if newPace != a.pace {
		a.paceChangedAt = e.now
	} else if !a.isPaceUnknown || e.now.Sub(a.paceSentAt) < paceRetryInterval {
		return
	}
	a.pace, a.isPaceUnknown, a.paceSentAt = newPace, true, e.now
	e.emit(order.Pace{Worker: a.worker.ID, Addr: a.worker.Addr, Generation: e.abandonedStarts.Generation(a.worker.ID), Task: a.id, Run: a.run, Percent: newPace})
}

// PaceAnswered handles the answer to an order to pace; isDone is false if there was none, or the worker
// refused.
func (e *Engine) PaceAnswered(p *order.Pace, isDone bool) {
	w := e.workers.Get(p.Worker)
	if w == nil || !isDone {
		return
	}
	if a := w.attempts.Get(p.Task); a != nil && a.run == p.Run && a.pace == p.Percent {
		a.isPaceUnknown = false
	}
}
