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
	// ticked is when the own duty last ran.
	ticked time.Time
}

type peer struct {
	incarnation uint64
	heard       time.Time
	applied     int64
	region      string
	isLogOut    bool
	isDraining  bool
	hasBeat     bool
	suspects    []state.NodeID
}

// Beat is what a heartbeat says.
type Beat struct {
	Node        state.NodeID
	Incarnation uint64
	Region      string
	Applied     int64
	IsLogOut    bool
	IsDraining  bool
	Suspects    []state.NodeID
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
		t.peers[n] = &peer{heard: now, region: region}
	}
}

// Remove forgets a node.
func (t *Table) Remove(n state.NodeID) { delete(t.peers, n) }

// Heard takes a heartbeat. The node's own, or one of an older incarnation,
// changes nothing.
func (t *Table) Heard(now time.Time, b *Beat) {
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
		incarnation: b.Incarnation, heard: now, applied: b.Applied, region: b.Region,
		isLogOut: b.IsLogOut, isDraining: b.IsDraining, hasBeat: true, suspects: b.Suspects,
	}
}

// Tick tells the table that its own duty runs. After a pause of its own, all
// peers get a fresh start: their silence was the listener's, not theirs. It
// reports whether there was such a pause.
func (t *Table) Tick(now time.Time) bool {
	late := now.Sub(t.ticked)
	isPaused := !t.ticked.IsZero() && late > t.options.PauseAfter
	t.ticked = now
	if !isPaused {
		return false
	}
	for _, p := range t.peers {
		p.heard = now
	}
	return true
}

// IsSuspect reports whether the node has been silent for too long.
func (t *Table) IsSuspect(now time.Time, n state.NodeID) bool {
	p := t.peers[n]
	return n != t.self && (p == nil || now.Sub(p.heard) > t.options.SuspectAfter)
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
	voters, agree := 0, 0
	for other, p := range t.peers {
		if other == n || p.region != region || t.IsSuspect(now, other) {
			continue
		}
		voters++
		if slices.Contains(p.suspects, n) {
			agree++
		}
	}
	return 2*agree >= voters
}

// Alive lists the nodes of a region that are heard and not draining, with
// this node itself if isSelfIn, sorted.
func (t *Table) Alive(now time.Time, region string, isSelfIn bool) []state.NodeID {
	list := []state.NodeID{}
	if isSelfIn {
		list = append(list, t.self)
	}
	for n, p := range t.peers {
		if p.hasBeat && p.region == region && !p.isDraining && !t.IsSuspect(now, n) {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// HasFolded reports whether the process o has said that it acts on offset.
func (t *Table) HasFolded(o state.Process, offset int64) bool {
	p := t.peers[o.Node]
	return p != nil && p.hasBeat && p.incarnation == o.Incarnation && p.applied >= offset
}

// Applied returns the last offset that a peer said it acts on, or -1.
func (t *Table) Applied(n state.NodeID) int64 {
	p := t.peers[n]
	if p == nil || !p.hasBeat {
		return -1
	}
	return p.applied
}

// MostApplied returns the heard peer that is furthest on in the log.
func (t *Table) MostApplied(now time.Time) (state.NodeID, int64) {
	best, most := state.NodeID(""), int64(-1)
	for n, p := range t.peers {
		if !p.hasBeat || t.IsSuspect(now, n) {
			continue
		}
		if p.applied > most || (p.applied == most && n < best) {
			best, most = n, p.applied
		}
	}
	return best, most
}

// IsLogOutForAll reports whether every peer that is heard says that it does
// not reach the log either.
func (t *Table) IsLogOutForAll(now time.Time) bool {
	for n, p := range t.peers {
		if p.hasBeat && !t.IsSuspect(now, n) && !p.isLogOut {
			return false
		}
	}
	return true
}

// HeardCount returns how many peers are heard.
func (t *Table) HeardCount(now time.Time) int {
	count := 0
	for n, p := range t.peers {
		if p.hasBeat && !t.IsSuspect(now, n) {
			count++
		}
	}
	return count
}
