// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/home"
	"github.com/leverdyke/leverdyke/internal/membership"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/policy"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	heartbeatPeriod = 500 * time.Millisecond
	planPeriod      = 300 * time.Millisecond
	// claimAfter is how long after joining a node waits before its first plan,
	// so that it has heard of those who were there before.
	claimAfter = 1200 * time.Millisecond
	// readyWithin is how old the node's knowledge of the log may be while it
	// calls itself ready.
	readyWithin = 8 * time.Second
	// logOutAfter is from when on a log that is not read counts as out.
	logOutAfter = 3 * time.Second
	// deputyAfter is how long the log must be out before a deputy steps in.
	deputyAfter = 4 * time.Second
	// forgetAfter is after how long a silent peer's grants are taken back.
	holderGone = 5 * time.Second
)

// core is what the node decides from. It belongs to one goroutine.
type core struct {
	node *Node
	// state is the fold; it only moves forward in the log.
	state    *state.State
	members  *membership.Table
	planner  ownership.Planner
	policies *policy.Set

	vms []vmlist.VM
	// racks and homes are what this node owns, by the fold.
	racks map[state.ShardID]*ownedRack
	homes map[state.ShardID]*home.Home
	// fenced has the racks whose workers obey another owner, by the epoch that
	// was fenced; deputised the racks that peers keep alive.
	fenced    map[state.ShardID]worker.Epoch
	deputised map[state.ShardID]deputy
	claiming  map[state.ShardID]uint64
	// rackCapacity has the largest VM that each rack has told of.
	rackCapacity map[state.ShardID]leverdyke.Resources

	// caughtUpAt is when the newest read was sent that found nothing more; seen
	// nothing later than that, nobody can know of a later claim.
	caughtUpAt time.Time
	// readFailingSince is zero while the log answers reads.
	readFailingSince time.Time
	startedAt        time.Time
	joinedAt         time.Time
	isJoining        bool
	isDraining       bool
	// ended has the jobs that ended in the page that is being folded.
	ended         []string
	isJobsChanged bool

	tail         []node.TailEntry
	tailBytes    int
	askedTailAt  time.Time
	askedStateAt time.Time
	snapshotBase int64
	isSnapping   bool

	beatAt, planAt time.Time
	silent         map[state.NodeID]time.Time
	onceWaiting    map[uint64]chan node.OnceReply
	onceID         uint64
}

// ownedRack is a rack that this node owns, with the links to its workers.
type ownedRack struct {
	rack  *rack.Rack
	links map[worker.ID]*workerLink
	room  node.Room
	// roomAt is when the room was last told to peers.
	roomAt     time.Time
	isRoomTold bool
}

// deputy is who keeps a rack alive while the log is out.
type deputy struct {
	node  state.NodeID
	epoch worker.Epoch
}

func newCore(n *Node) *core {
	now := n.clock.Now()
	c := &core{
		node: n, state: state.NewState(), members: membership.NewTable(n.owner.Node, membership.NewTableOptions{}),
		policies: policy.NewSet(), racks: map[state.ShardID]*ownedRack{}, homes: map[state.ShardID]*home.Home{},
		fenced: map[state.ShardID]worker.Epoch{}, deputised: map[state.ShardID]deputy{}, claiming: map[state.ShardID]uint64{}, rackCapacity: map[state.ShardID]leverdyke.Resources{},
		startedAt: now, silent: map[state.NodeID]time.Time{}, onceWaiting: map[uint64]chan node.OnceReply{},
	}
	for _, p := range n.settings.PeerAddrs {
		n.links.Connect(state.NodeID(p.String()), p)
	}
	return c
}

func (c *core) now() time.Time { return c.node.clock.Now() }

// tick does what is due.
func (c *core) tick() {
	now := c.now()
	if c.members.Tick(now) {
		events.Log(events.NodePaused)
		// What was known before the pause is old: the log has to be read again.
		c.caughtUpAt = time.Time{}
		c.planAt = now
	}
	c.join(now)
	c.beat(now)
	c.plan(now)
	c.watchDeputies(now)
	c.watchPeers(now)
	c.confirmSole(now)
	c.catchUp(now)
	c.snapshot(now)
	for _, o := range c.racks {
		o.rack.Tick(now)
	}
	for _, h := range c.homes {
		h.Tick(now)
	}
	c.planGrants()
}

// join appends this process's entry into the cell, once the log has been read.
func (c *core) join(now time.Time) {
	if c.isJoined() || c.isJoining || c.isDraining || c.caughtUpAt.IsZero() || c.node.writer.IsOut() {
		return
	}
	m := c.state.Members[c.node.owner.Node]
	if m != nil && m.Incarnation > c.node.owner.Incarnation {
		return
	}
	c.isJoining = true
	s := c.node.settings
	c.node.writer.Put(state.Record{Join: &state.Join{
		Node: c.node.owner.Node, Incarnation: c.node.owner.Incarnation, Link: s.LinkAddr, Operators: s.OperatorsAddr,
		Zone: s.Zone, Region: s.Region,
	}}, func(err error) {
		c.isJoining = false
		if err == nil {
			c.joinedAt = c.now()
			events.Log(events.NodeJoined, "offset", c.state.Applied, "took", c.joinedAt.Sub(c.startedAt).Round(time.Millisecond))
		}
	})
	_ = now
}

func (c *core) isJoined() bool { return c.state.IsLive(c.node.owner) }

// isLogOut reports whether this node does not reach the log.
func (c *core) isLogOut(now time.Time) bool {
	isReadOut := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > logOutAfter
	return isReadOut || c.node.writer.IsOut()
}

// Quota returns the most that the team may use at once in a region.
func (c *core) Quota(team string) (leverdyke.Resources, bool) {
	t := c.policies.Team(team)
	if t == nil {
		return leverdyke.Resources{}, false
	}
	return t.Quota, true
}

// Weights returns how the team's office weighs its aims; both alike if its
// document is not there.
func (c *core) Weights(team string) placement.Policy {
	o := c.policies.Office(team)
	if o == nil {
		return placement.Policy{Waiting: 0.5, Packing: 0.5}
	}
	return placement.Policy{Waiting: o.Waiting, Packing: o.Packing}
}

// settled is a callback that has to run in the core's goroutine.
type settled struct {
	f func()
}

func (e settled) apply(*core) { e.f() }

// vmsListed is the platform's list, or the error in its place.
type vmsListed struct {
	list []vmlist.VM
	err  error
}

func (e vmsListed) apply(c *core) {
	if e.err != nil {
		events.Log(events.VMListFailed, "err", e.err.Error())
		return
	}
	c.vms = e.list
	c.noteGoneNodes()
	for id, o := range c.racks {
		c.setWorkers(id, o)
	}
}

// noteGoneNodes records that members have ended whose VM is gone: their leases
// can then lapse.
func (c *core) noteGoneNodes() {
	for i := range c.vms {
		vm := &c.vms[i]
		if vm.Rack != "" || vm.Status != vmlist.StatusGone {
			continue
		}
		id := state.NodeID(vm.Addr.String())
		m := c.state.Members[id]
		if m != nil && !m.HasLeft && c.members.IsSuspect(c.now(), id) {
			c.node.writer.Put(state.Record{Leave: &state.Leave{Node: id, Incarnation: m.Incarnation}}, nil)
		}
	}
}
