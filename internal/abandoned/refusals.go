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
	silentRetry = 15 * time.Millisecond
	// maxProbes bounds the orders that such a worker is told to refuse at once: one may have left
	// a hundred orders without an answer before it ended.
	maxSilentOrders = 4
)

// Refusals are the orders that one start of a worker is told to refuse and does not yet, by its
// word. One that has come is stopped by that. The zero value has none.
type Refusals struct{ pending []refusal }

type refusal struct {
	Start
	// toldAt is when the worker was told last.
	sentAt time.Time
}

// Add adds orders that the worker is to refuse; those that it is told to already stay as they are.
func (r *Refusals) Add(starts []Start) {
	for _, o := range starts {
		if !slices.ContainsFunc(r.pending, func(x refusal) bool { return x.Task == o.Task && x.Run == o.Run }) {
			r.pending = append(r.pending, refusal{Start: o})
		}
	}
}

// HasPending reports whether there are orders that the worker does not refuse yet.
func (r *Refusals) HasPending() bool { return len(r.pending) > 0 }

// Due returns the orders that the worker is to be told now to refuse, again after retry. One that
// is silent is told more often, and few at a time, those first that it was told longest ago.
func (r *Refusals) Due(now time.Time, retry time.Duration, isSilent bool) []Start {
	r.pending = slices.DeleteFunc(r.pending, func(x refusal) bool { return !x.mayArrive(now) })
	limit := len(r.pending)
	if isSilent {
		retry, limit = silentRetry, min(maxSilentOrders, limit)
	}
	slices.SortStableFunc(r.pending, func(a, b refusal) int { return a.sentAt.Compare(b.sentAt) })
	due := []Start{}
	for i := range limit {
		if now.Sub(r.pending[i].sentAt) <= retry {
			break
		}
		r.pending[i].sentAt = now
		due = append(due, r.pending[i].Start)
	}
	return due
}

// MarkRefused takes that the worker refuses a run from now on.
func (r *Refusals) MarkRefused(task work.TaskID, run uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(x refusal) bool { return x.Task == task && x.Run == run })
}
