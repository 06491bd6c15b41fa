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

// Victim is a running task that urgent work could push aside.
type Victim struct {
	Key    worker.Key
	Charge leverdyke.Resources
	Class  leverdyke.Class
	// IsOnce forbids it: the task may not start again.
	IsOnce bool
	// IsThrottled means that it was throttled before.
	IsThrottled bool
	// Ran is how long it has run: what stopping it would waste.
	Ran time.Duration
}

// Push is what to do to one victim.
type Push struct {
	Key  worker.Key
	Deed worker.Action
}

// Preempt returns the gentlest deeds that free need on a VM with free left, or
// nil if no set of them does. Only tasks of a lower class than the need's are
// touched, and none that may not be repeated.
func Preempt(need, free leverdyke.Resources, class leverdyke.Class, victims []Victim) []Push {
	candidates := []Victim{}
	for _, v := range victims {
		if !v.IsOnce && v.Class.Rank() > class.Rank() {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b Victim) int {
		return cmp.Or(
			cmp.Compare(b.Class.Rank(), a.Class.Rank()), cmp.Compare(a.Ran, b.Ran),
			cmp.Compare(a.Key.Task.Job, b.Key.Task.Job), cmp.Compare(a.Key.Task.Index, b.Key.Task.Index),
		)
	})
	if pushes := throttleOnly(need, free, candidates); pushes != nil {
		return pushes
	}
	return stopSome(need, free, candidates)
}

// throttleOnly helps where only processors are short.
func throttleOnly(need, free leverdyke.Resources, candidates []Victim) []Push {
	pushes := []Push{}
	for _, v := range candidates {
		if need.FitsIn(free) {
			break
		}
		if v.IsThrottled {
			continue
		}
		free.MilliCPU += v.Charge.MilliCPU - v.Charge.MilliCPU/worker.ThrottleDivisor
		pushes = append(pushes, Push{v.Key, worker.ActionThrottle})
	}
	if !need.FitsIn(free) || len(pushes) == 0 {
		return nil
	}
	return pushes
}

// stopSome checkpoints victims until the need fits, then spares those that
// turned out not to be needed, dearest first.
func stopSome(need, free leverdyke.Resources, candidates []Victim) []Push {
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
	pushes := []Push{}
	for i := len(taken) - 1; i >= 0; i-- {
		if need.FitsIn(free.Sub(taken[i].Charge)) {
			free = free.Sub(taken[i].Charge)
			continue
		}
		pushes = append(pushes, Push{taken[i].Key, worker.ActionCheckpoint})
	}
	return pushes
}
