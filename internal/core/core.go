// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package core combines the parts of a node that decide: it applies the log to
// the replicated state, opens and closes the shards that the node owns as
// ownership claims are applied, and passes messages between job shards, which
// own the jobs of some teams, and racks. It is driven by events and does no I/O,
// so that tests can run whole clusters under a fake clock.
package core

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/jobshard"
	"github.com/leverdyke/leverdyke/internal/logbuffer"
	"github.com/leverdyke/leverdyke/internal/membership"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/policy"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	heartbeatPeriod = 500 * time.Millisecond
	// planPeriod is how often a node checks which shards it should claim.
	planPeriod = 300 * time.Millisecond
	// firstClaimDelay is how long a node waits after joining before it first
	// claims shards, so that heartbeats of the other nodes have arrived by then.
	firstClaimDelay = 1200 * time.Millisecond
	// readyMaxAge is how long ago a node may last have read to the end of the log
	// and still report that it is ready.
	readyMaxAge = 8 * time.Second
	// logUnavailableAfter is how long reads of the log must have failed before
	// the log counts as unavailable.
	logUnavailableAfter = 3 * time.Second
	// deputyAfter is how long reads of the log must have failed before a deputy
	// renews the leases on the rack of a dead owner.
	deputyAfter = 4 * time.Second
	// grantHolderTimeout is how long a peer must have been suspected before the
	// grants that it holds are revoked.
	grantHolderTimeout = 5 * time.Second
)

// Environment is what the core needs from the node that runs it: the clock, the
// links to peers, the log and the workers. Its methods must not call into the
// core before they return; callbacks come later, as events of the core.
type Environment interface {
	Now() time.Time
	// Send reports false if the message was certainly not sent. True does not
	// mean that it arrives.
	Send(to state.NodeID, m *node.Message) bool
	Connect(peer state.NodeID, addr netip.AddrPort)
	Disconnect(peer state.NodeID)
	// Append passes a record to the log's writer, which calls done later, as an
	// event of the core, with one of these results:
	//   - nil: the record was applied
	//   - state.ErrNotAppended: it is not in the log and never will be
	//   - state.ErrOutcomeUnknown: it is in the log, but BatchesSkipped was called, so
	//     that its result is not known
	//   - another error: it is in the log and was rejected when it was applied
	//
	// Append reports false, and never calls done, if it does not accept the
	// record.
	Append(r state.Record, done func(error)) bool
	// BatchApplied notifies the log's writer that a batch of its own was read from
	// the log, and with which outcome it was applied.
	BatchApplied(seq uint64, outcome state.Outcome)
	// BatchesSkipped notifies the log's writer that its batches up to seq are part
	// of a snapshot or of a peer's state that this node now continues from, so
	// that their outcomes will not be known.
	BatchesSkipped(seq uint64)
	// IsAppendFailing reports whether appends have been failing for some time.
	IsAppendFailing() bool
	// SkipTo makes the log's reader continue after offset.
	SkipTo(offset int64)
	// OpenWorker opens a link to a worker of a rack that this node owns.
	OpenWorker(rack state.ShardID, epoch worker.Epoch, id worker.ID, addr netip.AddrPort) WorkerLink
	// StoreAnswers stores the answers of a peer that is about to stop, so that
	// this node can answer retries of the callers' requests.
	StoreAnswers(list []node.KeyedAnswer)
	// AnswerKeyQuery replies to a peer that asks for the answer that was given to
	// an idempotency key.
	AnswerKeyQuery(from state.NodeID, m *node.SavedAnswerRequest)
}

// WorkerLink sends one worker its orders, in the epoch for which it was opened,
// and renews the worker's leases until it is stopped.
type WorkerLink interface {
	// Start reports false if the order was certainly not sent.
	Start(o *rack.StartOrder) bool
	// Act throttles, checkpoints or stops attempts that run on the worker.
	Act(action worker.Action, keys []worker.Key)
	// Forget lets the worker drop attempts that have ended from its reports.
	Forget(keys []worker.Key)
	Stop()
}

// Meter records measurements for the node's metrics.
type Meter interface {
	// Waited records how long something of a kind, such as a task, waited.
	Waited(kind string, class leverdyke.Class, d time.Duration)
	// Decided records the time spent on one placement decision.
	Decided(d time.Duration)
	// Started counts a started task.
	Started()
	// OwnerChanged counts a shard that this node has opened or closed.
	OwnerChanged()
}

// NewCoreOptions identifies the node and sets its parameters. All fields except
// Peers must be set.
type NewCoreOptions struct {
	Self            state.Process
	Link, Operators netip.AddrPort
	Region, Zone    string
	// Peers are the addresses of nodes to contact before the members are known
	// from the log.
	Peers []netip.AddrPort
	// Lease is how long a worker keeps its tasks running without a renewal by the
	// owner of its rack.
	Lease time.Duration
	// SnapshotEvery is the number of batches after which a snapshot is written.
	SnapshotEvery int64
	Router        *router.Router
	Meter         Meter
}

// Core makes a node's decisions. It starts no goroutine, does no I/O and takes
// the time from its Environment. It is not safe for concurrent use: the
// goroutine that passes it events must make all calls.
type Core struct {
	options NewCoreOptions
	env     Environment
	// state is the replicated state, the result of applying the log up to an
	// offset. The offset never decreases.
	state    *state.State
	members  *membership.Table
	planner  ownership.Planner
	policies *policy.Set

	vms []vmlist.VM
	// racks and jobShards are the shards that this node owns according to state,
	// and the racks for which it is the deputy.
	racks     map[state.ShardID]*ownedRack
	jobShards map[state.ShardID]*jobshard.Shard
	// fenced has the racks whose workers refused an order of this node because
	// they obey a later owner, with that owner's epoch.
	fenced map[state.ShardID]worker.Epoch
	// deputies has the racks whose leases a deputy renews.
	deputies map[state.ShardID]deputy
	// pendingClaims has the epochs that this node has claimed and whose claims
	// have not been applied yet.
	pendingClaims map[state.ShardID]uint64
	// rackSummaries has the newest summary of each rack of the region, for job
	// shards that this node opens later. The summaries are shared, and must not
	// be modified.
	rackSummaries map[state.ShardID]*node.RackSummary
	// rackCapacity has the capacity of the largest VM that each rack has reported.
	rackCapacity map[state.ShardID]leverdyke.Resources

	// caughtUpAt is when the newest read of the log was sent that reached its
	// end: this node knows every record that was in the log at that time, in
	// particular every claim.
	caughtUpAt time.Time
	// readFailingSince is zero while the log answers reads.
	readFailingSince time.Time
	startedAt        time.Time
	joinedAt         time.Time
	isJoining        bool
	isDraining       bool
	// endedJobs has the jobs that ended in the batches that are being applied.
	endedJobs []string
	// refusedAppends has the callbacks of records that the log's writer did not
	// accept; they are called with the next tick.
	refusedAppends  []func(error)
	haveJobsChanged bool

	// recentBatches has the newest batches of the log, for peers that lag behind
	// and cannot read the log.
	recentBatches      *logbuffer.Buffer
	batchesRequestedAt time.Time
	stateRequestedAt   time.Time
	// snapshotBase is the offset up to which the newest known snapshot goes.
	snapshotBase   int64
	isSnapshotting bool

	livenessChecks         livenessChecks
	heartbeatAt, plannedAt time.Time
	silentSince            map[state.NodeID]time.Time
	// reconnectedAt is when the links were last replaced over which peers did not
	// hear this node.
	reconnectedAt map[state.NodeID]time.Time
	answerQueries map[uint64]*answerQuery
	lastQueryID   uint64
	// unacknowledgedMessages is the number of messages with stored answers that
	// the successor has not acknowledged yet; handoverDone is called when it
	// reaches 0.
	unacknowledgedMessages int
	handoverDone           func()
}

// ownedRack is a rack that this node owns, with the links to its workers.
type ownedRack struct {
	rack  *rack.Rack
	links map[worker.ID]WorkerLink
	// summary is the rack's current summary, reported the one last sent to peers.
	summary, reported node.RackSummary
	// reportedAt is when the summary was last sent to peers.
	reportedAt time.Time
	// isReported means that the current summary need not be sent, apart from the
	// periodic refresh.
	isReported bool
}

// deputy is a node that renews the leases on a rack's workers while the log is
// unavailable, because the rack's owner is dead and ownership cannot be claimed
// without the log. Its epoch is higher than the owner's and lower than that of
// any later claim.
type deputy struct {
	node  state.NodeID
	epoch worker.Epoch
}

// NewCore returns a core with an empty state, which begins at the start of the
// log.
func NewCore(env Environment, options NewCoreOptions) *Core {
	c := &Core{
		options: options, env: env, state: state.NewState(),
		members:  membership.NewTable(options.Self.Node, membership.NewTableOptions{}),
		policies: policy.NewSet(), racks: map[state.ShardID]*ownedRack{}, jobShards: map[state.ShardID]*jobshard.Shard{},
		fenced: map[state.ShardID]worker.Epoch{}, deputies: map[state.ShardID]deputy{}, pendingClaims: map[state.ShardID]uint64{},
		rackSummaries: map[state.ShardID]*node.RackSummary{},
		rackCapacity:  map[state.ShardID]leverdyke.Resources{}, startedAt: env.Now(), recentBatches: logbuffer.NewBuffer(-1), silentSince: map[state.NodeID]time.Time{},
		reconnectedAt: map[state.NodeID]time.Time{},
		answerQueries: map[uint64]*answerQuery{}, livenessChecks: livenessChecks{pending: map[state.NodeID]livenessCheck{}},
	}
	for _, p := range options.Peers {
		env.Connect(state.NodeID(p.String()), p)
	}
	return c
}

// sorted returns a map's keys in order. Iterating in a fixed order makes
// decisions reproducible: the same events give the same decisions.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c *Core) now() time.Time { return c.env.Now() }

// Tick does all periodic work that is due. It is called about 20 times a second.
func (c *Core) Tick() {
	now := c.now()
	if c.members.Tick(now) {
		events.Log(events.NodePaused)
		// The process was paused, so that others may have claimed its shards
		// meanwhile: it makes no claim before it has read to the end of the log
		// again.
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

// join appends the record that makes this process a member of the cluster, once
// the log has been read to its end.
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

// Append passes a record to the log's writer; done may be nil. For the results
// that done is called with see Environment.Append. While the log is unavailable
// no record is accepted, and done is called with state.ErrNotAppended at the next
// tick.
func (c *Core) Append(r state.Record, done func(error)) {
	if done == nil {
		done = func(error) {}
	}
	if c.isLogUnavailable(c.now()) || !c.env.Append(r, done) {
		c.refusedAppends = append(c.refusedAppends, done)
	}
}

// failRefusedAppends calls the callbacks of records that were not accepted.
func (c *Core) failRefusedAppends() {
	refused := c.refusedAppends
	c.refusedAppends = nil
	for _, done := range refused {
		done(state.ErrNotAppended)
	}
}

// IsJoined reports whether this process is a member of the cluster according to
// the log. It is false again once a later process of the same node has joined.
func (c *Core) IsJoined() bool { return c.state.IsLive(c.options.Self) }

// isLogUnavailable reports whether this node cannot read the log or append to
// it.
func (c *Core) isLogUnavailable(now time.Time) bool {
	isReadFailing := !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) > logUnavailableAfter
	return isReadFailing || c.env.IsAppendFailing()
}

// Quota returns the resources that the team's tasks may use at the same time in
// a region; false if the team has no document in force.
func (c *Core) Quota(team string) (leverdyke.Resources, bool) {
	t := c.policies.Team(team)
	if t == nil {
		return leverdyke.Resources{}, false
	}
	return t.Quota, true
}

// Weights returns how the team's office weighs short waits and dense packing;
// both equally if the office has no document in force.
func (c *Core) Weights(team string) placement.Policy {
	o := c.policies.Office(team)
	if o == nil {
		return placement.Policy{Waiting: 0.5, Packing: 0.5}
	}
	return placement.Policy{Waiting: o.Waiting, Packing: o.Packing}
}

// OnVMs handles a new list of VMs from the platform.
func (c *Core) OnVMs(list []vmlist.VM) {
	c.vms = list
	c.recordLostNodes()
	for _, id := range sorted(c.racks) {
		c.setWorkers(id, c.racks[id])
	}
}

// recordLostNodes appends to the log that members have ended whose VM no longer
// exists and that send no heartbeats. Only then can their successors be sure that
// nobody renews the leases on the racks that they owned.
func (c *Core) recordLostNodes() {
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
