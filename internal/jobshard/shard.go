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

// NewHomeOptions sets the bounds. Zero values mean the defaults.
type NewHomeOptions struct {
	Queue queue.NewQueueOptions
	// Tries is how many racks with room are compared; 0 means 8.
	Tries int
	// MaxFailures is the default failure budget of a job; 0 means 10.
	MaxFailures int
}

const (
	defaultTries       = 8
	defaultMaxFailures = 10
	attemptBits        = 24
	maxOffset          = 1 << 16
	askRetry           = time.Second
	syncRetry          = time.Second
	scanPeriod         = 250 * time.Millisecond
	// roomPatience is how long services wait for racks to tell their room; they
	// do so once a second at least when it is new.
	roomPatience = 2 * time.Second
	refusedShut  = 300 * time.Millisecond
	firstBackoff = time.Second
	maxBackoff   = 2 * time.Minute
	finalsRetry  = time.Second
	// finalsPeriod joins ends into few records: nobody waits for them.
	finalsPeriod = time.Second
)

// Home is the owner's view of its teams. It belongs to one goroutine.
type Home struct {
	// ID and Epoch never change; a new epoch is a new Home.
	ID       state.ShardID
	Epoch    uint64
	options  NewHomeOptions
	policies Policies
	began    time.Time

	jobs map[string]*job
	// list has the jobs in the order in which they came.
	list  []*job
	queue *queue.Queue
	racks map[state.ShardID]*rackView
	order []state.ShardID
	// used is what each team's asked and running attempts take.
	used map[string]leverdyke.Resources
	// starved is the job for which racks are asked to keep a VM; nil for none.
	starved *job
	// unsure counts the tasks that an earlier owner may have started.
	unsure  int
	counter uint64
	offset  int
	isDirty bool
	scanned time.Time
	finals  map[finalKey]*finalBatch
	// finalOrder has the keys of finals in the order in which they came.
	finalOrder []finalKey
	// finalsNotBefore is when to try the log again.
	finalsNotBefore time.Time
	recorded        map[uint64]recording
	token           uint64
	out             Output
}

// rackView is what the home knows of a rack.
type rackView struct {
	epoch worker.Epoch
	// since is when the home heard of the epoch.
	since time.Time
	// isSynced means that the rack's owner of this epoch has told all that runs
	// there, and that nothing else may.
	isSynced bool
	syncedAt time.Time
	room     node.RackSummary
	hasRoom  bool
	// pending is what was asked for since the room was told.
	pending leverdyke.Resources
	// shutUntil is until when nothing is asked after a refusal.
	shutUntil time.Time
	capacity  leverdyke.Resources
}

// Output is what the home wants done.
type Output struct {
	ToRack    []RackMessage
	Records   []PendingRecord
	Events    []Event
	Decisions []Decision
	Starts    []StartNote
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
	Key  worker.Key
	Rack state.ShardID
	Why  string
}

// StartNote says how long a task waited for its start.
type StartNote struct {
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
	EventNever       EventKind = "job-can-never-run"
	EventUnknownFate EventKind = "task-fate-unknown"
	EventJobFailed   EventKind = "job-failed"
	EventGangBroken  EventKind = "gang-broken"
	EventSynced      EventKind = "home-synced"
	EventTwoAttempts EventKind = "two-attempts"
)

// NewHome takes ownership of a home.
func NewHome(now time.Time, id state.ShardID, epoch uint64, p Policies, options NewHomeOptions) *Home {
	if options.Tries == 0 {
		options.Tries = defaultTries
	}
	if options.MaxFailures == 0 {
		options.MaxFailures = defaultMaxFailures
	}
	return &Home{
		ID: id, Epoch: epoch, options: options, policies: p, began: now,
		// Each home begins elsewhere in the order of the racks.
		offset: int(xxhash.Sum64String(string(id)) % maxOffset),
		jobs:   map[string]*job{}, queue: queue.NewQueue(options.Queue), racks: map[state.ShardID]*rackView{},
		used: map[string]leverdyke.Resources{}, finals: map[finalKey]*finalBatch{}, recorded: map[uint64]recording{},
	}
}

// Take returns what was ordered since the last call.
func (h *Home) Take() Output {
	out := h.out
	h.out = Output{}
	return out
}

// RackInfo is a rack of the home's region and its owner's epoch.
type RackInfo struct {
	ID    state.ShardID
	Epoch worker.Epoch
}

// SetRacks tells the home which racks there are and under which epochs. A new
// epoch has to tell everything before the home decides about what ran there.
func (h *Home) SetRacks(now time.Time, racks []RackInfo) {
	for _, info := range racks {
		v := h.racks[info.ID]
		if v == nil {
			v = &rackView{}
			h.racks[info.ID] = v
			h.order = append(h.order, info.ID)
			slices.Sort(h.order)
		}
		if info.Epoch > v.epoch {
			*v = rackView{epoch: info.Epoch, since: now, capacity: v.capacity}
			h.isDirty = true
		}
	}
}

// OnRoom takes a rack's summary.
func (h *Home) OnRoom(room *node.RackSummary) {
	v := h.racks[room.Rack]
	if v == nil || v.epoch != room.Epoch {
		return
	}
	if !v.hasRoom || !room.Free.FitsIn(v.room.Free) {
		// More room than before: what was refused may fit now.
		v.shutUntil = time.Time{}
		h.isDirty = true
	}
	v.room = *room
	v.hasRoom = true
	v.pending = h.askedAt(room.Rack)
	v.capacity = v.capacity.Max(room.Capacity)
}

// isRoomAwaited reports whether a rack has not told its room and may do so at
// any moment: a service that is placed now could not be spread over it, and
// stays where it is.
func (h *Home) isRoomAwaited(now time.Time) bool {
	for _, v := range h.racks {
		if !v.hasRoom && now.Sub(v.since) < roomPatience {
			return true
		}
	}
	return false
}

// askedAt is what is asked for at a rack and not answered.
func (h *Home) askedAt(rack state.ShardID) leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, j := range h.list {
		sum = sum.Add(j.spec.Each.Times(int64(j.asked[rack])))
	}
	return sum
}

// Tick does what is due: syncs with racks, asks that were not answered, starts,
// records.
func (h *Home) Tick(now time.Time) {
	h.syncRacks(now)
	h.resendAsks(now)
	h.expireGangs(now)
	h.wakeDelayed(now)
	h.missDeadlines(now)
	if h.isDirty || now.Sub(h.scanned) >= scanPeriod {
		h.scan(now)
	}
	h.flushFinals(now)
}

// syncRacks asks every rack of whose epoch the home has not heard all.
func (h *Home) syncRacks(now time.Time) {
	for _, id := range h.order {
		v := h.racks[id]
		if v.isSynced || now.Sub(v.syncedAt) < syncRetry {
			continue
		}
		v.syncedAt = now
		h.toRack(id, node.Message{JobShardSync: &node.JobShardSync{JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: id}})
	}
}

// isAllSynced reports whether every rack has told all.
func (h *Home) isAllSynced() bool {
	for _, v := range h.racks {
		if !v.isSynced {
			return false
		}
	}
	return len(h.racks) > 0
}

func (h *Home) toRack(rack state.ShardID, m node.Message) {
	h.out.ToRack = append(h.out.ToRack, RackMessage{rack, m})
}

func (h *Home) event(kind EventKind, job, detail string) {
	h.out.Events = append(h.out.Events, Event{kind, job, detail})
}

// Share returns the part of its quota that a team uses, by its fullest
// dimension; a team without a quota comes last.
func (h *Home) Share(team string) float64 {
	quota, ok := h.policies.Quota(team)
	if !ok {
		return 2
	}
	used := h.used[team]
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

// Used returns what a team's asked and running attempts take.
func (h *Home) Used(team string) leverdyke.Resources { return h.used[team] }

// Waiting returns how many jobs have tasks that wait.
func (h *Home) Waiting() int { return h.queue.Len() }

// IsFull reports whether no further job may wait.
func (h *Home) IsFull() bool { return h.queue.IsFull() }
