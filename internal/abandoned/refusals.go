// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package abandoned

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// probePause is the pause before a worker that does not answer is told again to refuse an
	// order, less than the owner's tick of 20 ms: what reaches its newer start first counts.
	probePause = 15 * time.Millisecond
	// maxProbes bounds the orders that such a worker is told to refuse at once: one may have left
	// a hundred orders without an answer before it ended.
	maxProbes = 4
)

// Refusals are the orders that one start of a worker is told to refuse and does not yet, by its
// word. One that has come is stopped by that. The zero value has none.
type Refusals struct{ open []refusal }

type refusal struct {
	Order
	// toldAt is when the worker was told last.
	toldAt time.Time
}

// Add adds orders that the worker is to refuse; those that it is told to already stay as they are.
func (r *Refusals) Add(orders []Order) {
	for _, o := range orders {
		if !slices.ContainsFunc(r.open, func(x refusal) bool { return x.Task == o.Task && x.Run == o.Run }) {
			r.open = append(r.open, refusal{Order: o})
		}
	}
}

// HasAny reports whether there are orders that the worker does not refuse yet.
func (r *Refusals) HasAny() bool { return len(r.open) > 0 }

// Due returns the orders that the worker is to be told now to refuse, again after retry. One that
// is silent is told more often, and few at a time, those first that it was told longest ago.
func (r *Refusals) Due(now time.Time, retry time.Duration, isSilent bool) []Order {
	r.open = slices.DeleteFunc(r.open, func(x refusal) bool { return !x.mayCome(now) })
	most := len(r.open)
	if isSilent {
		retry, most = probePause, min(maxProbes, most)
	}
	slices.SortStableFunc(r.open, func(a, b refusal) int { return a.toldAt.Compare(b.toldAt) })
	due := []Order{}
	for i := range most {
		if now.Sub(r.open[i].toldAt) <= retry {
			break
		}
		r.open[i].toldAt = now
		due = append(due, r.open[i].Order)
	}
	return due
}

// Refused takes that the worker refuses a run from now on.
func (r *Refusals) Refused(task work.TaskID, run uint64) {
	r.open = slices.DeleteFunc(r.open, func(x refusal) bool { return x.Task == task && x.Run == run })
}
