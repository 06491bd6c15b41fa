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
	// handOverTimeout bounds the time until an owner that stops knows the outcomes of its
	// unanswered orders and has persisted them. claimTimeout bounds the time until a peer that was
	// asked to claim owns the shard: it reads the owner's record and makes two appends, with a slow
	// store.
	handOverTimeout = 900 * time.Millisecond
	claimTimeout    = 1200 * time.Millisecond
	// maxSuccessors is the number of peers that are asked, one after the other, to become the owner.
	maxSuccessors = 3
)

// Leave prepares the end of the process. As the owner, this node hands the shard over; as a
// follower, it notifies the owner that it is about to end. The node still forwards requests after
// that.
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

// handOver stops the owner and asks peers, the best candidate first, to claim the shard. isUnfit
// means that the reason is that this owner is unfit. The owner continues when the store is down.
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
	// maxLag is the lag (see owner.Owner.Lag, the share of time for which the owner was kept from
	// running) from which an owner hands over. A healthy owner of 350 workers reaches 0.18 in load
	// bursts.
	maxLag = 0.25
	// lagGracePeriod is how long the lag of a new owner is ignored. At first it reads all jobs and
	// polls all workers, and the lag that this causes does not mean that the node is too slow.
	lagGracePeriod = 3 * time.Second
	// minHandoverInterval is the minimum time between two handovers because of an unfit owner,
	// also when they are by different nodes. When the load is too high for every node, a handover
	// does not help, and each new owner places no tasks at first.
	minHandoverInterval = 10 * time.Second
)

// fitness decides whether an owner should hand the shard over to another node. The zero value is
// for a node that has not owned the shard and knows of no handover.
type fitness struct {
	// ownedAt is when this node became the owner. handedOverAt is the time of the last handover
	// because of an unfit owner in which this node took part: as the owner that handed over, or as
	// a follower that was asked to claim the shard. The time starts minHandoverInterval on both
	// nodes, so that the shard does not move from node to node when all of them are overloaded.
	ownedAt, handedOverAt time.Time
}

// isUnfit reports whether an owner with this lag should hand over. isWeak means that a peer is much
// stronger, which is a reason without any lag.
func (f *fitness) isUnfit(lag float64, isWeak bool, now time.Time) bool {
	if !f.handedOverAt.IsZero() && now.Sub(f.handedOverAt) < minHandoverInterval {
		return false
	}
	return isWeak || lag >= maxLag && now.Sub(f.ownedAt) >= lagGracePeriod
}

// handOverIfUnfit starts to hand the shard over when this node has too little processor time to own
// it, or a peer is much stronger.
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
	n.options.Log(events.OwnerTooSlow, "epoch", o.Epoch(), "lag", o.Lag(), "strength", n.options.Strength, "strongest", strongest)
	n.wg.Add(1)
	go n.runUnfitHandover(o)
}

// runUnfitHandover hands the shard over because this node is unfit to own it.
func (n *Node) runUnfitHandover(o *owner.Owner) {
	defer n.wg.Done()
	n.handOver(n.ctx, o, true)
	n.mu.Lock()
	n.isUnfitHandover = false
	n.mu.Unlock()
}

// requestClaim asks a peer to become the owner. It returns nil once the peer is the owner.
func (n *Node) requestClaim(ctx context.Context, c claimRequest, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := p.conn.Call(ctx, kindClaim, c, &empty{})
	n.options.Log(events.HandedOver, "epoch", c.Epoch, "to", p.hello.Name, "err", err)
	return err
}
