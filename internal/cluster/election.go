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
	// dialTimeout bounds connecting to a node. Round trips within a region take milliseconds.
	dialTimeout = 500 * time.Millisecond
	// electionInterval is the time between two attempts to find the owner or to claim the shard.
	electionInterval = 80 * time.Millisecond
	// maxElectionInterval bounds that time while the store does not answer. The interval grows up
	// to it because each call to the store has a cost.
	maxElectionInterval = 500 * time.Millisecond
	// staleDialTimeout replaces dialTimeout for an owner whose record is older than staleRecordAge,
	// which has probably ended. A node that is alive answers within some tens of milliseconds.
	staleDialTimeout = 60 * time.Millisecond
	// maxClaimDelay is how long the weakest node delays its claim to let stronger nodes claim
	// first. The delay is the time that those need to detect that there is no owner.
	maxClaimDelay = 300 * time.Millisecond
	// strengthTolerance is the relative difference in strength up to which two nodes count as
	// equally strong.
	strengthTolerance = 0.1
	// defaultStrength is the strength of a strong node, in processors. It is assumed for the
	// strongest node when there is no record of an owner.
	defaultStrength = 0.8
)

// runElection repeatedly reads from the store who the owner is, and then follows that owner or
// claims the shard when there is none.
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

// followLastKnown follows the last known owner while the store does not answer.
func (n *Node) followLastKnown() {
	if n.lastRecord != nil && n.lastRecord.Node != n.options.Name {
		if conn, _ := n.connect(n.lastRecord, dialTimeout); conn != nil {
			n.followOverLink(conn, n.lastRecord)
		}
	}
}

// readRecord reads the owner's record and measures how long the store takes.
func (n *Node) readRecord() (*owner.Record, uint64, error) {
	began := n.options.Clock.Now()
	n.recordReadAt = began
	r, at, err := owner.ReadRecord(n.ctx, n.log)
	n.storeLatency = n.options.Clock.Now().Sub(began)
	if err == nil {
		n.fallback.ObserveLatency(n.storeLatency)
	}
	return r, at, err
}

// handleRecord claims the shard, runs the owner or follows it, depending on the owner's record. at
// is the offset of the record, or the end of the topic when there is no record.
func (n *Node) handleRecord(r *owner.Record, at uint64) {
	switch {
	case r == nil:
		n.claim(nil, at, false)
	case r.Node == n.options.Name && r.Incarnation == n.options.Incarnation && r.Epoch > n.lastOwnedEpoch:
		// The answer to this node's claim was lost.
		n.runOwner(owner.Claim{Record: *r, Offset: at, Previous: r, HasAllPlacements: !r.MayHaveUnpersisted, ConfirmedAt: n.recordReadAt})
	case r.Node == n.options.Name:
		n.claim(r, at+1, true)
	default:
		n.followOrClaim(r, at)
	}
}

// claim tries to become the owner: it appends a record on the condition that the topic still ends
// at end, so that only one node succeeds. hasEnded means that the previous owner has certainly
// stopped.
func (n *Node) claim(previous *owner.Record, end uint64, hasEnded bool) {
	if n.isClaimBlocked() {
		n.sleep(electionInterval)
		return
	}
	if d := n.claimDelay(previous); d > 0 {
		n.sleep(d)
	}
	n.mu.Lock()
	n.firstRead.SetCandidate()
	n.mu.Unlock()
	r := owner.Record{
		Node: n.options.Name, Addr: n.options.AdvertiseAddr, Incarnation: n.options.Incarnation, Epoch: end + 1, SentAt: n.options.Clock.TimeOfDay(),
		MaxStrength: n.maxKnownStrength(), MayHaveUnpersisted: !n.hasAllPlacements(previous), WritesBehindByFlagOnly: true,
	}
	if previous != nil {
		// The previous owner's values count too, because stronger nodes may not be linked to this
		// one yet.
		r.MaxStrength, r.ListedWorkers, r.KnownNodes = max(r.MaxStrength, previous.MaxStrength), previous.ListedWorkers, previous.KnownNodes
		r.Silent, r.Foreign, r.Outlasted = previous.Silent, previous.Foreign, previous.Outlasted
		r.LeaseWitnesses = previous.LeaseWitnesses
		if r.MayHaveUnpersisted {
			r.Witnesses, r.LaterJobs = previous.Witnesses, previous.LaterJobs
		}
		r.LeftConns = previous.LeftConnsAfter(n.closed.is(previous.Epoch))
	}
	r.KeptConns = r.LeftConns.Kept()
	r.AreWorkersStored = previous == nil || previous.AreWorkersStored
	r.LeaseBound, r.OwnLeaseBound = owner.LeaseBoundAfter(previous), owner.OwnLeaseBoundAfter(previous)
	sentAt := n.options.Clock.Now()
	at, err := owner.AppendRecord(n.ctx, n.log, &r, end)
	if err != nil {
		n.options.Log(events.ClaimRefused, "epoch", r.Epoch, "err", err)
		if store.FailureOf(err) != store.ConditionFailed {
			n.sleep(electionInterval)
		}
		return
	}
	n.runOwner(owner.Claim{Record: r, Offset: at, Previous: previous, HasAllPlacements: !r.MayHaveUnpersisted, HasPreviousEnded: hasEnded, ConfirmedAt: sentAt})
}

// hasAllPlacements reports whether the previous owner persists the placement of each task before it
// starts it, also if it is still running: it runs write-behind only while its newest record in the
// store carries the flag. Neither that record's age nor when the claim is appended matters, because
// the append fails when there is a newer record.
func (n *Node) hasAllPlacements(previous *owner.Record) bool {
	if previous == nil {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return previous.WritesBehindByFlagOnly && !previous.MayHaveUnpersisted && n.unpersistedEpoch != previous.Epoch
}

// claimDelay returns how long this node delays its claim so that stronger nodes can claim first. It
// is proportional to how much weaker this node is than the strongest node of the previous owner's
// record. Without such a record, the strongest node is assumed to have defaultStrength.
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

// isClaimBlocked reports whether this node must not claim now: its process is about to end, it is
// handing the shard over, or it was the owner until recently.
func (n *Node) isClaimBlocked() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLeaving || n.isUnfitHandover || n.options.Clock.Now().Before(n.noClaimUntil)
}

// ownerGCPercent makes the garbage collector run a third as often on the owner as by default. The
// owner is shorter of processor time than of memory, which a memory limit bounds.
const ownerGCPercent = 300

// runOwner runs the owner on this node until it ends. Unless the shard is being handed over, it
// then closes all links, so that the followers notice at once.
func (n *Node) runOwner(c owner.Claim) {
	workers, list := n.options.NewOwner(n.fallback)
	o := owner.New(owner.Options{
		Claim: c, Store: n.options.NewStore(n.fallback), Workers: workers, List: list, PermissionChannels: &permissionChannels{n},
		Clock: n.options.Clock, Log: n.options.Log, Metrics: n.options.Metrics, HasStoreOutage: n.fallback.HasOutage, MajorityAnsweredAt: n.peers.majorityAnsweredAt, KnownNodes: n.peers.known, LinkedNodes: n.peers.linked, NodeZone: n.options.Zone,
		StopTime: n.options.StopTime, Heartbeat: n.options.Heartbeat, MaxStrength: n.maxKnownStrength,
		Delegates: &delegates{n}, Witnesses: &witnesses{n}, DirectWorkers: n.options.MaxWorkers, LargeJobMemory: n.options.LargeJobMemory, RoundMemory: n.options.RoundMemory, StoreLimits: n.options.StoreLimits, Disabled: n.options.Disabled,
	})
	n.mu.Lock()
	n.lastOwnedEpoch = c.Record.Epoch
	n.owner = o
	n.fitness.ownedAt = n.options.Clock.Now()
	n.notifyOwnerChange()
	if n.config != nil {
		// Without a configuration the owner would take the zero policy for one that has no limits.
		o.SetPolicy(n.configVersion, n.policy)
	}
	n.mu.Unlock()
	o.WitnessTestified(owner.Testimony{Process: n.options.Incarnation, Epoch: o.Epoch(), ConsentedEpoch: n.testify(o.Epoch())})
	n.logOwned(&c)
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

// logOwned logs what this node knew of the previous owner when it claimed the shard.
func (n *Node) logOwned(c *owner.Claim) {
	now := n.options.Clock.TimeOfDay()
	from, previous := "", &c.Record
	if c.Previous != nil {
		from, previous = c.Previous.Node, c.Previous
	}
	n.options.Log(events.ShardOwned, "epoch", c.Record.Epoch, "from", from, "placements", c.HasAllPlacements, "ended", c.HasPreviousEnded,
		"flagged", previous.MayHaveUnpersisted, "witnesses", len(previous.Witnesses.Witnesses), "beat", previous.HeartbeatSeq, "age", previous.Age(now), "claimed", c.Record.Age(now),
		"left", int(c.Record.LeftConns), "kept", c.Record.KeptConns)
}

// followOrClaim connects to the owner and follows it until the link ends. If the owner's process
// has ended, or it cannot be reached and its next record in the store is overdue, this node claims
// the shard.
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

// processEnd says whether and why an owner's process is known to have ended.
type processEnd string

const (
	notEnded processEnd = ""
	// endedConnectionRefused means that the connection was refused: no process listens at the
	// owner's address, or a device in the network rejects connections to it.
	endedConnectionRefused processEnd = "connection refused"
	// endedReplaced means that another process answered at the owner's address, so that the owner's
	// process has certainly ended.
	endedReplaced processEnd = "another process answers"
)

// connect makes a link to the owner, or finds that its process has ended. It returns no link and
// notEnded when the owner did not answer in time, or when its process no longer is the owner.
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
		conn.Notify(kindTestimony, testimony{r.Epoch, n.testify(r.Epoch)})
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

// delegateCapacity returns how many workers this node can talk to as a delegate of the owner.
func (n *Node) delegateCapacity() int {
	if n.delegate == nil {
		return 0
	}
	return n.options.MaxWorkers
}

// claimIfRecordOverdue claims the shard from an owner that this node cannot reach, unless the store
// receives a further record of the owner within timeout. With a timeout of 0 it claims at once.
func (n *Node) claimIfRecordOverdue(r *owner.Record, at uint64, timeout time.Duration) {
	if n.isNextRecordOverdue(n.ctx, r, at, timeout) {
		n.claim(r, at+1, false)
		return
	}
	n.sleep(electionInterval)
}

// isNextRecordOverdue reports whether the store receives no further record of the owner within
// timeout. It reports false when the store does not answer.
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

// runListener accepts links from other nodes.
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

// runPeerLink removes a peer when its link ends, and closes the link when this node is closed.
func (n *Node) runPeerLink(conn *link.Conn) {
	select {
	case <-conn.Done():
	case <-n.ctx.Done():
		conn.Close()
	}
	n.peers.remove(conn)
}
