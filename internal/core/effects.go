// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/jobshard"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/summary"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// maxRounds bounds how often one call of ProcessOutputs delivers messages
// between shards of this node; further ones are delivered after the next event.
const maxRounds = 8

// ProcessOutputs carries out what the racks and job shards have queued: it sends
// messages and orders, appends records and logs events. Messages between shards
// of this node are delivered at once, in rounds, since each may cause replies.
func (c *Core) ProcessOutputs() {
	began := c.now()
	decided := 0
	for range maxRounds {
		isIdle := true
		for _, id := range sorted(c.jobShards) {
			if c.processJobShard(id, c.jobShards[id]) {
				isIdle = false
			}
		}
		for _, id := range sorted(c.racks) {
			o := c.racks[id]
			if o == nil {
				continue
			}
			o.rack.Flush(c.now())
			n, hasOutput := c.processRack(id, o)
			decided += n
			if hasOutput {
				isIdle = false
			}
		}
		if isIdle {
			break
		}
	}
	c.updateSummaries()
	if decided > 0 {
		c.options.Meter.Decided(c.now().Sub(began) / time.Duration(decided))
	}
}

func (c *Core) processRack(id state.ShardID, o *ownedRack) (decided int, hasOutput bool) {
	out := o.rack.TakeOutput()
	for _, d := range out.Decisions {
		events.Log(events.TaskPlaced, "task", d.Key.String(), "worker", d.Worker, "why", d.Reason, "runnerUp", d.RunnerUp, "rack", id)
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
			l.Act(a.Action, a.Keys)
		}
	}
	for _, f := range out.Forgets {
		if l := o.links[f.Worker]; l != nil {
			l.Forget(f.Keys)
		}
	}
	for i := range out.ToJobShards {
		c.sendToJobShard(&out.ToJobShards[i])
	}
	for i := range out.ToNodes {
		c.sendToNode(out.ToNodes[i].Node, &out.ToNodes[i].Message)
	}
	return len(out.Decisions), len(out.ToJobShards)+len(out.ToNodes)+len(out.Starts) > 0
}

func (c *Core) sendToJobShard(m *rack.JobShardMessage) {
	if c.jobShards[m.JobShard] != nil {
		c.deliverToJobShard(c.now(), &m.Message)
		return
	}
	if owner, ok := c.OwnerOf(m.JobShard); ok {
		c.env.Send(owner, &m.Message)
	}
}

// sendToNode sends a message to a node, or delivers it directly if it is for
// this one.
func (c *Core) sendToNode(to state.NodeID, m *node.Message) {
	if to != c.options.Self.Node {
		c.env.Send(to, m)
		return
	}
	c.OnMessage(&node.Envelope{From: node.Hello{Node: to, Incarnation: c.options.Self.Incarnation}, Message: *m})
}

func (c *Core) processJobShard(id state.ShardID, h *jobshard.Shard) bool {
	out := h.TakeOutput()
	for _, d := range out.Decisions {
		events.Log(events.TaskRouted, "task", d.Key.String(), "rack", d.Rack, "why", d.Reason)
	}
	for _, s := range out.Starts {
		events.Log(events.TaskStarted, "task", s.Key.String(), "worker", s.Worker, "class", s.Class, "waited", s.Waited)
		c.options.Meter.Waited("task", s.Class, s.Waited)
		c.options.Meter.Started()
	}
	for _, e := range out.Events {
		c.logJobShardEvent(id, &e)
	}
	for i := range out.ToRack {
		c.sendToRack(out.ToRack[i].Rack, &out.ToRack[i].Message)
	}
	for _, p := range out.Records {
		c.appendForJobShard(id, h, p)
	}
	return len(out.ToRack) > 0
}

func (c *Core) sendToRack(id state.ShardID, m *node.Message) {
	if c.racks[id] != nil {
		c.deliverToRack(c.now(), c.options.Self.Node, m)
		return
	}
	owner, ok := c.OwnerOf(id)
	if ok && owner != c.options.Self.Node {
		c.env.Send(owner, m)
	}
}

// appendForJobShard appends a job shard's record. The result is dropped if this
// node has closed the job shard meanwhile, even if it has opened it again.
func (c *Core) appendForJobShard(id state.ShardID, h *jobshard.Shard, p jobshard.PendingRecord) {
	c.Append(p.Record, func(err error) {
		if c.jobShards[id] == h {
			h.OnRecordResult(c.now(), p.Token, err)
		}
	})
}

// updateSummaries passes changed summaries of the racks to the job shards and the
// router of this node at once. If peers need them, a heartbeat carries them.
func (c *Core) updateSummaries() {
	for _, id := range sorted(c.racks) {
		o := c.racks[id]
		if !o.rack.TakeSummaryChanged() {
			continue
		}
		rackSummary := o.rack.Summary(c.now())
		if summary.IsEqual(&rackSummary, &o.summary) {
			continue
		}
		if summary.IsUpdateNeeded(&o.reported, &rackSummary) {
			o.isReported = false
		}
		o.summary = rackSummary
		c.onSummary(&rackSummary)
	}
}

// RequestGrants sends racks the requests for the slots that callers' requests
// wait for, and returns grants that are no longer needed.
func (c *Core) RequestGrants() {
	p := c.options.Router.Plan()
	for i := range p.GrantRequests {
		c.sendToRack(p.GrantRequests[i].Rack, &node.Message{GrantRequest: &p.GrantRequests[i]})
	}
	for i := range p.GrantReturns {
		c.sendToRack(p.GrantReturns[i].Rack, &node.Message{GrantReturn: &p.GrantReturns[i]})
	}
}

var rackEvents = map[rack.EventKind]events.Event{
	rack.EventWorkerLost:       events.WorkerLost,
	rack.EventWorkerEjected:    events.WorkerEjected,
	rack.EventWorkerProbed:     events.WorkerProbed,
	rack.EventWorkerReadmitted: events.WorkerReadmitted,
	rack.EventWorkerSilent:     events.WorkerSilent,
	rack.EventWorkerLeaving:    events.WorkerLeaving,
	rack.EventWorkerOverused:   events.WorkerOverused,
	rack.EventPreempted:        events.TaskPreempted,
	rack.EventLateTask:         events.TaskOverdue,
	rack.EventComplete:         events.RackReportComplete,
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

var jobShardEvents = map[jobshard.EventKind]events.Event{
	jobshard.EventUnschedulable:    events.JobCannotRun,
	jobshard.EventUnknownOutcome:   events.TaskFateUnknown,
	jobshard.EventJobFailed:        events.JobFailed,
	jobshard.EventGangRestart:      events.GangRestarted,
	jobshard.EventSynced:           events.JobShardSynced,
	jobshard.EventDuplicateAttempt: events.TaskRunsTwice,
}

func (c *Core) logJobShardEvent(id state.ShardID, e *jobshard.Event) {
	events.Log(jobShardEvents[e.Kind], "home", id, "job", e.Job, "detail", e.Detail)
}
