// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/membership"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	roomPeriod  = time.Second
	roomRefresh = 15 * time.Second
	tailRetry   = time.Second
	stateRetry  = 3 * time.Second
	// stateAfter is how long a new node tries the log before it asks peers.
	stateAfter = 2 * time.Second
)

// OnMessage takes a message from a peer.
func (c *Core) OnMessage(e *node.Envelope) {
	now := c.now()
	m := &e.Message
	switch {
	case m.Heartbeat != nil:
		c.onHeartbeat(now, &e.From, m.Heartbeat)
	case m.Ask != nil, m.Deed != nil, m.HomeSync != nil, m.NewsAck != nil, m.Hold != nil, m.Release != nil, m.GrantAsk != nil, m.GrantDone != nil:
		c.toOwnedRack(now, e.From.Node, m)
	case m.Answer != nil, m.News != nil, m.HoldReply != nil:
		c.toOwnedHome(now, m)
	case m.Grant != nil:
		c.options.Router.OnGrant(m.Grant)
	case m.GrantRecall != nil:
		c.options.Router.OnRecall(m.GrantRecall.Key)
	case m.GrantCheck != nil:
		c.onGrantCheck(m.GrantCheck)
	case m.TailAsk != nil:
		c.onTailAsk(e.From.Node, m.TailAsk)
	case m.Tail != nil:
		c.onTail(e.From.Node, m.Tail)
	case m.StateAsk != nil:
		c.onStateAsk(e.From.Node)
	case m.State != nil:
		c.onState(e.From.Node, m.State)
	case m.OnceAsk != nil:
		c.out.AnswerOnce(e.From.Node, m.OnceAsk)
	case m.OnceReply != nil:
		c.onOnceReply(e.From.Node, m.OnceReply)
	case m.OnceKept != nil:
		c.onOnceKept(e.From.Node, m.OnceKept)
	case m.OnceTaken != nil:
		c.onOnceTaken()
	}
}

// onGrantCheck returns the grants that this node does not have.
func (c *Core) onGrantCheck(m *node.GrantCheck) {
	for _, k := range c.options.Router.Lacking(m.Keys) {
		c.sendToRack(m.Rack, &node.Message{GrantDone: &node.GrantDone{Rack: m.Rack, Key: k}})
	}
}

func (c *Core) toOwnedRack(now time.Time, from state.NodeID, m *node.Message) {
	id := rackOf(m)
	o := c.racks[id]
	if o == nil {
		return
	}
	r := o.rack
	switch {
	case m.Ask != nil:
		r.OnAsk(m.Ask)
	case m.Deed != nil:
		r.OnDeed(now, m.Deed)
	case m.HomeSync != nil:
		r.OnHomeSync(m.HomeSync)
	case m.NewsAck != nil:
		r.OnNewsAck(m.NewsAck)
	case m.Hold != nil:
		r.OnHold(now, m.Hold)
	case m.Release != nil:
		r.OnRelease(m.Release)
	case m.GrantAsk != nil:
		r.OnGrantAsk(now, from, m.GrantAsk)
	case m.GrantDone != nil:
		r.OnGrantDone(now, from, m.GrantDone)
	}
}

func rackOf(m *node.Message) state.ShardID {
	switch {
	case m.Ask != nil:
		return m.Ask.Rack
	case m.Deed != nil:
		return m.Deed.Rack
	case m.HomeSync != nil:
		return m.HomeSync.Rack
	case m.NewsAck != nil:
		return m.NewsAck.Rack
	case m.Hold != nil:
		return m.Hold.Rack
	case m.Release != nil:
		return m.Release.Rack
	case m.GrantAsk != nil:
		return m.GrantAsk.Rack
	case m.GrantDone != nil:
		return m.GrantDone.Rack
	}
	return ""
}

func (c *Core) toOwnedHome(now time.Time, m *node.Message) {
	switch {
	case m.Answer != nil:
		if h := c.homes[m.Answer.Home]; h != nil {
			h.OnAnswer(now, m.Answer)
		}
	case m.News != nil:
		if h := c.homes[m.News.Home]; h != nil {
			h.OnNews(now, m.News)
		}
	case m.HoldReply != nil:
		if h := c.homes[m.HoldReply.Home]; h != nil {
			h.OnHoldReply(now, m.HoldReply)
		}
	}
}

// beat tells the peers that this node lives, and what has changed in its racks.
func (c *Core) beat(now time.Time) {
	if now.Sub(c.beatAt) < heartbeatPeriod {
		return
	}
	c.beatAt = now
	rooms := c.changedRooms(now)
	hb := &node.Heartbeat{
		Applied: c.state.Applied, IsLogOut: c.isLogOut(now), IsDraining: c.isDraining, Suspects: c.members.Suspects(now), Rooms: rooms,
	}
	for _, id := range sorted(c.deputised) {
		d := c.deputised[id]
		if d.node == c.options.Self.Node {
			hb.Deputised = append(hb.Deputised, node.Deputised{Rack: id, Epoch: d.epoch})
		}
	}
	m := &node.Message{Heartbeat: hb}
	// Only nodes of the region place or route there.
	bare := *hb
	bare.Rooms = nil
	for _, id := range sorted(c.state.Members) {
		member := c.state.Members[id]
		switch {
		case member.HasLeft || id == c.options.Self.Node:
		case member.Region == c.options.Region:
			c.out.Send(id, m)
		default:
			c.out.Send(id, &node.Message{Heartbeat: &bare})
		}
	}
	if len(c.state.Members) > 0 {
		return
	}
	for _, p := range c.options.Peers {
		c.out.Send(state.NodeID(p.String()), m)
	}
}

// changedRooms returns the summaries that differ from what was told last, and
// each one now and then, for those who missed it.
func (c *Core) changedRooms(now time.Time) []node.Room {
	rooms := []node.Room{}
	for _, id := range sorted(c.racks) {
		o := c.racks[id]
		isDue := now.Sub(o.roomAt) >= roomRefresh
		if !isDue && (o.isRoomTold || now.Sub(o.roomAt) < roomPeriod) {
			continue
		}
		o.isRoomTold = true
		o.roomAt = now
		o.told = o.room
		rooms = append(rooms, o.room)
	}
	return rooms
}

func (c *Core) onHeartbeat(now time.Time, from *node.Hello, hb *node.Heartbeat) {
	c.members.Heard(now, &membership.Beat{
		Node: from.Node, Incarnation: from.Incarnation, Region: from.Region, Applied: hb.Applied,
		IsLogOut: hb.IsLogOut, IsDraining: hb.IsDraining, Suspects: hb.Suspects,
	})
	for i := range hb.Rooms {
		room := hb.Rooms[i]
		c.onRoom(&room)
	}
	c.onDeputised(from.Node, hb.Deputised)
}

func (c *Core) onRoom(room *node.Room) {
	if room.Workers > 0 {
		c.rackCapacity[room.Rack] = c.rackCapacity[room.Rack].Max(room.Capacity)
	}
	c.rooms[room.Rack] = room
	c.options.Router.OnRoom(room)
	for _, id := range sorted(c.homes) {
		c.homes[id].OnRoom(room)
	}
}

// watchPeers logs who falls silent and who is heard again, and takes back the
// grants of those who are gone.
func (c *Core) watchPeers(now time.Time) {
	for _, n := range c.members.Suspects(now) {
		if _, ok := c.silent[n]; !ok {
			c.silent[n] = now
			events.Log(events.PeerSuspected, "peer", n)
		}
	}
	for n, since := range c.silent {
		if !c.members.IsSuspect(now, n) {
			delete(c.silent, n)
			events.Log(events.PeerRecovered, "peer", n, "after", now.Sub(since).Round(time.Millisecond))
		}
	}
	isGone := func(n state.NodeID) bool {
		if n == c.options.Self.Node {
			return false
		}
		m := c.state.Members[n]
		since, ok := c.silent[n]
		return m == nil || m.HasLeft || (ok && now.Sub(since) > holderGone)
	}
	for _, id := range sorted(c.racks) {
		c.racks[id].rack.DropHolder(now, isGone)
	}
}

// catchUp asks peers for what this node lacks when it does not reach the log.
func (c *Core) catchUp(now time.Time) {
	isOut := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > stateAfter/4
	if !isOut {
		return
	}
	peer, most := c.members.MostApplied(now)
	if peer == "" {
		return
	}
	if c.state.Applied < 0 && now.Sub(c.startedAt) > stateAfter && now.Sub(c.askedStateAt) > stateRetry {
		c.askedStateAt = now
		c.out.Send(peer, &node.Message{StateAsk: &node.StateAsk{}})
		return
	}
	if c.state.Applied >= 0 && most > c.state.Applied && now.Sub(c.askedTailAt) > tailRetry {
		c.askedTailAt = now
		c.out.Send(peer, &node.Message{TailAsk: &node.TailAsk{After: c.state.Applied}})
	}
}

func (c *Core) onTailAsk(from state.NodeID, m *node.TailAsk) {
	c.out.Send(from, &node.Message{Tail: &node.Tail{After: m.After, Entries: c.tail.After(m.After)}})
}

func (c *Core) onTail(from state.NodeID, m *node.Tail) {
	if len(m.Entries) == 0 {
		// The peer has no longer what comes next: its whole state has.
		c.out.Send(from, &node.Message{StateAsk: &node.StateAsk{}})
		return
	}
	if m.After > c.state.Applied {
		return
	}
	events.Log(events.RecordsFromPeer, "peer", from, "batches", len(m.Entries))
	for _, e := range m.Entries {
		c.fold(e.Offset, e.Data)
		c.out.SkipTo(e.Offset)
	}
	c.folded()
}

func (c *Core) onStateAsk(from state.NodeID) {
	if c.state.Applied < 0 {
		return
	}
	data, err := c.state.Marshal()
	if err != nil {
		events.Log(events.BadRecord, "err", err.Error())
		return
	}
	c.out.Send(from, &node.Message{State: &node.StateSet{Data: data}})
}

func (c *Core) onState(from state.NodeID, m *node.StateSet) {
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
	c.folded()
}
