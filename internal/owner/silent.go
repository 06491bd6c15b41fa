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
	// leasesUntil is when all leases have expired that workers were given by the clocks of their earlier incarnations.
	leasesUntil time.Time
}

// leaseBound returns the LeaseBound of a record that is sent at the given time; bound is that of the leases of owners.
func (s *silentRecord) leaseBound(bound time.Duration, sentAt time.Time) time.Duration {
	if bound == 0 {
		return 0
	}
	return max(bound, s.leasesUntil.Sub(sentAt))
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
	leasesUntil := o.now.Add(o.engine.LongestForeignLease())
	o.mu.Lock()
	o.silent.bounds, o.silent.version, o.silent.leasesUntil = bounds, version, leasesUntil
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
