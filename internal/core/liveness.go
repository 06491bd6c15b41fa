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
	// livenessCheckTimeout is how long a queried node has to append to the log.
	// It allows for a slow log. If it is too short, live owners lose their shards,
	// which costs a change of owners and endangers no task.
	livenessCheckTimeout = 2500 * time.Millisecond
	// livenessCheckPeriod is how often a node that stays partitioned queries
	// again.
	livenessCheckPeriod = 10 * time.Second
)

// livenessChecks are the queries that a node which receives heartbeats from few
// of its peers has sent them through the log. Each live peer answers by
// appending a record.
// Without this check a node that is partitioned from its peers, but not from the
// log, would consider them dead and claim their shards, and they would claim
// them back (decision 0010).
type livenessChecks struct {
	queriedAt time.Time
	// pending has this node's own queries that have been applied, by the queried
	// node.
	pending map[state.NodeID]livenessCheck
	// isAnswering means that an answer of this node to a peer's query is being
	// appended.
	isAnswering bool
}

// livenessCheck is when a query was applied, and its offset in the log.
type livenessCheck struct {
	at     time.Time
	offset int64
}

// isDead reports whether this node may claim a peer's shards.
func (c *Core) isDead(now time.Time, n state.NodeID) bool {
	if n == c.options.Self.Node || !c.members.IsDead(now, n, c.options.Region) {
		return false
	}
	// While the log is unavailable peers cannot be queried through it; deputies
	// then take over on suspicion alone, which is safe because workers obey the
	// highest epoch.
	return !c.isPartitioned(now) || c.isLogUnavailable(now) || c.hasMissedLivenessCheck(now, n)
}

// isPartitioned reports whether this node receives heartbeats from less than
// half of the other members of its region, so that it may be this node that is
// partitioned from them. Members that did not answer a query of this node are
// not counted: a node whose VM has failed remains a member until its end is
// recorded.
func (c *Core) isPartitioned(now time.Time) bool {
	others, reachable := 0, 0
	for id, m := range c.state.Members {
		if m.HasLeft || m.Region != c.options.Region || id == c.options.Self.Node || c.hasMissedLivenessCheck(now, id) {
			continue
		}
		others++
		if !c.members.IsSuspect(now, id) {
			reachable++
		}
	}
	return 2*reachable < others
}

// hasMissedLivenessCheck reports whether a peer has appended nothing to the log
// since this node queried it, and the time for that has passed. The log must
// have been read since, so that an answer would be known.
func (c *Core) hasMissedLivenessCheck(now time.Time, n state.NodeID) bool {
	d, ok := c.livenessChecks.pending[n]
	m := c.state.Members[n]
	if !ok || m == nil || m.Offset > d.offset {
		return false
	}
	until := d.at.Add(livenessCheckTimeout)
	return now.After(until) && c.caughtUpAt.After(until)
}

// checkLiveness queries the members that this node suspects through the log, if
// it receives heartbeats from less than half of its peers, and drops queries about members that are
// no longer suspected or have left.
func (c *Core) checkLiveness(now time.Time) {
	for n := range c.livenessChecks.pending {
		if m := c.state.Members[n]; m == nil || m.HasLeft || !c.members.IsSuspect(now, n) {
			delete(c.livenessChecks.pending, n)
		}
	}
	if !c.IsJoined() || c.isDraining || c.isLogUnavailable(now) || now.Sub(c.livenessChecks.queriedAt) < livenessCheckPeriod || !c.isPartitioned(now) {
		return
	}
	suspects := []state.NodeID{}
	for _, n := range c.members.Suspects(now) {
		m := c.state.Members[n]
		isMember := m != nil && !m.HasLeft && m.Region == c.options.Region
		if isMember && !c.hasMissedLivenessCheck(now, n) {
			suspects = append(suspects, n)
		}
	}
	if len(suspects) == 0 {
		return
	}
	c.livenessChecks.queriedAt = now
	events.Log(events.FewPeersReachable, "peers", suspects)
	c.Append(state.Record{LivenessQuery: &state.LivenessQuery{Nodes: suspects}}, nil)
}

// onLivenessQuery records a query of this node, or answers a peer's query by
// appending a record if this node is among those queried.
func (c *Core) onLivenessQuery(offset int64, writer state.NodeID, d *state.LivenessQuery) {
	if writer == c.options.Self.Node {
		for _, n := range d.Nodes {
			c.livenessChecks.pending[n] = livenessCheck{c.now(), offset}
		}
		return
	}
	if c.livenessChecks.isAnswering || !c.IsJoined() || !slices.Contains(d.Nodes, c.options.Self.Node) {
		return
	}
	c.livenessChecks.isAnswering = true
	c.Append(state.Record{LivenessReply: &state.LivenessReply{}}, func(error) { c.livenessChecks.isAnswering = false })
}
