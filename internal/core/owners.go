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

// reconcile makes what this node owns agree with the winning claim.
func (c *Core) reconcile(id state.ShardID) {
	cur := c.state.Shards[id]
	delete(c.claiming, id)
	if d, ok := c.deputised[id]; ok && d.epoch.Claim() < cur.Epoch {
		delete(c.deputised, id)
	}
	if e, ok := c.fenced[id]; ok && e.Claim() < cur.Epoch {
		delete(c.fenced, id)
	}
	isMine := cur.Owner == c.options.Self
	if ownership.IsRack(id) {
		c.reconcileRack(id, cur, isMine)
		c.tellHomesOfRacks()
		return
	}
	h := c.homes[id]
	if h != nil && (!isMine || h.Epoch != cur.Epoch) {
		delete(c.homes, id)
		c.changed(events.ShardDropped, id, h.Epoch)
	}
	if isMine && c.homes[id] == nil {
		c.openHome(id, cur)
	}
}

func (c *Core) reconcileRack(id state.ShardID, cur *state.Shard, isMine bool) {
	epoch := worker.NewEpoch(cur.Epoch, 0)
	if o := c.racks[id]; o != nil && (o.rack.Epoch < epoch || (!isMine && o.rack.Epoch == epoch)) {
		c.dropRack(id)
	}
	if isMine && c.racks[id] == nil {
		c.openRack(id, epoch, false)
	}
}

func (c *Core) changed(e events.Event, id state.ShardID, epoch uint64) {
	events.Log(e, "shard", id, "epoch", epoch)
	c.options.Meter.OwnerChanged()
}

func (c *Core) openRack(id state.ShardID, epoch worker.Epoch, isDeputy bool) {
	now := c.now()
	r := rack.NewRack(now, id, epoch, rack.NewRackOptions{TTL: c.options.Lease, IsDeputy: isDeputy})
	o := &ownedRack{rack: r, links: map[worker.ID]WorkerLink{}}
	c.racks[id] = o
	if isDeputy {
		c.changed(events.ShardDeputy, id, uint64(epoch))
	} else {
		c.changed(events.ShardOwned, id, uint64(epoch))
	}
	c.setWorkers(id, o)
}

func (c *Core) dropRack(id state.ShardID) {
	o := c.racks[id]
	if o == nil {
		return
	}
	for _, l := range o.links {
		l.Stop()
	}
	delete(c.racks, id)
	c.changed(events.ShardDropped, id, uint64(o.rack.Epoch))
}

// setWorkers brings a rack and its links up to the platform's list.
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
			o.links[w] = c.out.OpenWorker(id, o.rack.Epoch, w, addrs[w])
		}
	}
}

func (c *Core) isDrained(w worker.ID) bool { return c.policies.IsDrained(string(w)) }

func (c *Core) openHome(id state.ShardID, cur *state.Shard) {
	now := c.now()
	h := jobshard.NewShard(now, id, cur.Epoch, c, jobshard.NewShardOptions{})
	c.homes[id] = h
	c.changed(events.ShardOwned, id, cur.Epoch)
	h.SetRacks(now, c.rackInfos())
	for _, rack := range sorted(c.rooms) {
		h.OnRackSummary(c.rooms[rack])
	}
	for _, job := range sorted(c.state.Jobs) {
		j := c.state.Jobs[job]
		if !j.IsEnded && ownership.HomeShard(j.Spec.Region, j.Spec.Team) == id {
			h.AddJob(now, job, j, j.Offset > cur.Offset)
		}
	}
}

// rackInfos lists the region's racks under the epochs in force.
func (c *Core) rackInfos() []jobshard.RackInfo {
	infos := []jobshard.RackInfo{}
	for _, id := range sorted(c.state.Shards) {
		s := c.state.Shards[id]
		if !ownership.IsRack(id) || ownership.Region(id) != c.options.Region {
			continue
		}
		epoch := worker.NewEpoch(s.Epoch, 0)
		if d, ok := c.deputised[id]; ok {
			epoch = max(epoch, d.epoch)
		}
		infos = append(infos, jobshard.RackInfo{ID: id, Epoch: epoch})
	}
	return infos
}

func (c *Core) tellHomesOfRacks() {
	if len(c.homes) == 0 {
		return
	}
	infos := c.rackInfos()
	for _, h := range c.homes {
		h.SetRacks(c.now(), infos)
	}
}

// OwnerOf returns the node to which messages for a shard go.
func (c *Core) OwnerOf(id state.ShardID) (state.NodeID, bool) {
	s := c.state.Shards[id]
	if s == nil {
		return "", false
	}
	if d, ok := c.deputised[id]; ok && d.epoch > worker.NewEpoch(s.Epoch, 0) {
		return d.node, true
	}
	return s.Owner.Node, true
}

// plan appends the claims that are due.
func (c *Core) plan(now time.Time) {
	isReady := c.IsJoined() && !c.joinedAt.IsZero() && now.Sub(c.joinedAt) > claimAfter
	if !isReady || now.Sub(c.planAt) < planPeriod || c.isLogOut(now) || c.caughtUpAt.Before(c.planAt) {
		return
	}
	c.planAt = now
	for _, claim := range c.planner.Plan(c.view(now)) {
		if c.claiming[claim.Shard] == claim.Epoch {
			continue
		}
		c.claiming[claim.Shard] = claim.Epoch
		c.Append(state.Record{Claim: &claim}, func(err error) {
			if err == nil {
				return
			}
			delete(c.claiming, claim.Shard)
			if errors.Is(err, state.ErrUnseen) {
				// Whose the shard is stands in the state that came instead.
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

// shards lists the region's homes and the racks of the platform's list.
func (c *Core) shards() []ownership.Shard {
	region := c.options.Region
	list := ownership.Homes(region)
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
			// All its VMs are gone from the list, but somebody has to say so of
			// its tasks.
			list = append(list, ownership.Shard{ID: id})
		}
	}
	return list
}

// watchDeputies keeps the racks of dead owners alive while the log is out.
func (c *Core) watchDeputies(now time.Time) {
	isOut := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > deputyAfter && c.members.IsLogOutForAll(now)
	if !isOut || !c.IsJoined() || c.isDraining {
		return
	}
	v := c.view(now)
	for _, id := range sorted(c.state.Shards) {
		s := c.state.Shards[id]
		if !ownership.IsRack(id) || ownership.Region(id) != v.Region || c.racks[id] != nil || !v.IsDead(s.Owner.Node) {
			continue
		}
		place := ownership.DeputyPlace(v, s)
		epoch := worker.NewEpoch(s.Epoch, place)
		if place == 0 || c.deputised[id].epoch >= epoch || c.fenced[id] >= epoch {
			continue
		}
		c.openRack(id, epoch, true)
		c.deputised[id] = deputy{c.options.Self.Node, epoch}
		c.tellHomesOfRacks()
	}
}

// onDeputised takes a peer's word that it keeps a rack alive. An owner that is
// alive after all yields: the workers obey the deputy.
func (c *Core) onDeputised(from state.NodeID, list []node.DeputyRack) {
	for _, d := range list {
		s := c.state.Shards[d.Rack]
		if s == nil || d.Epoch.Claim() != s.Epoch || c.deputised[d.Rack].epoch >= d.Epoch {
			continue
		}
		c.deputised[d.Rack] = deputy{from, d.Epoch}
		if o := c.racks[d.Rack]; o != nil && o.rack.Epoch < d.Epoch {
			c.OnFenced(d.Rack, o.rack.Epoch, d.Epoch)
		}
		c.tellHomesOfRacks()
	}
}

// OnFenced gives a rack up whose workers obey another owner. While it is the
// owner by the log, it claims the next epoch as soon as the log takes it.
func (c *Core) OnFenced(id state.ShardID, epoch, seen worker.Epoch) {
	o := c.racks[id]
	if o == nil || o.rack.Epoch != epoch || seen <= epoch {
		return
	}
	events.Log(events.RackFenced, "rack", id, "epoch", uint64(epoch), "seen", uint64(seen))
	c.fenced[id] = seen
	c.dropRack(id)
}

// confirmSole tells the racks up to when it is certain that nobody else renews
// leases on their workers: by the log, or, while it is out, by the word of
// every member of the region.
func (c *Core) confirmSole(now time.Time) {
	asOf := c.caughtUpAt
	if c.isLogOut(now) {
		asOf = c.membersWord(now)
	}
	if asOf.IsZero() {
		return
	}
	for id, o := range c.racks {
		s := c.state.Shards[id]
		if s == nil || s.Owner != c.options.Self || !c.areEnded(s.Past, s.Offset) {
			continue
		}
		if _, ok := c.deputised[id]; !ok {
			o.rack.SetSole(asOf)
		}
	}
}

func (c *Core) areEnded(past []state.Owner, offset int64) bool {
	for _, p := range past {
		if !c.state.IsEnded(p) && !c.members.HasFolded(p, offset) {
			return false
		}
	}
	return true
}

// membersWord returns since when every member of the region has said that it
// does not reach the log, is no further than this node, and is heard; zero if
// one of them has not.
func (c *Core) membersWord(now time.Time) time.Time {
	for id, m := range c.state.Members {
		if m.HasLeft || m.Region != c.options.Region || id == c.options.Self.Node {
			continue
		}
		if c.members.IsSuspect(now, id) || c.members.Applied(id) > c.state.Applied {
			return time.Time{}
		}
	}
	if !c.members.IsLogOutForAll(now) {
		return time.Time{}
	}
	return now.Add(-2 * time.Second)
}
