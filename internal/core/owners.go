// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"errors"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/jobshard"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// reconcile opens or closes a shard on this node after a claim of the shard has
// been applied.
func (c *Core) reconcile(id state.ShardID) {
	current := c.state.Shards[id]
	delete(c.pendingClaims, id)
	if d, ok := c.deputies[id]; ok && d.epoch.Claim() < current.Epoch {
		delete(c.deputies, id)
	}
	if e, ok := c.fenced[id]; ok && e.Claim() < current.Epoch {
		delete(c.fenced, id)
	}
	isOwner := current.Owner == c.options.Self
	if ownership.IsRack(id) {
		c.reconcileRack(id, current, isOwner)
		c.updateJobShardRacks()
		return
	}
	h := c.jobShards[id]
	if h != nil && (!isOwner || h.Epoch != current.Epoch) {
		delete(c.jobShards, id)
		c.logOwnerChange(events.ShardDropped, id, h.Epoch)
	}
	if isOwner && c.jobShards[id] == nil {
		c.openJobShard(id, current)
	}
}

func (c *Core) reconcileRack(id state.ShardID, current *state.Shard, isOwner bool) {
	epoch := worker.NewEpoch(current.Epoch, 0)
	if o := c.racks[id]; o != nil && (o.rack.Epoch < epoch || (!isOwner && o.rack.Epoch == epoch)) {
		c.closeRack(id)
	}
	if isOwner && c.racks[id] == nil {
		c.openRack(id, epoch, false)
	}
}

func (c *Core) logOwnerChange(e events.Event, id state.ShardID, epoch uint64) {
	events.Log(e, "shard", id, "epoch", epoch)
	c.options.Meter.OwnerChanged()
}

func (c *Core) openRack(id state.ShardID, epoch worker.Epoch, isDeputy bool) {
	now := c.now()
	r := rack.NewRack(now, id, epoch, rack.NewRackOptions{TTL: c.options.Lease, IsDeputy: isDeputy})
	o := &ownedRack{rack: r, links: map[worker.ID]WorkerLink{}}
	c.racks[id] = o
	if isDeputy {
		c.logOwnerChange(events.ShardDeputy, id, uint64(epoch))
	} else {
		c.logOwnerChange(events.ShardOwned, id, uint64(epoch))
	}
	c.setWorkers(id, o)
}

func (c *Core) closeRack(id state.ShardID) {
	o := c.racks[id]
	if o == nil {
		return
	}
	for _, l := range o.links {
		l.Stop()
	}
	delete(c.racks, id)
	c.logOwnerChange(events.ShardDropped, id, uint64(o.rack.Epoch))
}

// setWorkers updates a rack and its links to the workers from the platform's
// list of VMs.
func (c *Core) setWorkers(id state.ShardID, o *ownedRack) {
	list := []vmlist.VM{}
	for i := range c.vms {
		if c.vms[i].Rack != "" && ownership.RackShard(c.vms[i].Region, c.vms[i].Rack) == id {
			list = append(list, c.vms[i])
		}
	}
	o.rack.SetWorkers(c.now(), list)
	o.rack.SetDrained(c.isDrained)
	addrs := o.rack.Addrs()
	for w, l := range o.links {
		if _, ok := addrs[w]; !ok {
			l.Stop()
			delete(o.links, w)
		}
	}
	for _, w := range sorted(addrs) {
		if o.links[w] == nil {
			o.links[w] = c.env.OpenWorker(id, o.rack.Epoch, w, addrs[w])
		}
	}
}

// isDrained reports whether an operator drains the worker or its availability zone.
func (c *Core) isDrained(w worker.ID, zone string) bool {
	return c.policies.IsDrained(string(w)) || c.policies.IsZoneDrained(zone)
}

func (c *Core) openJobShard(id state.ShardID, current *state.Shard) {
	now := c.now()
	h := jobshard.NewShard(now, id, current.Epoch, c, jobshard.NewShardOptions{})
	c.jobShards[id] = h
	c.logOwnerChange(events.ShardOwned, id, current.Epoch)
	h.SetRacks(now, c.rackInfos())
	for _, rack := range sorted(c.rackSummaries) {
		h.OnRackSummary(c.rackSummaries[rack])
	}
	for _, job := range sorted(c.state.Jobs) {
		j := c.state.Jobs[job]
		if !j.IsEnded && ownership.JobShard(j.Spec.Region, j.Spec.Team) == id {
			h.AddJob(now, job, j, j.Offset > current.Offset)
		}
	}
}

// rackInfos lists the region's racks with the epochs that their workers obey:
// that of the owner, or that of a deputy.
func (c *Core) rackInfos() []jobshard.RackInfo {
	infos := []jobshard.RackInfo{}
	for _, id := range sorted(c.state.Shards) {
		s := c.state.Shards[id]
		if !ownership.IsRack(id) || ownership.Region(id) != c.options.Region {
			continue
		}
		epoch := worker.NewEpoch(s.Epoch, 0)
		if d, ok := c.deputies[id]; ok {
			epoch = max(epoch, d.epoch)
		}
		infos = append(infos, jobshard.RackInfo{ID: id, Epoch: epoch})
	}
	return infos
}

func (c *Core) updateJobShardRacks() {
	if len(c.jobShards) == 0 {
		return
	}
	infos := c.rackInfos()
	for _, h := range c.jobShards {
		h.SetRacks(c.now(), infos)
	}
}

// OwnerOf returns the node to which messages for a shard are sent: its owner, or
// the rack's deputy.
func (c *Core) OwnerOf(id state.ShardID) (state.NodeID, bool) {
	s := c.state.Shards[id]
	if s == nil {
		return "", false
	}
	if d, ok := c.deputies[id]; ok && d.epoch > worker.NewEpoch(s.Epoch, 0) {
		return d.node, true
	}
	return s.Owner.Node, true
}

// plan appends the claims that the planner considers due. It waits until the log
// has been read to its end since the previous plan, so that it knows the
// result of earlier claims.
func (c *Core) plan(now time.Time) {
	isReady := c.IsJoined() && !c.joinedAt.IsZero() && now.Sub(c.joinedAt) > firstClaimDelay
	if !isReady || now.Sub(c.plannedAt) < planPeriod || c.isLogUnavailable(now) || c.caughtUpAt.Before(c.plannedAt) {
		return
	}
	c.plannedAt = now
	for _, claim := range c.planner.Plan(c.view(now)) {
		if c.pendingClaims[claim.Shard] == claim.Epoch {
			continue
		}
		c.pendingClaims[claim.Shard] = claim.Epoch
		c.Append(state.Record{Claim: &claim}, func(err error) {
			if err == nil {
				return
			}
			delete(c.pendingClaims, claim.Shard)
			if errors.Is(err, state.ErrOutcomeUnknown) {
				// The state that this node continues from says who owns the shard.
				return
			}
			events.Log(events.ClaimRefused, "shard", claim.Shard, "epoch", claim.Epoch, "err", err.Error())
		})
	}
}

func (c *Core) view(now time.Time) *ownership.View {
	region := c.options.Region
	return &ownership.View{
		Now: now, Self: c.options.Self, Region: region, State: c.state, IsDraining: c.isDraining,
		Alive:    c.members.Alive(now, region, !c.isDraining && c.IsJoined()),
		IsDead:   func(n state.NodeID) bool { return c.isDead(now, n) },
		IsFenced: func(id state.ShardID) bool { _, ok := c.fenced[id]; return ok },
		Shards:   c.shards(),
	}
}

// shards lists the region's job shards, and the racks that the platform's list
// of VMs or the log has.
func (c *Core) shards() []ownership.Shard {
	region := c.options.Region
	list := ownership.JobShards(region)
	seen := map[state.ShardID]bool{}
	for i := range c.vms {
		vm := &c.vms[i]
		if vm.Rack == "" || vm.Region != region {
			continue
		}
		id := ownership.RackShard(region, vm.Rack)
		if !seen[id] {
			seen[id] = true
			list = append(list, ownership.Shard{ID: id, Zone: vm.Zone})
		}
	}
	for _, id := range sorted(c.state.Shards) {
		if ownership.IsRack(id) && ownership.Region(id) == region && !seen[id] {
			// None of its VMs is in the platform's list any more, but the rack needs
			// an owner that reports its tasks as lost.
			list = append(list, ownership.Shard{ID: id})
		}
	}
	return list
}

// takeOverAsDeputy opens the racks of dead owners for which this node is the
// deputy while the log is unavailable, so that their leases are renewed and
// their tasks keep running.
func (c *Core) takeOverAsDeputy(now time.Time) {
	isUnavailableForAll := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > deputyAfter && c.members.IsLogUnavailableForAll(now)
	if !isUnavailableForAll || !c.IsJoined() || c.isDraining {
		return
	}
	v := c.view(now)
	for _, id := range sorted(c.state.Shards) {
		s := c.state.Shards[id]
		if !ownership.IsRack(id) || ownership.Region(id) != v.Region || c.racks[id] != nil || !v.IsDead(s.Owner.Node) {
			continue
		}
		rank := ownership.DeputyRank(v, s)
		epoch := worker.NewEpoch(s.Epoch, rank)
		if rank == 0 || c.deputies[id].epoch >= epoch || c.fenced[id] >= epoch {
			continue
		}
		c.openRack(id, epoch, true)
		c.deputies[id] = deputy{c.options.Self.Node, epoch}
		c.updateJobShardRacks()
	}
}

// onDeputyReport handles a peer's report of the racks for which it is the
// deputy. If this node owns such a rack and is alive after all, it closes the
// rack, because the workers obey the deputy's higher epoch.
func (c *Core) onDeputyReport(from state.NodeID, list []node.DeputyRack) {
	for _, d := range list {
		s := c.state.Shards[d.Rack]
		if s == nil || d.Epoch.Claim() != s.Epoch || c.deputies[d.Rack].epoch >= d.Epoch {
			continue
		}
		c.deputies[d.Rack] = deputy{from, d.Epoch}
		if o := c.racks[d.Rack]; o != nil && o.rack.Epoch < d.Epoch {
			c.OnFenced(d.Rack, o.rack.Epoch, d.Epoch)
		}
		c.updateJobShardRacks()
	}
}

// OnFenced closes a rack whose workers obey a later epoch than this node's. If
// this node still owns the rack according to the log, the next plan claims it
// with a new epoch as soon as the log is available.
func (c *Core) OnFenced(id state.ShardID, epoch, seen worker.Epoch) {
	o := c.racks[id]
	if o == nil || o.rack.Epoch != epoch || seen <= epoch {
		return
	}
	events.Log(events.RackFenced, "rack", id, "epoch", uint64(epoch), "seen", uint64(seen))
	c.fenced[id] = seen
	c.closeRack(id)
}

// confirmSoleOwner passes to the racks the time up to which it is certain that
// no other node renewed leases on their workers. This follows from the log, or, while it
// is unavailable, from the heartbeats of all members of the region. A rack may
// consider a lease expired only on this ground.
func (c *Core) confirmSoleOwner(now time.Time) {
	asOf := c.caughtUpAt
	if c.isLogUnavailable(now) {
		asOf = c.confirmedByMembers(now)
	}
	if asOf.IsZero() {
		return
	}
	for id, o := range c.racks {
		s := c.state.Shards[id]
		if s == nil || s.Owner != c.options.Self || !c.haveEnded(s.PreviousOwners, s.Offset) {
			continue
		}
		if _, ok := c.deputies[id]; !ok {
			o.rack.ConfirmSoleOwner(asOf)
		}
	}
}

// haveEnded reports whether each of the previous owners has ended, or has
// applied the log up to the offset of the claim that replaced it.
func (c *Core) haveEnded(past []state.Process, offset int64) bool {
	for _, p := range past {
		if !c.state.IsEnded(p) && !c.members.HasApplied(p, offset) {
			return false
		}
	}
	return true
}

// confirmedByMembers returns a time up to which no member of the region can have
// applied a claim that this node does not know. All of them must send heartbeats,
// must report that they cannot read the log, and must not have applied more of it
// than this node; otherwise the time is zero. The result is 2 s in the past
// because the last heartbeat of a member that is not suspected may be almost
// that old.
func (c *Core) confirmedByMembers(now time.Time) time.Time {
	for id, m := range c.state.Members {
		if m.HasLeft || m.Region != c.options.Region || id == c.options.Self.Node {
			continue
		}
		if c.members.IsSuspect(now, id) || c.members.Applied(id) > c.state.Applied {
			return time.Time{}
		}
	}
	if !c.members.IsLogUnavailableForAll(now) {
		return time.Time{}
	}
	return now.Add(-2 * time.Second)
}
