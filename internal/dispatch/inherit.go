// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Inherit says that the jobs known so far had an earlier owner, whose leases are
// all over at until. A task that it may have started on a worker is not started
// elsewhere before that worker has told what it runs, or until.
//
// isExact means that the earlier owner kept each place of a task before it
// ordered the start. Otherwise any task may run anywhere, and none is started
// before until unless a worker says that it runs there.
func (e *Engine) Inherit(until time.Time, isExact bool) {
	e.inheritedUntil = until
	if !isExact {
		e.blockedUntil = until
	}
	for _, j := range e.live {
		j.isInherited = true
	}
}

// holdTask notes that a task may run on a worker by an earlier owner's order.
func (e *Engine) holdTask(id work.TaskID, worker order.WorkerID) {
	_, t := e.find(id)
	if t == nil || t.state != taskWaiting || slices.Contains(t.heldBy, worker) {
		return
	}
	t.heldBy = append(t.heldBy, worker)
	e.unsettled[worker] = append(e.unsettled[worker], id)
}

// isBlocked reports whether any task of the job may run where nobody can tell.
func (e *Engine) isBlocked(j *job) bool {
	return j.isInherited && e.now.Before(e.blockedUntil)
}

// settle says that it is known what a worker runs.
func (e *Engine) settle(id order.WorkerID, why string) {
	tasks, ok := e.unsettled[id]
	if !ok {
		return
	}
	delete(e.unsettled, id)
	for _, task := range tasks {
		if _, t := e.find(task); t != nil {
			t.heldBy = slices.DeleteFunc(t.heldBy, func(w order.WorkerID) bool { return w == id })
		}
	}
	e.isDirty = true
	if why != settledByListing {
		e.options.Log(events.InheritedSettled, "worker", id, "tasks", len(tasks), "why", why)
	}
	if len(e.unsettled) == 0 {
		e.options.Log(events.Inherited, "last", id, "why", why)
	}
}

// Why it is known what a worker runs.
const (
	settledByListing = "told what it runs"
	settledByLife    = "life over"
	settledByTime    = "leases lapsed"
)

// tickInherited settles workers whose leases are over and that nobody reaches.
func (e *Engine) tickInherited() {
	if !e.blockedUntil.IsZero() && !e.now.Before(e.blockedUntil) {
		e.blockedUntil = time.Time{}
		e.isDirty = true
	}
	if e.now.Before(e.inheritedUntil) {
		return
	}
	for id := range e.unsettled {
		if w := e.workers[id]; w == nil || e.now.After(w.lapsesAt()) {
			e.settle(id, settledByTime)
		}
	}
}

// isReachable reports whether the worker takes orders, whatever its health.
func (e *Engine) isReachable(w *worker) bool {
	return w.isListed && !w.isGone && !w.IsDraining && !w.isSilent() && e.now.Sub(w.readAt) <= overdueAfter
}
