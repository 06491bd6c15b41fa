// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
)

// maxDelegateSilence is the time without a heartbeat after which the owner no longer uses a
// follower as a delegate: two heartbeat periods, plus the delay of a busy node.
const maxDelegateSilence = 600 * time.Millisecond

// delegates are the followers through which the owner on this node can talk to workers.
type delegates struct{ n *Node }

// Usable returns the followers that accept orders and whose heartbeats are recent.
func (c *delegates) Usable() []delegate.Node {
	now := c.n.options.Clock.Now()
	out := []delegate.Node{}
	for _, p := range c.n.peers.usable() {
		if p.hello.Workers > 0 && now.Sub(p.heardAt) <= maxDelegateSilence {
			out = append(out, delegate.Node{Name: p.hello.Name, Zone: p.hello.Zone, LinkID: p.linkID, Capacity: p.hello.Workers})
		}
	}
	return out
}

// Send sends a batch of orders to a follower. It reports false when the follower is not linked or
// the batch was dropped.
func (c *delegates) Send(node string, b *delegate.Batch) bool {
	conn := c.n.peers.linkTo(node)
	return conn != nil && conn.Notify(kindDelegatedOrders, b)
}

// handleDelegatedOrders carries out orders that the owner delegated to this node.
func (n *Node) handleDelegatedOrders(from *link.Conn, body []byte) {
	if n.delegate == nil {
		return
	}
	b := &delegate.Batch{}
	if err := codec.Unmarshal(body, b); err != nil {
		n.options.Log(events.BadFrame, "kind", kindDelegatedOrders, "err", err)
		return
	}
	n.sessionFor(from).Execute(n.ctx, b)
}

// sessionFor returns the delegate session of a link; a link other than the last one gets a new
// session.
func (n *Node) sessionFor(from *link.Conn) *delegate.Session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delegateSession == nil || n.delegateLink != from {
		n.delegateLink = from
		n.delegateSession = n.delegate.NewSession(func(o []delegate.Outcome) { from.Notify(kindOutcomes, o) })
	}
	return n.delegateSession
}

// handleOutcomes passes the outcomes of delegated orders to the owner on this node.
func (n *Node) handleOutcomes(body []byte) {
	outcomes := []delegate.Outcome{}
	if err := codec.Unmarshal(body, &outcomes); err != nil {
		n.options.Log(events.BadFrame, "kind", kindOutcomes, "err", err)
		return
	}
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if o != nil {
		o.HandleOutcomes(outcomes)
	}
}
