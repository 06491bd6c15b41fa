// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/owner"
)

const (
	// ownerSilence is how long the owner's beats must stay away over the link until
	// the store is asked about it: three beats, and what a retransmission takes.
	ownerSilenceTimeout = 300 * time.Millisecond
	// recordSlack is how much later than it should be in the store the owner's next
	// record may come: a node that has used up its processor waits 0.1 s.
	recordTolerance = 150 * time.Millisecond
	// slowAnswers is how many answers of the store, as slow as they are now, the
	// next record may be late besides.
	storeLatencyFactor = 4
	// staleAge is the age of the owner's record, by the time of day, at which a node
	// that does not reach the owner takes it as dead without waiting for another
	// one. It covers clocks that differ a little and a store that answers in 0.4 s.
	staleRecordAge = 1500 * time.Millisecond
)

// ownerWatch judges from beats whether the owner lives. A silent link asks the
// question, the store answers it: the owner is dead when its next record there
// is overdue. That keeps a node that is cut off from a living owner from
// claiming.
type failureDetector struct {
	// heardAt is when the last beat came over the link.
	heardAt time.Time
	// record is the number of the owner's newest record in the store and keptAt when
	// it was kept, both by the last beat; keptAt is zero before the first beat.
	record      uint64
	persistedAt time.Time
	// epoch is the owner's, plain the number of its last record without a mark and
	// plainAt when it sent that, all by the last beat; epoch is 0 before the first.
	epoch        uint64
	unflaggedSeq uint64
	unflaggedAt  time.Time
}

// follow begins to watch an owner to which a link has just been made.
func (w *failureDetector) reset(now time.Time) { *w = failureDetector{heardAt: now} }

// hear takes a beat.
func (w *failureDetector) recordHeartbeat(now time.Time, b ownerHeartbeat) {
	w.heardAt = now
	w.record, w.persistedAt = b.Record, now.Add(-b.RecordAge)
	w.epoch, w.unflaggedSeq, w.unflaggedAt = b.Epoch, b.UnflaggedSeq, now.Add(-b.UnflaggedAge)
}

// plainAge returns how old the owner's newest record is at most, which has no mark,
// on this node's own clock. It reports false when no beat of that owner has come:
// then only clocks of two processes could tell, and these may be set.
func (w *failureDetector) unflaggedAge(now time.Time, newest *owner.Record) (time.Duration, bool) {
	if w.epoch == 0 || w.epoch != newest.Epoch {
		return 0, false
	}
	// Later records were sent a period apart at least.
	later := time.Duration(max(newest.HeartbeatSeq, w.unflaggedSeq) - w.unflaggedSeq)
	return now.Sub(w.unflaggedAt) - later*owner.HeartbeatPeriod, true
}

// isSilent reports whether beats have stayed away for too long.
func (w *failureDetector) isSilent(now time.Time) bool {
	return now.Sub(w.heardAt) > ownerSilenceTimeout
}

// patience returns how much longer the store may be without a record after that
// of the number newest, when its answers take answerTime.
func (w *failureDetector) remainingWait(now time.Time, newest uint64, storeLatency time.Duration) time.Duration {
	tolerance := recordTolerance + storeLatencyFactor*storeLatency
	if w.persistedAt.IsZero() || newest != w.record {
		// When that record was kept is not known: at the latest just now.
		return owner.HeartbeatPeriod + tolerance
	}
	return max(w.persistedAt.Add(owner.HeartbeatPeriod+tolerance).Sub(now), 0)
}
