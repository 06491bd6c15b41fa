// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// leaseDuration is how long after its owner was last known to be the owner a worker continues: longer
	// than most takeovers take, short enough that the tasks of a worker that is partitioned can soon be
	// started elsewhere, also after a takeover.
	leaseDuration = 4500 * time.Millisecond
	// earlierLeaseDuration is how long after a renewal it was in versions whose owners do not say
	// how long their leases last.
	earlierLeaseDuration = 6 * time.Second
	// doubleClockSkew is twice the share by which a worker's clock may be slower than the
	// owner's.
	doubleClockSkew = 0.04
	// expirySlack covers the granularity of the worker's clock, and the time that the worker
	// takes to end its tasks when the lease expires.
	expirySlack = 300 * time.Millisecond
	// reorderSlack is how much later than a newer answer an answer may arrive. It is also by how
	// much the time since the last answer may be underestimated: a busy node may have processed
	// that answer late.
	reorderSlack = 500 * time.Millisecond
	// maxLeaseDuration is the longest lease that workers accept, however far ahead of their clock
	// the end lies that they are sent.
	maxLeaseDuration = 10 * time.Second
)

var (
	// OwnLeaseBound is how long after the owner was last confirmed, by the owner's clock, all that
	// runs on a worker has ended, if nothing renews the worker's lease again.
	OwnLeaseBound = localBound(leaseDuration)
	// EarlierLeaseBound is the same after a renewal by an owner of an earlier version.
	EarlierLeaseBound = localBound(earlierLeaseDuration)
	// AnyLeaseBound is the same for a lease that another owner may have given, or whose end was
	// given by another incarnation's clock.
	AnyLeaseBound = localBound(maxLeaseDuration)
)

// localBound returns how long a lease lasts at most by the owner's clock.
func localBound(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*doubleClockSkew) + expirySlack
}

// Lease tracks until when one incarnation of a worker may continue to run its tasks, by its own
// clock. The zero value is a lease that was never renewed, of a worker that never answered.
type Lease struct {
	// lastHeardAt is when the worker's clock was last read, by the owner's clock. clock is what
	// the worker's clock showed then.
	lastHeardAt time.Time
	clock       order.WorkerTime
	// deadline is the latest end that was ever sent; a worker never shortens its lease.
	deadline order.WorkerTime
	// othersExpireAt is when the leases have expired that a previous owner gave.
	othersExpireAt time.Time
	// foreignExpireAt is when the leases have expired whose ends were given by the clock of an earlier
	// incarnation. They may last longer than those of this incarnation's clock.
	foreignExpireAt time.Time
}

// ObserveClock records what the worker's clock showed in an answer that is known to be of this
// incarnation, such as a listing. An earlier value than the last is ignored, as an answer may be
// overtaken by a later one.
func (l *Lease) ObserveClock(clock order.WorkerTime, now time.Time) {
	if clock > l.clock {
		l.clock, l.lastHeardAt = clock, now
	}
}

// ObserveAnswerClock records what the worker's clock showed in an answer that does not say which
// incarnation gave it; 0 where the answer had none. It reports whether the value can be of this
// incarnation's clock, and ignores it otherwise. A clock that shows an earlier time is that of a newer
// incarnation, which has received the end of a lease by the earlier clock: its lease may last as
// long as workers accept. A clock that is too far ahead is that of a newer incarnation, too.
// Were it recorded, the worker would seem to have run its tasks for longer than it did, and
// tasks that crash their workers would be detected too late.
func (l *Lease) ObserveAnswerClock(clock order.WorkerTime, now time.Time) bool {
	elapsed := now.Sub(l.lastHeardAt)
	latest := l.clock + order.WorkerTime(elapsed+time.Duration(float64(elapsed)*doubleClockSkew/2)+reorderSlack)
	switch {
	case clock <= 0:
		return false
	case time.Duration(l.clock-clock) > reorderSlack:
		l.RecordForeignLeases(now.Add(AnyLeaseBound))
		return false
	case !l.lastHeardAt.IsZero() && clock > latest:
		return false
	}
	l.ObserveClock(clock, now)
	return true
}

// IsPlausibleClock reports whether this incarnation's clock may show that value in an answer to
// what was sent at sentAt. The clock of a newer incarnation shows too early a time for that, at least
// by the time for which the worker was down, also where the clocks of all incarnations begin at
// the same value.
func (l *Lease) IsPlausibleClock(clock order.WorkerTime, sentAt time.Time) bool {
	since := sentAt.Sub(l.lastHeardAt)
	if since > 0 {
		since -= time.Duration(float64(since) * doubleClockSkew / 2)
	}
	return clock > 0 && clock >= l.clock+order.WorkerTime(since)
}

// LastHeardAt returns when the worker's clock was last read; zero when it never was.
func (l *Lease) LastHeardAt() time.Time { return l.lastHeardAt }

// Clock returns what the worker's clock showed last.
func (l *Lease) Clock() order.WorkerTime { return l.clock }

// Renew returns the end of the lease to send, by the worker's clock. base is when the owner was last known
// to be the owner: the lease ends leaseDuration after that, whenever it is sent, so that a successor need
// not know for how long this owner goes on.
func (l *Lease) Renew(base time.Time) order.WorkerTime {
	estimate := l.clock + order.WorkerTime(base.Sub(l.lastHeardAt))
	l.deadline = max(l.deadline, estimate+order.WorkerTime(leaseDuration))
	return l.deadline
}

// RecordOtherLeases records that leases which other owners gave may last until then.
func (l *Lease) RecordOtherLeases(until time.Time) {
	if until.After(l.othersExpireAt) {
		l.othersExpireAt = until
	}
}

// RecordForeignLeases records that leases whose ends were given by the clock of an earlier incarnation may
// last until then.
func (l *Lease) RecordForeignLeases(until time.Time) {
	if until.After(l.foreignExpireAt) {
		l.foreignExpireAt = until
	}
}

// ForeignExpireAt returns when the leases have expired whose ends were given by the clock of an earlier
// incarnation; zero if there are none.
func (l *Lease) ForeignExpireAt() time.Time { return l.foreignExpireAt }

// FenceForeignLeases records that none of these ends can extend the lease from now on: the worker has seen
// a higher fencing token than was sent with any of them.
func (l *Lease) FenceForeignLeases(now time.Time) {
	if until := now.Add(AnyLeaseBound); until.Before(l.foreignExpireAt) {
		l.foreignExpireAt = until
	}
}

// ExpiresAt returns when all leases of the worker have expired.
func (l *Lease) ExpiresAt() time.Time {
	left := max(time.Duration(l.deadline-l.clock), 0)
	until := l.lastHeardAt.Add(localBound(left))
	for _, other := range []time.Time{l.othersExpireAt, l.foreignExpireAt} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// HasExpired reports whether there was a lease, and all attempts that ran under it have ended.
func (l *Lease) HasExpired(now time.Time) bool {
	wasGiven := !l.lastHeardAt.IsZero() || !l.othersExpireAt.IsZero() || !l.foreignExpireAt.IsZero()
	return wasGiven && now.After(l.ExpiresAt())
}
