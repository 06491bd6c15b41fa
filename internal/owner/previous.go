// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"

	"github.com/leverdyke/leverdyke/internal/events"
)

// NodeGreeted records that a process of a node has greeted this owner. One that listens at the address of the previous
// owner's process has replaced it.
func (o *Owner) NodeGreeted(node string, addr netip.AddrPort, incarnation string) {
	if p := o.options.Claim.Previous; p != nil && node == p.Node && addr == p.Addr && incarnation != p.Incarnation {
		o.inbox.TryPut(previousEndedEvent{})
	}
}

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
