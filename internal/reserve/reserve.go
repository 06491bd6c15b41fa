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
	// Resources is what is free once it has ended.
	Resources leverdyke.Resources
	// EndsIn is when it will likely have ended; never negative.
	EndsIn time.Duration
	// IsPreemptible says that it may be stopped to make room; Lost is the work that is lost
	// then, as the time for which the room of one task that waits could do as much.
	IsPreemptible  bool
	PreemptionCost time.Duration
}

// Worker is one that may run the tasks.
type Worker struct {
	Free      leverdyke.Resources
	Occupants []Occupant
	// MaxTasks bounds the tasks on it.
	MaxTasks int
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

// Placement is room for one task.
type Placement struct {
	// Worker is the index of the worker.
	Worker int
	// ReadyIn is when the room is complete.
	ReadyIn time.Duration
	// Preempted are the indexes of the occupants of the worker that are to be stopped.
	Preempted []int
	cost      time.Duration
}

// Plan returns where the tasks start soonest: a place for each, or for as many as
// there can be at once. A gang gets all or none.
func Plan(r *Request, workers []Worker) []Placement {
	placements := []Placement{}
	for i := range workers {
		placements = append(placements, planWorker(r, i, &workers[i])...)
	}
	if r.IsGang && len(placements) < r.Count {
		return nil
	}
	// The places on one worker build on each other: they come in their order.
	slices.SortStableFunc(placements, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(a.ReadyIn, b.ReadyIn), cmp.Compare(a.cost, b.cost))
	})
	return placements[:min(len(placements), r.Count)]
}

// placesOn returns the places on one worker. Tasks are stopped there only if those
// that wait start sooner by more than the work that is lost: then the room does more.
func planWorker(r *Request, index int, w *Worker) []Placement {
	waiting := fill(r, index, w, false)
	if preempting := fill(r, index, w, true); totalCost(preempting) < totalCost(waiting) {
		return preempting
	}
	return waiting
}

func totalCost(placements []Placement) time.Duration {
	sum := time.Duration(0)
	for i := range placements {
		sum += placements[i].ReadyIn + placements[i].cost
	}
	return sum
}

// fill returns when the worker has room for one task, for two, and so on.
func fill(r *Request, index int, w *Worker, mayPreempt bool) []Placement {
	releases := releasesOf(r, w, mayPreempt)
	free := w.Free
	placements := []Placement{}
	p := Placement{Worker: index}
	for range min(w.MaxTasks, r.Count) {
		for !r.Need.FitsIn(free) {
			if len(releases) == 0 {
				return placements
			}
			next := releases[0]
			releases = releases[1:]
			free = free.Add(w.Occupants[next.index].Resources)
			p.ReadyIn = max(p.ReadyIn, next.in)
			if next.isPreempted {
				p.Preempted = append(p.Preempted, next.index)
				p.cost += w.Occupants[next.index].PreemptionCost
			}
		}
		free = free.Sub(r.Need)
		placements = append(placements, p)
		p = Placement{Worker: index, ReadyIn: p.ReadyIn}
	}
	return placements
}

// leaving is an occupant with the time at which it is gone.
type release struct {
	index       int
	in          time.Duration
	isPreempted bool
}

// inOrder returns the occupants in the order in which they go. What is stopped goes
// at once, the cheapest first.
func releasesOf(r *Request, w *Worker, mayPreempt bool) []release {
	out := make([]release, 0, len(w.Occupants))
	for i, o := range w.Occupants {
		next := release{index: i, in: o.EndsIn}
		if mayPreempt && o.IsPreemptible && o.EndsIn > r.StopTime {
			next.in, next.isPreempted = r.StopTime, true
		}
		out = append(out, next)
	}
	slices.SortStableFunc(out, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(w.Occupants[a.index].PreemptionCost, w.Occupants[b.index].PreemptionCost))
	})
	return out
}
