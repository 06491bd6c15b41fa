// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package discard

import "time"

const (
	// lostAttemptTime is how long it takes until an attempt on a silent worker counts as ended, when
	// its lease has expired.
	lostAttemptTime = 10 * time.Second
	// unconfirmedTime is how long a start is awaited that was not answered.
	unconfirmedTime = 150 * time.Millisecond
)

// Copy is a speculative copy that may be started beside a running attempt.
type Copy struct {
	// IsLost means that the running attempt may be lost: it makes no progress, or its worker is silent.
	// IsUnconfirmed means that it may not have started. Otherwise Remaining is the time until it is
	// done.
	IsLost, IsUnconfirmed bool
	Remaining             time.Duration
	// Replacement is how long the copy runs.
	Replacement time.Duration
	// StopTime is how long a worker takes to stop the attempt that ends second.
	StopTime time.Duration
	// HasDeadline means that the caller has an objective. TimeLeft is the time until the task has
	// to be done for it; negative if the task is late already.
	HasDeadline bool
	TimeLeft    time.Duration
	// IsPoolFull means that the copy takes capacity for which other tasks wait.
	IsPoolFull bool
}

// IsWorthwhile reports whether the copy is likely to end earlier by more than it costs to start it
// and to stop the other attempt, and whether its caller needs that: one who is in time without it,
// and who would be even after a further attempt, does not. While the pool is full, a copy is only
// for a task that is late without it. In both cases the remaining time may be off by half.
func (c *Copy) IsWorthwhile() bool {
	remaining := c.remaining()
	if remaining <= c.Replacement+startTime+c.StopTime {
		return false
	}
	spare := remaining / 2
	if !c.IsPoolFull {
		spare += c.Replacement
	}
	return !c.HasDeadline || remaining+spare > c.TimeLeft
}

// remaining returns the time until the task is done without the copy, by a further attempt if the
// running one turns out to be lost.
func (c *Copy) remaining() time.Duration {
	switch {
	case c.IsLost:
		return lostAttemptTime + c.Replacement
	case c.IsUnconfirmed:
		return unconfirmedTime + 2*c.StopTime + c.Replacement
	}
	return c.Remaining
}
