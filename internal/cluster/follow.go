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

// maxLinkSilence is how long the link to a silent owner is kept as long as the owner's records in
// the store show that it is alive. An owner that is short of processor time answers late, and
// requests in flight then need not be sent again.
const maxLinkSilence = 1200 * time.Millisecond

// reconnectTimeout bounds the attempt to make a new link to an owner that is silent on the old
// one. It is short because a stalled owner does not answer on a new link either.
const reconnectTimeout = 250 * time.Millisecond

// followSession is the state of a node while it follows one owner. Only one goroutine uses it.
type followSession struct {
	node *Node
	// record is the owner's record from the beginning of the session.
	record *owner.Record
	// conn is the link to the owner; it is replaced when it is dead and the owner is alive.
	conn *link.Conn
	// storeCheck receives the result of a check of a silent owner; nil while no check runs.
	storeCheck chan ownerCheck
}

// followOverLink follows an owner over a link: requests are forwarded over it. It returns when the
// link is closed, the owner was replaced or has ended, or the link was silent for maxLinkSilence.
func (n *Node) followOverLink(conn *link.Conn, r *owner.Record) {
	f := &followSession{node: n, record: r, conn: conn}
	n.setOwnerLink(conn, r.Node)
	n.closed.linked(r.Epoch)
	n.options.Log(events.OwnerFollowed, "owner", r.Node, "epoch", r.Epoch)
	n.sendFollowerHeartbeat()
	defer func() { f.conn.Close() }()
	defer n.setOwnerLink(nil, "")
	ticks, stop := n.options.Clock.Subscribe(electionInterval)
	defer stop()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	for f.step(ticks) && n.silentFor() <= maxLinkSilence {
		f.checkIfSilent(ctx)
	}
}

// step waits for one event and handles it. It reports whether the session continues.
func (f *followSession) step(ticks <-chan time.Time) bool {
	select {
	case <-f.node.ctx.Done():
		return false
	case <-f.conn.Done():
		f.linkClosed()
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

// linkClosed records that the link was closed: by the owner's node, unless the owner was silent before.
func (f *followSession) linkClosed() {
	if !f.node.isOwnerSilent() {
		f.node.closed.linkClosed(f.record.Epoch)
	}
}

// handleClaimRequest claims the shard if the request names the epoch of this owner, which has then
// stopped. A request with another epoch was sent by a previous owner and is ignored. It reports
// whether it claimed.
func (f *followSession) handleClaimRequest(epoch uint64) bool {
	if epoch != f.record.Epoch {
		return false
	}
	f.node.claimAfterHandover(f.record)
	return true
}

// applyCheck acts on the result of a check of the owner, and reports whether the session continues.
func (f *followSession) applyCheck(found ownerCheck) bool {
	switch found.status {
	case ownerReplaced:
		return false
	case ownerDead:
		f.conn.Close()
		f.node.setOwnerLink(nil, "")
		f.node.claim(found.record, found.end, false)
		return false
	case ownerReconnected:
		f.reconnect(found.conn)
	case ownerAlive:
	}
	return true
}

// reconnect continues the session over a new link.
func (f *followSession) reconnect(conn *link.Conn) {
	n := f.node
	n.options.Log(events.OwnerFollowed, "owner", f.record.Node, "epoch", f.record.Epoch, "silent", n.silentFor())
	old := f.conn
	f.conn = conn
	n.setOwnerLink(conn, f.record.Node)
	n.sendFollowerHeartbeat()
	// Requests in flight on the old link fail now and are sent again over the new one.
	old.Close()
}

// checkIfSilent starts a check of the owner if it is silent and no check runs. The check ends with
// ctx.
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

// setOwnerLink sets the link to the owner and the owner's name; nil means that this node follows no
// owner.
func (n *Node) setOwnerLink(c *link.Conn, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerLink != nil {
		n.ownerLostAt = n.options.Clock.Now()
	}
	n.ownerLink, n.ownerName = c, name
	if c != nil {
		n.detector.reset(n.options.Clock.Now())
	}
	n.notifyOwnerChange()
}

// notifyOwnerChange wakes the requests that wait for an owner. The caller holds mu.
func (n *Node) notifyOwnerChange() {
	close(n.ownerChanged)
	n.ownerChanged = make(chan struct{})
}

func (n *Node) isOwnerSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.detector.isSilent(n.options.Clock.Now())
}

// silentFor returns how long ago the owner's last heartbeat was received.
func (n *Node) silentFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Clock.Now().Sub(n.detector.heardAt)
}

// claimAfterHandover claims the shard from an owner that has stopped and handed over, unless
// another node has claimed it already.
func (n *Node) claimAfterHandover(r *owner.Record) {
	newest, at, err := owner.ReadRecord(n.ctx, n.log)
	if err != nil || newest == nil || newest.Epoch != r.Epoch {
		return
	}
	n.closed.linkClosed(newest.Epoch)
	n.claim(newest, at+1, true)
}

// ownerStatus is the result of a check of a silent owner.
type ownerStatus string

const (
	// ownerAlive means that the store still receives records of the owner, or that the store does
	// not answer: without the store no node can claim the shard.
	ownerAlive ownerStatus = "lives"
	// ownerDead means that the owner's next record in the store is overdue.
	ownerDead ownerStatus = "dead"
	// ownerReconnected means that the owner is alive and accepted a new link, so the old link is
	// dead.
	ownerReconnected ownerStatus = "relinked"
	// ownerReplaced means that a later owner has claimed the shard.
	ownerReplaced ownerStatus = "replaced"
)

// ownerCheck is the outcome of a check of a silent owner.
type ownerCheck struct {
	status ownerStatus
	// record is the newest record of a dead owner. end is the offset after it, at which a claim is
	// appended; both are only set with ownerDead.
	record *owner.Record
	end    uint64
	// conn is the new link; it is only set with ownerReconnected.
	conn *link.Conn
}

// runOwnerCheck finds out from the store whether a silent owner is alive, and sends the result.
// Meanwhile requests in flight over the link are not aborted, because a stalled owner still answers
// them once it runs again.
func (n *Node) runOwnerCheck(ctx context.Context, r *owner.Record, answer chan<- ownerCheck) {
	defer n.wg.Done()
	s := n.checkOwnerInStore(ctx, r)
	if s.status == ownerAlive && n.isOwnerSilent() {
		// The TCP connection may be broken without a reset while new connections work.
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

// checkOwnerInStore finds out from the store whether an owner is alive, dead or replaced. If
// needed, it waits for the owner's next record until that is overdue.
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
