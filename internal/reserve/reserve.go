// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package reserve plans reservations: on which workers capacity is reserved for waiting tasks that
// need much of it, and which running tasks are preempted for them. It does no I/O and reads no
// clock; the caller passes what the workers run, and applies the plan.
//
// It handles a load in which tasks that need most of a worker, or gangs of them, share workers with
// small tasks. Capacity is then freed in small parts, each of which a small task takes at once,
// and a large task waits until a worker happens to be empty.
package reserve

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
)

// Occupant is a task that uses a part of a worker's capacity.
type Occupant struct {
	// Resources are freed when it ends.
	Resources leverdyke.Resources
	// EndsIn is the expected time until it has ended; never negative.
	EndsIn time.Duration
	// IsPreemptible means that it may be stopped to free its resources. PreemptionCost is the
	// work that is lost then, as the time that one waiting task would need for that
	// much work on the resources reserved for it.
	IsPreemptible  bool
	PreemptionCost time.Duration
}

// Worker is a worker that may run the waiting tasks.
type Worker struct {
	Free      leverdyke.Resources
	Occupants []Occupant
	// MaxTasks bounds the waiting tasks that are planned on it.
	MaxTasks int
}

// Request is a set of waiting tasks: Count tasks that need Need each.
type Request struct {
	Count int
	Need  leverdyke.Resources
	// IsGang means that the tasks only start together.
	IsGang bool
	// StopTime is how long a worker takes to stop a task.
	StopTime time.Duration
	// MaxWait is how long the tasks may wait without harm to their caller. No task is preempted if
	// there is capacity for all of them by then.
	MaxWait time.Duration
}

// Placement is capacity on a worker for one task.
type Placement struct {
	// Worker is the index of the worker.
	Worker int
	// ReadyIn is the time until the capacity is free.
	ReadyIn time.Duration
	// Preempted are the indexes of the occupants of the worker that are to be stopped.
	Preempted []int
	// cost is the sum of the preemption costs of the occupants in Preempted.
	cost time.Duration
}

// Plan returns the placements that are free soonest: one for each task, or as many as there
// can be at once. A gang gets a placement for each of its tasks or none at all.
func Plan(r *Request, workers []Worker) []Placement {
	if r.MaxWait > 0 {
		waiting := planWith(r, workers, func(i int) []Placement { return fill(r, i, &workers[i], false) })
		if n := len(waiting); n == r.Count && waiting[n-1].ReadyIn <= r.MaxWait {
			return waiting
		}
	}
	placements := planWith(r, workers, func(i int) []Placement { return planWorker(r, i, &workers[i]) })
	if !r.IsGang || len(placements) == 0 {
		return placements
	}
	startsIn := placements[len(placements)-1].ReadyIn
	return planWith(r, workers, func(i int) []Placement { return planWorkerBy(r, i, &workers[i], startsIn) })
}

// planWith chooses from the placements that planOne returns for each worker.
func planWith(r *Request, workers []Worker, planOne func(index int) []Placement) []Placement {
	placements := []Placement{}
	for i := range workers {
		placements = append(placements, planOne(i)...)
	}
	if r.IsGang && len(placements) < r.Count {
		return nil
	}
	// Each placement on a worker assumes the ones before it there. ReadyIn never decreases from
	// one to the next, and the sort is stable.
	slices.SortStableFunc(placements, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(a.ReadyIn, b.ReadyIn), cmp.Compare(a.cost, b.cost))
	})
	return placements[:min(len(placements), r.Count)]
}

// planWorker returns the placements on one worker. Tasks are preempted there only if the time
// that the waiting tasks gain exceeds the work that is lost, so that preemption increases the
// work done in all.
func planWorker(r *Request, index int, w *Worker) []Placement {
	waiting := fill(r, index, w, false)
	if preempting := fill(r, index, w, true); totalCost(preempting) < totalCost(waiting) {
		return preempting
	}
	return waiting
}

// planWorkerBy is planWorker for a gang that starts after the time startsIn. Tasks are preempted only if
// the worker would otherwise take fewer members by then.
func planWorkerBy(r *Request, index int, w *Worker, startsIn time.Duration) []Placement {
	waiting, preempting := fill(r, index, w, false), planWorker(r, index, w)
	if readyBy(waiting, startsIn) >= readyBy(preempting, startsIn) {
		return waiting
	}
	return preempting
}

// readyBy returns how many of the placements are free by a time.
func readyBy(placements []Placement, by time.Duration) int {
	n := 0
	for i := range placements {
		if placements[i].ReadyIn <= by {
			n++
		}
	}
	return n
}

// totalCost returns the waiting time and the lost work of the placements together.
func totalCost(placements []Placement) time.Duration {
	sum := time.Duration(0)
	for i := range placements {
		sum += placements[i].ReadyIn + placements[i].cost
	}
	return sum
}

// fill returns the placements for as many of the tasks as can be on the worker at once, in the
// order in which its occupants free the capacity for them.
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

// release is the time at which an occupant frees its resources, because it ends or is preempted.
type release struct {
	// index is that of the occupant.
	index       int
	in          time.Duration
	isPreempted bool
}

// releasesOf returns the releases of a worker in the order of their times. Preempted occupants
// free their resources after the stop time; of those, the ones with the lowest cost come first.
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
