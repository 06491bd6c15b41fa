// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
)

// carrierSilence is how long a follower may be silent before it carries no more: two
// signs of life and what a busy node is late.
const carrierSilence = 600 * time.Millisecond

// carriers are the followers as an owner sees them that leaves orders to them.
type carriers struct{ n *Node }

// Usable returns the followers that are heard.
func (c *carriers) Usable() []delegate.Node {
	now := c.n.options.Clock.Now()
	out := []delegate.Node{}
	for _, p := range c.n.peers.usable() {
		if p.hello.Workers > 0 && now.Sub(p.heardAt) <= carrierSilence {
			out = append(out, delegate.Node{Name: p.hello.Name, Zone: p.hello.Zone, LinkID: p.number, Capacity: p.hello.Workers})
		}
	}
	return out
}

// Send sends orders to a follower.
func (c *carriers) Send(node string, b *delegate.Batch) bool {
	conn := c.n.peers.find(node)
	return conn != nil && conn.Notify(kindCarry, b)
}

// takeCarry carries out what the owner leaves to this node.
func (n *Node) takeCarry(from *link.Conn, body []byte) {
	if n.carrier == nil {
		return
	}
	b := &delegate.Batch{}
	if err := codec.Unmarshal(body, b); err != nil {
		n.options.Log(events.BadFrame, "kind", kindCarry, "err", err)
		return
	}
	n.session(from).Execute(n.ctx, b)
}

// session returns the session of a link.
func (n *Node) session(from *link.Conn) *delegate.Session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.carrySession == nil || n.carryLink != from {
		n.carryLink = from
		n.carrySession = n.carrier.NewSession(func(o []delegate.Outcome) { from.Notify(kindCarried, o) })
	}
	return n.carrySession
}

// takeCarried takes what became of orders that this owner left to others.
func (n *Node) takeCarried(body []byte) {
	outcomes := []delegate.Outcome{}
	if err := codec.Unmarshal(body, &outcomes); err != nil {
		n.options.Log(events.BadFrame, "kind", kindCarried, "err", err)
		return
	}
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if o != nil {
		o.HandleOutcomes(outcomes)
	}
}
