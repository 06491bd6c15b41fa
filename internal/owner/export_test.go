// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

// LagMeter lets tests drive a lagMeter.
type LagMeter struct{ m lagMeter }

// Tick takes a tick.
func (l *LagMeter) Tick(now time.Time, period time.Duration) { l.m.tick(now, period) }

// Share returns the part of the time that ticks are late.
func (l *LagMeter) Share() float64 { return l.m.share }

// AheadGate lets tests drive an aheadGate.
type WriteBehindGate struct{ g writeBehindGate }

// NewAheadGate begins with a plain record.
func NewWriteBehindGate(sentAt time.Time) *WriteBehindGate {
	return &WriteBehindGate{newWriteBehindGate(&Record{}, sentAt)}
}

// Slow takes a sign that the store is slow.
func (a *WriteBehindGate) NoteSlow(now time.Time) {
	a.g.noteSlow(now)
	a.g.update(now, false, false)
}

// Update decides on the mark of the next record.
func (a *WriteBehindGate) Update(now time.Time, hasUnpersisted, allResponding bool) {
	a.g.update(now, hasUnpersisted, allResponding)
}

// Compose returns the mark of a record that is written now.
func (a *WriteBehindGate) NextFlag(now time.Time) bool { return a.g.nextFlag(0, now) }

// Kept says that a record is in the store.
func (a *WriteBehindGate) Persisted(isFlagged bool) { a.g.persisted(isFlagged) }

// MayRunAhead reports whether the owner may run ahead of the store.
func (a *WriteBehindGate) MayWriteBehind(now time.Time) bool { return a.g.mayWriteBehind(now) }

// EncodeBatch returns the records of a batch in parts that fit one append each.
var EncodeBatch = encodeBatch

// RestAfter returns how long an owner rests after a look at all that waits.
func PauseAfter(took time.Duration, now time.Time) time.Duration {
	r := passThrottle{}
	r.afterPass(took, now)
	return max(r.pausedUntil.Sub(now), 0)
}

// LongestAppend returns for how long an append is waited for after others that were kept, and
// perhaps one that was not.
func AppendTimeout(persisted []time.Duration, hasFailed bool) time.Duration {
	a := appendTimeout{}
	for _, took := range persisted {
		a.succeeded(took)
	}
	if hasFailed {
		a.failed()
	}
	took := time.Duration(0)
	for !a.isExceeded(took + time.Millisecond) {
		took += time.Millisecond
	}
	return took
}
