// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/owner"
)

const (
	// handOverTime bounds the time until an owner that stops has settled its
	// orders, claimTime that until a peer owns the shard: reading the record and
	// two appends, with a slow store.
	handOverTimeout = 900 * time.Millisecond
	claimTimeout    = 1200 * time.Millisecond
	// maxHeirs is how many peers are asked in turn to become the owner.
	maxSuccessors = 3
)

// Leave hands the shard over and tells the owner that this node stops. Requests
// are still passed on.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.isLeaving = true
	o := n.owner
	n.mu.Unlock()
	if o == nil {
		n.sendFollowerHeartbeat()
		return
	}
	n.handOver(ctx, o, false)
}

// handOver ends the owner and asks peers to go on. isUnfit means that it does so because
// it is unfit.
func (n *Node) handOver(ctx context.Context, o *owner.Owner, isUnfit bool) {
	settleCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if !o.HandOver(settleCtx) {
		n.options.Log(events.HandedOver, "epoch", o.Epoch(), "to", "", "err", "the store is out: the shard is kept")
		return
	}
	o.Stop()
	for i, p := range n.peers.successorCandidates() {
		if i == maxSuccessors || n.requestClaim(ctx, claimRequest{o.Epoch(), isUnfit}, &p) == nil {
			break
		}
	}
	n.peers.closeAll()
}

const (
	// slowLag is the part of its time that an owner may be kept from running; see
	// owner.Owner.Lag. A slower one hands over. Bursts reach 0.18 at 350 workers.
	maxLag = 0.25
	// settleTime is how long a new owner is not judged by its lag: it reads all jobs and
	// asks all workers at first, which tells nothing of its node.
	lagGracePeriod = 3 * time.Second
	// yieldPause is the time between two such changes of owner, also of different nodes:
	// where the load is too much for any node, changing does not help, and each new owner
	// places nothing at first.
	minHandoverInterval = 10 * time.Second
)

// fitness judges whether an owner should leave the shard to another node. The zero value
// is that of a node that has not owned it.
type fitness struct {
	// ownedAt is when this node became the owner, yieldedAt when the shard was handed over
	// last because its owner was unfit, as far as this node knows: by it or to it.
	ownedAt, handedOverAt time.Time
}

// isUnfit reports whether an owner with this lag hands over; isWeak means that a peer is
// much stronger.
func (f *fitness) isUnfit(lag float64, isWeak bool, now time.Time) bool {
	if !f.handedOverAt.IsZero() && now.Sub(f.handedOverAt) < minHandoverInterval {
		return false
	}
	return isWeak || lag >= maxLag && now.Sub(f.ownedAt) >= lagGracePeriod
}

// yieldIfUnfit hands the shard over when this node has too little processor time
// for it, or a peer is much stronger.
func (n *Node) handOverIfUnfit(o *owner.Owner) {
	successors := n.peers.successorCandidates()
	if len(successors) == 0 || !o.IsLoaded() {
		return
	}
	strongest := successors[0].hello.Strength
	isWeak := n.options.Strength < (1-strengthTolerance)*strongest
	now := n.options.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isUnfitHandover || n.isLeaving || !n.fitness.isUnfit(o.Lag(), isWeak, now) {
		return
	}
	n.isUnfitHandover, n.fitness.handedOverAt = true, now
	n.options.Log(events.OwnerUnfit, "epoch", o.Epoch(), "lag", o.Lag(), "strength", n.options.Strength, "strongest", strongest)
	n.wg.Add(1)
	go n.runUnfitHandover(o)
}

// runYield hands the shard over.
func (n *Node) runUnfitHandover(o *owner.Owner) {
	defer n.wg.Done()
	n.handOver(n.ctx, o, true)
	n.mu.Lock()
	n.isUnfitHandover = false
	n.mu.Unlock()
}

// askToClaim asks a peer to become the owner, and returns once it is.
func (n *Node) requestClaim(ctx context.Context, c claimRequest, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := p.conn.Call(ctx, kindClaim, c, &empty{})
	n.options.Log(events.HandedOver, "epoch", c.Epoch, "to", p.hello.Name, "err", err)
	return err
}
