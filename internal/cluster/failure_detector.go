// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/owner"
)

const (
	// ownerSilenceTimeout is the time without a heartbeat over the link after which the owner
	// counts as silent and its record in the store is read: three heartbeat periods, which also leaves
	// time for a retransmission.
	ownerSilenceTimeout = 300 * time.Millisecond
	// recordTolerance is how late the owner's next record may be in the store. A node that has used
	// up its share of a processor is kept from running for 0.1 s.
	recordTolerance = 150 * time.Millisecond
	// storeLatencyFactor, times the current latency of the store, is how much later still the next
	// record may be.
	storeLatencyFactor = 4
	// staleRecordAge is the age of the owner's record, by the time of day, from which a node that
	// cannot reach the owner considers it dead without waiting for a further record. It allows for
	// clocks that differ slightly and for a store that answers in 0.4 s.
	staleRecordAge = 1500 * time.Millisecond
)

// failureDetector decides in two steps whether the owner is dead. When no heartbeats arrive over the
// link, the owner counts as silent and the store is read. The owner is dead when its next
// record in the store is overdue. The second step prevents a node from claiming the shard when only
// its own connection to a living owner is interrupted.
type failureDetector struct {
	// heardAt is when the last heartbeat was received over the link, or when the link was made.
	heardAt time.Time
	// record is the number of the owner's newest record in the store and persistedAt when it was
	// persisted, both by the last heartbeat; persistedAt is zero before the first heartbeat.
	record      uint64
	persistedAt time.Time
}

// reset starts to observe an owner to which a link has just been made.
func (w *failureDetector) reset(now time.Time) { *w = failureDetector{heardAt: now} }

// recordHeartbeat records a heartbeat that was received now.
func (w *failureDetector) recordHeartbeat(now time.Time, b ownerHeartbeat) {
	w.heardAt = now
	w.record, w.persistedAt = b.Record, now.Add(-b.RecordAge)
}

// isSilent reports whether the last heartbeat was received more than ownerSilenceTimeout ago.
func (w *failureDetector) isSilent(now time.Time) bool {
	return now.Sub(w.heardAt) > ownerSilenceTimeout
}

// remainingWait returns how much longer to wait for the record after the one with the number newest
// before the owner is dead, given the current latency of the store.
func (w *failureDetector) remainingWait(now time.Time, newest uint64, storeLatency time.Duration) time.Duration {
	tolerance := recordTolerance + storeLatencyFactor*storeLatency
	if w.persistedAt.IsZero() || newest != w.record {
		// It is not known when the newest record was persisted; at the latest, that was just now.
		return owner.HeartbeatPeriod + tolerance
	}
	return max(w.persistedAt.Add(owner.HeartbeatPeriod+tolerance).Sub(now), 0)
}
