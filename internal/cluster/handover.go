// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
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
	n.handOver(ctx, o, nil)
}

// handOver stops the owner and asks peers, the best candidate first, to claim the shard: those that are fitter, if
// the reason is that this owner is unfit, or else all. The owner continues when the store is down.
func (n *Node) handOver(ctx context.Context, o *owner.Owner, fitter []peer) {
	settleCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if !o.HandOver(settleCtx) {
		n.options.Log(events.HandedOver, "epoch", o.Epoch(), "to", "", "err", "the store is out: the shard is kept")
		return
	}
	o.Stop()
	isUnfit, successors := len(fitter) > 0, fitter
	if !isUnfit {
		successors = n.peers.successorCandidates()
	}
	for i, p := range successors {
		if i == maxSuccessors || n.requestClaim(ctx, claimRequest{o.Epoch(), isUnfit}, &p) == nil {
			break
		}
	}
	n.peers.closeAll()
}

// fitnessTimeout bounds the wait for the answer of a node that is asked how fit it is. A node that does not answer in
// this time is not fitter.
const fitnessTimeout = 300 * time.Millisecond

// lagPeriod is the period of the ticks by which a node measures its lag as a follower. It is short compared with the
// periods in which a processor quota is enforced: otherwise most ticks may fall where the node runs.
const lagPeriod = 20 * time.Millisecond

// handOverIfUnfit starts to hand the shard over when this node has too little processor time to own
// it, or a peer is much stronger, and another node is fitter.
func (n *Node) handOverIfUnfit(o *owner.Owner) {
	successors := n.peers.successorCandidates()
	if len(successors) == 0 || !o.IsLoaded() {
		return
	}
	isWeak := isMuchStronger(successors[0].hello.Strength, n.options.Strength)
	now := n.options.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	lag := o.Lag()
	if n.isUnfitHandover || n.isComparing || n.isLeaving || !n.fitness.isUnfit(lag, isWeak, now) {
		return
	}
	n.isComparing = true
	n.wg.Add(1)
	go n.runUnfitHandover(o, successors, ownerFitness{lag, n.options.Strength, n.fitness.isSlow(lag, now), isWeak})
}

// runUnfitHandover hands the shard over because this node is unfit to own it, if others are fitter.
func (n *Node) runUnfitHandover(o *owner.Owner, candidates []peer, own ownerFitness) {
	defer n.wg.Done()
	successors := n.beginUnfitHandover(o, own, candidates, n.askAllFitness(candidates))
	if len(successors) == 0 {
		return
	}
	n.handOver(n.ctx, o, successors)
	n.mu.Lock()
	n.isUnfitHandover = false
	n.mu.Unlock()
}

// beginUnfitHandover returns the candidates to hand over to now, by what they have reported; none if this node is to go
// on as the owner.
func (n *Node) beginUnfitHandover(o *owner.Owner, own ownerFitness, candidates []peer, reports []*fitnessReply) []peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isComparing = false
	if n.isLeaving || n.owner != o {
		return nil
	}
	strengths := make([]float64, len(candidates))
	for i := range candidates {
		strengths[i] = candidates[i].hello.Strength
	}
	fitter, isNow := n.fitness.decide(own, strengths, reports, n.options.Clock.Now())
	if !isNow {
		if own.isSlow {
			n.options.Log(events.OwnerStaysTooSlow, "epoch", o.Epoch(), "lag", own.lag, "asked", len(reports), "fitter", len(fitter), "unhelpful", n.fitness.unhelpful)
		}
		return nil
	}
	successors := make([]peer, len(fitter))
	for k, i := range fitter {
		successors[k] = candidates[i]
	}
	n.isUnfitHandover = true
	n.options.Log(events.OwnerTooSlow, "epoch", o.Epoch(), "lag", own.lag, "strength", own.strength, "strongest", successors[0].hello.Strength)
	return successors
}

// askAllFitness asks all candidates at once how fit they are.
func (n *Node) askAllFitness(candidates []peer) []*fitnessReply {
	reports := make([]*fitnessReply, len(candidates))
	wg := sync.WaitGroup{}
	for i := range candidates {
		wg.Go(func() { reports[i] = n.askFitness(&candidates[i]) })
	}
	wg.Wait()
	return reports
}

// askFitness asks a peer how fit it is, nil if it does not answer. One of an earlier version does not say so, and counts
// as fit.
func (n *Node) askFitness(p *peer) *fitnessReply {
	ctx, cancel := context.WithTimeout(n.ctx, fitnessTimeout)
	defer cancel()
	r := &fitnessReply{}
	err := p.conn.Call(ctx, kindFitness, empty{}, r)
	switch {
	case ctx.Err() != nil || isClosed(p.conn):
		return nil
	case err != nil:
		return &fitnessReply{}
	}
	return r
}

func isClosed(c *link.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// reportFitness returns how fit this node is to own the shard.
func (n *Node) reportFitness() fitnessReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fitness.report(n.lag.Share(), n.options.Clock.Now())
}

// runLag measures for which share of the time this node is kept from running.
func (n *Node) runLag() {
	defer n.wg.Done()
	n.runPeriodically(lagPeriod, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lag.Tick(n.options.Clock.Now(), lagPeriod)
	})
}

// requestClaim asks a peer to become the owner. It returns nil once the peer is the owner.
func (n *Node) requestClaim(ctx context.Context, c claimRequest, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := p.conn.Call(ctx, kindClaim, c, &empty{})
	n.options.Log(events.HandedOver, "epoch", c.Epoch, "to", p.hello.Name, "err", err)
	return err
}
