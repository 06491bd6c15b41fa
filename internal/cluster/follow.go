// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

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
const maxLinkSilence = 1200 * time.Millisecond

// relinkTimeout bounds the try of a new link to an owner that is silent on the old
// one: a stalled owner does not answer it either.
const reconnectTimeout = 250 * time.Millisecond

// following is the time for which a node follows an owner. One goroutine uses it.
type followSession struct {
	node *Node
	// record is the owner's, as it was when the following began.
	record *owner.Record
	// conn is the link to the owner; another takes its place when it is dead.
	conn *link.Conn
	// asked brings the store's word on a silent owner; nil while nobody asks.
	storeCheck chan ownerCheck
}

// stay passes requests on over the link while the owner's beats come.
func (n *Node) followOverLink(conn *link.Conn, r *owner.Record) {
	f := &followSession{node: n, record: r, conn: conn}
	n.setOwnerLink(conn)
	n.options.Log(events.OwnerFollowed, "owner", r.Node, "epoch", r.Epoch)
	n.sendFollowerHeartbeat()
	defer func() { f.conn.Close() }()
	defer n.setOwnerLink(nil)
	ticks, stop := n.options.Clock.Subscribe(electionInterval)
	defer stop()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	for f.step(ticks) && n.silentFor() <= maxLinkSilence {
		f.checkIfSilent(ctx)
	}
}

// step waits until something happens, and reports whether the owner is still
// followed after it.
func (f *followSession) step(ticks <-chan time.Time) bool {
	select {
	case <-f.node.ctx.Done():
		return false
	case <-f.conn.Done():
		return false
	case epoch := <-f.node.claimRequests:
		return !f.handleClaimRequest(epoch)
	case found := <-f.storeCheck:
		f.storeCheck = nil
		return f.applyCheck(found)
	case <-ticks:
		return true
	}
}

// takeOver claims the shard when it is this owner that has stopped; calls to take
// over from an earlier one come late.
func (f *followSession) handleClaimRequest(epoch uint64) bool {
	if epoch != f.record.Epoch {
		return false
	}
	f.node.claimAfterHandover(f.record)
	return true
}

// heed does what the store's word asks for, and reports whether the owner is still
// followed.
func (f *followSession) applyCheck(found ownerCheck) bool {
	switch found.status {
	case ownerReplaced:
		return false
	case ownerDead:
		f.conn.Close()
		f.node.setOwnerLink(nil)
		f.node.claim(found.record, found.end, false)
		return false
	case ownerReconnected:
		f.reconnect(found.conn)
	case ownerAlive:
	}
	return true
}

// relink goes on over a new link.
func (f *followSession) reconnect(conn *link.Conn) {
	n := f.node
	n.options.Log(events.OwnerFollowed, "owner", f.record.Node, "epoch", f.record.Epoch, "silent", n.silentFor())
	f.conn.Close()
	f.conn = conn
	n.setOwnerLink(conn)
	n.sendFollowerHeartbeat()
}

// askIfSilent begins to ask the store about an owner that is silent; ctx ends that.
func (f *followSession) checkIfSilent(ctx context.Context) {
	n := f.node
	if f.storeCheck != nil || !n.isOwnerSilent() {
		return
	}
	n.options.Log(events.PeerSuspected, "peer", f.record.Node, "epoch", f.record.Epoch, "silent", n.silentFor())
	f.storeCheck = make(chan ownerCheck)
	n.wg.Add(1)
	go n.runOwnerCheck(ctx, f.record, f.storeCheck)
}

func (n *Node) setOwnerLink(c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerLink != nil {
		n.ownerLostAt = n.options.Clock.Now()
	}
	n.ownerLink = c
	if c != nil {
		n.detector.reset(n.options.Clock.Now())
	}
	n.notifyOwnerChange()
}

// signal wakes the requests that wait for an owner. The caller holds mu.
func (n *Node) notifyOwnerChange() {
	close(n.ownerChanged)
	n.ownerChanged = make(chan struct{})
}

func (n *Node) isOwnerSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.detector.isSilent(n.options.Clock.Now())
}

func (n *Node) silentFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Clock.Now().Sub(n.detector.heardAt)
}

// claimAfter claims the shard from an owner that has handed over.
func (n *Node) claimAfterHandover(r *owner.Record) {
	newest, at, err := owner.ReadRecord(n.ctx, n.log)
	if err != nil || newest == nil || newest.Epoch != r.Epoch {
		return
	}
	n.claim(newest, at+1, true)
}

// ownerWord is what the store says of an owner.
type ownerStatus string

const (
	// ownerLives means that it still gets records of it, or does not answer.
	ownerAlive ownerStatus = "lives"
	// ownerDead means that its next record is overdue.
	ownerDead ownerStatus = "dead"
	// ownerRelinked means that it lives and took a new link: the old one is dead.
	ownerReconnected ownerStatus = "relinked"
	// ownerReplaced means that a later owner has claimed the shard.
	ownerReplaced ownerStatus = "replaced"
)

// ownerState is the store's word on a silent owner.
type ownerCheck struct {
	status ownerStatus
	// record is the newest one of a dead owner, end the end of the topic at which the
	// shard can be claimed after it.
	record *owner.Record
	end    uint64
	// conn is the new link.
	conn *link.Conn
}

// runQuestion finds out by the store whether a silent owner lives. Requests on
// their way over the link are left alone until that is known: a stalled owner
// still answers them.
func (n *Node) runOwnerCheck(ctx context.Context, r *owner.Record, answer chan<- ownerCheck) {
	defer n.wg.Done()
	s := n.checkOwnerInStore(ctx, r)
	if s.status == ownerAlive && n.isOwnerSilent() {
		// A connection may be dead without a word, while new ones work.
		if conn, _ := n.connect(r, reconnectTimeout); conn != nil {
			s.status, s.conn = ownerReconnected, conn
		}
	}
	select {
	case answer <- s:
	case <-ctx.Done():
		if s.conn != nil {
			s.conn.Close()
		}
	}
}

func (n *Node) checkOwnerInStore(ctx context.Context, r *owner.Record) ownerCheck {
	began := n.options.Clock.Now()
	newest, at, err := owner.ReadRecord(ctx, n.log)
	if err != nil || newest == nil {
		return ownerCheck{status: ownerAlive}
	}
	if newest.Epoch != r.Epoch {
		return ownerCheck{status: ownerReplaced}
	}
	now := n.options.Clock.Now()
	n.mu.Lock()
	isSilent := n.detector.isSilent(now)
	timeout := n.detector.remainingWait(now, newest.HeartbeatSeq, now.Sub(began))
	n.mu.Unlock()
	if !isSilent || !n.isNextRecordOverdue(ctx, newest, at, timeout) {
		return ownerCheck{status: ownerAlive}
	}
	return ownerCheck{status: ownerDead, record: newest, end: at + 1}
}
