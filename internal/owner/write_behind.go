// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// slowAppend is how long an append takes on a store that is slow; it answers in
	// some 5 ms as a rule, and within 50 ms while the owner is busy.
	slowAppendTime = 100 * time.Millisecond
	// slowHold is how long the store counts as slow after the last sign of it: each
	// change of the mark takes a record, one every BeatPeriod.
	slowPeriod = time.Second
	// overdueBeat is the age of the last record in the store that shows that the next
	// one does not come: two periods.
	heartbeatOverdue = 2 * HeartbeatPeriod
	// MinUnflaggedAge is the age of the owner's last record without a mark from which it may
	// run ahead of the store: longer than a silent owner goes unnoticed (0.75 s).
	MinUnflaggedAge = 1200 * time.Millisecond
)

// aheadGate decides when an owner may run ahead of the store: start tasks before
// their places are kept. The next owner must be able to know it. So either the
// owner's newest record in the store has a mark, or its newest record without one
// is older than PlainAge. Not safe for concurrent use.
type writeBehindGate struct {
	slowUntil time.Time
	// wantsMark means that the next record gets the mark.
	wantsFlag bool
	// isMarked means that the newest record in the store has the mark, and that none
	// without it is on its way.
	isFlagged bool
	// plain is the number of the last record without the mark, plainAt when it was
	// written.
	unflaggedSeq uint64
	unflaggedAt  time.Time
}

// newAheadGate begins with the record of a claim, which was sent before now.
func newWriteBehindGate(r *Record, now time.Time) writeBehindGate {
	return writeBehindGate{wantsFlag: r.MayHaveUnpersisted, isFlagged: r.MayHaveUnpersisted, unflaggedSeq: r.HeartbeatSeq, unflaggedAt: now}
}

// noteSlow takes a sign that the store is slow or out.
func (g *writeBehindGate) noteSlow(now time.Time) { g.slowUntil = now.Add(slowPeriod) }

// update decides on the mark of the next record. hasUnkept means that tasks may
// run in places that are not kept. allAnswer means that all workers answer: the
// next owner then knows soon what they run, so that the mark costs it little, and
// is there when the store goes out.
func (g *writeBehindGate) update(now time.Time, hasUnpersisted, allResponding bool) {
	g.wantsFlag = hasUnpersisted || allResponding || now.Before(g.slowUntil)
}

// mayRunAhead reports whether the owner may run ahead of the store.
func (g *writeBehindGate) mayWriteBehind(now time.Time) bool {
	return now.Before(g.slowUntil) && g.wantsFlag && (g.isFlagged || now.Sub(g.unflaggedAt) > MinUnflaggedAge)
}

// compose returns the mark of the record of that number, which is written now.
func (g *writeBehindGate) nextFlag(number uint64, now time.Time) bool {
	if !g.wantsFlag {
		g.isFlagged, g.unflaggedSeq, g.unflaggedAt = false, number, now
	}
	return g.wantsFlag
}

// kept says that a record is in the store. Records are appended in turn, each on
// condition of the last one's place.
func (g *writeBehindGate) persisted(isFlagged bool) {
	if isFlagged && g.wantsFlag {
		g.isFlagged = true
	}
}
