// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/front"
	"github.com/leverdyke/leverdyke/internal/journal"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/tail"
)

// OnTailed takes what the log's reader found.
func (c *Core) OnTailed(e *journal.Tailed) {
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
		c.fold(e.Entries[i].Offset, e.Entries[i].Data)
	}
	if e.IsCaughtUp && e.SentAt.After(c.caughtUpAt) {
		c.caughtUpAt = e.SentAt
	}
	c.folded()
}

// fold takes one batch of the log. An offset that was folded before, because a
// peer sent it first, changes nothing.
func (c *Core) fold(offset int64, data []byte) {
	if offset <= c.state.Applied {
		return
	}
	c.tail.Add(offset, data)
	b, err := state.DecodeBatch(data)
	if err != nil {
		events.Log(events.BadRecord, "offset", offset, "err", err.Error())
		c.state.Skip(offset)
		return
	}
	out := c.state.Apply(offset, b)
	isOwn := b.Node == c.options.Self.Node && b.Incarnation == c.options.Self.Incarnation
	if out.Err == nil {
		for i := range b.Records {
			c.onRecord(offset, b.Node, &b.Records[i], out.Results[i])
		}
	}
	if isOwn {
		c.out.Folded(b.Seq, out)
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
		c.out.Disconnect(r.Leave.Node)
		c.members.Remove(r.Leave.Node)
	case r.Claim != nil:
		c.reconcile(r.Claim.Shard)
	case r.Submit != nil:
		c.onSubmit(r.Submit.Spec.ID)
	case r.Publish != nil:
		c.onPublish(r.Publish.Doc)
	case r.Cancel != nil:
		events.Log(events.JobCancelled, "job", r.Cancel.Job)
		c.noteEnded(r.Cancel.Job)
	case r.Finals != nil:
		c.noteEnded(r.Finals.Job)
	case r.Doubt != nil:
		c.onDoubt(offset, writer, r.Doubt)
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
	c.out.Connect(id, m.Link)
}

func (c *Core) onSubmit(id string) {
	j := c.state.Jobs[id]
	if j == nil {
		return
	}
	c.isJobsChanged = true
	events.Log(events.JobAccepted, "job", id, "team", j.Spec.Team, "kind", j.Spec.Kind, "tasks", j.Spec.Tasks, "offset", j.Offset)
	shard := ownership.HomeShard(j.Spec.Region, j.Spec.Team)
	if h := c.homes[shard]; h != nil {
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

// folded brings the parts up to date after a page of the log.
func (c *Core) folded() {
	if !c.isJobsChanged {
		return
	}
	c.isJobsChanged = false
	c.dropEndedJobs()
	c.listServices()
}

func (c *Core) noteEnded(job string) {
	if j := c.state.Jobs[job]; j != nil && j.IsEnded {
		c.ended = append(c.ended, job)
		c.isJobsChanged = true
	}
}

// dropEndedJobs tells the homes which of their jobs have ended, all at once.
func (c *Core) dropEndedJobs() {
	byHome := map[state.ShardID][]string{}
	for _, id := range c.ended {
		j := c.state.Jobs[id]
		if j == nil {
			continue
		}
		shard := ownership.HomeShard(j.Spec.Region, j.Spec.Team)
		byHome[shard] = append(byHome[shard], id)
	}
	c.ended = nil
	for _, shard := range sorted(byHome) {
		if h := c.homes[shard]; h != nil {
			h.EndJobs(byHome[shard])
		}
	}
}

func (c *Core) listServices() {
	infos := map[string]front.Info{}
	for _, j := range c.state.Jobs {
		// A node knows the rooms of its own region only: a request for another
		// region's service is refused at once.
		if j.Spec.Service != "" && !j.IsEnded && j.Spec.Region == c.options.Region {
			old := infos[j.Spec.Service]
			infos[j.Spec.Service] = front.Info{IsOnce: old.IsOnce || j.Spec.IsRequestOnce}
		}
	}
	c.options.Router.SetServices(infos)
}

// replaceState goes on from a later state than the own one.
func (c *Core) replaceState(s *state.State) {
	c.state = s
	c.snapshotBase = max(c.snapshotBase, s.Applied)
	c.tail = tail.NewBuffer(s.Applied)
	c.out.SkipTo(s.Applied)
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
		shard := ownership.HomeShard(j.Spec.Region, j.Spec.Team)
		if h := c.homes[shard]; h != nil && !j.IsEnded {
			h.AddJob(c.now(), id, j, j.Offset > s.Shards[shard].Offset)
		}
	}
	c.isJobsChanged = true
	if s.IsLive(c.options.Self) {
		// Records of this process that stand before the state are not folded here.
		c.out.Passed(s.Members[c.options.Self.Node].Seq)
	}
}

// snapshot writes the state back into the log long before the records that it
// is made of are dropped. The first node of the cell's list does it.
func (c *Core) snapshot(now time.Time) {
	if c.isSnapping || !c.IsJoined() || c.isDraining || c.isLogOut(now) || c.state.Applied-c.snapshotBase < c.options.SnapshotEvery {
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
	c.isSnapping = true
	base, left := c.state.Applied, len(records)
	for _, r := range records {
		c.Append(r, func(err error) {
			left--
			if left == 0 {
				c.isSnapping = false
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
