// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate

import "time"

const (
	// maxUnacknowledged and minUnacknowledged bound the window. The maximum is large enough that
	// the owner never has to wait for workers to answer before it sends the next order. The
	// minimum keeps an owner working whose link or processor is far too slow.
	maxUnacknowledged = 96
	minUnacknowledged = 16
	// The window shrinks while the mean response time is above slowResponse and grows while it is
	// below fastResponse. A worker answers within milliseconds, so a response time above
	// slowResponse means that orders queue on this node or on its link.
	slowResponse = 130 * time.Millisecond
	fastResponse = 90 * time.Millisecond
	// windowInterval is the least time between two changes of the window: it takes that long until
	// response times show the effect of a change.
	windowInterval = 100 * time.Millisecond
	// The window is multiplied by windowDecrease when it shrinks, and windowIncrease is added to
	// it when it grows.
	windowDecrease = 0.8
	windowIncrease = 4
	// windowWeight is the weight of a new answer in the mean response time.
	windowWeight = 0.05
)

// Window bounds the number of unacknowledged orders to start by the mean response time, as a
// congestion window does (additive increase, multiplicative decrease). An owner whose link or
// processor is too slow then sends fewer orders. Otherwise its orders would be answered late,
// count as unacknowledged, and cause further work. A single worker that is slow or silent
// hardly changes the mean. The zero value is ready to use.
type Window struct {
	mean time.Duration
	// reduction is how far the window is below maxUnacknowledged.
	reduction int
	changedAt time.Time
}

// Limit returns how many orders may be unacknowledged at once.
func (w *Window) Limit() int { return maxUnacknowledged - w.reduction }

// Observe adds the response time of an order. For an order that was not answered, it is the time
// for which the owner waited.
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
