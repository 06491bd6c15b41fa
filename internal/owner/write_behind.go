// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/witness"
)

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

// consentRetryPeriod is the time between two requests to witnesses that have not answered.
const consentRetryPeriod = 300 * time.Millisecond

// writeBehindGate decides when an owner may run write-behind, that is, start tasks before their
// placements are in the store. The next owner must be able to detect that, also when this one does
// not learn of its claim. Write-behind is therefore only allowed while the owner's newest record in
// the store carries the flag, and, if the record names witnesses, with their consent: a claim is
// conditional on the newest record, so no owner can succeed this one without having seen the flag
// and the witnesses. Not safe for concurrent use.
type writeBehindGate struct {
	epoch     uint64
	slowUntil time.Time
	// wantsFlag means that the next record carries the flag.
	wantsFlag bool
	// isFlagged means that the newest record in the store carries the flag and that no record
	// without it is in flight.
	isFlagged bool
	// nextWitnesses has the witnesses that the next record names. Those of the previous owner may also witness for this
	// one: the next owner asks them whether they have consented to either.
	nextWitnesses witness.Quorum
	// nextLaterJobs is what the next record tells about jobs accepted during a doubt about earlier owners.
	nextLaterJobs     LaterJobs
	hasNamedLaterJobs bool
	// maybeNewest has the witnesses of all records that are, or may become, the newest one.
	maybeNewest []namedWitnesses
	consents    witness.Consents
	// nextRequest is when witnesses that have not answered are asked again.
	nextRequest time.Time
}

// namedWitnesses are the witnesses that a record names.
type namedWitnesses struct {
	ofAll   witness.Quorum
	ofLater LaterJobs
}

func (n *namedWitnesses) equal(other *namedWitnesses) bool {
	return n.ofAll.Equal(&other.ofAll) && n.ofLater.Since == other.ofLater.Since && n.ofLater.Witnesses.Equal(&other.ofLater.Witnesses)
}

// newWriteBehindGate starts from the record of a claim.
func newWriteBehindGate(r *Record) writeBehindGate {
	return writeBehindGate{
		epoch: r.Epoch, wantsFlag: r.MayHaveUnpersisted, isFlagged: r.MayHaveUnpersisted, nextWitnesses: r.Witnesses, nextLaterJobs: r.LaterJobs,
		maybeNewest: []namedWitnesses{{r.Witnesses, r.LaterJobs}},
	}
}

// recordSlow records a sign that the store is slow or down.
func (g *writeBehindGate) recordSlow(now time.Time) { g.slowUntil = now.Add(slowPeriod) }

// update decides whether the next record carries the flag, and which witnesses it names. hasUnpersisted
// means that tasks may run on placements that are not in the store, also those of a previous owner.
// allResponding means that all workers respond: the next owner then learns soon what they run, so that
// the flag costs it little. candidates are the processes to name as witnesses; nil means that the
// witnesses stay as they are. With witnesses the flag costs the next owner nothing. Setting it early has
// the advantage that it is already stored when the store goes down. It reports whether the flag has
// become needed and the newest record does not carry it.
func (g *writeBehindGate) update(now time.Time, hasUnpersisted, allResponding bool, candidates []string) bool {
	wantedFlag := g.wantsFlag
	g.updateNextWitnesses(hasUnpersisted, candidates)
	g.wantsFlag = hasUnpersisted || allResponding || !g.nextWitnesses.IsEmpty() || now.Before(g.slowUntil)
	return g.wantsFlag && !wantedFlag && !g.isFlagged
}

// updateNextWitnesses decides which witnesses the next record names: those of a previous owner until it is known what that one
// started, and none while placements of this owner are missing in the store, as the next one must not rely on the stored
// ones then, whatever the witnesses say.
func (g *writeBehindGate) updateNextWitnesses(hasUnpersisted bool, candidates []string) {
	switch {
	case !hasUnpersisted && candidates != nil:
		g.nextWitnesses = witness.Quorum{Epoch: g.epoch, Witnesses: candidates}
	case hasUnpersisted && g.nextWitnesses.Epoch == g.epoch:
		g.nextWitnesses = witness.Quorum{}
	}
}

// updateLaterJobs decides what the next record tells about jobs accepted in an epoch from since on, of which this owner knows that
// all placements are in the store unless it has started tasks ahead of it itself (hasUnpersistedStarts). Once nothing is in
// doubt the witnesses of all jobs suffice. candidates are as for update, which is called after it. It reports whether the
// next record is the first one that names witnesses of this owner for these jobs: until it is in the store, the next owner
// is in doubt about all of them.
func (g *writeBehindGate) updateLaterJobs(hasUnpersisted, hasUnpersistedStarts bool, since uint64, candidates []string) bool {
	switch {
	case hasUnpersistedStarts:
		if g.nextLaterJobs.Witnesses.Epoch == g.epoch {
			g.nextLaterJobs = LaterJobs{}
		}
	case candidates == nil:
	case hasUnpersisted && len(candidates) > 0:
		g.nextLaterJobs = LaterJobs{Since: since, Witnesses: witness.Quorum{Epoch: g.epoch, Witnesses: candidates}}
		isFirst := !g.hasNamedLaterJobs
		g.hasNamedLaterJobs = true
		return isFirst
	default:
		g.nextLaterJobs = LaterJobs{}
	}
	return false
}

// mayWriteBehind reports whether the owner may run write-behind.
func (g *writeBehindGate) mayWriteBehind(now time.Time) bool {
	return now.Before(g.slowUntil) && g.wantsFlag && g.isFlagged && g.hasConsent()
}

// neededQuorums returns the witnesses whose consent is needed. Those of the next record count, too: it may be written before the
// owner decides again.
func (g *writeBehindGate) neededQuorums() []witness.Quorum {
	quorums := []witness.Quorum{g.nextWitnesses, g.nextLaterJobs.Witnesses}
	for _, n := range g.maybeNewest {
		quorums = append(quorums, n.ofAll, n.ofLater.Witnesses)
	}
	return quorums
}

// hasConsent reports whether the next owner, whichever record it finds, learns from the witnesses that
// this one may run write-behind.
func (g *writeBehindGate) hasConsent() bool {
	lacksConsent := func(q witness.Quorum) bool { return !q.IsEmpty() && !g.consents.AreGivenByMost(&q) }
	return !slices.ContainsFunc(g.neededQuorums(), lacksConsent)
}

// beginConsentRequest returns the witnesses to ask now, and the round of the request; none if no consent is needed. isBlocked means
// that something waits for the store.
func (g *writeBehindGate) beginConsentRequest(now time.Time, isBlocked bool) ([]string, uint64) {
	if !isBlocked || !now.Before(g.slowUntil) || !g.isFlagged || now.Before(g.nextRequest) || g.hasConsent() {
		return nil, 0
	}
	g.nextRequest = now.Add(consentRetryPeriod)
	return g.consents.BeginRequest(g.neededQuorums()...)
}

// endConsentRequest ends the consent once it is not needed, and returns its round; false if it is kept. hasUnpersisted means
// that placements are missing in the store; no task may be started ahead of it any more.
func (g *writeBehindGate) endConsentRequest(now time.Time, hasUnpersisted bool) (uint64, bool) {
	if hasUnpersisted || now.Before(g.slowUntil) || !g.consents.IsRequested() {
		return 0, false
	}
	return g.consents.EndRequest(), true
}

// next returns the flag and the witnesses of the record that is written next.
func (g *writeBehindGate) next() (isFlagged bool, n namedWitnesses) {
	if !g.wantsFlag {
		g.isFlagged = false
		return false, namedWitnesses{}
	}
	n = namedWitnesses{g.nextWitnesses, g.nextLaterJobs}
	if !slices.ContainsFunc(g.maybeNewest, func(other namedWitnesses) bool { return other.equal(&n) }) {
		g.maybeNewest = append(g.maybeNewest, n)
	}
	return true, n
}

// persisted records that a record is in the store. Records are appended one after the other, each
// on the condition that the previous one is still the last of its topic.
func (g *writeBehindGate) persisted(isFlagged bool, n namedWitnesses) {
	if isFlagged && g.wantsFlag {
		g.isFlagged = true
	}
	g.maybeNewest = []namedWitnesses{n}
}
