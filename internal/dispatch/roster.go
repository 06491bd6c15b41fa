// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/work"
)

// RosterEntry is a worker on which an owner may have started tasks. Owners keep
// the roster in the store, so that the next one knows where tasks may run that
// it cannot ask.
type RosterEntry struct {
	Worker WorkerID `msgpack:"w"`
	// IsOpen means that the owner may start any task there before it writes the
	// next roster.
	IsOpen bool `msgpack:"o,omitempty"`
	// Tasks are those that may run there, when it is not open.
	Tasks []work.TaskID `msgpack:"t,omitempty"`
	// Lease is how much longer its lease may run; 0 means that it is renewed.
	Lease time.Duration `msgpack:"l,omitempty"`
}

// inherited is what is known of a worker from an earlier owner.
type inherited struct {
	entry RosterEntry
	// until is when its leases are over.
	until time.Time
}

// Inherit says on which workers an earlier owner may have started tasks of the
// jobs known so far. What may run on a worker is not started elsewhere before the
// worker has told what it runs, or its leases are over: all are at until.
func (e *Engine) Inherit(roster []RosterEntry, until time.Time) {
	e.inheritedUntil = until
	for _, entry := range roster {
		in := inherited{entry, until}
		if entry.Lease > 0 {
			in.until = e.now.Add(entry.Lease)
		}
		e.unsettled[entry.Worker] = in
		if entry.IsOpen {
			e.openUnsettled++
		}
		for _, id := range entry.Tasks {
			if _, t := e.find(id); t != nil {
				t.heldBy = entry.Worker
			}
		}
	}
	for _, j := range e.live {
		j.isInherited = true
	}
}

// isHeld reports whether any task of the job may run where nobody can tell.
func (e *Engine) isHeld(j *job) bool { return j.isInherited && e.openUnsettled > 0 }

func (e *Engine) settle(id WorkerID, why string) {
	in, ok := e.unsettled[id]
	if !ok {
		return
	}
	delete(e.unsettled, id)
	if in.entry.IsOpen {
		e.openUnsettled--
	}
	for _, task := range in.entry.Tasks {
		if _, t := e.find(task); t != nil && t.heldBy == id {
			t.heldBy = ""
		}
	}
	e.isDirty = true
	if len(e.unsettled) == 0 {
		e.options.Log(events.Inherited, "last", id, "why", why)
	}
}

// tickInherited settles workers whose leases are over and that nobody reaches.
func (e *Engine) tickInherited() {
	for id, in := range e.unsettled {
		if e.now.Before(in.until) {
			continue
		}
		if w := e.workers[id]; w == nil || e.now.After(w.lapsesAt()) {
			e.settle(id, "leases lapsed")
		}
	}
}

// Roster returns the workers on which tasks may run. A worker that is not open in
// it gets nothing before a later roster with it is admitted.
func (e *Engine) Roster() []RosterEntry {
	out := make([]RosterEntry, 0, len(e.workers))
	for id, w := range e.workers {
		if _, ok := e.unsettled[id]; ok {
			continue
		}
		entry := RosterEntry{Worker: id, IsOpen: e.isReachable(w)}
		if !entry.IsOpen {
			w.isAdmitted = false
			if len(w.attempts) == 0 {
				continue
			}
			for task := range w.attempts {
				entry.Tasks = append(entry.Tasks, task)
			}
			if w.holdFailures > 0 {
				entry.Lease = max(w.lapsesAt().Sub(e.now), time.Millisecond)
			}
		}
		out = append(out, entry)
	}
	for _, in := range e.unsettled {
		entry := in.entry
		entry.Lease = max(in.until.Sub(e.now), time.Millisecond)
		out = append(out, entry)
	}
	return out
}

// WantsRoster reports whether a worker could be used once a new roster is kept.
func (e *Engine) WantsRoster() bool {
	for _, w := range e.workers {
		if !w.isAdmitted && e.isReachable(w) {
			return true
		}
	}
	return false
}

// Admit says that the store has this roster.
func (e *Engine) Admit(roster []RosterEntry) {
	for i := range roster {
		w := e.workers[roster[i].Worker]
		if w == nil || !roster[i].IsOpen || w.isAdmitted || !e.isReachable(w) {
			continue
		}
		w.isAdmitted = true
		e.isDirty = true
	}
}

// isReachable reports whether the worker takes orders, whatever its health.
func (e *Engine) isReachable(w *worker) bool {
	return w.isListed && !w.isGone && !w.IsDraining && w.holdFailures == 0 && e.now.Sub(w.readAt) <= overdueAfter
}
