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
const linkSilence = 1200 * time.Millisecond

// relinkTimeout bounds the try of a new link to an owner that is silent on the old
// one: a stalled owner does not answer it either.
const relinkTimeout = 250 * time.Millisecond

// following is the time for which a node follows an owner. One goroutine uses it.
type following struct {
	node *Node
	// record is the owner's, as it was when the following began.
	record *owner.Record
	// conn is the link to the owner; another takes its place when it is dead.
	conn *link.Conn
	// asked brings the store's word on a silent owner; nil while nobody asks.
	asked chan ownerState
}

// stay passes requests on over the link while the owner's beats come.
func (n *Node) stay(conn *link.Conn, r *owner.Record) {
	f := &following{node: n, record: r, conn: conn}
	n.setOwnerLink(conn)
	n.options.Log(events.OwnerFollowed, "owner", r.Node, "epoch", r.Epoch)
	n.sendAlive()
	defer func() { f.conn.Close() }()
	defer n.setOwnerLink(nil)
	ticks, stop := n.options.Clock.Subscribe(seekPause)
	defer stop()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	for f.step(ticks) && n.silence() <= linkSilence {
		f.askIfSilent(ctx)
	}
}

// step waits until something happens, and reports whether the owner is still
// followed after it.
func (f *following) step(ticks <-chan time.Time) bool {
	select {
	case <-f.node.ctx.Done():
		return false
	case <-f.conn.Done():
		return false
	case epoch := <-f.node.takeOver:
		return !f.takeOver(epoch)
	case found := <-f.asked:
		f.asked = nil
		return f.heed(found)
	case <-ticks:
		return true
	}
}

// takeOver claims the shard when it is this owner that has stopped; calls to take
// over from an earlier one come late.
func (f *following) takeOver(epoch uint64) bool {
	if epoch != f.record.Epoch {
		return false
	}
	f.node.claimAfter(f.record)
	return true
}

// heed does what the store's word asks for, and reports whether the owner is still
// followed.
func (f *following) heed(found ownerState) bool {
	switch found.word {
	case ownerReplaced:
		return false
	case ownerDead:
		f.conn.Close()
		f.node.setOwnerLink(nil)
		f.node.claim(found.record, found.end, false)
		return false
	case ownerRelinked:
		f.relink(found.conn)
	case ownerLives:
	}
	return true
}

// relink goes on over a new link.
func (f *following) relink(conn *link.Conn) {
	n := f.node
	n.options.Log(events.OwnerFollowed, "owner", f.record.Node, "epoch", f.record.Epoch, "silent", n.silence())
	f.conn.Close()
	f.conn = conn
	n.setOwnerLink(conn)
	n.sendAlive()
}

// askIfSilent begins to ask the store about an owner that is silent; ctx ends that.
func (f *following) askIfSilent(ctx context.Context) {
	n := f.node
	if f.asked != nil || !n.isOwnerSilent() {
		return
	}
	n.options.Log(events.PeerSuspected, "peer", f.record.Node, "epoch", f.record.Epoch, "silent", n.silence())
	f.asked = make(chan ownerState)
	n.wg.Add(1)
	go n.runQuestion(ctx, f.record, f.asked)
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

// ownerWord is what the store says of an owner.
type ownerWord string

const (
	// ownerLives means that it still gets records of it, or does not answer.
	ownerLives ownerWord = "lives"
	// ownerDead means that its next record is overdue.
	ownerDead ownerWord = "dead"
	// ownerRelinked means that it lives and took a new link: the old one is dead.
	ownerRelinked ownerWord = "relinked"
	// ownerReplaced means that a later owner has claimed the shard.
	ownerReplaced ownerWord = "replaced"
)

// ownerState is the store's word on a silent owner.
type ownerState struct {
	word ownerWord
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
func (n *Node) runQuestion(ctx context.Context, r *owner.Record, answer chan<- ownerState) {
	defer n.wg.Done()
	s := n.askStore(ctx, r)
	if s.word == ownerLives && n.isOwnerSilent() {
		// A connection may be dead without a word, while new ones work.
		if conn, _ := n.reach(r, relinkTimeout); conn != nil {
			s.word, s.conn = ownerRelinked, conn
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

func (n *Node) askStore(ctx context.Context, r *owner.Record) ownerState {
	began := n.options.Clock.Now()
	newest, at, err := owner.ReadRecord(ctx, n.log)
	if err != nil || newest == nil {
		return ownerState{word: ownerLives}
	}
	if newest.Epoch != r.Epoch {
		return ownerState{word: ownerReplaced}
	}
	now := n.options.Clock.Now()
	n.mu.Lock()
	isSilent := n.watch.isSilent(now)
	patience := n.watch.patience(now, newest.HeartbeatSeq, now.Sub(began))
	n.mu.Unlock()
	if !isSilent || !n.isDeadByStore(ctx, newest, at, patience) {
		return ownerState{word: ownerLives}
	}
	return ownerState{word: ownerDead, record: newest, end: at + 1}
}
