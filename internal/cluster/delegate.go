// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/carrier"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
)

// carrierSilence is how long a follower may be silent before it carries no more: two
// signs of life and what a busy node is late.
const maxDelegateSilence = 600 * time.Millisecond

// carriers are the followers as an owner sees them that leaves orders to them.
type delegates struct{ n *Node }

// Usable returns the followers that are heard.
func (c *delegates) Usable() []carrier.Node {
	now := c.n.options.Clock.Now()
	out := []carrier.Node{}
	for _, p := range c.n.peers.usable() {
		if p.hello.Workers > 0 && now.Sub(p.heardAt) <= maxDelegateSilence {
			out = append(out, carrier.Node{Name: p.hello.Name, Zone: p.hello.Zone, Link: p.linkID, Workers: p.hello.Workers})
		}
	}
	return out
}

// Send sends orders to a follower.
func (c *delegates) Send(node string, b *carrier.Batch) bool {
	conn := c.n.peers.linkTo(node)
	return conn != nil && conn.Notify(kindDelegatedOrders, b)
}

// takeCarry carries out what the owner leaves to this node.
func (n *Node) handleDelegatedOrders(from *link.Conn, body []byte) {
	if n.delegate == nil {
		return
	}
	b := &carrier.Batch{}
	if err := codec.Unmarshal(body, b); err != nil {
		n.options.Log(events.BadFrame, "kind", kindDelegatedOrders, "err", err)
		return
	}
	n.sessionFor(from).Take(n.ctx, b)
}

// session returns the session of a link.
func (n *Node) sessionFor(from *link.Conn) *carrier.Session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delegateSession == nil || n.delegateLink != from {
		n.delegateLink = from
		n.delegateSession = n.delegate.NewSession(func(o []carrier.Outcome) { from.Notify(kindOutcomes, o) })
	}
	return n.delegateSession
}

// takeCarried takes what became of orders that this owner left to others.
func (n *Node) handleOutcomes(body []byte) {
	outcomes := []carrier.Outcome{}
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
