// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"

	"github.com/leverdyke/leverdyke/internal/events"
)

// Replaced returns the record of the previous owner if a process that has greeted this owner may have replaced that owner's
// process: it says that it listens at the same address. Otherwise, and once that is known, it returns nil.
func (o *Owner) Replaced(node string, addr netip.AddrPort, incarnation string) *Record {
	p := o.options.Claim.Previous
	if p == nil || node != p.Node || addr != p.Addr || incarnation == p.Incarnation || o.areAllPreviousEnded() {
		return nil
	}
	return p
}

// PreviousEnded records that another process answers at the address of the previous owner, so that this owner's predecessor
// renews no more leases.
func (o *Owner) PreviousEnded() { o.inbox.TryPut(previousEndedEvent{}) }

// previousEndedEvent reports that the previous owner's process has ended.
type previousEndedEvent struct{}

func (previousEndedEvent) apply(o *Owner) {
	c := &o.options.Claim
	if c.areAllPreviousEnded() || !c.Previous.IsOnlyOwner || o.hasPreviousEnded.Swap(true) {
		return
	}
	o.mayPreviousAct.Store(false)
	o.engine.ShortenInheritedLeases(o.now.Add(maxLease))
	o.options.Log(events.PreviousOwnerStopped, "epoch", o.Epoch(), "took", o.now.Sub(o.loadedAt), "why", "another process has replaced it")
}

// areAllPreviousEnded reports whether the previous owner and all owners before it are known to have stopped.
func (o *Owner) areAllPreviousEnded() bool {
	return o.options.Claim.areAllPreviousEnded() || o.hasPreviousEnded.Load()
}
