// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/journal"
	"github.com/leverdyke/leverdyke/internal/logbuffer"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/state"
)

// OnLogRead handles the result of a read of the log.
func (c *Core) OnLogRead(e *journal.ReadResult) {
	now := c.now()
	if e.Err != nil {
		if c.readFailingSince.IsZero() {
			c.readFailingSince = now
			events.Log(events.LogUnavailable, "err", e.Err.Error())
		}
		return
	}
	if !c.readFailingSince.IsZero() {
		events.Log(events.LogRecovered, "after", now.Sub(c.readFailingSince).Round(time.Millisecond))
		c.readFailingSince = time.Time{}
	}
	if e.State != nil && e.State.Applied > c.state.Applied {
		events.Log(events.SnapshotRead, "offset", e.State.Applied)
		c.replaceState(e.State)
	}
	for i := range e.Entries {
		c.applyBatch(e.Entries[i].Offset, e.Entries[i].Data)
	}
	if e.IsCaughtUp && e.SentAt.After(c.caughtUpAt) {
		c.caughtUpAt = e.SentAt
	}
	c.afterApply()
}

// applyBatch applies one batch of the log to the state. A batch that has been
// applied before, because a peer sent it first, is ignored.
func (c *Core) applyBatch(offset int64, data []byte) {
	if offset <= c.state.Applied {
		return
	}
	c.recentBatches.Add(offset, data)
	b, err := state.DecodeBatch(data)
	if err != nil {
		events.Log(events.BadRecord, "offset", offset, "err", err.Error())
		c.state.Skip(offset)
		return
	}
	outcome := c.state.Apply(offset, b)
	isOwn := b.Node == c.options.Self.Node && b.Incarnation == c.options.Self.Incarnation
	if outcome.Err == nil {
		for i := range b.Records {
			c.onRecord(offset, b.Node, &b.Records[i], outcome.Results[i])
		}
	}
	if isOwn {
		c.env.BatchApplied(b.Seq, outcome)
	}
}

func (c *Core) onRecord(offset int64, writer state.NodeID, r *state.Record, result error) {
	if result != nil {
		return
	}
	switch {
	case r.Join != nil:
		c.onJoin(r.Join.Node)
	case r.Leave != nil:
		events.Log(events.PeerEnded, "peer", r.Leave.Node)
		c.env.Disconnect(r.Leave.Node)
		c.members.Remove(r.Leave.Node)
	case r.Claim != nil:
		c.reconcile(r.Claim.Shard)
	case r.Submit != nil:
		c.onSubmit(r.Submit.Spec.ID)
	case r.Publish != nil:
		c.onPublish(r.Publish.Doc)
	case r.Cancel != nil:
		events.Log(events.JobCancelled, "job", r.Cancel.Job)
		c.recordEndedJob(r.Cancel.Job)
	case r.TaskResults != nil:
		c.recordEndedJob(r.TaskResults.Job)
	case r.LivenessQuery != nil:
		c.onLivenessQuery(offset, writer, r.LivenessQuery)
	case r.Chunk != nil:
		c.snapshotBase = max(c.snapshotBase, r.Chunk.Base)
	}
}

func (c *Core) onJoin(id state.NodeID) {
	m := c.state.Members[id]
	if id == c.options.Self.Node {
		if m.Incarnation > c.options.Self.Incarnation {
			events.Log(events.NodeReplaced)
		}
		return
	}
	c.members.Add(c.now(), id, m.Region)
	c.env.Connect(id, m.Link)
}

func (c *Core) onSubmit(id string) {
	j := c.state.Jobs[id]
	if j == nil {
		return
	}
	c.haveJobsChanged = true
	events.Log(events.JobAccepted, "job", id, "team", j.Spec.Team, "kind", j.Spec.Kind, "tasks", j.Spec.Tasks, "offset", j.Offset)
	shard := ownership.JobShard(j.Spec.Region, j.Spec.Team)
	if h := c.jobShards[shard]; h != nil {
		h.AddJob(c.now(), id, j, j.Offset > c.state.Shards[shard].Offset)
	}
}

func (c *Core) onPublish(doc string) {
	d := c.state.Docs[doc]
	if err := c.policies.Put(doc, d.Body); err != nil {
		events.Log(events.ConfigUnreadable, "doc", doc, "version", d.Version, "err", err.Error())
		return
	}
	events.Log(events.ConfigInForce, "doc", doc, "version", d.Version, "offset", d.Offset)
	for _, o := range c.racks {
		o.rack.SetDrained(c.isDrained)
	}
}

// afterApply updates the job shards and the router after several batches have
// been applied, so that this work is done once for all of them.
func (c *Core) afterApply() {
	if !c.haveJobsChanged {
		return
	}
	c.haveJobsChanged = false
	c.dropEndedJobs()
	c.updateServices()
}

func (c *Core) recordEndedJob(job string) {
	if j := c.state.Jobs[job]; j != nil && j.IsEnded {
		c.endedJobs = append(c.endedJobs, job)
		c.haveJobsChanged = true
	}
}

// dropEndedJobs passes the jobs that have ended to their job shards, with one
// call for each shard.
func (c *Core) dropEndedJobs() {
	jobsByShard := map[state.ShardID][]string{}
	for _, id := range c.endedJobs {
		j := c.state.Jobs[id]
		if j == nil {
			continue
		}
		shard := ownership.JobShard(j.Spec.Region, j.Spec.Team)
		jobsByShard[shard] = append(jobsByShard[shard], id)
	}
	c.endedJobs = nil
	for _, shard := range sorted(jobsByShard) {
		if h := c.jobShards[shard]; h != nil {
			h.EndJobs(jobsByShard[shard])
		}
	}
}

func (c *Core) updateServices() {
	infos := map[string]router.Info{}
	for _, j := range c.state.Jobs {
		// A node receives only the summaries of its own region's racks, so that it
		// refuses a request for another region's service at once.
		if j.Spec.Service != "" && !j.IsEnded && j.Spec.Region == c.options.Region {
			old := infos[j.Spec.Service]
			infos[j.Spec.Service] = router.Info{IsOnce: old.IsOnce || j.Spec.IsRequestOnce}
		}
	}
	c.options.Router.SetServices(infos)
}

// replaceState continues from a state, of a snapshot or a peer, that is further
// on in the log than this node's.
func (c *Core) replaceState(s *state.State) {
	c.state = s
	c.snapshotBase = max(c.snapshotBase, s.Applied)
	c.recentBatches = logbuffer.NewBuffer(s.Applied)
	c.env.SkipTo(s.Applied)
	c.policies.Clear()
	for _, doc := range sorted(s.Docs) {
		c.onPublish(doc)
	}
	for _, id := range sorted(s.Members) {
		if !s.Members[id].HasLeft {
			c.onJoin(id)
		}
	}
	for _, id := range sorted(s.Shards) {
		c.reconcile(id)
	}
	for _, id := range sorted(s.Jobs) {
		j := s.Jobs[id]
		shard := ownership.JobShard(j.Spec.Region, j.Spec.Team)
		if h := c.jobShards[shard]; h != nil && !j.IsEnded {
			h.AddJob(c.now(), id, j, j.Offset > s.Shards[shard].Offset)
		}
	}
	c.haveJobsChanged = true
	if s.IsLive(c.options.Self) {
		// The state includes batches of this process that this process has not
		// applied itself, so that their outcomes are unknown to it.
		c.env.BatchesSkipped(s.Members[c.options.Self.Node].Seq)
	}
}

// snapshot appends the state to the log, so that a new node can start from it
// once the log has dropped the records that led to it. The live member with the
// lowest ID does so every SnapshotEvery batches, long before any are dropped.
func (c *Core) snapshot(now time.Time) {
	if c.isSnapshotting || !c.IsJoined() || c.isDraining || c.isLogUnavailable(now) || c.state.Applied-c.snapshotBase < c.options.SnapshotEvery {
		return
	}
	if !c.isFirstMember(now) {
		return
	}
	records, err := c.state.Snapshot()
	if err != nil {
		events.Log(events.BadRecord, "err", err.Error())
		return
	}
	c.isSnapshotting = true
	base, remaining := c.state.Applied, len(records)
	for _, r := range records {
		c.Append(r, func(err error) {
			remaining--
			if remaining == 0 {
				c.isSnapshotting = false
				events.Log(events.SnapshotTaken, "offset", base, "parts", len(records), "err", err)
			}
		})
	}
}

func (c *Core) isFirstMember(now time.Time) bool {
	for id, m := range c.state.Members {
		if !m.HasLeft && id < c.options.Self.Node && !c.members.IsSuspect(now, id) {
			return false
		}
	}
	return true
}
