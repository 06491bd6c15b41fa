// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// slowAppendTime is how long an append is in flight until the store counts as slow. The store
	// usually answers within about 5 ms, and within 50 ms while the owner is busy.
	slowAppendTime = 100 * time.Millisecond
	// slowPeriod is how long the store counts as slow after the last sign of slowness. It limits
	// how often the flag changes: each change takes a record, and one record is written every
	// HeartbeatPeriod.
	slowPeriod = time.Second
	// heartbeatOverdue is the age of the last confirmed heartbeat from which the next one counts as
	// overdue: two periods.
	heartbeatOverdue = 2 * HeartbeatPeriod
)

// writeBehindGate decides when an owner may run write-behind, that is, start tasks before their
// placements are in the store. The next owner must be able to detect that, also when this one does
// not learn of its claim. Write-behind is therefore only allowed while the owner's newest record in
// the store carries the flag: a claim is conditional on the newest record, so no owner can succeed
// this one without having seen the flag. Not safe for concurrent use.
type writeBehindGate struct {
	slowUntil time.Time
	// wantsFlag means that the next record carries the flag.
	wantsFlag bool
	// isFlagged means that the newest record in the store carries the flag and that no record
	// without it is in flight.
	isFlagged bool
}

// newWriteBehindGate starts from the record of a claim.
func newWriteBehindGate(r *Record) writeBehindGate {
	return writeBehindGate{wantsFlag: r.MayHaveUnpersisted, isFlagged: r.MayHaveUnpersisted}
}

// recordSlow records a sign that the store is slow or down.
func (g *writeBehindGate) recordSlow(now time.Time) { g.slowUntil = now.Add(slowPeriod) }

// update decides whether the next record carries the flag. hasUnpersisted means that tasks may run
// on placements that are not in the store. allResponding means that all workers respond: the next
// owner then learns soon what they run, so that the flag costs it little. Setting it early has the
// advantage that it is already stored when the store goes down. It reports whether the flag has
// become needed and the newest record does not carry it.
func (g *writeBehindGate) update(now time.Time, hasUnpersisted, allResponding bool) bool {
	wantedFlag := g.wantsFlag
	g.wantsFlag = hasUnpersisted || allResponding || now.Before(g.slowUntil)
	return g.wantsFlag && !wantedFlag && !g.isFlagged
}

// mayWriteBehind reports whether the owner may run write-behind.
func (g *writeBehindGate) mayWriteBehind(now time.Time) bool {
	return now.Before(g.slowUntil) && g.wantsFlag && g.isFlagged
}

// nextFlag returns the flag of the record that is written next.
func (g *writeBehindGate) nextFlag() bool {
	if !g.wantsFlag {
		g.isFlagged = false
	}
	return g.wantsFlag
}

// persisted records that a record is in the store. Records are appended one after the other, each
// on the condition that the previous one is still the last of its topic.
func (g *writeBehindGate) persisted(isFlagged bool) {
	if isFlagged && g.wantsFlag {
		g.isFlagged = true
	}
}
