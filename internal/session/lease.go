// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// leaseLength is how long a worker goes on without a renewal: longer than a
	// takeover takes with a slow store (about 3 s), short enough that the tasks of
	// a worker that is cut off come back soon.
	leaseDuration = 6 * time.Second
	// clockSkew is how much slower than ours a worker's clock may run, doubled.
	clockSkew = 0.04
	// lapseSlack covers the granularity of the worker's clock and its own end.
	expirySlack = 300 * time.Millisecond
	// overtaken is how much later an answer may come than one that was given after it, and how
	// much of an answer's way this node may have been kept from counting.
	reorderSlack = 500 * time.Millisecond
	// maxLease is the longest lease that workers take, by whatever clock it was given.
	maxLeaseDuration = 10 * time.Second
)

var (
	// OwnLeaseBound is how long after a renewal all that runs on a worker is over, if nothing
	// renews its lease again.
	OwnLeaseBound = localBound(leaseDuration)
	// AnyLeaseBound is that of a lease which somebody else may have given, or which went by
	// another clock.
	AnyLeaseBound = localBound(maxLeaseDuration)
)

// boundOf returns how long a lease lasts at most by our clock.
func localBound(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockSkew) + expirySlack
}

// Lease is until when a start of a worker may go on with what it runs, by its own clock. The
// zero value is a lease that was never renewed, of a worker that was never heard.
type Lease struct {
	// heardAt is when the worker's clock was last read, clock what it showed.
	lastHeardAt time.Time
	clock       order.WorkerTime
	// deadline is the latest that was ever sent; a worker never shortens it.
	deadline order.WorkerTime
	// othersUntil is when the leases are over that an earlier owner gave, or that were given to
	// an earlier start.
	othersExpireAt time.Time
}

// ObserveClock takes what the worker's clock showed in a listing, which tells the start that it is
// of. Listings may overtake one another.
func (l *Lease) ObserveClock(clock order.WorkerTime, now time.Time) {
	if clock > l.clock {
		l.clock, l.lastHeardAt = clock, now
	}
}

// ObserveAnswerClock takes what the clock showed in an answer that does not tell which start gave it; 0
// where it told nothing. It reports whether it can be this one's clock. One that has gone back is
// of a newer start, which has taken the end of a lease that went by the earlier clock. One that
// is too far ahead is, too: taken for this start's, a worker would seem to have run its tasks
// longer than it did, and tasks that crash workers would be given up too late.
func (l *Lease) ObserveAnswerClock(clock order.WorkerTime, now time.Time) bool {
	elapsed := now.Sub(l.lastHeardAt)
	latest := l.clock + order.WorkerTime(elapsed+time.Duration(float64(elapsed)*clockSkew/2)+reorderSlack)
	switch {
	case clock <= 0:
		return false
	case time.Duration(l.clock-clock) > reorderSlack:
		l.NoteOtherLeases(now.Add(AnyLeaseBound))
		return false
	case !l.lastHeardAt.IsZero() && clock > latest:
		return false
	}
	l.ObserveClock(clock, now)
	return true
}

// IsPlausibleClock reports whether the worker's clock may show that in an answer to what was sent at
// sentAt. That of a newer start is behind, by the time for which the worker was away at least,
// also where all starts begin with the same clock.
func (l *Lease) IsPlausibleClock(clock order.WorkerTime, sentAt time.Time) bool {
	since := sentAt.Sub(l.lastHeardAt)
	if since > 0 {
		since -= time.Duration(float64(since) * clockSkew / 2)
	}
	return clock > 0 && clock >= l.clock+order.WorkerTime(since)
}

// LastHeardAt returns when the worker's clock was last read; zero when it never was.
func (l *Lease) LastHeardAt() time.Time { return l.lastHeardAt }

// Clock returns what the worker's clock showed last.
func (l *Lease) Clock() order.WorkerTime { return l.clock }

// Renew returns the end of the lease to send now, by the worker's clock.
func (l *Lease) Renew(now time.Time) order.WorkerTime {
	estimate := l.clock + order.WorkerTime(now.Sub(l.lastHeardAt))
	l.deadline = max(l.deadline, estimate+order.WorkerTime(leaseDuration))
	return l.deadline
}

// NoteOtherLeases takes that leases which others gave may last until then.
func (l *Lease) NoteOtherLeases(until time.Time) {
	if until.After(l.othersExpireAt) {
		l.othersExpireAt = until
	}
}

// ExpiresAt returns when all leases of the worker are over.
func (l *Lease) ExpiresAt() time.Time {
	left := max(time.Duration(l.deadline-l.clock), 0)
	until := l.lastHeardAt.Add(localBound(left))
	if until.Before(l.othersExpireAt) {
		return l.othersExpireAt
	}
	return until
}

// HasExpired reports whether there was a lease and all that it let run is over.
func (l *Lease) HasExpired(now time.Time) bool {
	wasGiven := !l.lastHeardAt.IsZero() || !l.othersExpireAt.IsZero()
	return wasGiven && now.After(l.ExpiresAt())
}
