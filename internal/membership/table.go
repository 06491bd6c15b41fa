// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package membership is the failure detector for the other nodes. It decides
// which nodes are alive from their heartbeats and from the lists of silent nodes
// that the heartbeats of others contain. It does no I/O and reads no clock; the
// caller passes the current time.
package membership

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/state"
)

// NewTableOptions configures a Table. Zero values mean the defaults.
type NewTableOptions struct {
	// SuspectAfter is how long a node may send no heartbeat before it is
	// suspected to have failed; 0 means 1.5 s.
	SuspectAfter time.Duration
	// PauseAfter is the longest time between two calls of Tick for which the
	// silence of peers counts. After a longer one, this process was paused itself
	// and could not receive heartbeats; 0 means 1 s.
	PauseAfter time.Duration
}

const (
	defaultSuspectAfter = 1500 * time.Millisecond
	defaultPauseAfter   = time.Second
)

// Table is a node's view of its peers. It is not safe for concurrent use.
type Table struct {
	options NewTableOptions
	self    state.NodeID
	// peers has every node that was added or has sent a heartbeat.
	peers map[state.NodeID]*peer
	// lastTick is the time of the last call of Tick.
	lastTick time.Time
}

// peer is what is known of one node, from its last heartbeat.
type peer struct {
	incarnation uint64
	// lastHeard is the time of the last heartbeat, or of Add if there was none,
	// or of the end of a pause of this process if that is later.
	lastHeard        time.Time
	applied          int64
	region           string
	isLogUnavailable bool
	isDraining       bool
	// hasHeartbeat is false for a node that was added and has sent no heartbeat since.
	hasHeartbeat bool
	suspects     []state.NodeID
}

// Heartbeat is the content of a heartbeat that a node sends to its peers.
type Heartbeat struct {
	Node        state.NodeID
	Incarnation uint64
	Region      string
	// Applied is the offset up to which the sender has applied the log.
	Applied int64
	// IsLogUnavailable means that the sender does not reach the log.
	IsLogUnavailable bool
	IsDraining       bool
	// Suspects lists the nodes of which the sender has received no heartbeat for SuspectAfter.
	Suspects []state.NodeID
}

// NewTable returns a table without peers for the node self.
func NewTable(self state.NodeID, options NewTableOptions) *Table {
	if options.SuspectAfter == 0 {
		options.SuspectAfter = defaultSuspectAfter
	}
	if options.PauseAfter == 0 {
		options.PauseAfter = defaultPauseAfter
	}
	return &Table{options: options, self: self, peers: map[state.NodeID]*peer{}}
}

// Add adds a node as if a heartbeat had been received now, unless it is already known.
func (t *Table) Add(now time.Time, n state.NodeID, region string) {
	if t.peers[n] == nil && n != t.self {
		t.peers[n] = &peer{lastHeard: now, region: region}
	}
}

// Remove removes a node.
func (t *Table) Remove(n state.NodeID) { delete(t.peers, n) }

// OnHeartbeat records a heartbeat that was received. Heartbeats of this node
// itself and of an older incarnation of a peer are ignored.
func (t *Table) OnHeartbeat(now time.Time, b *Heartbeat) {
	if b.Node == t.self {
		return
	}
	p := t.peers[b.Node]
	if p == nil {
		p = &peer{}
		t.peers[b.Node] = p
	}
	if b.Incarnation < p.incarnation {
		return
	}
	*p = peer{
		incarnation: b.Incarnation, lastHeard: now, applied: b.Applied, region: b.Region,
		isLogUnavailable: b.IsLogUnavailable, isDraining: b.IsDraining, hasHeartbeat: true, suspects: b.Suspects,
	}
}

// Tick must be called regularly. It reports whether this process was paused,
// which it infers from more than PauseAfter since the last call. All peers then
// count as if they had sent a heartbeat now, because the process could not receive their heartbeats
// during the pause.
func (t *Table) Tick(now time.Time) bool {
	sinceLastTick := now.Sub(t.lastTick)
	wasPaused := !t.lastTick.IsZero() && sinceLastTick > t.options.PauseAfter
	t.lastTick = now
	if !wasPaused {
		return false
	}
	for _, p := range t.peers {
		p.lastHeard = now
	}
	return true
}

// IsSuspect reports whether no heartbeat of the node arrived for SuspectAfter, or
// the node is unknown. A node does not suspect itself.
func (t *Table) IsSuspect(now time.Time, n state.NodeID) bool {
	p := t.peers[n]
	return n != t.self && (p == nil || now.Sub(p.lastHeard) > t.options.SuspectAfter)
}

// Suspects lists the nodes that IsSuspect holds for, sorted.
func (t *Table) Suspects(now time.Time) []state.NodeID {
	list := []state.NodeID{}
	for n := range t.peers {
		if t.IsSuspect(now, n) {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// IsDead reports whether the node is suspected by this node and by at least half
// of the other nodes of the region whose heartbeats this node receives. Without
// this vote, a node that alone does not receive another's heartbeats, as in a
// one-way partition, would take over the shards of a healthy owner.
func (t *Table) IsDead(now time.Time, n state.NodeID, region string) bool {
	if !t.IsSuspect(now, n) {
		return false
	}
	voters, agreeing := 0, 0
	for other, p := range t.peers {
		if other == n || p.region != region || t.IsSuspect(now, other) {
			continue
		}
		voters++
		if slices.Contains(p.suspects, n) {
			agreeing++
		}
	}
	return 2*agreeing >= voters
}

// Alive lists the nodes of a region that are not suspected and not draining,
// sorted. A node that has never sent a heartbeat is left out. This node itself is
// included if includeSelf is true.
func (t *Table) Alive(now time.Time, region string, includeSelf bool) []state.NodeID {
	list := []state.NodeID{}
	if includeSelf {
		list = append(list, t.self)
	}
	for n, p := range t.peers {
		if p.hasHeartbeat && p.region == region && !p.isDraining && !t.IsSuspect(now, n) {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// HasApplied reports whether the last heartbeat of the process o says that it has
// applied the log up to offset or further.
func (t *Table) HasApplied(o state.Process, offset int64) bool {
	p := t.peers[o.Node]
	return p != nil && p.hasHeartbeat && p.incarnation == o.Incarnation && p.applied >= offset
}

// Applied returns the offset up to which a peer has applied the log, from its
// last heartbeat, or -1 if there was none.
func (t *Table) Applied(n state.NodeID) int64 {
	p := t.peers[n]
	if p == nil || !p.hasHeartbeat {
		return -1
	}
	return p.applied
}

// MostAdvancedPeer returns the peer that has applied the most of the log, among
// those that are not suspected, and its offset. It returns "" and -1 if there is
// none.
func (t *Table) MostAdvancedPeer(now time.Time) (state.NodeID, int64) {
	id, applied := state.NodeID(""), int64(-1)
	for n, p := range t.peers {
		if !p.hasHeartbeat || t.IsSuspect(now, n) {
			continue
		}
		if p.applied > applied || (p.applied == applied && n < id) {
			id, applied = n, p.applied
		}
	}
	return id, applied
}

// IsLogUnavailableForAll reports whether the last heartbeat of every peer that is
// not suspected says that the peer does not reach the log.
func (t *Table) IsLogUnavailableForAll(now time.Time) bool {
	for n, p := range t.peers {
		if p.hasHeartbeat && !t.IsSuspect(now, n) && !p.isLogUnavailable {
			return false
		}
	}
	return true
}

// ResponsiveCount returns the number of peers that have sent a heartbeat and are
// not suspected.
func (t *Table) ResponsiveCount(now time.Time) int {
	count := 0
	for n, p := range t.peers {
		if p.hasHeartbeat && !t.IsSuspect(now, n) {
			count++
		}
	}
	return count
}
