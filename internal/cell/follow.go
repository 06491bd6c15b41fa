// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
)

// linkSilence is how long the link to a silent owner is kept that lives by the
// store's word: one that is out of processor time answers late, and requests on
// their way need not be sent again.
const linkSilence = 1200 * time.Millisecond

// stay passes requests on over the link while the owner's beats come.
func (n *Node) stay(conn *link.Conn, r *owner.Record) {
	n.setOwnerLink(conn)
	n.options.Log(events.OwnerFollowed, "owner", r.Node, "epoch", r.Epoch)
	n.sendAlive()
	defer conn.Close()
	defer n.setOwnerLink(nil)
	ticks, stop := n.options.Clock.Subscribe(seekPause)
	defer stop()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	var asked chan claimable
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-conn.Done():
			return
		case <-n.takeOver:
			n.claimAfter(r)
			return
		case found := <-asked:
			asked = nil
			if found.record != nil {
				conn.Close()
				n.setOwnerLink(nil)
				n.claim(found.record, found.end, false)
				return
			}
		case <-ticks:
		}
		if n.silence() > linkSilence {
			return
		}
		if asked == nil && n.isOwnerSilent() {
			n.options.Log(events.PeerSuspected, "peer", r.Node, "epoch", r.Epoch, "silent", n.silence())
			asked = make(chan claimable, 1)
			n.wg.Add(1)
			go n.runQuestion(ctx, r, asked)
		}
	}
}

func (n *Node) setOwnerLink(c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerLink != nil {
		n.lostAt = n.options.Clock.Now()
	}
	n.ownerLink = c
	if c != nil {
		n.watch.follow(n.options.Clock.Now())
	}
	n.signal()
}

// signal wakes the requests that wait for an owner. The caller holds mu.
func (n *Node) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) isOwnerSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watch.isSilent(n.options.Clock.Now())
}

func (n *Node) silence() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Clock.Now().Sub(n.watch.heardAt)
}

// claimAfter claims the shard from an owner that has handed over.
func (n *Node) claimAfter(r *owner.Record) {
	newest, at, err := owner.ReadRecord(n.ctx, n.log)
	if err != nil || newest == nil || newest.Epoch != r.Epoch {
		return
	}
	n.claim(newest, at+1, true)
}

// claimable is an owner that is dead by the store, with the end of the topic at
// which it can be claimed after; the record is nil when it lives.
type claimable struct {
	record *owner.Record
	end    uint64
}

// runQuestion finds out by the store whether a silent owner lives. Requests on
// their way over the link are left alone until that is known: a stalled owner
// still answers them.
func (n *Node) runQuestion(ctx context.Context, r *owner.Record, answer chan<- claimable) {
	defer n.wg.Done()
	began := n.options.Clock.Now()
	newest, at, err := owner.ReadRecord(ctx, n.log)
	if err != nil || newest == nil || newest.Epoch != r.Epoch || !n.isOwnerSilent() {
		answer <- claimable{}
		return
	}
	now := n.options.Clock.Now()
	n.mu.Lock()
	patience := n.watch.patience(now, newest.Beat, now.Sub(began))
	n.mu.Unlock()
	if !n.isDeadByStore(ctx, newest, at, patience) {
		answer <- claimable{}
		return
	}
	answer <- claimable{newest, at + 1}
}
