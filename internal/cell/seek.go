// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
)

const (
	// dialTimeout bounds connecting to a node: one region is milliseconds wide.
	dialTimeout = 500 * time.Millisecond
	// seekPause is the time between two looks for the owner.
	seekPause = 80 * time.Millisecond
	// longestPause is that while the store does not answer: each call has a price.
	longestPause = 500 * time.Millisecond
	// staleDialTimeout is that for an owner whose record is old: a node that lives
	// answers within some tens of milliseconds.
	staleDialTimeout = 60 * time.Millisecond
	// weakDelay is how long the weakest node leaves claims to stronger ones: the
	// time that those need to find out that there is no owner.
	weakDelay = 300 * time.Millisecond
	// equalStrength is the lack of strength that does not count.
	equalStrength = 0.1
	// usualStrength is the strength of a strong node, in processors.
	usualStrength = 0.8
)

// runSeeker finds the owner, follows it, and claims the shard when there is none.
func (n *Node) runSeeker() {
	defer n.wg.Done()
	isOut := false
	pause := seekPause
	for n.ctx.Err() == nil {
		r, at, err := n.readRecord()
		if err != nil {
			if !isOut && n.ctx.Err() == nil {
				n.options.Log(events.StoreFailed, "what", "read of the owner", "err", err)
			}
			isOut = true
			n.followLast()
			pause = min(2*pause, longestPause)
			n.sleep(pause)
			continue
		}
		isOut, pause = false, seekPause
		n.last = r
		n.act(r, at)
	}
}

// followLast follows the owner that was known last, when the store does not say
// who it is now.
func (n *Node) followLast() {
	if n.last != nil && n.last.Node != n.options.Name {
		if conn, _ := n.reach(n.last, dialTimeout); conn != nil {
			n.stay(conn, n.last)
		}
	}
}

// readRecord reads the record of the owner and takes the time of the answer.
func (n *Node) readRecord() (*owner.Record, uint64, error) {
	began := n.options.Clock.Now()
	r, at, err := owner.ReadRecord(n.ctx, n.log)
	n.answerTime = n.options.Clock.Now().Sub(began)
	if err == nil {
		n.detour.ObserveLatency(n.answerTime)
	}
	return r, at, err
}

// act does what the record of the owner asks for.
func (n *Node) act(r *owner.Record, at uint64) {
	switch {
	case r == nil:
		n.claim(nil, at, false)
	case r.Node == n.options.Name && r.Incarnation == n.options.Life && r.Epoch > n.claimed:
		// The answer to this node's claim was lost.
		n.become(owner.Claim{Record: *r, Offset: at, Previous: r, HasAllPlacements: !r.MayHaveUnpersisted})
	case r.Node == n.options.Name:
		n.claim(r, at+1, true)
	default:
		n.follow(r, at)
	}
}

// claim tries to become the owner if the topic still ends there. isOver means that
// the earlier owner has certainly stopped.
func (n *Node) claim(earlier *owner.Record, end uint64, isOver bool) {
	if n.mayNotClaim() {
		n.sleep(seekPause)
		return
	}
	if d := n.claimDelay(earlier); d > 0 {
		n.sleep(d)
	}
	r := owner.Record{
		Node: n.options.Name, Addr: n.options.AdvertiseAddr, Incarnation: n.options.Life, Epoch: end + 1, SentAt: n.options.Clock.TimeOfDay(),
		MaxStrength: n.strongestKnown(), MayHaveUnpersisted: !n.isExact(earlier),
	}
	if earlier != nil {
		// Stronger nodes may not be linked yet.
		r.MaxStrength, r.ListedWorkers = max(r.MaxStrength, earlier.MaxStrength), earlier.ListedWorkers
	}
	at, err := owner.AppendRecord(n.ctx, n.log, &r, end)
	if err != nil {
		n.options.Log(events.ClaimRefused, "epoch", r.Epoch, "err", err)
		if store.FailureOf(err) != store.ConditionFailed {
			n.sleep(seekPause)
		}
		return
	}
	n.become(owner.Claim{Record: r, Offset: at, Previous: earlier, HasAllPlacements: !r.MayHaveUnpersisted, HasPreviousEnded: isOver})
}

const (
	// exactAge is the age of an owner's record up to which that owner has not run ahead
	// of the store without a mark in it. What is left to owner.PlainAge is for clocks
	// of nodes that differ, and for a beat's way.
	exactAge = owner.MinUnflaggedAge - clockSlack
	// clockSlack is how far clocks of nodes that are alike may differ.
	clockSlack = 300 * time.Millisecond
)

// isExact reports whether an earlier owner has kept the place of each task that
// it started. Its last record must have no mark and be young, by its beats on this
// node's clock and by the time of day: a beat may have been held up on its way, and
// the time of day may have been set. A node that heard no beat cannot tell.
func (n *Node) isExact(earlier *owner.Record) bool {
	if earlier == nil {
		return true
	}
	now := n.options.Clock.Now()
	age := earlier.Age(n.options.Clock.TimeOfDay())
	n.mu.Lock()
	defer n.mu.Unlock()
	heard, isHeard := n.watch.plainAge(now, earlier)
	isYoung := isHeard && heard < exactAge && age < exactAge && age > -clockSlack
	return isYoung && !earlier.MayHaveUnpersisted && n.unloggedEpoch != earlier.Epoch
}

// claimDelay is how long a weak node leaves the shard to stronger ones, by the
// earlier owner's record. Where there was none, a node takes most nodes to be
// stronger than a small one.
func (n *Node) claimDelay(earlier *owner.Record) time.Duration {
	strongest := usualStrength
	if earlier != nil && earlier.MaxStrength > 0 {
		strongest = earlier.MaxStrength
	}
	lack := 1 - n.options.Strength/strongest
	if lack < equalStrength {
		return 0
	}
	return time.Duration(lack * float64(weakDelay))
}

func (n *Node) mayNotClaim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLeaving || n.isYielding || n.options.Clock.Now().Before(n.noClaimUntil)
}

// ownerGCPercent makes the collector of an owner run a third as often as usual: its
// processor time is scarcer than its memory, which a limit bounds.
const ownerGCPercent = 300

// become runs the owner until it ends.
func (n *Node) become(c owner.Claim) {
	workers, list := n.options.NewOwner(n.detour)
	o := owner.New(owner.Options{
		Claim: c, Store: n.options.NewStore(n.detour), Workers: workers, List: list, PermissionChannels: &lanes{n},
		Clock: n.options.Clock, Log: n.options.Log, Metrics: n.options.Metrics, HasStoreOutage: n.detour.HasOutage, NodeZone: n.options.Zone,
		StopTime: n.options.StopTime, Heartbeat: n.options.Heartbeat, MaxStrength: n.strongestKnown,
		Delegates: &carriers{n}, DirectWorkers: n.options.Carries,
	})
	n.mu.Lock()
	n.claimed = c.Record.Epoch
	n.owner = o
	n.fitness.ownedAt = n.options.Clock.Now()
	n.signal()
	version, policy := n.configVersion, n.policy
	n.mu.Unlock()
	n.options.Log(events.ShardOwned, "epoch", c.Record.Epoch, "from", earlierNode(&c))
	o.SetPolicy(version, policy)
	usual := debug.SetGCPercent(ownerGCPercent)
	err := o.Run(n.ctx)
	debug.SetGCPercent(usual)
	n.mu.Lock()
	n.owner = nil
	n.lostAt = n.options.Clock.Now()
	n.noClaimUntil = n.lostAt.Add(n.options.HolderPause)
	n.signal()
	isHandingOver := n.isLeaving || n.isYielding
	n.mu.Unlock()
	n.options.Log(events.ShardDropped, "epoch", c.Record.Epoch, "err", err)
	if !isHandingOver {
		n.peers.closeAll()
	}
}

func earlierNode(c *owner.Claim) string {
	if c.Previous == nil {
		return ""
	}
	return c.Previous.Node
}

// follow passes requests to the owner until it is gone.
func (n *Node) follow(r *owner.Record, at uint64) {
	isStale := r.Age(n.options.Clock.TimeOfDay()) > staleAge
	timeout := dialTimeout
	if isStale {
		timeout = staleDialTimeout
	}
	conn, end := n.reach(r, timeout)
	switch {
	case end != notEnded:
		n.options.Log(events.PeerEnded, "peer", r.Node, "epoch", r.Epoch, "how", end)
		n.claim(r, at+1, end == endedForSure)
	case conn == nil && isStale:
		n.claimIfDead(r, at, 0)
	case conn == nil:
		n.claimIfDead(r, at, owner.HeartbeatPeriod+recordSlack+slowAnswers*n.answerTime)
	default:
		n.stay(conn, r)
	}
}

// ending is what is known of the end of an owner's process.
type ending string

const (
	notEnded ending = ""
	// endedRefused means that nothing listens there, or the network says so.
	endedRefused ending = "connection refused"
	// endedForSure means that another process has its name.
	endedForSure ending = "another process answers"
)

// reach links to the owner, or finds that its process has ended.
func (n *Node) reach(r *owner.Record, timeout time.Duration) (*link.Conn, ending) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	conn, err := link.Dial(ctx, r.Addr, n)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, endedRefused
	}
	if err != nil {
		return nil, notEnded
	}
	w := &welcome{}
	if err := conn.Call(ctx, kindHello, n.hello(), w); err != nil {
		conn.Close()
		return nil, notEnded
	}
	if w.IsOwner && w.Epoch == r.Epoch {
		return conn, notEnded
	}
	conn.Close()
	if w.Life != r.Incarnation {
		return nil, endedForSure
	}
	return nil, notEnded
}

func (n *Node) hello() hello {
	return hello{
		Name: n.options.Name, Zone: n.options.Zone, Addr: n.options.AdvertiseAddr, Life: n.options.Life,
		Age: n.options.Clock.Now().Sub(n.startedAt), Strength: n.options.Strength, Workers: n.carries(),
	}
}

// carries returns how many workers this node can talk to for the owner.
func (n *Node) carries() int {
	if n.carrier == nil {
		return 0
	}
	return n.options.Carries
}

// claimIfDead claims the shard from an owner that this node does not reach,
// unless the store hears of it in time.
func (n *Node) claimIfDead(r *owner.Record, at uint64, patience time.Duration) {
	if n.isDeadByStore(n.ctx, r, at, patience) {
		n.claim(r, at+1, false)
		return
	}
	n.sleep(seekPause)
}

// isDeadByStore reports whether the store gets no further record of the owner for
// as long as patience.
func (n *Node) isDeadByStore(ctx context.Context, r *owner.Record, at uint64, patience time.Duration) bool {
	var records []store.Record
	var err error
	if patience > 0 {
		records, err = n.log.Wait(ctx, owner.TopicOwner, at+1, patience)
	}
	if err != nil || len(records) > 0 {
		return false
	}
	n.options.Log(events.PeerEnded, "peer", r.Node, "epoch", r.Epoch, "beat", r.HeartbeatSeq, "how", "silent", "patience", patience)
	return true
}

// runListener takes links from other nodes.
func (n *Node) runListener() {
	defer n.wg.Done()
	for {
		c, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.sleep(seekPause)
			continue
		}
		conn := link.NewConn(c, n)
		go n.runIncoming(conn)
	}
}

// runIncoming forgets a peer when its link ends.
func (n *Node) runIncoming(conn *link.Conn) {
	select {
	case <-conn.Done():
	case <-n.ctx.Done():
		conn.Close()
	}
	n.peers.remove(conn)
}
