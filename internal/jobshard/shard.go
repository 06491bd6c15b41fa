// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package jobshard owns the teams of one shard in one region: it keeps their
// jobs and their queue, enforces their quotas, and requests the start of tasks
// from the owners of the racks. It does no I/O and reads no clock: callers pass
// in the current time and events, and collect what the shard wants done with
// TakeOutput.
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

// Policies gives access to what the configuration in force says about a team.
type Policies interface {
	// Quota returns the most that the team may use at once in a region. It returns
	// false if the team has no quota; such a team may not run anything.
	Quota(team string) (leverdyke.Resources, bool)
	// Weights returns the weights of the placement aims for the team's services.
	Weights(team string) placement.Policy
}

// NewShardOptions sets the limits of a shard. Zero values mean the defaults.
type NewShardOptions struct {
	Queue queue.NewQueueOptions
	// RackCandidates is how many racks with free capacity are compared for a
	// placement; 0 means 8.
	RackCandidates int
	// MaxFailures is the failure budget of a job that sets none; 0 means 10.
	MaxFailures int
}

const (
	defaultRackCandidates = 8
	defaultMaxFailures    = 10
	// attemptBits is how many low bits of the number of an attempt or reservation
	// are a counter. The bits above are the shard's epoch, so that each owner of
	// the shard uses higher numbers than the previous ones.
	attemptBits = 24
	// maxRackOffset bounds the index of the rack at which a new Shard begins its
	// search; it is taken modulo the number of racks.
	maxRackOffset = 1 << 16
	// startRetry is the time after which an unanswered start request is sent again,
	// syncRetry that for an unanswered JobShardSync.
	startRetry = time.Second
	syncRetry  = time.Second
	// scanPeriod is the longest time between two scans of the queue.
	scanPeriod = 250 * time.Millisecond
	// summaryTimeout is how long services wait for the summary of a rack with a new
	// owner. Owners send a changed summary at least once a second.
	summaryTimeout = 2 * time.Second
	// refusalBackoff is how long a rack gets no further requests after a refusal,
	// unless it reports more free capacity.
	refusalBackoff = 300 * time.Millisecond
	// initialBackoff and maxBackoff bound the delay before a failed task starts
	// again.
	initialBackoff = time.Second
	maxBackoff     = 2 * time.Minute
	// finalsRetry is the time after which ends that the log has not accepted are
	// written again.
	finalsRetry = time.Second
	// finalsFlushPeriod is how often ends are written to the log. Ends of one job
	// are batched into few records, since nothing waits for them.
	finalsFlushPeriod = time.Second
)

// Shard is the owner's state of a job shard. It is used by one goroutine only.
type Shard struct {
	// ID and Epoch never change: each new epoch gets a new Shard.
	ID        state.ShardID
	Epoch     uint64
	options   NewShardOptions
	policies  Policies
	createdAt time.Time

	jobs map[string]*job
	// jobList has the jobs in order of arrival.
	jobList   []*job
	queue     *queue.Queue
	racks     map[state.ShardID]*rackView
	rackOrder []state.ShardID
	// usage is what the requested and running attempts of each team use.
	usage map[string]leverdyke.Resources
	// starvedJob is the job for which racks are asked to keep a VM free; nil if
	// none.
	starvedJob *job
	// uncertainTasks counts the tasks that a previous owner may have started.
	uncertainTasks int
	// attemptCounter is the counter in the last number of an attempt or reservation.
	attemptCounter uint64
	// rackOffset is the index in rackOrder at which the search for a rack begins.
	rackOffset int
	// isScanDue means that the next Tick scans the queue without waiting for
	// scanPeriod.
	isScanDue bool
	scannedAt time.Time
	// finals has the ends that wait to be written to the log, one batch for each
	// record.
	finals map[finalKey]*finalBatch
	// finalOrder has the keys of finals in order of arrival.
	finalOrder []finalKey
	// finalsNotBefore is the earliest time of the next write of ends.
	finalsNotBefore time.Time
	// recordsInFlight has the records whose result is not known, by token.
	recordsInFlight map[uint64]inFlightRecord
	lastRecordToken uint64
	output          Output
}

// rackView is what the shard knows about a rack.
type rackView struct {
	epoch worker.Epoch
	// epochSince is when the shard learned of the epoch.
	epochSince time.Time
	// isSynced means that the rack's owner of this epoch has reported every attempt
	// of the shard that may run there.
	isSynced   bool
	syncSentAt time.Time
	summary    node.RackSummary
	hasSummary bool
	// pending is the capacity of start requests that the summary does not yet
	// count as used.
	pending leverdyke.Resources
	// backoffUntil is until when the rack gets no requests after a refusal.
	backoffUntil time.Time
	// capacity is that of the largest VM seen in the rack, over all its epochs.
	capacity leverdyke.Resources
}

// Output is what the shard wants its caller to send, write and log.
type Output struct {
	ToRack    []RackMessage
	Records   []PendingRecord
	Events    []Event
	Decisions []Decision
	Starts    []TaskStart
}

// RackMessage is a message for the current owner of the rack.
type RackMessage struct {
	Rack    state.ShardID
	Message node.Message
}

// PendingRecord is a record to append to the log. The caller reports the result
// to OnRecordResult, with the token.
type PendingRecord struct {
	Token  uint64
	Record state.Record
}

// Decision is the choice of a rack for an attempt, to be logged.
type Decision struct {
	Key    worker.Key
	Rack   state.ShardID
	Reason string
}

// TaskStart reports that a task started, and how long it had waited.
type TaskStart struct {
	Key    worker.Key
	Class  leverdyke.Class
	Waited time.Duration
	Worker worker.ID
}

// Event is something that an operator may need to know.
type Event struct {
	Kind   EventKind
	Job    string
	Detail string
}

// EventKind names an event of a shard.
type EventKind string

// The events of a shard.
const (
	// EventUnschedulable: no worker of the region is large enough for a task of the
	// job.
	EventUnschedulable EventKind = "job-can-never-run"
	// EventUnknownOutcome: a task that may not be repeated may have run, and it
	// cannot be determined whether it did.
	EventUnknownOutcome EventKind = "task-fate-unknown"
	// EventJobFailed: the job was ended because it failed.
	EventJobFailed EventKind = "job-failed"
	// EventGangRestart: the tasks of an all-at-once job are stopped, to be started
	// together again.
	EventGangRestart EventKind = "gang-broken"
	// EventSynced: every rack has reported what runs, and some tasks of previous
	// owners were still uncertain.
	EventSynced EventKind = "home-synced"
	// EventDuplicateAttempt: a second attempt of a task is running; it is stopped.
	EventDuplicateAttempt EventKind = "two-attempts"
)

// NewShard returns the state of a job shard that this node has become the owner
// of.
func NewShard(now time.Time, id state.ShardID, epoch uint64, p Policies, options NewShardOptions) *Shard {
	if options.RackCandidates == 0 {
		options.RackCandidates = defaultRackCandidates
	}
	if options.MaxFailures == 0 {
		options.MaxFailures = defaultMaxFailures
	}
	return &Shard{
		ID: id, Epoch: epoch, options: options, policies: p, createdAt: now,
		// Shards start at different racks, so that they do not all request the same
		// one.
		rackOffset: int(xxhash.Sum64String(string(id)) % maxRackOffset),
		jobs:       map[string]*job{}, queue: queue.NewQueue(options.Queue), racks: map[state.ShardID]*rackView{},
		usage: map[string]leverdyke.Resources{}, finals: map[finalKey]*finalBatch{}, recordsInFlight: map[uint64]inFlightRecord{},
	}
}

// TakeOutput returns the output since the last call.
func (h *Shard) TakeOutput() Output {
	out := h.output
	h.output = Output{}
	return out
}

// RackInfo is a rack of the shard's region with the epoch of its owner.
type RackInfo struct {
	ID    state.ShardID
	Epoch worker.Epoch
}

// SetRacks sets the racks of the region and their epochs; racks that are
// missing from the list stay. In a new epoch the rack's owner has to report all
// attempts of the shard before the shard decides what became of those that ran
// there in earlier epochs.
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

// OnRackSummary handles the summary of a rack's free capacity. A summary of
// another epoch is ignored.
func (h *Shard) OnRackSummary(summary *node.RackSummary) {
	v := h.racks[summary.Rack]
	if v == nil || v.epoch != summary.Epoch {
		return
	}
	if !v.hasSummary || !summary.Free.FitsIn(v.summary.Free) {
		// There is more free capacity than before: a refused task may fit now.
		v.backoffUntil = time.Time{}
		h.isScanDue = true
	}
	v.summary = *summary
	v.hasSummary = true
	v.pending = h.requestedFrom(summary.Rack)
	v.capacity = v.capacity.Max(summary.Capacity)
}

// isSummaryAwaited reports whether a rack with a new owner has sent no summary
// yet but may still do so in time. A service stays where it is placed, so it is
// not placed before it can be spread over that rack too.
func (h *Shard) isSummaryAwaited(now time.Time) bool {
	for _, v := range h.racks {
		if !v.hasSummary && now.Sub(v.epochSince) < summaryTimeout {
			return true
		}
	}
	return false
}

// requestedFrom returns the capacity of the unanswered start requests to a
// rack.
func (h *Shard) requestedFrom(rack state.ShardID) leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, j := range h.jobList {
		sum = sum.Add(j.spec.Each.Times(int64(j.requested[rack])))
	}
	return sum
}

// Tick does everything that is due: it sends and resends requests to racks,
// ends reservations and jobs that have timed out, scans the queue, and writes
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

// syncRacks sends JobShardSync to every rack that has not reported all attempts
// of its current epoch, again after syncRetry.
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

// isAllSynced reports whether every rack has reported all its attempts. It
// reports false if the shard knows no rack, because then it cannot know what runs.
func (h *Shard) isAllSynced() bool {
	for _, rack := range h.racks {
		if !rack.isSynced {
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

// DominantShare returns the fraction of its quota that a team uses, in the
// dimension in which it uses most. A team without a quota gets 2, so that it
// sorts after all others.
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

// Usage returns what the requested and running attempts of a team use.
func (h *Shard) Usage(team string) leverdyke.Resources { return h.usage[team] }

// WaitingJobs returns how many jobs have waiting tasks.
func (h *Shard) WaitingJobs() int { return h.queue.Len() }

// IsQueueFull reports whether the queue accepts no further job.
func (h *Shard) IsQueueFull() bool { return h.queue.IsFull() }
