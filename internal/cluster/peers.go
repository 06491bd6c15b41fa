// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

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
	// maxPeerSilence is how long after its last heartbeat a follower is still used.
	maxPeerSilence = 1500 * time.Millisecond
	// maxSilentHeartbeats is how many of this node's own heartbeats in a row may pass without a byte
	// of the follower until its link is closed. They are counted, and no time is measured, because
	// this node hears nobody while it is kept from running itself.
	maxSilentHeartbeats = int(maxPeerSilence / ownerHeartbeatPeriod)
	// peerRetention is how long before the store last confirmed the owner a peer must have lost its
	// link so that it no longer counts as known when a majority is determined.
	peerRetention = 8 * time.Second
)

// peer is a node that has made a link to this node while this node was the owner, and so is its
// follower. The term peer is used for its link and reachability.
type peer struct {
	hello hello
	conn  *link.Conn
	// linkID distinguishes the links of this node, also those of one peer.
	linkID uint64
	// startedAt is when the peer's process started, by this node's clock.
	startedAt time.Time
	// heardAt is when its last heartbeat was received, or when it was linked.
	heardAt time.Time
	// isVerified means that the follower has answered a probe that was sent over this link since this process
	// was last paused. isProbing means that a probe is not answered yet.
	isVerified, isProbing bool
	// answeredAt is when the last probe was sent that the follower has answered.
	answeredAt time.Time
	// silentHeartbeats counts this node's heartbeats since something arrived over the link, which had
	// delivered receivedBytes then.
	silentHeartbeats int
	receivedBytes    int64
	// isLeaving means that its process is about to end.
	isLeaving bool
	// isWitness means that it can be a witness.
	isWitness bool
	// isStoreUnavailable means that its last direct read from the store failed.
	isStoreUnavailable bool
}

// peers has the followers that have a link to this node. Only the owner has any: it adds a node that
// says hello on a new link, and closes all these links when it stops. It is safe for concurrent use.
type peers struct {
	clock clock.Service

	mu     sync.Mutex
	byName map[string]*peer
	// lastLinkedAt has, by name, when each peer made its link or, if the link has ended since, when
	// it ended.
	lastLinkedAt map[string]time.Time
	// nextSample rotates the peers that Sample returns.
	nextSample int
	// links counts the links that were made; it provides linkID.
	links uint64
	// ranAt is when this process is last known to have run, which is at most ownerHeartbeatPeriod ago while it
	// is not paused. pauses counts the pauses in which followers may have left this owner; lastPause is the
	// length of the last one until it is logged.
	ranAt     time.Time
	pauses    uint64
	lastPause time.Duration
}

func newPeers(c clock.Service) *peers {
	return &peers{clock: c, byName: map[string]*peer{}, lastLinkedAt: map[string]time.Time{}}
}

// add adds a peer that has made a link. An older link of a peer of that name is closed.
func (p *peers) add(h hello, c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectPause()
	now := p.clock.Now()
	if old := p.byName[h.Name]; old != nil {
		old.conn.Close()
	}
	p.links++
	p.byName[h.Name] = &peer{hello: h, conn: c, linkID: p.links, startedAt: now.Add(-h.Age), heardAt: now}
	p.lastLinkedAt[h.Name] = now
}

// remove removes the peer with that link, if the link has not been replaced.
func (p *peers) remove(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.byName {
		if peer.conn == c {
			delete(p.byName, name)
			p.lastLinkedAt[name] = p.clock.Now()
		}
	}
}

// recordHeartbeat records a heartbeat of the follower with that link.
func (p *peers) recordHeartbeat(c *link.Conn, a followerHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectPause()
	for _, peer := range p.byName {
		if peer.conn == c {
			peer.heardAt, peer.isLeaving, peer.isStoreUnavailable = p.clock.Now(), a.IsLeaving, a.IsStoreUnavailable
		}
	}
}

// setWitness records that the peer with that link can be a witness, and returns its incarnation; "" if there is none.
func (p *peers) setWitness(c *link.Conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.byName {
		if peer.conn == c {
			peer.isWitness = true
			return peer.hello.Incarnation
		}
	}
	return ""
}

// closeSilent closes the links over which nothing arrives any more, and returns the names of their
// followers. It is called with each heartbeat to the followers. Where only the direction to this node
// is silent, a follower has no other way to learn that its requests do not arrive; it then makes a
// new link. A follower whose heartbeat is late behind a long message, or whose last message is still
// being handled here, is not silent.
func (p *peers) closeSilent() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectPause()
	closed := []string{}
	for name, peer := range p.byName {
		if received := peer.conn.ReceivedBytes(); received != peer.receivedBytes || peer.conn.IsHandling() {
			peer.receivedBytes, peer.silentHeartbeats = received, 0
			continue
		}
		peer.silentHeartbeats++
		if peer.silentHeartbeats == maxSilentHeartbeats {
			peer.conn.Close()
			closed = append(closed, name)
		}
	}
	slices.Sort(closed)
	return closed
}

func (p *peers) closeAll() {
	for _, peer := range p.all() {
		peer.conn.Close()
	}
}

// all returns copies of the linked peers, sorted by name.
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

// usable returns the peers whose last heartbeat is recent and that are not about to end.
func (p *peers) usable() []peer {
	now := p.clock.Now()
	return slices.DeleteFunc(p.all(), func(q peer) bool { return now.Sub(q.heardAt) > maxPeerSilence || q.isLeaving })
}

// maxKnownStrength returns the highest strength of this node and its usable peers.
func (n *Node) maxKnownStrength() float64 {
	strongest := n.options.Strength
	for _, p := range n.peers.usable() {
		strongest = max(strongest, p.hello.Strength)
	}
	return strongest
}

// withStore returns the usable peers that can read from the store directly, by their last
// heartbeats.
func (p *peers) withStore() []peer {
	return slices.DeleteFunc(p.usable(), func(q peer) bool { return q.isStoreUnavailable })
}

// successorCandidates returns the peers that could own the shard, the strongest first. Of peers of
// equal strength the one whose process started last comes first.
func (p *peers) successorCandidates() []peer {
	out := p.withStore()
	slices.SortFunc(out, func(a, b peer) int {
		if c := cmp.Compare(b.hello.Strength, a.hello.Strength); c != 0 {
			return c
		}
		return b.startedAt.Compare(a.startedAt)
	})
	return out
}

// Sample returns the names of up to n peers through which requests to the store can be sent. Package
// fallback sends a request through them when the direct request from this node fails or is slow.
// Sample prefers peers that can read from the store, and returns strong peers before weak ones.
// Successive calls rotate through the peers of each group.
func (p *peers) Sample(n int) []string {
	usable := p.withStore()
	if len(usable) == 0 {
		usable = p.usable()
	}
	if len(usable) == 0 {
		return nil
	}
	strongest := slices.MaxFunc(usable, func(a, b peer) int { return cmp.Compare(a.hello.Strength, b.hello.Strength) }).hello.Strength
	isWeak := func(q peer) bool { return q.hello.Strength < (1-strengthTolerance)*strongest }
	strong := slices.DeleteFunc(slices.Clone(usable), isWeak)
	weak := slices.DeleteFunc(usable, func(q peer) bool { return !isWeak(q) })
	p.mu.Lock()
	p.nextSample++
	first := p.nextSample
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

// IsMajority reports whether this node and its verified peers are the majority of the nodes that this
// one has known since asOf, the last time at which the store is known to have named it as the owner.
// Nodes that were lost after that are counted however long ago it is: a node that is cut off from
// all others must not become the majority of the nodes that it still remembers. minNodes is at least
// how many there are.
func (p *peers) IsMajority(asOf time.Time, minNodes int) bool {
	return 2*p.linked() > max(p.known(asOf), minNodes)
}

// majorityAnsweredAt returns when the last probes were sent that most nodes, as IsMajority counts them,
// have answered, this node included: each of them followed this one at that time or later. It returns
// zero if there were none.
func (p *peers) majorityAnsweredAt(asOf time.Time, minNodes int) time.Time {
	others := max(p.known(asOf), minNodes) / 2
	if others == 0 {
		return p.clock.Now()
	}
	answered := p.all()
	if len(answered) < others {
		return time.Time{}
	}
	slices.SortFunc(answered, func(a, b peer) int { return b.answeredAt.Compare(a.answeredAt) })
	return answered[others-1].answeredAt
}

// linked returns the number of this node and its usable peers that are verified.
func (p *peers) linked() int {
	p.mu.Lock()
	p.detectPause()
	p.mu.Unlock()
	linked := 1
	for _, q := range p.usable() {
		if q.isVerified {
			linked++
		}
	}
	return linked
}

// known returns the number of nodes that this one has known since asOf: itself, its linked peers, and
// the peers whose links ended after peerRetention before asOf.
func (p *peers) known(asOf time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := len(p.byName) + 1
	for name, at := range p.lastLinkedAt {
		if p.byName[name] == nil && asOf.Sub(at) < peerRetention {
			known++
		}
	}
	return known
}

// linkTo returns the link to a peer, nil when there is none.
func (p *peers) linkTo(name string) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byName[name]; peer != nil {
		return peer.conn
	}
	return nil
}

// errPeerNotLinked means that there is no link to the peer, so that nothing was sent.
var errPeerNotLinked = errors.New("cluster: no link to the peer")

// Via sends a request to the store through a peer. An *UnsentError means that the request did not
// reach the store; after any other error, the store may have carried it out.
func (p *peers) Via(ctx context.Context, name string, r *fallback.Request) (*fallback.Response, error) {
	conn := p.linkTo(name)
	if conn == nil {
		return nil, &fallback.UnsentError{Err: errPeerNotLinked}
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
