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
type OwnerWatch struct{ w ownerWatch }

// Follow begins to watch.
func (o *OwnerWatch) Follow(now time.Time) { o.w.follow(now) }

// Hear takes a beat that tells of a record.
func (o *OwnerWatch) Hear(now time.Time, record uint64, age time.Duration) {
	o.w.hear(now, beat{Record: record, RecordAge: age})
}

// IsSilent reports whether beats have stayed away for too long.
func (o *OwnerWatch) IsSilent(now time.Time) bool { return o.w.isSilent(now) }

// Patience returns how much longer the store may be without another record.
func (o *OwnerWatch) Patience(now time.Time, newest uint64, answerTime time.Duration) time.Duration {
	return o.w.patience(now, newest, answerTime)
}

// Heirs returns the names of the peers that this owner would hand over to, the
// fittest first.
func (n *Node) Heirs() []string {
	out := []string{}
	for _, p := range n.peers.byFitness() {
		out = append(out, p.hello.Name)
	}
	return out
}

// IsBehind reports whether a peer is known to have a later configuration.
func (n *Node) IsBehind() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.behind != nil
}

// TakeClaim takes the call of an owner that has stopped.
func (n *Node) TakeClaim(ctx context.Context, epoch uint64) error {
	_, err := n.takeClaim(ctx, claimCall{Epoch: epoch})
	return err
}

// Stay follows an owner over a link until the node turns to another.
func (n *Node) Stay(conn *link.Conn, r *owner.Record) { n.stay(conn, r) }

// IsFollowing reports whether the node has a link to an owner.
func (n *Node) IsFollowing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerLink != nil
}

// IsUnlogged reports whether this node owns the shard and runs ahead of the store.
func (n *Node) IsUnlogged() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner != nil && n.owner.MayHaveUnpersisted()
}

// HearBeat takes a beat of an owner that tells of its last record without a mark.
func (n *Node) HearBeat(epoch, plain uint64, plainAge time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.hear(n.options.Clock.Now(), beat{Epoch: epoch, PlainRecord: plain, PlainAge: plainAge})
}

// IsExact reports whether an owner with that record has kept the place of each
// task, as far as this node knows.
func (n *Node) IsExact(r *owner.Record) bool { return n.isExact(r) }

// Pack compresses a configuration.
func Pack(data []byte) []byte { return pack(data) }

// Unpack reads what Pack wrote.
func Unpack(packed []byte) ([]byte, error) { return unpack(packed) }

// Packed returns what peers that ask for the configuration get.
func (n *Node) Packed() []byte { return n.configInForce().Packed }

// Fitness lets tests drive a fitness.
type Fitness struct{ f fitness }

// Own takes that the node became the owner.
func (f *Fitness) Own(now time.Time) { f.f.ownedAt = now }

// Yield takes that the shard was handed over because its owner was unfit.
func (f *Fitness) Yield(now time.Time) { f.f.yieldedAt = now }

// IsUnfit reports whether an owner with this lag hands over.
func (f *Fitness) IsUnfit(lag float64, isWeak bool, now time.Time) bool {
	return f.f.isUnfit(lag, isWeak, now)
}
