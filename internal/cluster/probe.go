// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
)

// probePeriod is the time between two probes of a follower while it matters when it last followed this owner.
const probePeriod = 200 * time.Millisecond

// probeTimeout bounds the wait for the answer to a probe. Round trips within a region take milliseconds.
const probeTimeout = 500 * time.Millisecond

// detectPause finds out whether this process was paused for so long that followers may have left it. What they sent before
// then still waits in its sockets and looks new, so none of them counts as linked before it has answered a probe. The
// caller holds mu.
func (p *peers) detectPause() {
	now := p.clock.Now()
	if pause := now.Sub(p.ranAt); pause > ownerSilenceTimeout {
		p.pauses++
		if len(p.byName) > 0 {
			p.lastPause = pause
		}
		for _, peer := range p.byName {
			peer.isVerified = false
		}
	}
	p.ranAt = now
}

// probeRound is what one round of probes is sent for.
type probeRound struct {
	// conns are the links of the peers to probe.
	conns []*link.Conn
	// sentAt is when they are probed.
	sentAt time.Time
	// pauses is how many pauses there were before the probes.
	pauses uint64
	// pause is the length of a pause since the last round; 0 if there was none.
	pause time.Duration
}

// beginProbes returns whom to probe now: the peers that are not verified, and with isDue those that have not
// answered for probePeriod.
func (p *peers) beginProbes(isDue bool) probeRound {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectPause()
	r := probeRound{sentAt: p.clock.Now(), pauses: p.pauses, pause: p.lastPause}
	p.lastPause = 0
	for _, peer := range p.byName {
		isOutdated := isDue && r.sentAt.Sub(peer.answeredAt) >= probePeriod
		if (!peer.isVerified || isOutdated) && !peer.isProbing {
			peer.isProbing = true
			r.conns = append(r.conns, peer.conn)
		}
	}
	return r
}

// endProbe records the outcome of a probe of a round. An answer to one that was sent before the last pause does not prove
// that the peer follows this owner now.
func (p *peers) endProbe(c *link.Conn, r probeRound, isAnswered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectPause()
	for _, peer := range p.byName {
		if peer.conn == c {
			peer.isProbing = false
			peer.isVerified = peer.isVerified || isAnswered && r.pauses == p.pauses
			if isAnswered {
				peer.answeredAt = r.sentAt
			}
		}
	}
}

// probePeers probes the peers from which an answer is needed. It is called with each heartbeat to the followers.
func (n *Node) probePeers(o *owner.Owner) {
	r := n.peers.beginProbes(o.NeedsProbes())
	if r.pause > 0 {
		n.options.Log(events.OwnerPaused, "epoch", o.Epoch(), "pause", r.pause, "probed", len(r.conns))
	}
	for _, c := range r.conns {
		go n.runProbe(c, r)
	}
}

// runProbe asks a follower whether it still follows this owner.
func (n *Node) runProbe(c *link.Conn, r probeRound) {
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	err := c.Call(ctx, kindProbe, empty{}, &ownerReply{})
	n.peers.endProbe(c, r, err == nil)
}

var errNotFollowing = errors.New("cluster: this node does not follow the owner over this link")

// handleProbe confirms that this node follows the owner over a link.
func (n *Node) handleProbe(from *link.Conn) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from != n.ownerLink {
		return nil, errNotFollowing
	}
	return replyFor(nil), nil
}
