// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package core joins a node's decisions: it folds the log, keeps what the node
// owns in step with the claims, and passes messages between homes and racks. It
// is driven by events and does no I/O, so that whole cells run in a test under
// a fake clock.
package core

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
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
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/tail"
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

// Outside is what a node gives its core: the clock, the links, the log and the
// workers. None of its methods may call back into the core at once.
type Outside interface {
	Now() time.Time
	// Send reports false when the message is surely not sent.
	Send(to state.NodeID, m *node.Message) bool
	Connect(peer state.NodeID, addr netip.AddrPort)
	Disconnect(peer state.NodeID)
	// Append hands a record to the log; done is called later, as an event of
	// the core: nil when the record took effect, an error of the fold when it
	// did not, state.ErrNotTaken when it is not in the log and will not be,
	// state.ErrUnseen after Passed. It reports false, and done is not called, when
	// it does not take the record.
	Append(r state.Record, done func(error)) bool
	// Folded tells the log's writer that its batch was seen in the log.
	Folded(seq uint64, out state.Outcome)
	// Passed tells the log's writer that its batches up to seq are in the log,
	// and that what became of them will not be seen.
	Passed(seq uint64)
	// IsAppendOut reports whether appends have been failing for some time.
	IsAppendOut() bool
	// SkipTo lets the log's reader go on after offset.
	SkipTo(offset int64)
	OpenWorker(rack state.ShardID, epoch worker.Epoch, id worker.ID, addr netip.AddrPort) WorkerLink
	// KeepAnswers keeps the answers of a peer that stops, for callers' retries.
	KeepAnswers(list []node.KeptAnswer)
	// AnswerOnce answers a peer that asks for the answer to a key.
	AnswerOnce(from state.NodeID, m *node.OnceAsk)
}

// WorkerLink gives one worker its orders, in the epoch for which it was opened,
// and renews its leases until it is stopped.
type WorkerLink interface {
	// Start reports false when the order is surely not given.
	Start(o *rack.StartOrder) bool
	Act(deed worker.Action, keys []worker.Key)
	Forget(keys []worker.Key)
	Stop()
}

// Meter takes measurements.
type Meter interface {
	Waited(kind string, class leverdyke.Class, d time.Duration)
	Decided(d time.Duration)
	Started()
	OwnerChanged()
}

// NewCoreOptions says who the node is. All fields but Peers must be set.
type NewCoreOptions struct {
	Self            state.Owner
	Link, Operators netip.AddrPort
	Region, Zone    string
	// Peers are links to try before the log has told of any.
	Peers []netip.AddrPort
	// Lease is how long a task lives without its owner.
	Lease time.Duration
	// SnapshotEvery is after how many batches a snapshot is written.
	SnapshotEvery int64
	Router        *router.Router
	Meter         Meter
}

// Core is what a node decides from. It has no goroutine, no clock and no I/O of
// its own, and belongs to the goroutine that feeds it events.
type Core struct {
	options NewCoreOptions
	out     Outside
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
	// rooms has the last summary of each rack of the region, for homes that come
	// here later; none is changed once it is kept.
	rooms map[state.ShardID]*node.Room
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
	ended []string
	// refused has the callbacks of records that were not handed to the log.
	refused       []func(error)
	isJobsChanged bool

	// tail has the last batches, for peers who lag behind.
	tail         *tail.Buffer
	askedTailAt  time.Time
	askedStateAt time.Time
	snapshotBase int64
	isSnapping   bool

	doubts         doubts
	beatAt, planAt time.Time
	silent         map[state.NodeID]time.Time
	onceWaiting    map[uint64]*onceWait
	onceID         uint64
	// giving counts the messages of answers that the heir has not confirmed;
	// given is called when there is none left.
	giving int
	given  func()
}

// ownedRack is a rack that this node owns, with the links to its workers.
type ownedRack struct {
	rack  *rack.Rack
	links map[worker.ID]WorkerLink
	// room is the summary as it is, told as peers have it.
	room, told node.Room
	// roomAt is when the room was last told to peers.
	roomAt     time.Time
	isRoomTold bool
}

// deputy is who keeps a rack alive while the log is out.
type deputy struct {
	node  state.NodeID
	epoch worker.Epoch
}

// NewCore returns a core that knows nothing yet.
func NewCore(out Outside, options NewCoreOptions) *Core {
	c := &Core{
		options: options, out: out, state: state.NewState(),
		members:  membership.NewTable(options.Self.Node, membership.NewTableOptions{}),
		policies: policy.NewSet(), racks: map[state.ShardID]*ownedRack{}, homes: map[state.ShardID]*home.Home{},
		fenced: map[state.ShardID]worker.Epoch{}, deputised: map[state.ShardID]deputy{}, claiming: map[state.ShardID]uint64{},
		rooms:        map[state.ShardID]*node.Room{},
		rackCapacity: map[state.ShardID]leverdyke.Resources{}, startedAt: out.Now(), tail: tail.NewBuffer(-1), silent: map[state.NodeID]time.Time{},
		onceWaiting: map[uint64]*onceWait{}, doubts: doubts{open: map[state.NodeID]doubted{}},
	}
	for _, p := range options.Peers {
		out.Connect(state.NodeID(p.String()), p)
	}
	return c
}

// sorted returns a map's keys in order, so that the same events give the same
// decisions.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c *Core) now() time.Time { return c.out.Now() }

// Tick does what is due. It is called some twenty times a second.
func (c *Core) Tick() {
	now := c.now()
	if c.members.Tick(now) {
		events.Log(events.NodePaused)
		// What was known before the pause is old: the log has to be read again.
		c.caughtUpAt = time.Time{}
		c.planAt = now
	}
	c.refuse()
	c.join()
	c.beat(now)
	c.doubt(now)
	c.plan(now)
	c.watchDeputies(now)
	c.watchPeers(now)
	c.confirmSole(now)
	c.catchUp(now)
	c.snapshot(now)
	for _, id := range sorted(c.racks) {
		c.racks[id].rack.Tick(now)
	}
	for _, id := range sorted(c.homes) {
		c.homes[id].Tick(now)
	}
	c.PlanGrants()
}

// join appends this process's entry into the cell, once the log has been read.
func (c *Core) join() {
	if c.IsJoined() && c.joinedAt.IsZero() {
		c.joinedAt = c.now()
		events.Log(events.NodeJoined, "offset", c.state.Applied, "took", c.joinedAt.Sub(c.startedAt).Round(time.Millisecond))
	}
	if c.IsJoined() || c.isJoining || c.isDraining || c.caughtUpAt.IsZero() || c.out.IsAppendOut() {
		return
	}
	m := c.state.Members[c.options.Self.Node]
	if m != nil && m.Incarnation > c.options.Self.Incarnation {
		return
	}
	c.isJoining = true
	s := &c.options
	c.Append(state.Record{Join: &state.Join{
		Node: c.options.Self.Node, Incarnation: c.options.Self.Incarnation, Link: s.Link, Operators: s.Operators,
		Zone: s.Zone, Region: s.Region,
	}}, func(error) { c.isJoining = false })
}

// Append hands a record to the log; done may be nil. While the log is out
// nothing is handed over, and done hears state.ErrNotTaken as a later event.
func (c *Core) Append(r state.Record, done func(error)) {
	if done == nil {
		done = func(error) {}
	}
	if c.isLogOut(c.now()) || !c.out.Append(r, done) {
		c.refused = append(c.refused, done)
	}
}

// refuse tells those whose records were not handed over.
func (c *Core) refuse() {
	refused := c.refused
	c.refused = nil
	for _, done := range refused {
		done(state.ErrNotTaken)
	}
}

// IsJoined reports whether the log has this process as a member.
func (c *Core) IsJoined() bool { return c.state.IsLive(c.options.Self) }

// isLogOut reports whether this node does not reach the log.
func (c *Core) isLogOut(now time.Time) bool {
	isReadOut := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > logOutAfter
	return isReadOut || c.out.IsAppendOut()
}

// Quota returns the most that the team may use at once in a region.
func (c *Core) Quota(team string) (leverdyke.Resources, bool) {
	t := c.policies.Team(team)
	if t == nil {
		return leverdyke.Resources{}, false
	}
	return t.Quota, true
}

// Weights returns how the team's office weighs its aims; both alike if its
// document is not there.
func (c *Core) Weights(team string) placement.Policy {
	o := c.policies.Office(team)
	if o == nil {
		return placement.Policy{Waiting: 0.5, Packing: 0.5}
	}
	return placement.Policy{Waiting: o.Waiting, Packing: o.Packing}
}

// OnVMs takes the platform's list of VMs.
func (c *Core) OnVMs(list []vmlist.VM) {
	c.vms = list
	c.noteGoneNodes()
	for _, id := range sorted(c.racks) {
		c.setWorkers(id, c.racks[id])
	}
}

// noteGoneNodes records that members have ended whose VM is gone: their leases
// can then lapse.
func (c *Core) noteGoneNodes() {
	for i := range c.vms {
		vm := &c.vms[i]
		if vm.Rack != "" || vm.Status != vmlist.StatusRemoved {
			continue
		}
		id := state.NodeID(vm.Addr.String())
		m := c.state.Members[id]
		if m != nil && !m.HasLeft && c.members.IsSuspect(c.now(), id) {
			c.Append(state.Record{Leave: &state.Leave{Node: id, Incarnation: m.Incarnation}}, nil)
		}
	}
}
