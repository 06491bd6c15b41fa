// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate

import "time"

const (
	// mostUnanswered is how many orders to start may be without an answer at the most: so
	// many that workers are never waited for. leastUnanswered keeps an owner going whose link
	// or processor is much too small.
	maxUnacknowledged = 96
	minUnacknowledged = 16
	// slowAnswer is the time of an answer from which orders wait for each other, on this
	// node or its link: a worker answers within milliseconds. quickAnswer is the time up to
	// which more may be on their way.
	slowResponse = 130 * time.Millisecond
	fastResponse = 90 * time.Millisecond
	// windowPause is the time between two changes: as long as it takes to see the last one.
	windowInterval = 100 * time.Millisecond
	// windowCut is what is left of the window at a cut, windowStep what it grows by.
	windowDecrease = 0.8
	windowIncrease = 4
	// windowWeight is the weight of a new answer in the mean.
	windowWeight = 0.05
)

// Window bounds how many orders to start may be without an answer, by how long answers
// take: an owner whose link or processor is too small gives fewer orders in place of late
// ones, which would count as unanswered and make more work. One worker that is slow or
// silent does not show in the mean. The zero value works.
type Window struct {
	mean      time.Duration
	reduction int
	changedAt time.Time
}

// Limit returns how many orders may be without an answer.
func (w *Window) Limit() int { return maxUnacknowledged - w.reduction }

// Observe takes the time that an answer took; one that did not come counts with the time
// for which it was waited.
func (w *Window) Observe(took time.Duration, now time.Time) {
	w.mean += time.Duration(windowWeight * float64(took-w.mean))
	if now.Sub(w.changedAt) < windowInterval {
		return
	}
	switch limit := w.Limit(); {
	case w.mean > slowResponse:
		limit = max(int(windowDecrease*float64(limit)), minUnacknowledged)
		w.reduction, w.changedAt = maxUnacknowledged-limit, now
	case w.mean < fastResponse && w.reduction > 0:
		w.reduction, w.changedAt = max(w.reduction-windowIncrease, 0), now
	}
}
