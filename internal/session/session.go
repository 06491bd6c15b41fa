// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package session has what an owner knows of one start of a worker by the worker's own word:
// its clock and its lease, the listings and ends that it has told, and the questions to it that
// are on their way. It is pure. A worker that starts again gets a new Session: nothing of this
// outlasts the start that it is of.
package session

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// shortestRestart is less than a worker takes to start again.
const minRestartTime = 200 * time.Millisecond

// Session is what is known of a start of a worker. The zero value is one of which nothing was
// heard.
type Session struct {
	Lease
	Ends
	Polls
	// isListed means that it has told all that it runs since this session began, or was
	// forgotten.
	isListed bool
	// listedClock is the worker's clock in the newest listing, listedAt when that came.
	listedClock order.WorkerTime
	listedAt    time.Time
}

// NoteAnswer takes that a listing has come now.
func (s *Session) NoteAnswer(clock order.WorkerTime, now time.Time) {
	s.ObserveClock(clock, now)
	s.resetMisses()
}

// AcceptListing takes the listing with that clock as the newest. It reports false when a newer one has
// come before.
func (s *Session) AcceptListing(clock order.WorkerTime, now time.Time) bool {
	if clock < s.listedClock {
		return false
	}
	s.listedClock, s.listedAt = clock, now
	return true
}

// ListedAt returns when the newest listing came; zero when none has.
func (s *Session) ListedAt() time.Time { return s.listedAt }

// ListedClock returns the worker's clock in the newest listing.
func (s *Session) ListedClock() order.WorkerTime { return s.listedClock }

// IsListed reports whether it is known what the worker runs.
func (s *Session) IsListed() bool { return s.isListed }

// SetListed says whether it is known what the worker runs.
func (s *Session) SetListed(isListed bool) { s.isListed = isListed }

// ConfirmableEnd returns the number up to which the worker is to be told now to forget ends. It is
// 0 where it has answered that it does, as a question may be held up and reach a newer start, and
// where the worker may have started again since it was heard last: the numbers of its earlier
// start would make it forget ends of this one that it has not told, and these tasks would run
// twice.
func (s *Session) ConfirmableEnd(now time.Time) uint64 {
	if s.HasMissed() || now.Sub(s.listedAt) > minRestartTime || s.stored <= s.forgotten {
		return 0
	}
	return s.stored
}
