// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

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
	n.handOver(ctx, o)
}

// handOver ends the owner and asks peers to go on.
func (n *Node) handOver(ctx context.Context, o *owner.Owner) {
	settle, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	if !o.HandOver(settle) {
		n.options.Log(events.HandedOver, "epoch", o.Epoch(), "to", "", "err", "the store is out: the shard is kept")
		return
	}
	o.Stop()
	for i, p := range n.peers.byFitness() {
		if i == maxHeirs || n.askToClaim(ctx, o.Epoch(), &p) == nil {
			break
		}
	}
	n.peers.closeAll()
}

const (
	// slowLag is the part of its time that an owner may be kept from running; see
	// owner.Owner.Lag. A slower one hands over. Bursts reach 0.18 at 350 workers.
	slowLag = 0.25
	// yieldPause is the time between two such changes of owner: where the load is
	// too much for any node, changing does not help.
	yieldPause = 10 * time.Second
)

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
	if !isWeak && o.Lag() < slowLag || n.isYielding || n.isLeaving || now.Sub(n.yieldedAt) < yieldPause {
		return
	}
	n.isYielding, n.yieldedAt = true, now
	n.options.Log(events.OwnerUnfit, "epoch", o.Epoch(), "lag", o.Lag(), "strength", n.options.Strength, "strongest", strongest)
	n.wg.Add(1)
	go n.runYield(o)
}

// runYield hands the shard over.
func (n *Node) runYield(o *owner.Owner) {
	defer n.wg.Done()
	n.handOver(n.ctx, o)
	n.mu.Lock()
	n.isYielding = false
	n.mu.Unlock()
}

// askToClaim asks a peer to become the owner, and returns once it is.
func (n *Node) askToClaim(ctx context.Context, epoch uint64, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	err := p.conn.Call(ctx, kindClaim, claimCall{epoch}, &empty{})
	n.options.Log(events.HandedOver, "epoch", epoch, "to", p.hello.Name, "err", err)
	return err
}
