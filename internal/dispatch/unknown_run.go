// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// unknownRun is a run that a worker lists and whose task this engine does not know: its job has
// ended under a previous owner. It is stopped like an attempt.
type unknownRun struct {
	run uint64
	// stopSentAt is when the order to stop it was last sent; isStopConfirmed means that the worker
	// has answered one.
	stopSentAt      time.Time
	isStopConfirmed bool
}

// unknownStopTimeout is how long after the last order to stop an unknown run the worker may still
// list it until it gets the order once more, although it has confirmed one.
const unknownStopTimeout = 2 * time.Second

// stopUnknown orders a worker to stop a listed run of an unknown task. The order is repeated by
// repeatUnknownStops until the worker has confirmed it.
func (e *Engine) stopUnknown(w *worker, running *order.Running) {
	u := w.unknownRuns.Get(running.Task)
	if u == nil || u.run != running.Run {
		u = &unknownRun{run: running.Run}
		w.unknownRuns.Set(running.Task, u)
	}
	w.needsTick = true
	if u.stopSentAt.IsZero() || e.now.Sub(u.stopSentAt) > unknownStopTimeout {
		e.sendUnknownStop(w, running.Task, u)
	}
}

func (e *Engine) sendUnknownStop(w *worker, task work.TaskID, u *unknownRun) {
	u.stopSentAt = e.now
	e.emitStop(w, task, u.run)
}

// repeatUnknownStops sends the orders to stop unknown runs again that the worker has not confirmed
// in time.
func (e *Engine) repeatUnknownStops(w *worker) {
	for task, u := range w.unknownRuns.All() {
		if u.isStopConfirmed {
			continue
		}
		w.needsTick = true
		if e.now.Sub(u.stopSentAt) > stopRetryInterval {
			e.sendUnknownStop(w, task, u)
		}
	}
}

// unknownStopAnswered records that the worker has confirmed a stop, and polls it if that was one of
// an unknown run.
func (e *Engine) unknownStopAnswered(w *worker, task work.TaskID, run uint64) {
	u := w.unknownRuns.Get(task)
	if u == nil || u.run != run {
		return
	}
	u.isStopConfirmed = true
	e.pollNow(w)
}

// dropEndedUnknown drops the unknown runs that a listing no longer has, or whose tasks are known
// by now.
func (w *worker) dropEndedUnknown(running map[work.TaskID]bool) {
	for task := range w.unknownRuns.All() {
		if !running[task] || w.attempts.Get(task) != nil {
			w.unknownRuns.Delete(task)
		}
	}
}
