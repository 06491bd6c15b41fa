// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package abandoned

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// silentRetry is the pause before a worker that does not answer is asked again to refuse a
	// start. It is less than the owner's tick of 20 ms, because the order has to reach the
	// worker's newer incarnation before the abandoned start does.
	silentRetry = 15 * time.Millisecond
	// maxSilentOrders bounds the starts that such a worker is asked to refuse at once: an
	// incarnation may have left a hundred orders unanswered when it ended.
	maxSilentOrders = 4
)

// Refusals tracks the abandoned starts that one incarnation of a worker was asked to refuse and
// has not acknowledged yet. The order to refuse is an order to stop: it also stops a start that
// has arrived already. The zero value has none.
type Refusals struct{ pending []refusal }

type refusal struct {
	Start
	// sentAt is when the worker was last asked to refuse the start.
	sentAt time.Time
}

// Add adds starts that the worker has to refuse. Those that are pending already are left
// unchanged.
func (r *Refusals) Add(starts []Start) {
	for _, o := range starts {
		if !slices.ContainsFunc(r.pending, func(x refusal) bool { return x.Task == o.Task && x.Run == o.Run }) {
			r.pending = append(r.pending, refusal{Start: o})
		}
	}
}

// HasPending reports whether there are starts for which the worker has not acknowledged that it
// refuses them.
func (r *Refusals) HasPending() bool { return len(r.pending) > 0 }

// Due returns the starts that the worker is to be asked now to refuse, and counts them as sent.
// Each start is due again after retry. A silent worker is asked more often, for a few starts at
// a time, beginning with those for which it was asked longest ago.
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

// MarkRefused records that the worker has acknowledged that it refuses a run from now on.
func (r *Refusals) MarkRefused(task work.TaskID, run uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(x refusal) bool { return x.Task == task && x.Run == run })
}
