// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package session has what an owner knows of one incarnation of a worker from the worker's own
// answers: its clock and its lease, which listings and ends were received, and which polls are
// in flight. A worker that restarts gets a new Session, as none of this applies to another
// incarnation. The package does no I/O and reads no clock; the caller passes the current time.
package session

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// minRestartTime is less than a worker takes to restart.
const minRestartTime = 200 * time.Millisecond

// Session is what is known of an incarnation of a worker. The zero value is one that has not
// answered yet.
type Session struct {
	Lease
	Ends
	Polls
	// isListed means that it is known what the worker runs: it has sent a listing since the
	// session began, or since all that it ran was last counted as ended.
	isListed bool
	// listedClock is the worker's clock in the newest listing, listedAt when that arrived.
	listedClock order.WorkerTime
	listedAt    time.Time
}

// RecordAnswer records that a poll was answered now, when the worker's clock showed clock.
func (s *Session) RecordAnswer(clock order.WorkerTime, now time.Time) {
	s.ObserveClock(clock, now)
	s.resetMisses()
}

// AcceptListing records a listing with that clock as the newest one. It reports false for a
// listing that is older than the newest one: answers may overtake one another.
func (s *Session) AcceptListing(clock order.WorkerTime, now time.Time) bool {
	if clock < s.listedClock {
		return false
	}
	s.listedClock, s.listedAt = clock, now
	return true
}

// ListedAt returns when the newest listing arrived; zero when none has.
func (s *Session) ListedAt() time.Time { return s.listedAt }

// ListedClock returns the worker's clock in the newest listing.
func (s *Session) ListedClock() order.WorkerTime { return s.listedClock }

// IsListed reports whether it is known what the worker runs.
func (s *Session) IsListed() bool { return s.isListed }

// SetListed sets whether it is known what the worker runs.
func (s *Session) SetListed(isListed bool) { s.isListed = isListed }

// ConfirmableEnd returns the number up to which the worker may now be asked to forget ends; 0
// for none. It is 0 where the worker has already acknowledged that number, as another poll with
// it may be delayed and reach a newer incarnation. It is also 0 where the worker may have
// restarted since its last answer: the numbers of its earlier incarnation would make it forget
// ends that it has not reported, and these tasks would run twice.
func (s *Session) ConfirmableEnd(now time.Time) uint64 {
	if s.HasMissed() || now.Sub(s.listedAt) > minRestartTime || s.stored <= s.forgotten {
		return 0
	}
	return s.stored
}
