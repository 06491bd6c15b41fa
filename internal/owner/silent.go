// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/leasebound"
)

// silentRecord is what the next record says of workers that do not answer. It is guarded by Owner.mu.
type silentRecord struct {
	bounds  []leasebound.Bound
	version uint64
	// oldestSent is the version in the oldest record whose append may still succeed; hasSent means that
	// there is one.
	oldestSent uint64
	hasSent    bool
	// foreign are the workers whose leases may last longer than those of owners, leasesUntil is when all of these have
	// expired.
	foreign     []leasebound.Bound
	leasesUntil time.Time
}

// maxForeignLeases bounds the workers with foreign leases that a record names. The next owner waits for more of them
// with the tasks of all workers.
const maxForeignLeases = 64

// leaseBound returns the LeaseBound of a record that is sent at the given time; bound is that of the leases of owners.
func (s *silentRecord) leaseBound(bound time.Duration, sentAt time.Time) time.Duration {
	if bound == 0 {
		return 0
	}
	return max(bound, s.leasesUntil.Sub(sentAt))
}

// ownLeaseBound returns the OwnLeaseBound of a record; bound is that of the leases of owners, all includes the foreign
// ones.
func (s *silentRecord) ownLeaseBound(bound, all time.Duration) time.Duration {
	if len(s.foreign) > maxForeignLeases {
		return all
	}
	return bound
}

// namedForeign returns the workers with foreign leases that a record names.
func (s *silentRecord) namedForeign() []leasebound.Bound {
	return s.foreign[:min(len(s.foreign), maxForeignLeases)]
}

// next returns what to write into a record that is sent now.
func (s *silentRecord) next() []leasebound.Bound {
	if !s.hasSent {
		s.oldestSent, s.hasSent = s.version, true
	}
	return s.bounds
}

// persisted returns the version that all records have from now on which are in the store or may still
// get there.
func (s *silentRecord) persisted() uint64 {
	s.hasSent = false
	return s.oldestSent
}

// updateSilent passes what the engine knows of silent workers on to the next record, and returns its version.
func (o *Owner) updateSilent() uint64 {
	bounds, version := o.engine.UpdateSilentWorkers(!o.mayPreviousAct.Load())
	foreign, leasesUntil := o.engine.ForeignLeases(), o.now
	for i := range foreign {
		if until := o.now.Add(foreign[i].Left); until.After(leasesUntil) {
			leasesUntil = until
		}
	}
	o.mu.Lock()
	o.silent.bounds, o.silent.version, o.silent.foreign, o.silent.leasesUntil = bounds, version, foreign, leasesUntil
	o.mu.Unlock()
	return version
}

// requestSilentUpdate has the next record written at once if a worker has answered that the last one
// names.
func (o *Owner) requestSilentUpdate() {
	if !o.engine.NeedsSilentUpdate() {
		return
	}
	o.updateSilent()
	o.requestRecord()
}

// requestRecord has the next record written at once.
func (o *Owner) requestRecord() {
	select {
	case o.recordNeeded <- struct{}{}:
	default:
	}
}
