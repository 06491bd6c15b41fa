// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

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
	electionInterval = 80 * time.Millisecond
	// longestPause is that while the store does not answer: each call has a price.
	maxElectionInterval = 500 * time.Millisecond
	// staleDialTimeout is that for an owner whose record is old: a node that lives
	// answers within some tens of milliseconds.
	staleDialTimeout = 60 * time.Millisecond
	// weakDelay is how long the weakest node leaves claims to stronger ones: the
	// time that those need to find out that there is no owner.
	maxClaimDelay = 300 * time.Millisecond
	// equalStrength is the lack of strength that does not count.
	strengthTolerance = 0.1
	// usualStrength is the strength of a strong node, in processors.
	defaultStrength = 0.8
)

// runSeeker finds the owner, follows it, and claims the shard when there is none.
func (n *Node) runElection() {
	defer n.wg.Done()
	isStoreDown := false
	interval := electionInterval
	for n.ctx.Err() == nil {
		r, at, err := n.readRecord()
		if err != nil {
			if !isStoreDown && n.ctx.Err() == nil {
				n.options.Log(events.StoreFailed, "what", "read of the owner", "err", err)
			}
			isStoreDown = true
			n.followLastKnown()
			interval = min(2*interval, maxElectionInterval)
			n.sleep(interval)
			continue
		}
		isStoreDown, interval = false, electionInterval
		n.lastRecord = r
		n.handleRecord(r, at)
	}
}

// followLast follows the owner that was known last, when the store does not say
// who it is now.
func (n *Node) followLastKnown() {
	if n.lastRecord != nil && n.lastRecord.Node != n.options.Name {
		if conn, _ := n.connect(n.lastRecord, dialTimeout); conn != nil {
			n.followOverLink(conn, n.lastRecord)
		}
	}
}

// readRecord reads the record of the owner and takes the time of the answer.
func (n *Node) readRecord() (*owner.Record, uint64, error) {
	began := n.options.Clock.Now()
	r, at, err := owner.ReadRecord(n.ctx, n.log)
	n.storeLatency = n.options.Clock.Now().Sub(began)
	if err == nil {
		n.detour.Observe(n.storeLatency)
	}
	return r, at, err
}

// act does what the record of the owner asks for.
func (n *Node) handleRecord(r *owner.Record, at uint64) {
	switch {
	case r == nil:
		n.claim(nil, at, false)
	case r.Node == n.options.Name && r.Incarnation == n.options.Incarnation && r.Epoch > n.lastOwnedEpoch:
		// The answer to this node's claim was lost.
		n.runOwner(owner.Claim{Record: *r, Offset: at, Previous: r, HasAllPlacements: !r.MayHaveUnpersisted})
	case r.Node == n.options.Name:
		n.claim(r, at+1, true)
	default:
		n.followOrClaim(r, at)
	}
}

// claim tries to become the owner if the topic still ends there. isOver means that
// the earlier owner has certainly stopped.
func (n *Node) claim(previous *owner.Record, end uint64, hasEnded bool) {
	if n.isClaimBlocked() {
		n.sleep(electionInterval)
		return
	}
	if d := n.claimDelay(previous); d > 0 {
		n.sleep(d)
	}
	r := owner.Record{
		Node: n.options.Name, Addr: n.options.AdvertiseAddr, Incarnation: n.options.Incarnation, Epoch: end + 1, SentAt: n.options.Clock.TimeOfDay(),
		MaxStrength: n.maxKnownStrength(), MayHaveUnpersisted: !n.hasAllPlacements(previous),
	}
	if previous != nil {
		// Stronger nodes may not be linked yet.
		r.MaxStrength, r.ListedWorkers = max(r.MaxStrength, previous.MaxStrength), previous.ListedWorkers
	}
	at, err := owner.AppendRecord(n.ctx, n.log, &r, end)
	if err != nil {
		n.options.Log(events.ClaimRefused, "epoch", r.Epoch, "err", err)
		if store.FailureOf(err) != store.ConditionFailed {
			n.sleep(electionInterval)
		}
		return
	}
	n.runOwner(owner.Claim{Record: r, Offset: at, Previous: previous, HasAllPlacements: !r.MayHaveUnpersisted, HasPreviousEnded: hasEnded})
}

const (
	// exactAge is the age of an owner's record up to which that owner has not run ahead
	// of the store without a mark in it. What is left to owner.PlainAge is for clocks
	// of nodes that differ, and for a beat's way.
	maxUnflaggedAge = owner.MinUnflaggedAge - maxClockSkew
	// clockSlack is how far clocks of nodes that are alike may differ.
	maxClockSkew = 300 * time.Millisecond
)

// isExact reports whether an earlier owner has kept the place of each task that
// it started. Its last record must have no mark and be young, by its beats on this
// node's clock and by the time of day: a beat may have been held up on its way, and
// the time of day may have been set. A node that heard no beat cannot tell.
func (n *Node) hasAllPlacements(previous *owner.Record) bool {
	if previous == nil {
		return true
	}
	now := n.options.Clock.Now()
	age := previous.Age(n.options.Clock.TimeOfDay())
	n.mu.Lock()
	defer n.mu.Unlock()
	unflaggedAge, isAgeKnown := n.detector.unflaggedAge(now, previous)
	isRecent := isAgeKnown && unflaggedAge < maxUnflaggedAge && age < maxUnflaggedAge && age > -maxClockSkew
	return isRecent && !previous.MayHaveUnpersisted && n.unpersistedEpoch != previous.Epoch
}

// claimDelay is how long a weak node leaves the shard to stronger ones, by the
// earlier owner's record. Where there was none, a node takes most nodes to be
// stronger than a small one.
func (n *Node) claimDelay(previous *owner.Record) time.Duration {
	strongest := defaultStrength
	if previous != nil && previous.MaxStrength > 0 {
		strongest = previous.MaxStrength
	}
	lack := 1 - n.options.Strength/strongest
	if lack < strengthTolerance {
		return 0
	}
	return time.Duration(lack * float64(maxClaimDelay))
}

func (n *Node) isClaimBlocked() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLeaving || n.isUnfitHandover || n.options.Clock.Now().Before(n.noClaimUntil)
}

// ownerGCPercent makes the collector of an owner run a third as often as usual: its
// processor time is scarcer than its memory, which a limit bounds.
const ownerGCPercent = 300

// become runs the owner until it ends.
func (n *Node) runOwner(c owner.Claim) {
	workers, list := n.options.NewOwner(n.detour)
	o := owner.New(owner.Options{
		Claim: c, Store: n.options.NewStore(n.detour), Workers: workers, List: list, PermissionChannels: &permissionChannels{n},
		Clock: n.options.Clock, Log: n.options.Log, Metrics: n.options.Metrics, HasStoreOutage: n.detour.HasOutage, NodeZone: n.options.Zone,
		StopTime: n.options.StopTime, Heartbeat: n.options.Heartbeat, MaxStrength: n.maxKnownStrength,
		Delegates: &delegates{n}, DirectWorkers: n.options.MaxWorkers,
	})
	n.mu.Lock()
	n.lastOwnedEpoch = c.Record.Epoch
	n.owner = o
	n.fitness.ownedAt = n.options.Clock.Now()
	n.notifyOwnerChange()
	version, policy := n.configVersion, n.policy
	n.mu.Unlock()
	n.options.Log(events.ShardOwned, "epoch", c.Record.Epoch, "from", previousNode(&c))
	o.SetPolicy(version, policy)
	normalPercent := debug.SetGCPercent(ownerGCPercent)
	err := o.Run(n.ctx)
	debug.SetGCPercent(normalPercent)
	n.mu.Lock()
	n.owner = nil
	n.ownerLostAt = n.options.Clock.Now()
	n.noClaimUntil = n.ownerLostAt.Add(n.options.ReclaimDelay)
	n.notifyOwnerChange()
	isHandingOver := n.isLeaving || n.isUnfitHandover
	n.mu.Unlock()
	n.options.Log(events.ShardDropped, "epoch", c.Record.Epoch, "err", err)
	if !isHandingOver {
		n.peers.closeAll()
	}
}

func previousNode(c *owner.Claim) string {
	if c.Previous == nil {
		return ""
	}
	return c.Previous.Node
}

// follow passes requests to the owner until it is gone.
func (n *Node) followOrClaim(r *owner.Record, at uint64) {
	isStale := r.Age(n.options.Clock.TimeOfDay()) > staleRecordAge
	timeout := dialTimeout
	if isStale {
		timeout = staleDialTimeout
	}
	conn, end := n.connect(r, timeout)
	switch {
	case end != notEnded:
		n.options.Log(events.PeerEnded, "peer", r.Node, "epoch", r.Epoch, "how", end)
		n.claim(r, at+1, end == endedReplaced)
	case conn == nil && isStale:
		n.claimIfRecordOverdue(r, at, 0)
	case conn == nil:
		n.claimIfRecordOverdue(r, at, owner.HeartbeatPeriod+recordTolerance+storeLatencyFactor*n.storeLatency)
	default:
		n.followOverLink(conn, r)
	}
}

// ending is what is known of the end of an owner's process.
type processEnd string

const (
	notEnded processEnd = ""
	// endedRefused means that nothing listens there, or the network says so.
	endedConnectionRefused processEnd = "connection refused"
	// endedForSure means that another process has its name.
	endedReplaced processEnd = "another process answers"
)

// reach links to the owner, or finds that its process has ended.
func (n *Node) connect(r *owner.Record, timeout time.Duration) (*link.Conn, processEnd) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	conn, err := link.Dial(ctx, r.Addr, n)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, endedConnectionRefused
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
	if w.Incarnation != r.Incarnation {
		return nil, endedReplaced
	}
	return nil, notEnded
}

func (n *Node) hello() hello {
	return hello{
		Name: n.options.Name, Zone: n.options.Zone, Addr: n.options.AdvertiseAddr, Incarnation: n.options.Incarnation,
		Age: n.options.Clock.Now().Sub(n.startedAt), Strength: n.options.Strength, Workers: n.delegateCapacity(),
	}
}

// carries returns how many workers this node can talk to for the owner.
func (n *Node) delegateCapacity() int {
	if n.delegate == nil {
		return 0
	}
	return n.options.MaxWorkers
}

// claimIfDead claims the shard from an owner that this node does not reach,
// unless the store hears of it in time.
func (n *Node) claimIfRecordOverdue(r *owner.Record, at uint64, timeout time.Duration) {
	if n.isNextRecordOverdue(n.ctx, r, at, timeout) {
		n.claim(r, at+1, false)
		return
	}
	n.sleep(electionInterval)
}

// isDeadByStore reports whether the store gets no further record of the owner for
// as long as patience.
func (n *Node) isNextRecordOverdue(ctx context.Context, r *owner.Record, at uint64, timeout time.Duration) bool {
	var records []store.Record
	var err error
	if timeout > 0 {
		records, err = n.log.Wait(ctx, owner.TopicOwner, at+1, timeout)
	}
	if err != nil || len(records) > 0 {
		return false
	}
	n.options.Log(events.PeerEnded, "peer", r.Node, "epoch", r.Epoch, "beat", r.HeartbeatSeq, "how", "silent", "patience", timeout)
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
			n.sleep(electionInterval)
			continue
		}
		conn := link.NewConn(c, n)
		go n.runPeerLink(conn)
	}
}

// runIncoming forgets a peer when its link ends.
func (n *Node) runPeerLink(conn *link.Conn) {
	select {
	case <-conn.Done():
	case <-n.ctx.Done():
		conn.Close()
	}
	n.peers.remove(conn)
}
