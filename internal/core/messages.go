// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/membership"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	// summaryPeriod is the minimum time between two updates of a rack's summary
	// to peers.
	summaryPeriod = time.Second
	// summaryRefreshPeriod is after which time a summary is sent again although
	// it has not changed, for peers that missed it.
	summaryRefreshPeriod = 15 * time.Second
	// reconnectPeriod is the minimum time between two replacements of the link to a
	// peer: the peer needs a heartbeat over the new one, and this node one of the
	// peer's after that.
	reconnectPeriod = 3 * time.Second
	// batchesRetryDelay and stateRetryDelay are after which time a peer is asked
	// again for batches, or for its state.
	batchesRetryDelay = time.Second
	stateRetryDelay   = 3 * time.Second
	// stateRequestDelay is how long a new node tries to read the log before it
	// asks a peer for its state. A quarter of it is how long reads of the log must
	// have failed before a node asks peers for anything.
	stateRequestDelay = 2 * time.Second
)

// OnMessage handles a message from a peer.
func (c *Core) OnMessage(e *node.Envelope) {
	now := c.now()
	m := &e.Message
	switch {
	case m.Heartbeat != nil:
		c.onHeartbeat(now, &e.From, m.Heartbeat)
	case m.StartRequest != nil, m.AttemptOrder != nil, m.JobShardSync != nil, m.AttemptReportAck != nil, m.ReserveRequest != nil, m.ReservationRelease != nil, m.GrantRequest != nil, m.GrantReturn != nil:
		c.deliverToRack(now, e.From.Node, m)
	case m.StartReply != nil, m.AttemptReport != nil, m.ReserveReply != nil:
		c.deliverToJobShard(now, m)
	case m.Grant != nil:
		c.options.Router.OnGrant(m.Grant)
	case m.GrantRecall != nil:
		c.options.Router.OnRecall(m.GrantRecall.Key)
	case m.GrantCheck != nil:
		c.onGrantCheck(m.GrantCheck)
	case m.LogRequest != nil:
		c.onBatchesRequest(e.From.Node, m.LogRequest)
	case m.LogReply != nil:
		c.onBatches(e.From.Node, m.LogReply)
	case m.StateRequest != nil:
		c.onStateRequest(e.From.Node)
	case m.StateReply != nil:
		c.onState(e.From.Node, m.StateReply)
	case m.SavedAnswerRequest != nil:
		c.env.AnswerKeyQuery(e.From.Node, m.SavedAnswerRequest)
	case m.SavedAnswerReply != nil:
		c.onAnswerReply(e.From.Node, m.SavedAnswerReply)
	case m.SavedAnswerTransfer != nil:
		c.onHandedOverAnswers(e.From.Node, m.SavedAnswerTransfer)
	case m.SavedAnswerTransferAck != nil:
		c.onHandoverAcknowledged()
	}
}

// onGrantCheck handles a rack's list of the grants that this node should hold:
// it returns those that it does not hold, so that their slots become free.
func (c *Core) onGrantCheck(m *node.GrantCheck) {
	for _, k := range c.options.Router.MissingGrants(m.Keys) {
		c.sendToRack(m.Rack, &node.Message{GrantReturn: &node.GrantReturn{Rack: m.Rack, Key: k}})
	}
}

func (c *Core) deliverToRack(now time.Time, from state.NodeID, m *node.Message) {
	id := rackOf(m)
	o := c.racks[id]
	if o == nil {
		return
	}
	r := o.rack
	switch {
	case m.StartRequest != nil:
		r.OnStartRequest(m.StartRequest)
	case m.AttemptOrder != nil:
		r.OnAction(now, m.AttemptOrder)
	case m.JobShardSync != nil:
		r.OnShardSync(m.JobShardSync)
	case m.AttemptReportAck != nil:
		r.OnUpdateAck(m.AttemptReportAck)
	case m.ReserveRequest != nil:
		r.OnReserve(now, m.ReserveRequest)
	case m.ReservationRelease != nil:
		r.OnRelease(m.ReservationRelease)
	case m.GrantRequest != nil:
		r.OnGrantRequest(now, from, m.GrantRequest)
	case m.GrantReturn != nil:
		r.OnGrantDone(now, from, m.GrantReturn)
	}
}

func rackOf(m *node.Message) state.ShardID {
	switch {
	case m.StartRequest != nil:
		return m.StartRequest.Rack
	case m.AttemptOrder != nil:
		return m.AttemptOrder.Rack
	case m.JobShardSync != nil:
		return m.JobShardSync.Rack
	case m.AttemptReportAck != nil:
		return m.AttemptReportAck.Rack
	case m.ReserveRequest != nil:
		return m.ReserveRequest.Rack
	case m.ReservationRelease != nil:
		return m.ReservationRelease.Rack
	case m.GrantRequest != nil:
		return m.GrantRequest.Rack
	case m.GrantReturn != nil:
		return m.GrantReturn.Rack
	}
	return ""
}

func (c *Core) deliverToJobShard(now time.Time, m *node.Message) {
	switch {
	case m.StartReply != nil:
		if h := c.jobShards[m.StartReply.JobShard]; h != nil {
			h.OnStartReply(now, m.StartReply)
		}
	case m.AttemptReport != nil:
		if h := c.jobShards[m.AttemptReport.JobShard]; h != nil {
			h.OnAttemptReport(now, m.AttemptReport)
		}
	case m.ReserveReply != nil:
		if h := c.jobShards[m.ReserveReply.JobShard]; h != nil {
			h.OnReserveReply(now, m.ReserveReply)
		}
	}
}

// sendHeartbeats sends all members a heartbeat, with the changed summaries of
// this node's racks. Before any member is known it sends it to the configured
// peers.
func (c *Core) sendHeartbeats(now time.Time) {
	if now.Sub(c.heartbeatAt) < heartbeatPeriod {
		return
	}
	c.heartbeatAt = now
	summaries := c.summariesToSend(now)
	hb := &node.Heartbeat{
		Applied: c.state.Applied, IsLogUnavailable: c.isLogUnavailable(now), IsDraining: c.isDraining, Suspects: c.members.Suspects(now), Summaries: summaries,
	}
	for _, id := range sorted(c.deputies) {
		d := c.deputies[id]
		if d.node == c.options.Self.Node {
			hb.DeputyRacks = append(hb.DeputyRacks, node.DeputyRack{Rack: id, Epoch: d.epoch})
		}
	}
	m := &node.Message{Heartbeat: hb}
	// Only nodes of the same region place tasks or route requests to its racks.
	withoutSummaries := *hb
	withoutSummaries.Summaries = nil
	for _, id := range sorted(c.state.Members) {
		member := c.state.Members[id]
		switch {
		case member.HasLeft || id == c.options.Self.Node:
		case member.Region == c.options.Region:
			c.env.Send(id, m)
		default:
			c.env.Send(id, &node.Message{Heartbeat: &withoutSummaries})
		}
	}
	if len(c.state.Members) > 0 {
		return
	}
	for _, p := range c.options.Peers {
		c.env.Send(state.NodeID(p.String()), m)
	}
}

// summariesToSend returns the summaries of which peers need an update, and every
// summary once in each summaryRefreshPeriod.
func (c *Core) summariesToSend(now time.Time) []node.RackSummary {
	summaries := []node.RackSummary{}
	for _, id := range sorted(c.racks) {
		o := c.racks[id]
		isDue := now.Sub(o.reportedAt) >= summaryRefreshPeriod
		if !isDue && (o.isReported || now.Sub(o.reportedAt) < summaryPeriod) {
			continue
		}
		o.isReported = true
		o.reportedAt = now
		o.reported = o.summary
		summaries = append(summaries, o.summary)
	}
	return summaries
}

func (c *Core) onHeartbeat(now time.Time, from *node.Hello, hb *node.Heartbeat) {
	c.members.OnHeartbeat(now, &membership.Heartbeat{
		Node: from.Node, Incarnation: from.Incarnation, Region: from.Region, Applied: hb.Applied,
		IsLogUnavailable: hb.IsLogUnavailable, IsDraining: hb.IsDraining, Suspects: hb.Suspects,
	})
	if slices.Contains(hb.Suspects, c.options.Self.Node) {
		events.Log(events.PeerSuspected, "peer", from.Node, "link", "not heard")
		c.reconnect(now, from.Node)
	}
	for i := range hb.Summaries {
		rackSummary := hb.Summaries[i]
		c.onSummary(&rackSummary)
	}
	c.onDeputyReport(from.Node, hb.DeputyRacks)
}

// reconnect replaces the link to a peer that does not hear this node, or may not
// hear it. Nothing arrives over a link that this node only sends on, so it cannot
// tell by itself that the link delivers nothing any more.
func (c *Core) reconnect(now time.Time, peer state.NodeID) {
	m := c.state.Members[peer]
	if m == nil || m.HasLeft || now.Sub(c.reconnectedAt[peer]) < reconnectPeriod {
		return
	}
	c.reconnectedAt[peer] = now
	c.env.Disconnect(peer)
	c.env.Connect(peer, m.Link)
}

func (c *Core) onSummary(rackSummary *node.RackSummary) {
	if rackSummary.Workers > 0 {
		c.rackCapacity[rackSummary.Rack] = c.rackCapacity[rackSummary.Rack].Max(rackSummary.Capacity)
	}
	c.rackSummaries[rackSummary.Rack] = rackSummary
	c.options.Router.OnCapacity(rackSummary)
	for _, id := range sorted(c.jobShards) {
		c.jobShards[id].OnRackSummary(rackSummary)
	}
}

// checkPeers logs which peers have become suspected and which are no longer,
// and revokes the grants of nodes that have ended or have been suspected for
// longer than grantHolderTimeout.
func (c *Core) checkPeers(now time.Time) {
	for _, n := range c.members.Suspects(now) {
		if _, ok := c.silentSince[n]; !ok {
			c.silentSince[n] = now
			events.Log(events.PeerSuspected, "peer", n)
		}
		// Where neither hears the other, neither is told that it is not heard.
		c.reconnect(now, n)
	}
	for n, since := range c.silentSince {
		if !c.members.IsSuspect(now, n) {
			delete(c.silentSince, n)
			events.Log(events.PeerRecovered, "peer", n, "after", now.Sub(since).Round(time.Millisecond))
		}
	}
	isLost := func(n state.NodeID) bool {
		if n == c.options.Self.Node {
			return false
		}
		m := c.state.Members[n]
		since, ok := c.silentSince[n]
		return m == nil || m.HasLeft || (ok && now.Sub(since) > grantHolderTimeout)
	}
	for _, id := range sorted(c.racks) {
		c.racks[id].rack.StopGrantsOf(now, isLost)
	}
}

// catchUp asks a peer for the batches, or for the whole state, that this node
// lacks while it cannot read the log.
func (c *Core) catchUp(now time.Time) {
	isReadFailing := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > stateRequestDelay/4
	if !isReadFailing {
		return
	}
	peer, mostApplied := c.members.MostAdvancedPeer(now)
	if peer == "" {
		return
	}
	if c.state.Applied < 0 && now.Sub(c.startedAt) > stateRequestDelay && now.Sub(c.stateRequestedAt) > stateRetryDelay {
		c.stateRequestedAt = now
		c.env.Send(peer, &node.Message{StateRequest: &node.StateRequest{}})
		return
	}
	if c.state.Applied >= 0 && mostApplied > c.state.Applied && now.Sub(c.batchesRequestedAt) > batchesRetryDelay {
		c.batchesRequestedAt = now
		c.env.Send(peer, &node.Message{LogRequest: &node.LogRequest{After: c.state.Applied}})
	}
}

func (c *Core) onBatchesRequest(from state.NodeID, m *node.LogRequest) {
	c.env.Send(from, &node.Message{LogReply: &node.LogReply{After: m.After, Batches: c.recentBatches.After(m.After)}})
}

func (c *Core) onBatches(from state.NodeID, m *node.LogReply) {
	if len(m.Batches) == 0 {
		// The peer no longer has the batch that comes next, but its state includes
		// it.
		c.env.Send(from, &node.Message{StateRequest: &node.StateRequest{}})
		return
	}
	if m.After > c.state.Applied {
		return
	}
	events.Log(events.RecordsFromPeer, "peer", from, "batches", len(m.Batches))
	for _, e := range m.Batches {
		c.applyBatch(e.Offset, e.Data)
		c.env.SkipTo(e.Offset)
	}
	c.afterApply()
}

func (c *Core) onStateRequest(from state.NodeID) {
	if c.state.Applied < 0 {
		return
	}
	data, err := c.state.Marshal()
	if err != nil {
		events.Log(events.BadRecord, "err", err.Error())
		return
	}
	c.env.Send(from, &node.Message{StateReply: &node.StateReply{Data: data}})
}

func (c *Core) onState(from state.NodeID, m *node.StateReply) {
	s, err := state.Unmarshal(m.Data)
	if err != nil {
		events.Log(events.BadRecord, "peer", from, "err", err.Error())
		return
	}
	if s.Applied <= c.state.Applied {
		return
	}
	events.Log(events.StateFromPeer, "peer", from, "offset", s.Applied)
	c.replaceState(s)
	c.afterApply()
}
