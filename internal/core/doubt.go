// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	// doubtWait is how long a doubted node has to write to the log. It covers a
	// slow log; a wrong guess costs a move of owners and harms nothing.
	doubtWait = 2500 * time.Millisecond
	// doubtPeriod is how often a node that stays cut off asks again.
	doubtPeriod = 10 * time.Second
)

// doubts is what a node that hears few of its peers has asked them through the
// log. Without this it would take them all for dead and claim what they own,
// and they would claim it back (decision 0010).
type doubts struct {
	askedAt time.Time
	// open has the own doubts that were folded, by whom they are of.
	open map[state.NodeID]doubted
	// isAnswering means that an answer of this node is on its way to the log.
	isAnswering bool
}

// doubted is when and where a doubt was folded.
type doubted struct {
	at     time.Time
	offset int64
}

// isDead reports whether this node may take a peer's shards.
func (c *Core) isDead(now time.Time, n state.NodeID) bool {
	if n == c.options.Self.Node || !c.members.IsDead(now, n, c.options.Region) {
		return false
	}
	// Without the log nobody can be asked: deputies step in on suspicion.
	return !c.isCutOff(now) || c.isLogOut(now) || c.isSilentInLog(now, n)
}

// isCutOff reports whether this node hears less than half of the other members
// of its region: it may be the one that is not heard. Those who did not answer
// its doubt do not count: a VM that died is a member until somebody knows.
func (c *Core) isCutOff(now time.Time) bool {
	others, heard := 0, 0
	for id, m := range c.state.Members {
		if m.HasLeft || m.Region != c.options.Region || id == c.options.Self.Node || c.isSilentInLog(now, id) {
			continue
		}
		others++
		if !c.members.IsSuspect(now, id) {
			heard++
		}
	}
	return 2*heard < others
}

// isSilentInLog reports whether a peer has not answered a doubt in time.
func (c *Core) isSilentInLog(now time.Time, n state.NodeID) bool {
	d, ok := c.doubts.open[n]
	m := c.state.Members[n]
	if !ok || m == nil || m.Offset > d.offset {
		return false
	}
	until := d.at.Add(doubtWait)
	return now.After(until) && c.caughtUpAt.After(until)
}

// doubt asks through the log whether those live whom this node does not hear,
// if it hears few at all.
func (c *Core) doubt(now time.Time) {
	for n := range c.doubts.open {
		if m := c.state.Members[n]; m == nil || m.HasLeft || !c.members.IsSuspect(now, n) {
			delete(c.doubts.open, n)
		}
	}
	if !c.IsJoined() || c.isDraining || c.isLogOut(now) || now.Sub(c.doubts.askedAt) < doubtPeriod || !c.isCutOff(now) {
		return
	}
	of := []state.NodeID{}
	for _, n := range c.members.Suspects(now) {
		m := c.state.Members[n]
		isMember := m != nil && !m.HasLeft && m.Region == c.options.Region
		if isMember && !c.isSilentInLog(now, n) {
			of = append(of, n)
		}
	}
	if len(of) == 0 {
		return
	}
	c.doubts.askedAt = now
	events.Log(events.FewPeersHeard, "peers", of)
	c.Append(state.Record{Doubt: &state.Doubt{Of: of}}, nil)
}

// onDoubt notes an own doubt, and answers a peer's.
func (c *Core) onDoubt(offset int64, writer state.NodeID, d *state.Doubt) {
	if writer == c.options.Self.Node {
		for _, n := range d.Of {
			c.doubts.open[n] = doubted{c.now(), offset}
		}
		return
	}
	if c.doubts.isAnswering || !c.IsJoined() || !slices.Contains(d.Of, c.options.Self.Node) {
		return
	}
	c.doubts.isAnswering = true
	c.Append(state.Record{Here: &state.Here{}}, func(error) { c.doubts.isAnswering = false })
}
