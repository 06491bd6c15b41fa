// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package rack implements the owner of a rack. A rack here is not the hardware but
// a shard: it has the workers of one rack and one owner, which is the only process
// that decides what runs on these workers. With a single writer, one check here is
// enough to ensure that no VM is given more than its capacity.
//
// The package does no I/O and reads no clock: callers pass events and the
// current time in, and collect orders and messages with TakeOutput.
package rack

import (
	"net/netip"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/health"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/sizes"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// NewRackOptions configures a Rack. Zero values mean the defaults.
type NewRackOptions struct {
	// TTL is the lease duration; 0 means 20 s.
	TTL time.Duration
	// Margin is added to the lease duration before a lease counts as expired; 0
	// means 1 s.
	Margin time.Duration
	// IsDeputy means that this owner took over while the log is unavailable. It
	// renews the leases of what runs in the rack and places nothing new.
	IsDeputy bool
}

const (
	defaultTTL    = 20 * time.Second
	defaultMargin = time.Second
	// clockDriftDivisor bounds clock drift: the clocks of a worker and of its
	// owner may run apart by one fiftieth of the elapsed time.
	clockDriftDivisor = 50
	// maintenancePeriod is the interval between two passes over all
	// assignments.
	maintenancePeriod = 300 * time.Millisecond
	// orderRetryPeriod is the delay after which an unacknowledged order is sent
	// again.
	orderRetryPeriod = time.Second
)

// Rack is the state that the owner of one rack keeps: the rack's workers, what runs
// on them, and the requests of job shards. It is not safe for concurrent use.
type Rack struct {
	// ID and Epoch never change; a new epoch gets a new Rack.
	ID        state.ShardID
	Epoch     worker.Epoch
	options   NewRackOptions
	createdAt time.Time
	// maintainedAt is when maintain last ran.
	maintainedAt time.Time
	// soleOwnerSince and soleOwnerAsOf bound the period in which no other owner
	// can have renewed leases in this rack. They are zero until
	// ConfirmSoleOwner is called.
	soleOwnerSince, soleOwnerAsOf time.Time

	vms map[worker.ID]*vm
	// sortedIDs has the keys of vms in ascending order.
	sortedIDs []worker.ID
	// assignments has every attempt and grant until its end is acknowledged.
	assignments map[worker.Key]*assignment
	// byTask has the most recently added attempt of each task.
	byTask map[leverdyke.TaskID]worker.Key
	// shardEpochs has the highest epoch seen of each job shard. Messages with a
	// lower one come from a previous owner of the shard and are rejected.
	shardEpochs map[state.ShardID]uint64
	// syncedShards has the job shards that have sent a sync. They get another
	// full update each time the rack becomes complete.
	syncedShards map[state.ShardID]bool

	// closedAttempts has, for each job shard, the attempts that must not be
	// started (again).
	closedAttempts map[state.ShardID]*closedAttempts

	pendingStarts []pendingStart
	urgentStarts  []*urgentStart
	// preemptingGrants wait until preempted batch tasks have left their worker,
	// as urgentStarts wait for their victims.
	preemptingGrants []*preemptingGrant
	reservations     map[reservationID]*reservation
	gangPriority     *gangPriority
	health           *health.Detector
	learnedUsage     *sizes.Estimator
	// reservedVM is the VM reserved for a starved task; nil if there is none.
	reservedVM       *vmReservation
	lastGrant        uint64
	isSummaryChanged bool
	output           Output
}

// vm is one worker of the rack.
type vm struct {
	id       worker.ID
	addr     netip.AddrPort
	zone     string
	capacity leverdyke.Resources
	bootID   string
	// workerTime is the worker's own clock in its last report.
	workerTime int64
	// reportedAt is when the report with bootID and workerTime arrived. Leases
	// renewed on the strength of that report expire at reportedAt plus TTL at
	// the latest.
	reportedAt time.Time
	addedAt    time.Time
	// isReconciled means that this owner knows everything that runs on the
	// worker: the worker has listed its tasks in this epoch, or every lease
	// that it can have held before has expired.
	isReconciled bool
	// isLeaving is reported by the worker itself, isListedLeaving and isRemoved
	// come from the platform's VM list, and isDrained is set by the operator.
	isLeaving, isListedLeaving, isDrained, isRemoved bool
	// overuseLoggedAt is when an event last reported that the tasks use more
	// than the VM has.
	overuseLoggedAt time.Time
	// isUnresponsive means that the worker did not answer the last request.
	// Nothing new is placed on it.
	isUnresponsive bool
	assignments    map[worker.Key]*assignment
}

// phase is the state of an assignment as the owner knows it.
type phase string

const (
	phaseStarting phase = "starting"
	phaseRunning  phase = "running"
	phaseEnded    phase = "ended"
)

// assignment is an attempt, or a grant of service slots to a node, on a worker.
// A grant has a Holder in its task.
type assignment struct {
	task  worker.Task
	vm    *vm
	phase phase
	// isLost means that it ended because its worker restarted, no longer lists
	// it, or let its lease expire.
	isLost          bool
	isWorkerAtFault bool
	// since is when the phase began or, if later, when preemption was ordered.
	// lastSentAt is when an order, update or grant check for it was last sent.
	since, lastSentAt time.Time
	// isStartPending means that a start order is unacknowledged. No second one
	// may be sent meanwhile: if the first were refused, the job shard would
	// conclude that the attempt does not run, and the second could still start it.
	isStartPending bool
	// pendingAction is what the worker was ordered to do and has not yet shown
	// in a report; empty if there is nothing.
	pendingAction worker.Action
	// request is the job shard's request that is answered once the attempt has
	// started; nil if there is none.
	request *node.StartRequest
}

// Output is what the caller has to send, carry out or log for the rack's owner.
type Output struct {
	Starts      []StartOrder
	Acts        []ActOrder
	Forgets     []ForgetOrder
	ToJobShards []JobShardMessage
	ToNodes     []NodeMessage
	Decisions   []Decision
	Events      []Event
}

// StartOrder starts attempts on a worker. Boot and AsOf bind it to the last
// report that the owner had from the worker, so that a delayed order cannot
// start an attempt that the owner has since recorded as lost.
type StartOrder struct {
	Worker worker.ID
	Boot   string
	AsOf   int64
	Tasks  []worker.Task
}

// ActOrder orders a worker to throttle, unthrottle, checkpoint or stop
// assignments.
type ActOrder struct {
	Worker worker.ID
	Action worker.Action
	Keys   []worker.Key
}

// ForgetOrder allows a worker to drop ended assignments from its reports.
type ForgetOrder struct {
	Worker worker.ID
	Keys   []worker.Key
}

// JobShardMessage is sent to the node that currently owns the job shard.
type JobShardMessage struct {
	JobShard state.ShardID
	Message  node.Message
}

// NodeMessage is sent to one node.
type NodeMessage struct {
	Node    state.NodeID
	Message node.Message
}

// Decision is a placement decision, to be logged.
type Decision struct {
	Key      worker.Key
	Worker   worker.ID
	RunnerUp worker.ID
	Reason   string
}

// Event is something that an operator may need to know.
type Event struct {
	Kind   EventKind
	Worker worker.ID
	Key    worker.Key
	Detail string
}

// EventKind identifies a kind of Event.
type EventKind string

// The events of a rack.
const (
	EventWorkerSilent     EventKind = "worker-silent"
	EventWorkerLeaving    EventKind = "worker-leaving"
	EventWorkerOverused   EventKind = "worker-overused"
	EventWorkerLost       EventKind = "worker-lost"
	EventWorkerEjected    EventKind = "worker-set-aside"
	EventWorkerProbed     EventKind = "worker-probed"
	EventWorkerReadmitted EventKind = "worker-back"
	EventPreempted        EventKind = "preempted"
	// EventLateTask reports a running task that was recorded as lost before.
	EventLateTask EventKind = "late-task"
	// EventComplete reports that the owner knows of everything that may run in
	// the rack.
	EventComplete EventKind = "rack-complete"
)

// NewRack returns the owner of a rack that has just been taken over. Until
// ConfirmSoleOwner is called, no lease of an unreachable worker counts as
// expired, since a previous owner may still renew it.
func NewRack(now time.Time, id state.ShardID, epoch worker.Epoch, options NewRackOptions) *Rack {
	if options.TTL == 0 {
		options.TTL = defaultTTL
	}
	if options.Margin == 0 {
		options.Margin = defaultMargin
	}
	return &Rack{
		ID: id, Epoch: epoch, options: options, createdAt: now,
		vms: map[worker.ID]*vm{}, assignments: map[worker.Key]*assignment{}, byTask: map[leverdyke.TaskID]worker.Key{},
		shardEpochs: map[state.ShardID]uint64{}, syncedShards: map[state.ShardID]bool{},
		closedAttempts: map[state.ShardID]*closedAttempts{}, reservations: map[reservationID]*reservation{}, health: health.NewDetector(), learnedUsage: sizes.NewEstimator(),
	}
}

// TTL returns the duration of the leases that this owner grants.
func (r *Rack) TTL() time.Duration { return r.options.TTL }

// ConfirmSoleOwner records that at asOf no other owner renewed leases: every
// previous owner had ended or had announced that it renews no more, and there
// was no later owner.
func (r *Rack) ConfirmSoleOwner(asOf time.Time) {
	if r.soleOwnerSince.IsZero() {
		r.soleOwnerSince = asOf
	}
	r.soleOwnerAsOf = later(r.soleOwnerAsOf, asOf)
}

// IsSoleOwner reports whether ConfirmSoleOwner was called.
func (r *Rack) IsSoleOwner() bool { return !r.soleOwnerSince.IsZero() }

// SetWorkers applies the platform's current list of VMs. A worker that is no
// longer listed stays in the rack until nothing can run on it any more.
func (r *Rack) SetWorkers(now time.Time, list []vmlist.VM) {
	listed := map[worker.ID]bool{}
	for i := range list {
		entry := &list[i]
		id := worker.ID(entry.Name)
		listed[id] = entry.Status != vmlist.StatusRemoved
		v := r.vms[id]
		if v == nil {
			if entry.Status == vmlist.StatusRemoved {
				continue
			}
			v = &vm{id: id, addr: entry.Addr, zone: entry.Zone, addedAt: now, assignments: map[worker.Key]*assignment{}}
			r.vms[id] = v
			r.sortedIDs = append(r.sortedIDs, id)
			slices.Sort(r.sortedIDs)
		}
		v.isListedLeaving = entry.Status == vmlist.StatusLeaving
	}
	for id, v := range r.vms {
		v.isRemoved = !listed[id]
	}
	r.isSummaryChanged = true
}

// Addrs returns the addresses of the workers to which the caller keeps
// connections.
func (r *Rack) Addrs() map[worker.ID]netip.AddrPort {
	addrs := make(map[worker.ID]netip.AddrPort, len(r.vms))
	for id, v := range r.vms {
		addrs[id] = v.addr
	}
	return addrs
}

// SetDrained applies the operator's drain settings: nothing new is placed on a
// drained worker. isDrained is called with each worker and its availability zone.
func (r *Rack) SetDrained(isDrained func(id worker.ID, zone string) bool) {
	for id, v := range r.vms {
		v.isDrained = isDrained(id, v.zone)
	}
	r.isSummaryChanged = true
}

// OnUnresponsive records that a worker did not answer. Its tasks still count as
// running until their leases have expired.
func (r *Rack) OnUnresponsive(id worker.ID) {
	v := r.vms[id]
	if v == nil || v.isUnresponsive {
		return
	}
	v.isUnresponsive = true
	r.isSummaryChanged = true
	r.event(EventWorkerSilent, id, worker.Key{}, "")
}

// TakeOutput returns the output that has accumulated since the last call.
func (r *Rack) TakeOutput() Output {
	output := r.output
	r.output = Output{}
	return output
}

// leaseExpiry returns the time after the last renewal by which every lease has
// expired, with clock drift and the margin allowed for.
func (r *Rack) leaseExpiry() time.Duration {
	return r.options.TTL + r.options.TTL/clockDriftDivisor + r.options.Margin
}

// free returns the capacity of a worker minus its live assignments and the
// reservations on it. It is negative in a dimension where reported usage
// exceeds capacity, or while a reservation waits for preempted tasks to leave.
func (r *Rack) free(v *vm) leverdyke.Resources {
	free := v.capacity
	for _, a := range v.assignments {
		if a.phase != phaseEnded {
			free = free.Sub(a.task.Charge())
		}
	}
	for _, res := range r.reservations {
		free = free.Sub(res.each.Times(int64(res.places[v.id])))
	}
	return free
}

// isUsable reports whether new work may be placed on the worker.
func (r *Rack) isUsable(now time.Time, v *vm) bool {
	isFresh := v.isReconciled && v.bootID != "" && now.Sub(v.reportedAt) < r.options.TTL/2
	return isFresh && !v.isUnresponsive && !v.isLeaving && !v.isListedLeaving && !v.isDrained && !v.isRemoved && !r.options.IsDeputy
}

// TakeSummaryChanged reports whether the rack's summary may have changed since
// the last call.
func (r *Rack) TakeSummaryChanged() bool {
	isSummaryChanged := r.isSummaryChanged
	r.isSummaryChanged = false
	return isSummaryChanged
}
