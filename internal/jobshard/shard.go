// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package jobshard is the owner of the teams of one bucket in one region: it keeps
// their jobs and queue, checks their quotas, and asks the racks' owners for
// places. It is pure: events in, orders out; it has no clock and no I/O.
package jobshard

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/queue"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// Policies says what the configuration in force says of a team.
type Policies interface {
	// Quota returns the most that the team may use at once in a region; false
	// means that the team has none and may not run anything.
	Quota(team string) (leverdyke.Resources, bool)
	// Weights returns how the team's office weighs its aims.
	Weights(team string) placement.Policy
}

// NewShardOptions sets the bounds. Zero values mean the defaults.
type NewShardOptions struct {
	Queue queue.NewQueueOptions
	// RackCandidates is how many racks with room are compared; 0 means 8.
	RackCandidates int
	// MaxFailures is the default failure budget of a job; 0 means 10.
	MaxFailures int
}

const (
	defaultRackCandidates = 8
	defaultMaxFailures    = 10
	attemptBits           = 24
	maxRackOffset         = 1 << 16
	startRetry            = time.Second
	syncRetry             = time.Second
	scanPeriod            = 250 * time.Millisecond
	// summaryTimeout is how long services wait for racks to tell their room; they
	// do so once a second at least when it is new.
	summaryTimeout = 2 * time.Second
	refusalBackoff = 300 * time.Millisecond
	initialBackoff = time.Second
	maxBackoff     = 2 * time.Minute
	finalsRetry    = time.Second
	// finalsFlushPeriod joins ends into few records: nobody waits for them.
	finalsFlushPeriod = time.Second
)

// Shard is the owner's view of its teams. It belongs to one goroutine.
type Shard struct {
	// ID and Epoch never change; a new epoch is a new Home.
	ID        state.ShardID
	Epoch     uint64
	options   NewShardOptions
	policies  Policies
	createdAt time.Time

	jobs map[string]*job
	// jobList has the jobs in the order in which they came.
	jobList   []*job
	queue     *queue.Queue
	racks     map[state.ShardID]*rackView
	rackOrder []state.ShardID
	// usage is what each team's asked and running attempts take.
	usage map[string]leverdyke.Resources
	// starvedJob is the job for which racks are asked to keep a VM; nil for none.
	starvedJob *job
	// uncertainTasks counts the tasks that an earlier owner may have started.
	uncertainTasks int
	attemptCounter uint64
	rackOffset     int
	isScanDue      bool
	scannedAt      time.Time
	finals         map[finalKey]*finalBatch
	// finalOrder has the keys of finals in the order in which they came.
	finalOrder []finalKey
	// finalsNotBefore is when to try the log again.
	finalsNotBefore time.Time
	recordsInFlight map[uint64]inFlightRecord
	lastRecordToken uint64
	output          Output
}

// rackView is what the home knows of a rack.
type rackView struct {
	epoch worker.Epoch
	// epochSince is when the home heard of the epoch.
	epochSince time.Time
	// isSynced means that the rack's owner of this epoch has told all that runs
	// there, and that nothing else may.
	isSynced   bool
	syncSentAt time.Time
	summary    node.RackSummary
	hasSummary bool
	// pending is what was asked for since the room was told.
	pending leverdyke.Resources
	// backoffUntil is until when nothing is asked after a refusal.
	backoffUntil time.Time
	capacity     leverdyke.Resources
}

// Output is what the home wants done.
type Output struct {
	ToRack    []RackMessage
	Records   []PendingRecord
	Events    []Event
	Decisions []Decision
	Starts    []TaskStart
}

// RackMessage goes to whichever node owns the rack.
type RackMessage struct {
	Rack    state.ShardID
	Message node.Message
}

// PendingRecord is a record whose fate OnRecorded wants to be told.
type PendingRecord struct {
	Token  uint64
	Record state.Record
}

// Decision is a routing decision for the log.
type Decision struct {
	Key    worker.Key
	Rack   state.ShardID
	Reason string
}

// TaskStart says how long a task waited for its start.
type TaskStart struct {
	Key    worker.Key
	Class  leverdyke.Class
	Waited time.Duration
	Worker worker.ID
}

// Event is something that an operator may have to know.
type Event struct {
	Kind   EventKind
	Job    string
	Detail string
}

// EventKind names an event of a home.
type EventKind string

// The events of a home.
const (
	EventUnschedulable    EventKind = "job-can-never-run"
	EventUnknownOutcome   EventKind = "task-fate-unknown"
	EventJobFailed        EventKind = "job-failed"
	EventGangRestart      EventKind = "gang-broken"
	EventSynced           EventKind = "home-synced"
	EventDuplicateAttempt EventKind = "two-attempts"
)

// NewShard takes ownership of a home.
func NewShard(now time.Time, id state.ShardID, epoch uint64, p Policies, options NewShardOptions) *Shard {
	if options.RackCandidates == 0 {
		options.RackCandidates = defaultRackCandidates
	}
	if options.MaxFailures == 0 {
		options.MaxFailures = defaultMaxFailures
	}
	return &Shard{
		ID: id, Epoch: epoch, options: options, policies: p, createdAt: now,
		// Each home begins elsewhere in the order of the racks.
		rackOffset: int(xxhash.Sum64String(string(id)) % maxRackOffset),
		jobs:       map[string]*job{}, queue: queue.NewQueue(options.Queue), racks: map[state.ShardID]*rackView{},
		usage: map[string]leverdyke.Resources{}, finals: map[finalKey]*finalBatch{}, recordsInFlight: map[uint64]inFlightRecord{},
	}
}

// TakeOutput returns what was ordered since the last call.
func (h *Shard) TakeOutput() Output {
	out := h.output
	h.output = Output{}
	return out
}

// RackInfo is a rack of the home's region and its owner's epoch.
type RackInfo struct {
	ID    state.ShardID
	Epoch worker.Epoch
}

// SetRacks tells the home which racks there are and under which epochs. A new
// epoch has to tell everything before the home decides about what ran there.
func (h *Shard) SetRacks(now time.Time, racks []RackInfo) {
	for _, info := range racks {
		v := h.racks[info.ID]
		if v == nil {
			v = &rackView{}
			h.racks[info.ID] = v
			h.rackOrder = append(h.rackOrder, info.ID)
			slices.Sort(h.rackOrder)
		}
		if info.Epoch > v.epoch {
			*v = rackView{epoch: info.Epoch, epochSince: now, capacity: v.capacity}
			h.isScanDue = true
		}
	}
}

// OnRackSummary takes a rack's summary.
func (h *Shard) OnRackSummary(summary *node.RackSummary) {
	v := h.racks[summary.Rack]
	if v == nil || v.epoch != summary.Epoch {
		return
	}
	if !v.hasSummary || !summary.Free.FitsIn(v.summary.Free) {
		// More room than before: what was refused may fit now.
		v.backoffUntil = time.Time{}
		h.isScanDue = true
	}
	v.summary = *summary
	v.hasSummary = true
	v.pending = h.requestedFrom(summary.Rack)
	v.capacity = v.capacity.Max(summary.Capacity)
}

// isSummaryAwaited reports whether a rack has not told its room and may do so at
// any moment: a service that is placed now could not be spread over it, and
// stays where it is.
func (h *Shard) isSummaryAwaited(now time.Time) bool {
	for _, v := range h.racks {
		if !v.hasSummary && now.Sub(v.epochSince) < summaryTimeout {
			return true
		}
	}
	return false
}

// requestedFrom is what is asked for at a rack and not answered.
func (h *Shard) requestedFrom(rack state.ShardID) leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, j := range h.jobList {
		sum = sum.Add(j.spec.Each.Times(int64(j.requested[rack])))
	}
	return sum
}

// Tick does what is due: syncs with racks, asks that were not answered, starts,
// records.
func (h *Shard) Tick(now time.Time) {
	h.syncRacks(now)
	h.resendStartRequests(now)
	h.expireReservations(now)
	h.wakeDelayed(now)
	h.failMissedDeadlines(now)
	if h.isScanDue || now.Sub(h.scannedAt) >= scanPeriod {
		h.scan(now)
	}
	h.flushFinals(now)
}

// syncRacks asks every rack of whose epoch the home has not heard all.
func (h *Shard) syncRacks(now time.Time) {
	for _, id := range h.rackOrder {
		v := h.racks[id]
		if v.isSynced || now.Sub(v.syncSentAt) < syncRetry {
			continue
		}
		v.syncSentAt = now
		h.sendToRack(id, node.Message{JobShardSync: &node.JobShardSync{JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: id}})
	}
}

// isAllSynced reports whether every rack has told all.
func (h *Shard) isAllSynced() bool {
	for _, v := range h.racks {
		if !v.isSynced {
			return false
		}
	}
	return len(h.racks) > 0
}

func (h *Shard) sendToRack(rack state.ShardID, m node.Message) {
	h.output.ToRack = append(h.output.ToRack, RackMessage{rack, m})
}

func (h *Shard) emitEvent(kind EventKind, job, detail string) {
	h.output.Events = append(h.output.Events, Event{kind, job, detail})
}

// DominantShare returns the part of its quota that a team uses, by its fullest
// dimension; a team without a quota comes last.
func (h *Shard) DominantShare(team string) float64 {
	quota, ok := h.policies.Quota(team)
	if !ok {
		return 2
	}
	used := h.usage[team]
	share := 0.0
	for _, d := range [...][2]int64{
		{used.MilliCPU, quota.MilliCPU},
		{used.MemoryMiB, quota.MemoryMiB},
		{used.Accelerators, quota.Accelerators},
		{used.Slots, quota.Slots},
	} {
		if d[0] > 0 && d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// Usage returns what a team's asked and running attempts take.
func (h *Shard) Usage(team string) leverdyke.Resources { return h.usage[team] }

// WaitingJobs returns how many jobs have tasks that wait.
func (h *Shard) WaitingJobs() int { return h.queue.Len() }

// IsQueueFull reports whether no further job may wait.
func (h *Shard) IsQueueFull() bool { return h.queue.IsFull() }
