// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/link"
)

const (
	// peerSilence is how long a follower may be silent before it is not used.
	peerSilence = 1500 * time.Millisecond
	// peerMemory is how long a peer that is no longer linked counts for a majority.
	peerMemory = 8 * time.Second
)

// peer is a follower that is linked to this node.
type peer struct {
	hello hello
	conn  *link.Conn
	// number tells the links of this node apart.
	number uint64
	// bornAt is when its process began.
	bornAt    time.Time
	heardAt   time.Time
	isLeaving bool
	// isTurnedAway means that the store does not serve it.
	isTurnedAway bool
}

// peers are the followers of this node. It is safe for concurrent use.
type peers struct {
	clock clock.Service

	mu     sync.Mutex
	byName map[string]*peer
	// seen is when a peer was linked last, by name.
	seen map[string]time.Time
	next int
	// links counts the links that were made.
	links uint64
}

func newPeers(c clock.Service) *peers {
	return &peers{clock: c, byName: map[string]*peer{}, seen: map[string]time.Time{}}
}

func (p *peers) add(h hello, c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if old := p.byName[h.Name]; old != nil {
		old.conn.Close()
	}
	p.links++
	p.byName[h.Name] = &peer{hello: h, conn: c, number: p.links, bornAt: now.Add(-h.Age), heardAt: now}
	p.seen[h.Name] = now
}

func (p *peers) remove(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.byName {
		if peer.conn == c {
			delete(p.byName, name)
			p.seen[name] = p.clock.Now()
		}
	}
}

func (p *peers) heard(c *link.Conn, a alive) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.byName {
		if peer.conn == c {
			peer.heardAt, peer.isLeaving, peer.isTurnedAway = p.clock.Now(), a.IsLeaving, a.IsTurnedAway
		}
	}
}

func (p *peers) closeAll() {
	for _, peer := range p.all() {
		peer.conn.Close()
	}
}

func (p *peers) all() []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]peer, 0, len(p.byName))
	for _, peer := range p.byName {
		out = append(out, *peer)
	}
	slices.SortFunc(out, func(a, b peer) int { return cmp.Compare(a.hello.Name, b.hello.Name) })
	return out
}

// usable returns the peers that have been heard lately.
func (p *peers) usable() []peer {
	now := p.clock.Now()
	return slices.DeleteFunc(p.all(), func(q peer) bool { return now.Sub(q.heardAt) > peerSilence || q.isLeaving })
}

// strongestKnown returns the strength of the strongest node that is linked, or of
// this one.
func (n *Node) strongestKnown() float64 {
	strongest := n.options.Strength
	for _, p := range n.peers.usable() {
		strongest = max(strongest, p.hello.Strength)
	}
	return strongest
}

// served returns the usable peers that the store serves, as far as they know.
func (p *peers) served() []peer {
	return slices.DeleteFunc(p.usable(), func(q peer) bool { return q.isTurnedAway })
}

// byFitness returns the peers that could own the shard, the strongest first, and
// of those that are alike that which has run for the shortest time.
func (p *peers) byFitness() []peer {
	out := p.served()
	slices.SortFunc(out, func(a, b peer) int {
		if c := cmp.Compare(b.hello.Strength, a.hello.Strength); c != 0 {
			return c
		}
		return b.bornAt.Compare(a.bornAt)
	})
	return out
}

// Sample returns up to n peers to send requests through: such as the store serves,
// if there are any, the strong ones first, and others of these each time.
func (p *peers) Sample(n int) []string {
	usable := p.served()
	if len(usable) == 0 {
		usable = p.usable()
	}
	if len(usable) == 0 {
		return nil
	}
	strongest := slices.MaxFunc(usable, func(a, b peer) int { return cmp.Compare(a.hello.Strength, b.hello.Strength) }).hello.Strength
	isWeak := func(q peer) bool { return q.hello.Strength < (1-equalStrength)*strongest }
	strong := slices.DeleteFunc(slices.Clone(usable), isWeak)
	weak := slices.DeleteFunc(usable, func(q peer) bool { return !isWeak(q) })
	p.mu.Lock()
	p.next++
	first := p.next
	p.mu.Unlock()
	out := []string{}
	for _, group := range [][]peer{strong, weak} {
		for i := range group {
			if len(out) < n {
				out = append(out, group[(first+i)%len(group)].hello.Name)
			}
		}
	}
	return out
}

// IsMajority reports whether this node and its usable peers are most of those
// that were linked lately.
func (p *peers) IsMajority() bool {
	linked := len(p.usable()) + 1
	p.mu.Lock()
	defer p.mu.Unlock()
	known := len(p.byName) + 1
	now := p.clock.Now()
	for name, at := range p.seen {
		if p.byName[name] == nil && now.Sub(at) < peerMemory {
			known++
		}
	}
	return 2*linked > known
}

func (p *peers) find(name string) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byName[name]; peer != nil {
		return peer.conn
	}
	return nil
}

// errNoPeer means that a peer is not linked.
var errNoPeer = errors.New("cell: the peer is not linked")

// Via sends a request to the store through a peer.
func (p *peers) Via(ctx context.Context, name string, r *fallback.Request) (*fallback.Response, error) {
	conn := p.find(name)
	if conn == nil {
		return nil, &fallback.UnsentError{Err: errNoPeer}
	}
	reply := &storeReply{}
	if err := conn.Call(ctx, kindStore, r, reply); err != nil {
		return nil, err
	}
	if reply.Failure != "" {
		err := errors.New(reply.Failure)
		if reply.IsUnsent {
			return nil, &fallback.UnsentError{Err: err}
		}
		return nil, err
	}
	return reply.Response, nil
}
