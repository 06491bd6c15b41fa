// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/home"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/summary"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// maxRounds bounds how often orders between parts of the same node are passed
// on at once; what is left follows with the next event.
const maxRounds = 8

// Perform does what the racks and homes have ordered. Parts of the same node
// answer each other in rounds.
func (c *Core) Perform() {
	began := c.now()
	decided := 0
	for range maxRounds {
		isQuiet := true
		for _, id := range sorted(c.homes) {
			if c.performHome(id, c.homes[id]) {
				isQuiet = false
			}
		}
		for _, id := range sorted(c.racks) {
			o := c.racks[id]
			if o == nil {
				continue
			}
			o.rack.Flush(c.now())
			n, isBusy := c.performRack(id, o)
			decided += n
			if isBusy {
				isQuiet = false
			}
		}
		if isQuiet {
			break
		}
	}
	c.tellRooms()
	if decided > 0 {
		c.options.Meter.Decided(c.now().Sub(began) / time.Duration(decided))
	}
}

func (c *Core) performRack(id state.ShardID, o *ownedRack) (decided int, isBusy bool) {
	out := o.rack.Take()
	for _, d := range out.Decisions {
		events.Log(events.TaskPlaced, "task", d.Key.String(), "worker", d.Worker, "why", d.Why, "runnerUp", d.RunnerUp, "rack", id)
	}
	for _, e := range out.Events {
		c.logRackEvent(id, &e)
	}
	for i := range out.Starts {
		s := &out.Starts[i]
		if l := o.links[s.Worker]; l == nil || !l.Start(s) {
			o.rack.OnStartFailed(s.Worker, s.Tasks)
		}
	}
	for _, a := range out.Acts {
		if l := o.links[a.Worker]; l != nil {
			l.Act(a.Deed, a.Keys)
		}
	}
	for _, f := range out.Forgets {
		if l := o.links[f.Worker]; l != nil {
			l.Forget(f.Keys)
		}
	}
	for i := range out.ToHome {
		c.sendToHome(&out.ToHome[i])
	}
	for i := range out.ToNode {
		c.sendToNode(out.ToNode[i].Node, &out.ToNode[i].Message)
	}
	return len(out.Decisions), len(out.ToHome)+len(out.ToNode)+len(out.Starts) > 0
}

func (c *Core) sendToHome(m *rack.HomeMessage) {
	if c.homes[m.Home] != nil {
		c.toOwnedHome(c.now(), &m.Message)
		return
	}
	if owner, ok := c.OwnerOf(m.Home); ok {
		c.out.Send(owner, &m.Message)
	}
}

// sendToNode sends to a node, which may be this one.
func (c *Core) sendToNode(to state.NodeID, m *node.Message) {
	if to != c.options.Self.Node {
		c.out.Send(to, m)
		return
	}
	c.OnMessage(&node.Envelope{From: node.Hello{Node: to, Incarnation: c.options.Self.Incarnation}, Message: *m})
}

func (c *Core) performHome(id state.ShardID, h *home.Home) bool {
	out := h.Take()
	for _, d := range out.Decisions {
		events.Log(events.TaskRouted, "task", d.Key.String(), "rack", d.Rack, "why", d.Why)
	}
	for _, s := range out.Starts {
		events.Log(events.TaskStarted, "task", s.Key.String(), "worker", s.Worker, "class", s.Class, "waited", s.Waited)
		c.options.Meter.Waited("task", s.Class, s.Waited)
		c.options.Meter.Started()
	}
	for _, e := range out.Events {
		c.logHomeEvent(id, &e)
	}
	for i := range out.ToRack {
		c.sendToRack(out.ToRack[i].Rack, &out.ToRack[i].Message)
	}
	for _, p := range out.Records {
		c.putForHome(id, h, p)
	}
	return len(out.ToRack) > 0
}

func (c *Core) sendToRack(id state.ShardID, m *node.Message) {
	if c.racks[id] != nil {
		c.toOwnedRack(c.now(), c.options.Self.Node, m)
		return
	}
	owner, ok := c.OwnerOf(id)
	if ok && owner != c.options.Self.Node {
		c.out.Send(owner, m)
	}
}

// putForHome appends a home's record; the home hears of it only while it is
// still the same.
func (c *Core) putForHome(id state.ShardID, h *home.Home, p home.PendingRecord) {
	c.Append(p.Record, func(err error) {
		if c.homes[id] == h {
			h.OnRecorded(c.now(), p.Token, err)
		}
	})
}

// tellRooms gives changed summaries to the parts of this node at once; peers
// get them with the next heartbeat.
func (c *Core) tellRooms() {
	for _, id := range sorted(c.racks) {
		o := c.racks[id]
		if !o.rack.TakeChanged() {
			continue
		}
		room := o.rack.Room(c.now())
		if summary.IsSame(&room, &o.room) {
			continue
		}
		if summary.IsWorthTelling(&o.told, &room) {
			o.isRoomTold = false
		}
		o.room = room
		c.onRoom(&room)
	}
}

// PlanGrants asks for the slots that callers' requests wait for.
func (c *Core) PlanGrants() {
	p := c.options.Router.Plan()
	for i := range p.Asks {
		c.sendToRack(p.Asks[i].Rack, &node.Message{GrantAsk: &p.Asks[i]})
	}
	for i := range p.Done {
		c.sendToRack(p.Done[i].Rack, &node.Message{GrantDone: &p.Done[i]})
	}
}

var rackEvents = map[rack.EventKind]events.Event{
	rack.EventWorkerLost:     events.WorkerLost,
	rack.EventWorkerSetAside: events.WorkerEjected,
	rack.EventWorkerProbed:   events.WorkerProbed,
	rack.EventWorkerBack:     events.WorkerReadmitted,
	rack.EventWorkerSilent:   events.WorkerSilent,
	rack.EventWorkerLeaving:  events.WorkerLeaving,
	rack.EventWorkerOverused: events.WorkerOverused,
	rack.EventPreempted:      events.TaskPreempted,
	rack.EventLateTask:       events.TaskOverdue,
	rack.EventComplete:       events.RackReportComplete,
}

func (c *Core) logRackEvent(id state.ShardID, e *rack.Event) {
	kv := []any{"rack", id}
	if e.Worker != "" {
		kv = append(kv, "worker", e.Worker)
	}
	if e.Key != (worker.Key{}) {
		kv = append(kv, "task", e.Key.String())
	}
	if e.Detail != "" {
		kv = append(kv, "detail", e.Detail)
	}
	events.Log(rackEvents[e.Kind], kv...)
}

var homeEvents = map[home.EventKind]events.Event{
	home.EventNever:       events.JobCannotRun,
	home.EventUnknownFate: events.TaskFateUnknown,
	home.EventJobFailed:   events.JobFailed,
	home.EventGangBroken:  events.GangRestarted,
	home.EventSynced:      events.JobShardSynced,
	home.EventTwoAttempts: events.TaskRunsTwice,
}

func (c *Core) logHomeEvent(id state.ShardID, e *home.Event) {
	events.Log(homeEvents[e.Kind], "home", id, "job", e.Job, "detail", e.Detail)
}
