// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package rack is the owner of one rack: the one writer that decides what runs
// on the rack's workers, so that "never more than the VM holds" is a check in
// one place. It is pure: events in, orders out; it has no clock and no I/O.
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

// NewRackOptions sets the bounds. Zero values mean the defaults.
type NewRackOptions struct {
	// TTL is how long a lease lasts; 0 means 20 s.
	TTL time.Duration
	// Margin is added to the lease before it counts as lapsed; 0 means 1 s.
	Margin time.Duration
	// IsDeputy means that the rack is only kept alive: nothing new is placed.
	IsDeputy bool
}

const (
	defaultTTL    = 20 * time.Second
	defaultMargin = time.Second
	// driftDivisor allows clocks to differ by one part in fifty.
	driftDivisor = 50
	// upkeepPeriod is how often every attempt is looked at.
	upkeepPeriod = 300 * time.Millisecond
	// retryPeriod is after how long an unanswered order is given again.
	retryPeriod = time.Second
)

// Rack is the owner's view of a rack. It belongs to one goroutine.
type Rack struct {
	// ID and Epoch never change; a new epoch is a new Rack.
	ID      state.ShardID
	Epoch   worker.Epoch
	options NewRackOptions
	began   time.Time
	// upkeptAt is when every attempt was looked at last.
	upkeptAt time.Time
	// soleSince and soleAsOf bound the time in which it is known that nobody
	// else renews leases here; zero until that is known.
	soleSince, soleAsOf time.Time

	vms   map[worker.ID]*vm
	order []worker.ID
	// held has every attempt and grant that is not forgotten.
	held   map[worker.Key]*held
	byTask map[leverdyke.TaskID]worker.Key
	// homes has the highest epoch of each home that has spoken here.
	homes map[state.ShardID]uint64
	// synced has the homes that wait for a complete report.
	synced map[state.ShardID]bool

	// settled has the attempts of each home that were refused, with the reason,
	// or have ended, until the home's floor is above them: a late copy of their
	// ask must not start them.
	settled map[state.ShardID]*settled

	asks    []pendingAsk
	urgents []*urgent
	// pushedGrants wait for batches to leave, as urgents do.
	pushedGrants []*pushedGrant
	holds        map[holdID]*hold
	earmark      *earmark
	health       *health.Detector
	learned      *sizes.Learned
	// kept is the VM that is kept for a starved task; nil for none.
	kept      *keep
	nextGrant uint64
	isChanged bool
	out       Output
}

// vm is one worker of the rack.
type vm struct {
	id       worker.ID
	addr     netip.AddrPort
	zone     string
	capacity leverdyke.Resources
	boot     string
	asOf     int64
	// heardAt is when the report with boot and asOf came; leases that were
	// renewed by it end at the latest heardAt plus TTL.
	heardAt time.Time
	addedAt time.Time
	// isKnown means that the worker has listed its tasks in this epoch, or that
	// every lease there has lapsed since.
	isKnown bool
	// isLeaving is the worker's own word; isListedLeaving the list's; isDrained
	// the operator's.
	isLeaving, isListedLeaving, isDrained, isGone bool
	// overusedAt is when it was last reported to be used beyond what it has.
	overusedAt time.Time
	// isSilent means that it did not answer the last time; it gets nothing new.
	isSilent bool
	held     map[worker.Key]*held
}

// phase is where an attempt is in the owner's eyes.
type phase string

const (
	phaseStarting phase = "starting"
	phaseRunning  phase = "running"
	phaseEnded    phase = "ended"
)

// held is an attempt or grant on a worker.
type held struct {
	task  worker.Task
	vm    *vm
	phase phase
	// isLost means that it ended with its worker or its lease.
	isLost   bool
	isBlamed bool
	// since is when the phase began, told when an order was last given.
	since, told time.Time
	// isOrdered means that a start is on its way and has not been answered: no
	// second one may follow it, since a refusal of the first would not hold.
	isOrdered bool
	// deed is what was ordered and has not shown in a report; empty for none.
	deed worker.Action
	// asked is the home's ask that waits for the start; nil for none.
	asked *node.Ask
}

// Output is what the rack's owner wants done.
type Output struct {
	Starts    []StartOrder
	Acts      []ActOrder
	Forgets   []ForgetOrder
	ToHome    []HomeMessage
	ToNode    []NodeMessage
	Decisions []Decision
	Events    []Event
}

// StartOrder gives attempts to a worker. It is bound to what the owner knew of
// the worker: carried out later, it can start nothing that the owner has taken
// for lost since.
type StartOrder struct {
	Worker worker.ID
	Boot   string
	AsOf   int64
	Tasks  []worker.Task
}

// ActOrder does a deed on a worker.
type ActOrder struct {
	Worker worker.ID
	Deed   worker.Action
	Keys   []worker.Key
}

// ForgetOrder lets a worker forget ended attempts.
type ForgetOrder struct {
	Worker worker.ID
	Keys   []worker.Key
}

// HomeMessage goes to whichever node owns the home.
type HomeMessage struct {
	Home    state.ShardID
	Message node.Message
}

// NodeMessage goes to a node.
type NodeMessage struct {
	Node    state.NodeID
	Message node.Message
}

// Decision is a placement decision for the log.
type Decision struct {
	Key      worker.Key
	Worker   worker.ID
	RunnerUp worker.ID
	Why      string
}

// Event is something that an operator may have to know.
type Event struct {
	Kind   EventKind
	Worker worker.ID
	Key    worker.Key
	Detail string
}

// EventKind names an event of a rack.
type EventKind string

// The events of a rack.
const (
	EventWorkerSilent   EventKind = "worker-silent"
	EventWorkerLeaving  EventKind = "worker-leaving"
	EventWorkerOverused EventKind = "worker-overused"
	EventWorkerLost     EventKind = "worker-lost"
	EventWorkerSetAside EventKind = "worker-set-aside"
	EventWorkerProbed   EventKind = "worker-probed"
	EventWorkerBack     EventKind = "worker-back"
	EventPreempted      EventKind = "preempted"
	EventLateTask       EventKind = "late-task"
	EventComplete       EventKind = "rack-complete"
)

// NewRack takes ownership of a rack. Until SetSole is called, the leases of
// workers that cannot be reached are not taken to lapse.
func NewRack(now time.Time, id state.ShardID, epoch worker.Epoch, options NewRackOptions) *Rack {
	if options.TTL == 0 {
		options.TTL = defaultTTL
	}
	if options.Margin == 0 {
		options.Margin = defaultMargin
	}
	return &Rack{
		ID: id, Epoch: epoch, options: options, began: now,
		vms: map[worker.ID]*vm{}, held: map[worker.Key]*held{}, byTask: map[leverdyke.TaskID]worker.Key{},
		homes: map[state.ShardID]uint64{}, synced: map[state.ShardID]bool{},
		settled: map[state.ShardID]*settled{}, holds: map[holdID]*hold{}, health: health.NewDetector(), learned: sizes.NewLearned(),
	}
}

// TTL returns the length of the leases that this owner gives.
func (r *Rack) TTL() time.Duration { return r.options.TTL }

// SetSole says that, as late as asOf, every earlier owner had ended or had said
// that it renews no more, and there was no later owner.
func (r *Rack) SetSole(asOf time.Time) {
	if r.soleSince.IsZero() {
		r.soleSince = asOf
	}
	r.soleAsOf = later(r.soleAsOf, asOf)
}

// IsSole reports whether SetSole was called.
func (r *Rack) IsSole() bool { return !r.soleSince.IsZero() }

// SetWorkers brings the rack's workers up to the platform's list.
func (r *Rack) SetWorkers(now time.Time, list []vmlist.VM) {
	listed := map[worker.ID]bool{}
	for i := range list {
		e := &list[i]
		id := worker.ID(e.Name)
		listed[id] = e.Status != vmlist.StatusRemoved
		v := r.vms[id]
		if v == nil {
			if e.Status == vmlist.StatusRemoved {
				continue
			}
			v = &vm{id: id, addr: e.Addr, zone: e.Zone, addedAt: now, held: map[worker.Key]*held{}}
			r.vms[id] = v
			r.order = append(r.order, id)
			slices.Sort(r.order)
		}
		v.isListedLeaving = e.Status == vmlist.StatusLeaving
	}
	for id, v := range r.vms {
		v.isGone = !listed[id]
	}
	r.isChanged = true
}

// Addrs returns the workers to keep links to.
func (r *Rack) Addrs() map[worker.ID]netip.AddrPort {
	addrs := make(map[worker.ID]netip.AddrPort, len(r.vms))
	for id, v := range r.vms {
		addrs[id] = v.addr
	}
	return addrs
}

// SetDrained takes the operator's word that workers get nothing new.
func (r *Rack) SetDrained(isDrained func(worker.ID) bool) {
	for id, v := range r.vms {
		v.isDrained = isDrained(id)
	}
	r.isChanged = true
}

// OnSilent notes that a worker did not answer; its tasks live on until their
// leases have lapsed.
func (r *Rack) OnSilent(id worker.ID) {
	v := r.vms[id]
	if v == nil || v.isSilent {
		return
	}
	v.isSilent = true
	r.isChanged = true
	r.event(EventWorkerSilent, id, worker.Key{}, "")
}

// Take returns what was ordered since the last call.
func (r *Rack) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// lapse is how long after the last renewal every lease has surely ended.
func (r *Rack) lapse() time.Duration {
	return r.options.TTL + r.options.TTL/driftDivisor + r.options.Margin
}

// free is what is left of a worker, with holds and urgent work taken off; it is
// negative where reported use is above what was declared.
func (r *Rack) free(v *vm) leverdyke.Resources {
	free := v.capacity
	for _, h := range v.held {
		if h.phase != phaseEnded {
			free = free.Sub(h.task.Charge())
		}
	}
	for _, h := range r.holds {
		free = free.Sub(h.each.Times(int64(h.places[v.id])))
	}
	return free
}

// isUsable reports whether new work may be put on the worker.
func (r *Rack) isUsable(now time.Time, v *vm) bool {
	isFresh := v.isKnown && v.boot != "" && now.Sub(v.heardAt) < r.options.TTL/2
	return isFresh && !v.isSilent && !v.isLeaving && !v.isListedLeaving && !v.isDrained && !v.isGone && !r.options.IsDeputy
}

// TakeChanged reports whether the summary may have changed since the last call.
func (r *Rack) TakeChanged() bool {
	isChanged := r.isChanged
	r.isChanged = false
	return isChanged
}
