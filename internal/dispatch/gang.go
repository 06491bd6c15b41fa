// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// placeGang starts all tasks of a gang or none.
func (e *Engine) placeGang(s *step, q *order.Queue) {
	if s.waiting < len(s.tasks) || s.hasHeld() || e.quotaRoom(s) == 0 {
		return
	}
	places := e.gangPlaces(s, q)
	if places == nil {
		if q.Permission != nil {
			e.askAdvice(s, q.Permission, len(s.tasks))
		}
		e.reserveFor(s, q, len(s.tasks))
		return
	}
	run := s.highestRun() + 1
	for i, w := range places {
		e.start(w, s, i, run)
	}
	e.options.Log(events.StepPlaced, "step", s.id, "queue", q.Name, "placed", len(places), "run", run, "waited", e.now.Sub(s.openedAt))
}

// hasHeld reports whether a task may run where nobody can tell.
func (s *step) hasHeld() bool {
	return slices.ContainsFunc(s.tasks, func(t task) bool { return len(t.mayRunOn) > 0 })
}

// gangPlaces returns a worker for each task of a gang, in one rack where that is
// asked for and possible, or nil.
func (e *Engine) gangPlaces(s *step, q *order.Queue) []*worker {
	if s.spec.IsSameRack {
		for _, rack := range e.racks() {
			if places := e.tryGang(s, q, rack); places != nil {
				return places
			}
		}
	}
	return e.tryGang(s, q, "")
}

func (e *Engine) racks() []string {
	out := []string{}
	for _, w := range e.workers.All() {
		if w.Rack != "" && !slices.Contains(out, w.Rack) {
			out = append(out, w.Rack)
		}
	}
	slices.Sort(out)
	return out
}

func (e *Engine) tryGang(s *step, q *order.Queue, rack string) []*worker {
	taken := map[*worker]int{}
	places := make([]*worker, 0, len(s.tasks))
	for i := range s.tasks {
		w := e.choose(s, i, q, &gangSoFar{taken, rack})
		if w == nil {
			return nil
		}
		taken[w]++
		places = append(places, w)
	}
	return places
}

// gangSoFar is what the members of a gang that have a place would take.
type gangSoFar struct {
	taken map[*worker]int
	rack  string
}
