// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package membership judges which nodes live, from what is heard directly and
// from whom others suspect. It is pure: it has no clock and does no I/O.
package membership

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/state"
)

// NewTableOptions sets the bounds. Zero values mean the defaults.
type NewTableOptions struct {
	// SuspectAfter is how long a node may be silent; 0 means 1.5 s.
	SuspectAfter time.Duration
	// PauseAfter is how late the own duty may run before what was not heard
	// meanwhile counts as unheard; 0 means 1 s.
	PauseAfter time.Duration
}

const (
	defaultSuspectAfter = 1500 * time.Millisecond
	defaultPauseAfter   = time.Second
)

// Table is what a node thinks of its peers. It belongs to one goroutine.
type Table struct {
	options NewTableOptions
	self    state.NodeID
	// peers has every node that was added; silence counts from when it was
	// last heard or added.
	peers map[state.NodeID]*peer
	// lastTick is when the own duty last ran.
	lastTick time.Time
}

type peer struct {
	incarnation      uint64
	lastHeard        time.Time
	applied          int64
	region           string
	isLogUnavailable bool
	isDraining       bool
	hasHeartbeat     bool
	suspects         []state.NodeID
}

// Heartbeat is what a heartbeat says.
type Heartbeat struct {
	Node             state.NodeID
	Incarnation      uint64
	Region           string
	Applied          int64
	IsLogUnavailable bool
	IsDraining       bool
	Suspects         []state.NodeID
}

// NewTable returns a table that knows only the node itself.
func NewTable(self state.NodeID, options NewTableOptions) *Table {
	if options.SuspectAfter == 0 {
		options.SuspectAfter = defaultSuspectAfter
	}
	if options.PauseAfter == 0 {
		options.PauseAfter = defaultPauseAfter
	}
	return &Table{options: options, self: self, peers: map[state.NodeID]*peer{}}
}

// Add makes a node known; its silence counts from now.
func (t *Table) Add(now time.Time, n state.NodeID, region string) {
	if t.peers[n] == nil && n != t.self {
		t.peers[n] = &peer{lastHeard: now, region: region}
	}
}

// Remove forgets a node.
func (t *Table) Remove(n state.NodeID) { delete(t.peers, n) }

// OnHeartbeat takes a heartbeat. The node's own, or one of an older incarnation,
// changes nothing.
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

// Tick tells the table that its own duty runs. After a pause of its own, all
// peers get a fresh start: their silence was the listener's, not theirs. It
// reports whether there was such a pause.
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

// IsSuspect reports whether the node has been silent for too long.
func (t *Table) IsSuspect(now time.Time, n state.NodeID) bool {
	p := t.peers[n]
	return n != t.self && (p == nil || now.Sub(p.lastHeard) > t.options.SuspectAfter)
}

// Suspects lists the silent nodes, sorted.
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

// IsDead reports whether the node is silent for this node and for at least
// half of the others of the region that this node still hears. One that alone
// does not hear a node, as in a one-way cut, takes nothing away from it.
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

// Alive lists the nodes of a region that are heard and not draining, with
// this node itself if isSelfIn, sorted.
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

// HasApplied reports whether the process o has said that it acts on offset.
func (t *Table) HasApplied(o state.Process, offset int64) bool {
	p := t.peers[o.Node]
	return p != nil && p.hasHeartbeat && p.incarnation == o.Incarnation && p.applied >= offset
}

// Applied returns the last offset that a peer said it acts on, or -1.
func (t *Table) Applied(n state.NodeID) int64 {
	p := t.peers[n]
	if p == nil || !p.hasHeartbeat {
		return -1
	}
	return p.applied
}

// MostAdvancedPeer returns the heard peer that is furthest on in the log.
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

// IsLogUnavailableForAll reports whether every peer that is heard says that it does
// not reach the log either.
func (t *Table) IsLogUnavailableForAll(now time.Time) bool {
	for n, p := range t.peers {
		if p.hasHeartbeat && !t.IsSuspect(now, n) && !p.isLogUnavailable {
			return false
		}
	}
	return true
}

// ResponsiveCount returns how many peers are heard.
func (t *Table) ResponsiveCount(now time.Time) int {
	count := 0
	for n, p := range t.peers {
		if p.hasHeartbeat && !t.IsSuspect(now, n) {
			count++
		}
	}
	return count
}
