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
	"github.com/leverdyke/leverdyke/internal/front"
	"github.com/leverdyke/leverdyke/internal/home"
	"github.com/leverdyke/leverdyke/internal/logbuffer"
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
	firstClaimDelay = 1200 * time.Millisecond
	// readyWithin is how old the node's knowledge of the log may be while it
	// calls itself ready.
	readyMaxAge = 8 * time.Second
	// logOutAfter is from when on a log that is not read counts as out.
	logUnavailableAfter = 3 * time.Second
	// deputyAfter is how long the log must be out before a deputy steps in.
	deputyAfter = 4 * time.Second
	// forgetAfter is after how long a silent peer's grants are taken back.
	grantHolderTimeout = 5 * time.Second
)

// Outside is what a node gives its core: the clock, the links, the log and the
// workers. None of its methods may call back into the core at once.
type Environment interface {
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
	BatchApplied(seq uint64, outcome state.Outcome)
	// Passed tells the log's writer that its batches up to seq are in the log,
	// and that what became of them will not be seen.
	BatchesSkipped(seq uint64)
	// IsAppendOut reports whether appends have been failing for some time.
	IsAppendFailing() bool
	// SkipTo lets the log's reader go on after offset.
	SkipTo(offset int64)
	OpenWorker(rack state.ShardID, epoch worker.Epoch, id worker.ID, addr netip.AddrPort) WorkerLink
	// KeepAnswers keeps the answers of a peer that stops, for callers' retries.
	StoreAnswers(list []node.KeptAnswer)
	// AnswerOnce answers a peer that asks for the answer to a key.
	AnswerKeyQuery(from state.NodeID, m *node.OnceAsk)
}

// WorkerLink gives one worker its orders, in the epoch for which it was opened,
// and renews its leases until it is stopped.
type WorkerLink interface {
	// Start reports false when the order is surely not given.
	Start(o *rack.StartOrder) bool
	Act(deed worker.Deed, keys []worker.Key)
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
	Router        *front.Router
	Meter         Meter
}

// Core is what a node decides from. It has no goroutine, no clock and no I/O of
// its own, and belongs to the goroutine that feeds it events.
type Core struct {
	options NewCoreOptions
	env     Environment
	// state is the fold; it only moves forward in the log.
	state    *state.State
	members  *membership.Table
	planner  ownership.Planner
	policies *policy.Set

	vms []vmlist.VM
	// racks and homes are what this node owns, by the fold.
	racks     map[state.ShardID]*ownedRack
	jobShards map[state.ShardID]*home.Home
	// fenced has the racks whose workers obey another owner, by the epoch that
	// was fenced; deputised the racks that peers keep alive.
	fenced        map[state.ShardID]worker.Epoch
	deputies      map[state.ShardID]deputy
	pendingClaims map[state.ShardID]uint64
	// rooms has the last summary of each rack of the region, for homes that come
	// here later; none is changed once it is kept.
	rackSummaries map[state.ShardID]*node.Room
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
	endedJobs []string
	// refused has the callbacks of records that were not handed to the log.
	refusedAppends  []func(error)
	haveJobsChanged bool

	// tail has the last batches, for peers who lag behind.
	recentBatches      *logbuffer.Buffer
	batchesRequestedAt time.Time
	stateRequestedAt   time.Time
	snapshotBase       int64
	isSnapshotting     bool

	livenessChecks         livenessChecks
	heartbeatAt, plannedAt time.Time
	silentSince            map[state.NodeID]time.Time
	answerQueries          map[uint64]*answerQuery
	lastQueryID            uint64
	// giving counts the messages of answers that the heir has not confirmed;
	// given is called when there is none left.
	unacknowledgedMessages int
	handoverDone           func()
}

// ownedRack is a rack that this node owns, with the links to its workers.
type ownedRack struct {
	rack  *rack.Rack
	links map[worker.ID]WorkerLink
	// room is the summary as it is, told as peers have it.
	summary, reported node.Room
	// roomAt is when the room was last told to peers.
	reportedAt time.Time
	isReported bool
}

// deputy is who keeps a rack alive while the log is out.
type deputy struct {
	node  state.NodeID
	epoch worker.Epoch
}

// NewCore returns a core that knows nothing yet.
func NewCore(env Environment, options NewCoreOptions) *Core {
	c := &Core{
		options: options, env: env, state: state.NewState(),
		members:  membership.NewTable(options.Self.Node, membership.NewTableOptions{}),
		policies: policy.NewSet(), racks: map[state.ShardID]*ownedRack{}, jobShards: map[state.ShardID]*home.Home{},
		fenced: map[state.ShardID]worker.Epoch{}, deputies: map[state.ShardID]deputy{}, pendingClaims: map[state.ShardID]uint64{},
		rackSummaries: map[state.ShardID]*node.Room{},
		rackCapacity:  map[state.ShardID]leverdyke.Resources{}, startedAt: env.Now(), recentBatches: logbuffer.NewBuffer(-1), silentSince: map[state.NodeID]time.Time{},
		answerQueries: map[uint64]*answerQuery{}, livenessChecks: livenessChecks{pending: map[state.NodeID]livenessCheck{}},
	}
	for _, p := range options.Peers {
		env.Connect(state.NodeID(p.String()), p)
	}
	return c
}

// sorted returns a map's keys in order, so that the same events give the same
// decisions.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c *Core) now() time.Time { return c.env.Now() }

// Tick does what is due. It is called some twenty times a second.
func (c *Core) Tick() {
	now := c.now()
	if c.members.Tick(now) {
		events.Log(events.NodePaused)
		// What was known before the pause is old: the log has to be read again.
		c.caughtUpAt = time.Time{}
		c.plannedAt = now
	}
	c.failRefusedAppends()
	c.join()
	c.sendHeartbeats(now)
	c.checkLiveness(now)
	c.plan(now)
	c.takeOverAsDeputy(now)
	c.checkPeers(now)
	c.confirmSoleOwner(now)
	c.catchUp(now)
	c.snapshot(now)
	for _, id := range sorted(c.racks) {
		c.racks[id].rack.Tick(now)
	}
	for _, id := range sorted(c.jobShards) {
		c.jobShards[id].Tick(now)
	}
	c.RequestGrants()
}

// join appends this process's entry into the cell, once the log has been read.
func (c *Core) join() {
	if c.IsJoined() && c.joinedAt.IsZero() {
		c.joinedAt = c.now()
		events.Log(events.NodeJoined, "offset", c.state.Applied, "took", c.joinedAt.Sub(c.startedAt).Round(time.Millisecond))
	}
	if c.IsJoined() || c.isJoining || c.isDraining || c.caughtUpAt.IsZero() || c.env.IsAppendFailing() {
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
	if c.isLogUnavailable(c.now()) || !c.env.Append(r, done) {
		c.refusedAppends = append(c.refusedAppends, done)
	}
}

// refuse tells those whose records were not handed over.
func (c *Core) failRefusedAppends() {
	refused := c.refusedAppends
	c.refusedAppends = nil
	for _, done := range refused {
		done(state.ErrNotTaken)
	}
}

// IsJoined reports whether the log has this process as a member.
func (c *Core) IsJoined() bool { return c.state.IsLive(c.options.Self) }

// isLogOut reports whether this node does not reach the log.
func (c *Core) isLogUnavailable(now time.Time) bool {
	isReadFailing := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > logUnavailableAfter
	return isReadFailing || c.env.IsAppendFailing()
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
	c.recordLostNodes()
	for _, id := range sorted(c.racks) {
		c.setWorkers(id, c.racks[id])
	}
}

// noteGoneNodes records that members have ended whose VM is gone: their leases
// can then lapse.
func (c *Core) recordLostNodes() {
	for i := range c.vms {
		vm := &c.vms[i]
		if vm.Rack != "" || vm.Status != vmlist.StatusGone {
			continue
		}
		id := state.NodeID(vm.Addr.String())
		m := c.state.Members[id]
		if m != nil && !m.HasLeft && c.members.IsSuspect(c.now(), id) {
			c.Append(state.Record{Leave: &state.Leave{Node: id, Incarnation: m.Incarnation}}, nil)
		}
	}
}
