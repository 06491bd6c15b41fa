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
	handOverTime = 900 * time.Millisecond
	claimTime    = 1200 * time.Millisecond
	// maxHeirs is how many peers are asked in turn to become the owner.
	maxHeirs = 3
)

// Leave hands the shard over and tells the owner that this node stops. Requests
// are still passed on.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.isLeaving = true
	o := n.owner
	n.mu.Unlock()
	if o == nil {
		n.sendAlive()
		return
	}
	n.handOver(ctx, o, false)
}

// handOver ends the owner and asks peers to go on. isUnfit means that it does so because
// it is unfit.
func (n *Node) handOver(ctx context.Context, o *owner.Owner, isUnfit bool) {
	settle, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	if !o.HandOver(settle) {
		n.options.Log(events.HandedOver, "epoch", o.Epoch(), "to", "", "err", "the store is out: the shard is kept")
		return
	}
	o.Stop()
	for i, p := range n.peers.byFitness() {
		if i == maxHeirs || n.askToClaim(ctx, claimCall{o.Epoch(), isUnfit}, &p) == nil {
			break
		}
	}
	n.peers.closeAll()
}

const (
	// slowLag is the part of its time that an owner may be kept from running; see
	// owner.Owner.Lag. A slower one hands over. Bursts reach 0.18 at 350 workers.
	slowLag = 0.25
	// settleTime is how long a new owner is not judged by its lag: it reads all jobs and
	// asks all workers at first, which tells nothing of its node.
	settleTime = 3 * time.Second
	// yieldPause is the time between two such changes of owner, also of different nodes:
	// where the load is too much for any node, changing does not help, and each new owner
	// places nothing at first.
	yieldPause = 10 * time.Second
)

// fitness judges whether an owner should leave the shard to another node. The zero value
// is that of a node that has not owned it.
type fitness struct {
	// ownedAt is when this node became the owner, yieldedAt when the shard was handed over
	// last because its owner was unfit, as far as this node knows: by it or to it.
	ownedAt, yieldedAt time.Time
}

// isUnfit reports whether an owner with this lag hands over; isWeak means that a peer is
// much stronger.
func (f *fitness) isUnfit(lag float64, isWeak bool, now time.Time) bool {
	if !f.yieldedAt.IsZero() && now.Sub(f.yieldedAt) < yieldPause {
		return false
	}
	return isWeak || lag >= slowLag && now.Sub(f.ownedAt) >= settleTime
}

// yieldIfUnfit hands the shard over when this node has too little processor time
// for it, or a peer is much stronger.
func (n *Node) yieldIfUnfit(o *owner.Owner) {
	heirs := n.peers.byFitness()
	if len(heirs) == 0 || !o.IsLoaded() {
		return
	}
	strongest := heirs[0].hello.Strength
	isWeak := n.options.Strength < (1-equalStrength)*strongest
	now := n.options.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isYielding || n.isLeaving || !n.fitness.isUnfit(o.Lag(), isWeak, now) {
		return
	}
	n.isYielding, n.fitness.yieldedAt = true, now
	n.options.Log(events.OwnerUnfit, "epoch", o.Epoch(), "lag", o.Lag(), "strength", n.options.Strength, "strongest", strongest)
	n.wg.Add(1)
	go n.runYield(o)
}

// runYield hands the shard over.
func (n *Node) runYield(o *owner.Owner) {
	defer n.wg.Done()
	n.handOver(n.ctx, o, true)
	n.mu.Lock()
	n.isYielding = false
	n.mu.Unlock()
}

// askToClaim asks a peer to become the owner, and returns once it is.
func (n *Node) askToClaim(ctx context.Context, c claimCall, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	err := p.conn.Call(ctx, kindClaim, c, &empty{})
	n.options.Log(events.HandedOver, "epoch", c.Epoch, "to", p.hello.Name, "err", err)
	return err
}
