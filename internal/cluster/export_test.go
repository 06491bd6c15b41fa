// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
)

// OwnerWatch lets tests drive an ownerWatch.
type FailureDetector struct{ w failureDetector }

// Follow begins to watch.
func (o *FailureDetector) Reset(now time.Time) { o.w.reset(now) }

// Hear takes a beat that tells of a record.
func (o *FailureDetector) RecordHeartbeat(now time.Time, record uint64, age time.Duration) {
	o.w.recordHeartbeat(now, ownerHeartbeat{Record: record, RecordAge: age})
}

// IsSilent reports whether beats have stayed away for too long.
func (o *FailureDetector) IsSilent(now time.Time) bool { return o.w.isSilent(now) }

// Patience returns how much longer the store may be without another record.
func (o *FailureDetector) RemainingWait(now time.Time, newest uint64, storeLatency time.Duration) time.Duration {
	return o.w.remainingWait(now, newest, storeLatency)
}

// Heirs returns the names of the peers that this owner would hand over to, the
// fittest first.
func (n *Node) Successors() []string {
	out := []string{}
	for _, p := range n.peers.successorCandidates() {
		out = append(out, p.hello.Name)
	}
	return out
}

// IsBehind reports whether a peer is known to have a later configuration.
func (n *Node) HasNewerPeer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newerPeer != nil
}

// TakeClaim takes the call of an owner that has stopped.
func (n *Node) HandleClaim(ctx context.Context, epoch uint64) error {
	_, err := n.handleClaim(ctx, claimRequest{Epoch: epoch})
	return err
}

// Stay follows an owner over a link until the node turns to another.
func (n *Node) FollowOverLink(conn *link.Conn, r *owner.Record) { n.followOverLink(conn, r) }

// IsFollowing reports whether the node has a link to an owner.
func (n *Node) IsFollowing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerLink != nil
}

// IsUnlogged reports whether this node owns the shard and runs ahead of the store.
func (n *Node) MayHaveUnpersisted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner != nil && n.owner.MayHaveUnpersisted()
}

// HearBeat takes a beat of an owner that tells of its last record without a mark.
func (n *Node) RecordOwnerHeartbeat(epoch, unflaggedSeq uint64, unflaggedAge time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detector.recordHeartbeat(n.options.Clock.Now(), ownerHeartbeat{Epoch: epoch, UnflaggedSeq: unflaggedSeq, UnflaggedAge: unflaggedAge})
}

// IsExact reports whether an owner with that record has kept the place of each
// task, as far as this node knows.
func (n *Node) HasAllPlacements(r *owner.Record) bool { return n.hasAllPlacements(r) }

// Pack compresses a configuration.
func Compress(data []byte) []byte { return compress(data) }

// Unpack reads what Pack wrote.
func Decompress(compressed []byte) ([]byte, error) { return decompress(compressed) }

// Packed returns what peers that ask for the configuration get.
func (n *Node) Compressed() []byte { return n.activeConfig().Compressed }

// Fitness lets tests drive a fitness.
type Fitness struct{ f fitness }

// Own takes that the node became the owner.
func (f *Fitness) BecomeOwner(now time.Time) { f.f.ownedAt = now }

// Yield takes that the shard was handed over because its owner was unfit.
func (f *Fitness) HandOver(now time.Time) { f.f.handedOverAt = now }

// IsUnfit reports whether an owner with this lag hands over.
func (f *Fitness) IsUnfit(lag float64, isWeak bool, now time.Time) bool {
	return f.f.isUnfit(lag, isWeak, now)
}
