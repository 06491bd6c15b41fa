// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package reserve decides which workers are kept for tasks that wait for much room,
// and which tasks make way for them. It is pure: what the workers run comes in, a
// plan goes out.
//
// It answers the load in which tasks that take most of a worker, or gangs of them,
// share workers with small ones: room becomes free in small parts, goes to the small
// tasks, and the large ones wait until a worker is empty by chance.
package reserve

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
)

// Occupant is what takes a part of a worker's room.
type Occupant struct {
	// Room is what is free once it has ended.
	Room leverdyke.Resources
	// EndsIn is when it will likely have ended; never negative.
	EndsIn time.Duration
	// MayStop says that it may be stopped to make room; Lost is the work that is lost
	// then, as the time for which the room of one task that waits could do as much.
	MayStop bool
	Lost    time.Duration
}

// Worker is one that may run the tasks.
type Worker struct {
	Free      leverdyke.Resources
	Occupants []Occupant
	// Most bounds the tasks on it.
	Most int
}

// Request is what waits: Count tasks that take Need each.
type Request struct {
	Count int
	Need  leverdyke.Resources
	// IsGang says that the tasks only start together.
	IsGang bool
	// StopTime is how long a worker takes to stop a task.
	StopTime time.Duration
}

// Place is room for one task.
type Place struct {
	// Worker is the index of the worker.
	Worker int
	// ReadyIn is when the room is complete.
	ReadyIn time.Duration
	// Stops are the indexes of the occupants of the worker that are to be stopped.
	Stops []int
	lost  time.Duration
}

// Places returns where the tasks start soonest: a place for each, or for as many as
// there can be at once. A gang gets all or none.
func Places(r *Request, workers []Worker) []Place {
	places := []Place{}
	for i := range workers {
		places = append(places, placesOn(r, i, &workers[i])...)
	}
	if r.IsGang && len(places) < r.Count {
		return nil
	}
	// The places on one worker build on each other: they come in their order.
	slices.SortStableFunc(places, func(a, b Place) int {
		return cmp.Or(cmp.Compare(a.ReadyIn, b.ReadyIn), cmp.Compare(a.lost, b.lost))
	})
	return places[:min(len(places), r.Count)]
}

// placesOn returns the places on one worker. Tasks are stopped there only if those
// that wait start sooner by more than the work that is lost: then the room does more.
func placesOn(r *Request, index int, w *Worker) []Place {
	waiting := fill(r, index, w, false)
	if stopping := fill(r, index, w, true); cost(stopping) < cost(waiting) {
		return stopping
	}
	return waiting
}

func cost(places []Place) time.Duration {
	sum := time.Duration(0)
	for i := range places {
		sum += places[i].ReadyIn + places[i].lost
	}
	return sum
}

// fill returns when the worker has room for one task, for two, and so on.
func fill(r *Request, index int, w *Worker, mayStop bool) []Place {
	leaving := inOrder(r, w, mayStop)
	free := w.Free
	places := []Place{}
	p := Place{Worker: index}
	for range min(w.Most, r.Count) {
		for !r.Need.FitsIn(free) {
			if len(leaving) == 0 {
				return places
			}
			l := leaving[0]
			leaving = leaving[1:]
			free = free.Add(w.Occupants[l.index].Room)
			p.ReadyIn = max(p.ReadyIn, l.in)
			if l.isStopped {
				p.Stops = append(p.Stops, l.index)
				p.lost += w.Occupants[l.index].Lost
			}
		}
		free = free.Sub(r.Need)
		places = append(places, p)
		p = Place{Worker: index, ReadyIn: p.ReadyIn}
	}
	return places
}

// leaving is an occupant with the time at which it is gone.
type leaving struct {
	index     int
	in        time.Duration
	isStopped bool
}

// inOrder returns the occupants in the order in which they go. What is stopped goes
// at once, the cheapest first.
func inOrder(r *Request, w *Worker, mayStop bool) []leaving {
	out := make([]leaving, 0, len(w.Occupants))
	for i, o := range w.Occupants {
		l := leaving{index: i, in: o.EndsIn}
		if mayStop && o.MayStop && o.EndsIn > r.StopTime {
			l.in, l.isStopped = r.StopTime, true
		}
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b leaving) int {
		return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(w.Occupants[a.index].Lost, w.Occupants[b.index].Lost))
	})
	return out
}
