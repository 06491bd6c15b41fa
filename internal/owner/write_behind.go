// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// slowAppend is how long an append takes on a store that is slow; it answers in
	// some 5 ms as a rule, and within 50 ms while the owner is busy.
	slowAppend = 100 * time.Millisecond
	// slowHold is how long the store counts as slow after the last sign of it: each
	// change of the mark takes a record, one every BeatPeriod.
	slowHold = time.Second
	// overdueBeat is the age of the last record in the store that shows that the next
	// one does not come: two periods.
	overdueBeat = 2 * BeatPeriod
	// PlainAge is the age of the owner's last record without a mark from which it may
	// run ahead of the store: longer than a silent owner goes unnoticed (0.75 s).
	PlainAge = 1200 * time.Millisecond
)

// aheadGate decides when an owner may run ahead of the store: start tasks before
// their places are kept. The next owner must be able to know it. So either the
// owner's newest record in the store has a mark, or its newest record without one
// is older than PlainAge. Not safe for concurrent use.
type aheadGate struct {
	slowUntil time.Time
	// wantsMark means that the next record gets the mark.
	wantsMark bool
	// isMarked means that the newest record in the store has the mark, and that none
	// without it is on its way.
	isMarked bool
	// plain is the number of the last record without the mark, plainAt when it was
	// written.
	plain   uint64
	plainAt time.Time
}

// newAheadGate begins with the record of a claim, which was sent before now.
func newAheadGate(r *Record, now time.Time) aheadGate {
	return aheadGate{wantsMark: r.IsUnlogged, isMarked: r.IsUnlogged, plain: r.Beat, plainAt: now}
}

// noteSlow takes a sign that the store is slow or out.
func (g *aheadGate) noteSlow(now time.Time) { g.slowUntil = now.Add(slowHold) }

// update decides on the mark of the next record. hasUnkept means that tasks may
// run in places that are not kept. allAnswer means that all workers answer: the
// next owner then knows soon what they run, so that the mark costs it little, and
// is there when the store goes out.
func (g *aheadGate) update(now time.Time, hasUnkept, allAnswer bool) {
	g.wantsMark = hasUnkept || allAnswer || now.Before(g.slowUntil)
}

// mayRunAhead reports whether the owner may run ahead of the store.
func (g *aheadGate) mayRunAhead(now time.Time) bool {
	return now.Before(g.slowUntil) && g.wantsMark && (g.isMarked || now.Sub(g.plainAt) > PlainAge)
}

// compose returns the mark of the record of that number, which is written now.
func (g *aheadGate) compose(number uint64, now time.Time) bool {
	if !g.wantsMark {
		g.isMarked, g.plain, g.plainAt = false, number, now
	}
	return g.wantsMark
}

// kept says that a record is in the store. Records are appended in turn, each on
// condition of the last one's place.
func (g *aheadGate) kept(isMarked bool) {
	if isMarked && g.wantsMark {
		g.isMarked = true
	}
}
