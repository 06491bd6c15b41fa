// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/session"
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
	o.mayNodesFollowPrevious.Store(false)
	o.engine.ShortenInheritedLeases(o.now.Add(o.previousLeaseBound()))
	o.options.Log(events.PreviousOwnerStopped, "epoch", o.Epoch(), "took", o.now.Sub(o.loadedAt), "why", "another process has replaced it")
}

// areAllPreviousEnded reports whether the previous owner and all owners before it are known to have stopped.
func (o *Owner) areAllPreviousEnded() bool {
	return o.options.Claim.areAllPreviousEnded() || o.hasPreviousEnded.Load()
}

// mayPreviousHaveMajority reports whether most nodes may be linked to the previous owner: it may then
// act for longer than its ConfirmationTimeout.
func (o *Owner) mayPreviousHaveMajority() bool {
	previous := o.options.Claim.Previous
	return previous != nil && o.options.LinkedNodes != nil && 2*o.options.LinkedNodes() < previous.KnownNodes
}

// isOnlyOwner reports whether no previous owner acts at that time any more: none counts as confirmed
// after the jobs were read.
func (o *Owner) isOnlyOwner(at time.Time) bool {
	return o.areAllPreviousEnded() || o.IsLoaded() && !o.mayPreviousAct.Load() && at.Sub(o.loadedAt) >= ConfirmationTimeout
}

// previousLeaseBound returns how long after its last renewal, or after it was last confirmed, a lease of
// the previous owner lasts at most, unless its record names the worker in Foreign.
func (o *Owner) previousLeaseBound() time.Duration {
	previous := o.options.Claim.Previous
	switch {
	case previous.LeaseBound == 0:
		return session.EarlierLeaseBound
	case previous.OwnLeaseBound == 0:
		return previous.LeaseBound
	}
	return previous.OwnLeaseBound
}

// previousConfirmableUntil returns until when the previous owner may have been confirmed by others than the store; false if it
// may be now. Heartbeats call it, too: reading the jobs may take long.
func (o *Owner) previousConfirmableUntil() (time.Time, bool) {
	if !o.mayPreviousHaveMajority() {
		o.mayNodesFollowPrevious.Store(false)
		o.previousRuledOut()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ruledOutAt, !o.ruledOutAt.IsZero()
}

// previousRuledOut records that the previous owner is confirmed by nobody but the store from now on.
func (o *Owner) previousRuledOut() {
	now := o.options.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ruledOutAt.IsZero() {
		o.ruledOutAt = now
	}
}

// inheritedLeasesUntil returns when the leases of previous owners have expired if these renew no more. The
// store has confirmed none of them after this owner's claim, and they count their leases from when the
// store, or most nodes, last confirmed them. An owner of an earlier version counts them from their renewal,
// which may be any time before its ConfirmationTimeout ends.
func (o *Owner) inheritedLeasesUntil() time.Time {
	bound := o.previousLeaseBound()
	switch {
	case o.options.Claim.Previous.LeaseBound > 0:
		return o.lastConfirmable().Add(bound)
	case o.areAllPreviousEnded():
		return o.loadedAt.Add(bound)
	}
	return o.loadedAt.Add(ConfirmationTimeout + bound)
}

// lastConfirmable returns when previous owners may last have been confirmed, as far as it is known now.
func (o *Owner) lastConfirmable() time.Time {
	if o.areAllPreviousEnded() {
		return o.claimedAt
	}
	until, isRuledOut := o.previousConfirmableUntil()
	switch {
	case !isRuledOut:
		return o.now
	case until.Before(o.claimedAt):
		return o.claimedAt
	}
	return until
}

// awaitPrevious extends the leases of a previous owner that may act during an outage of the store,
// until it is ruled out.
func (o *Owner) awaitPrevious() {
	if o.mayNodesFollowPrevious.Load() && !o.mayPreviousHaveMajority() || !o.now.Before(o.loadedAt.Add(maxOutageOwnership)) {
		o.mayNodesFollowPrevious.Store(false)
	}
	if !o.mayPreviousAct.Load() {
		return
	}
	if o.options.Claim.Previous.LeaseBound > 0 {
		o.engine.ExtendInheritedLeases(o.lastConfirmable().Add(o.previousLeaseBound()))
	} else {
		o.engine.ExtendInheritedLeases(o.now.Add(maxFollowerSilence + o.previousLeaseBound()))
	}
	_, isRuledOut := o.previousConfirmableUntil()
	if !isRuledOut && o.now.Before(o.loadedAt.Add(maxOutageOwnership)) {
		return
	}
	o.mayPreviousAct.Store(false)
	o.options.Log(events.PreviousOwnerStopped, "epoch", o.Epoch(), "took", o.now.Sub(o.loadedAt), "ruledOut", isRuledOut, "majority", !o.mayPreviousHaveMajority())
}
