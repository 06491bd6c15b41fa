// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// Victim is a running task that could be preempted for more urgent work.
type Victim struct {
	Key worker.Key
	// Charge is the resources that the task occupies on its VM.
	Charge leverdyke.Resources
	Class  leverdyke.Class
	// IsAtMostOnce means that the task must not be started again, and is
	// therefore never preempted.
	IsAtMostOnce bool
	// IsThrottled means that the task is throttled already.
	IsThrottled bool
	// RunTime is how long the task has run; stopping it wastes this time.
	RunTime time.Duration
}

// Preemption is the action to take on one victim.
type Preemption struct {
	Key    worker.Key
	Action worker.Action
}

// Preempt returns the least disruptive preemptions that make room for need on a
// VM whose free capacity is given, or nil if none suffice. Throttling is
// preferred to stopping; the least urgent tasks come first, and of those the
// ones that have run for the shortest time. Only tasks of a less urgent class
// are preempted, and none that must not be started again.
func Preempt(need, free leverdyke.Resources, class leverdyke.Class, victims []Victim) []Preemption {
	candidates := []Victim{}
	for _, v := range victims {
		if !v.IsAtMostOnce && v.Class.Rank() > class.Rank() {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b Victim) int {
		return cmp.Or(
			cmp.Compare(b.Class.Rank(), a.Class.Rank()), cmp.Compare(a.RunTime, b.RunTime),
			cmp.Compare(a.Key.Task.Job, b.Key.Task.Job), cmp.Compare(a.Key.Task.Index, b.Key.Task.Index),
		)
	})
	if preemptions := throttleOnly(need, free, candidates); preemptions != nil {
		return preemptions
	}
	return stopVictims(need, free, candidates)
}

// throttleOnly throttles victims until need fits, or returns nil if throttling
// does not suffice. Throttling frees CPU only, no memory, slots or accelerators.
func throttleOnly(need, free leverdyke.Resources, candidates []Victim) []Preemption {
	preemptions := []Preemption{}
	for _, v := range candidates {
		if need.FitsIn(free) {
			break
		}
		if v.IsThrottled {
			continue
		}
		free.MilliCPU += v.Charge.MilliCPU - v.Charge.MilliCPU/worker.ThrottleDivisor
		preemptions = append(preemptions, Preemption{v.Key, worker.ActionThrottle})
	}
	if !need.FitsIn(free) || len(preemptions) == 0 {
		return nil
	}
	return preemptions
}

// stopVictims checkpoints and stops victims until need fits, then spares those
// whose resources turn out not to be needed. It checks in the reverse order, so
// that the victims that are most costly to stop are spared first.
func stopVictims(need, free leverdyke.Resources, candidates []Victim) []Preemption {
	taken := []Victim{}
	for _, v := range candidates {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(v.Charge)
		taken = append(taken, v)
	}
	if !need.FitsIn(free) {
		return nil
	}
	preemptions := []Preemption{}
	for i := len(taken) - 1; i >= 0; i-- {
		if need.FitsIn(free.Sub(taken[i].Charge)) {
			free = free.Sub(taken[i].Charge)
			continue
		}
		preemptions = append(preemptions, Preemption{taken[i].Key, worker.ActionCheckpoint})
	}
	return preemptions
}
