// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package dispatch decides which task runs on which worker and when. It is pure:
// what happened comes in by calls with the time, what is to be done goes out as
// actions. One goroutine calls it.
//
// Its promises: a worker's room is charged from the order until the end is
// known; a task has at most one attempt of which it is not known that it is over
// (but where copies are allowed); what must last is handed out as a batch, and
// an end is only confirmed to a worker when the batch with it is committed.
package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/estimate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/rotation"
	"github.com/leverdyke/leverdyke/internal/stray"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Durations and limits of the engine.
const (
	// unreachableAfter is how long a worker may be silent before it gets nothing new;
	// a listing comes at least every 2 s.
	unreachableAfter = 2600 * time.Millisecond
	// unacknowledgedTimeout is how long a listing may take that tells whether a doubtful
	// order was carried out.
	unacknowledgedTimeout = 150 * time.Millisecond
	// stopRetryInterval is the pause before a stop without an answer is sent again.
	stopRetryInterval = 120 * time.Millisecond
	// flushInterval is the longest that progress waits for its batch; a job's end
	// does not wait.
	flushInterval = 60 * time.Millisecond
	// finalStateRetention is how long the state of a job that is over is kept: the time for
	// which callers may ask, and a margin.
	finalStateRetention = 140 * time.Second
)

// Options configures an Engine. The zero value works.
type Options struct {
	// Log takes a line of the log; nil drops it.
	Log func(e events.Event, keysAndValues ...any)
	// NodeZone is the zone of this node: a tie goes to a worker near by.
	NodeZone string
	// StopTime is the longest that a worker takes to stop a task.
	StopTime time.Duration
	// HeartbeatInterval is the time between two heartbeats of a worker; 0 when not known.
	HeartbeatInterval time.Duration
	// Disabled switches mechanisms off, for tests and measurements.
	Disabled []Mechanism
}

// isEnabled reports whether a mechanism is in use.
func (e *Engine) isEnabled(m Mechanism) bool { return !slices.Contains(e.options.Disabled, m) }

// Engine decides for one shard: its jobs and its workers.
type Engine struct {
	options Options
	now     time.Time
	// wallClockOffset is how far the time of wallClockOffset is ahead of now: rounds are due by that.
	wallClockOffset time.Duration
	jobs            map[work.JobID]*job
	// activeJobs are the jobs that are not over, in the order in which they came.
	activeJobs []*job
	// stepQueue has the steps of kept jobs that are open and have tasks that wait, or want
	// copies, and perhaps some that no longer do.
	stepQueue []*step
	workers   ordered.Map[order.WorkerID, *worker]
	index     workerIndex
	// endedIncarnations has lives that are endedIncarnations while the platform's list still has them.
	endedIncarnations map[order.WorkerID]bool
	queues            map[string]order.Queue
	// quota counts what may be running for each customer.
	quota quota.Ledger
	// customers are those in force. overShare has those with more in use than their share, looked
	// at anew at sharesAt.
	customers   []order.Customer
	overShare   map[work.CustomerName]bool
	sharesDueAt time.Time
	// poolUsage is what part of each pool is in use, looked at anew at useAt.
	poolUsage      map[string]float64
	poolUsageDueAt time.Time
	// admittedBuffer is the buffer of withinLimits, heldLogAt when what is held back is told next.
	admittedBuffer []*step
	limitLogDueAt  time.Time
	// notRunningLogDueAt is when it is told next of which tasks that last nothing runs.
	notRunningLogDueAt time.Time
	channels           permit.Lanes
	// claims has the room that calls for permission are likely to use.
	claims permit.Claims
	// uncertainTasks are workers on which an earlier owner may have started tasks that
	// are not known yet, with these tasks.
	uncertainTasks ordered.Map[order.WorkerID, []work.TaskID]
	// abandonedStarts has what may still be on its way to workers and is not wanted any more.
	abandonedStarts stray.Orders
	// possiblyCrashed has workers that may have crashed, or only be cut off.
	possiblyCrashed ordered.Map[order.WorkerID, *cutOff]
	// silences are workers that fell silent lately, whether they live or not.
	silences crash.Silences
	// soloProbeUntil is until when a task under which several workers have crashed is tried, and
	// no other such one.
	soloProbeUntil time.Time
	// probeReservedUntil is until when a worker is kept for a task that may crash it.
	probeReservedUntil time.Time
	// inheritedLeasesUntil is when all leases that the earlier owner gave are over.
	inheritedLeasesUntil time.Time
	// inherited is set while any task may run anywhere by an earlier owner's order.
	inherited *inheritedDoubt
	// hasUnpersistedReports means that what workers have told of its orders is not kept yet.
	hasUnpersistedReports bool
	actions               []order.Action
	// startsInActions are the attempts whose orders to start are in actions.
	startsInActions []*attempt
	// readyStarts are starts whose places are kept and that wait for their turn, and
	// unanswered counts those that were ordered and not answered.
	readyStarts    []*attempt
	startsInFlight int
	// reservations counts the steps for which room is kept, on the workers reserved, and
	// largest has, by service, the most that a worker has of each dimension, all until
	// reservationDueAt. isReserving means that this look at all that waits keeps room anew.
	reservationDueAt time.Time
	isReserving      bool
	reservedSteps    int
	reservedWorkers  []*worker
	largestCapacity  map[string]leverdyke.Resources
	// queryOffset is how many workers the next look at whom to ask about passes over at first.
	queryOffset int
	// channelsBusyAt is when a step of a pool with room found no free lane last.
	channelsBusyAt time.Time
	// queriesLeft is how many calls for permission this look may still prepare, deferralsLeft how many
	// steps it may put off besides.
	queriesLeft, deferralsLeft int
	// rotation chooses at which of many steps that wait is looked.
	rotation rotation.Rotation
	// isLateFirst means that late steps go first in this look.
	isLateFirst bool
	// permittedBuffer is the buffer of permitted, turns that of turnsOf.
	permittedBuffer []*worker
	taskOrderBuffer []int
	// recheckAt is when to look again for workers for tasks that wait; zero when none
	// does.
	recheckAt time.Time
	// needsScheduling means that something may be placed that could not be before.
	needsScheduling bool
	isPaused        bool
	// isOwnershipConfirmed means that this node is known to own the shard still. Without it
	// nothing is started and no lease is renewed.
	isOwnershipConfirmed bool
	// isWriteBehind means that starts are ordered, and ends shown, before they are kept.
	isWriteBehind bool
	// unpersisted counts attempts that were ordered and whose places are not kept yet.
	unpersisted int
	// allResponsive is what AllAnswer returns.
	allResponsive bool
	batch         *Batch
	lastFlush     time.Time
	// pending counts, by queue, jobs none of whose tasks has begun.
	nextJobScan, scannedAt time.Time
	counts                 Counts
	// waits is how long tasks have waited, by queue and reason.
	waits waits.Sums
	// tickedAt is when Tick was called last, stalledUntil until when answers are late
	// because this node was kept from running.
	tickedAt, stalledUntil time.Time
	// answerTimes tells how long workers take to answer an order to start.
	answerTimes estimate.Answers
	// startWindow bounds the orders to start that are not answered.
	startWindow estimate.Window
	// lossyUntil is until when answers of workers may be lost.
	lossyUntil time.Time
	// estimates has, by queue, how good the callers' estimates are.
	estimates map[string]*estimate.Durations
}

// Counts are totals since the engine was made.
type Counts struct {
	Starts, Done, Failed, Stopped, Expired, Unacknowledged, PermissionQueries int
	// ReservationPlans counts the times at which it was worked out where room is to be kept.
	ReservationPlans int
}

// NewEngine returns an engine without jobs or workers.
func NewEngine(options Options) *Engine {
	if options.Log == nil {
		options.Log = func(events.Event, ...any) {}
	}
	return &Engine{
		options: options, jobs: map[work.JobID]*job{}, index: newWorkerIndex(),
		queues: map[string]order.Queue{}, endedIncarnations: map[order.WorkerID]bool{}, largestCapacity: map[string]leverdyke.Resources{}, estimates: map[string]*estimate.Durations{},
		overShare: map[work.CustomerName]bool{}, poolUsage: map[string]float64{},
	}
}

// Advance sets the time. It is called before any other call.
func (e *Engine) Advance(now time.Time) { e.now = now }

// SetTimeOfDay says what the time of day is now. Until then it is the time by which the
// engine goes.
func (e *Engine) SetTimeOfDay(t time.Time) { e.wallClockOffset = t.Round(0).Sub(e.now.Round(0)) }

// SetPaused ends or resumes new starts: an owner that hands over starts nothing.
func (e *Engine) SetPaused(isPaused bool) {
	e.isPaused = isPaused
	e.needsScheduling = true
}

// SetOwnershipConfirmed says whether this node is known to own the shard still.
func (e *Engine) SetOwnershipConfirmed(isConfirmed bool) {
	if e.isOwnershipConfirmed == isConfirmed {
		return
	}
	e.isOwnershipConfirmed = isConfirmed
	e.needsScheduling = true
}

// SetWriteBehind says whether starts are ordered before their places are kept, which
// is for a store that is slow or out. What an owner that does so had started is not
// known to the next one while HasUnkept. Ends are told only when they are kept.
func (e *Engine) SetWriteBehind(isWriteBehind bool) {
	if e.isWriteBehind == isWriteBehind {
		return
	}
	e.isWriteBehind = isWriteBehind && e.isEnabled(MechanismWriteBehind)
	if !e.isWriteBehind {
		return
	}
	for _, w := range e.workers.All() {
		for _, a := range w.attempts.All() {
			if a.phase == phasePlanned && e.mayStartUnkept(a) {
				e.queueStart(a)
			}
		}
	}
}

// AllResponsive reports whether all workers had told what they run, and none was
// silent, at the last Tick.
func (e *Engine) AllResponsive() bool { return e.allResponsive }

// HasUnpersisted reports whether tasks may run, or have ended, in places that are not kept, by this
// owner's orders or by an earlier one's.
func (e *Engine) HasUnpersisted() bool {
	return e.unpersisted > 0 || e.inherited != nil || e.hasUnpersistedReports
}

// Counts returns the totals.
func (e *Engine) Counts() Counts { return e.counts }

// SetQueues puts a configuration in force. A queue that is no longer in it keeps
// its last policy for the jobs that it has.
func (e *Engine) SetQueues(queues []order.Queue) {
	for _, q := range queues {
		e.queues[q.Name] = q
	}
	e.needsScheduling = true
}

// Tick does what is due by time alone. It is called every 50 ms or so.
func (e *Engine) Tick() {
	e.detectStall()
	e.queriesLost(e.channels.Expire(e.now))
	e.tickInherited()
	e.allResponsive = true
	for _, w := range e.workers.All() {
		if e.isTickDue(w) {
			e.tickWorker(w)
		}
		e.allResponsive = e.allResponsive && w.session.IsListed() && !w.session.HasMissed()
	}
	if !e.recheckAt.IsZero() && !e.now.Before(e.recheckAt) {
		e.recheckAt, e.needsScheduling = time.Time{}, true
	}
	if !e.now.Before(e.nextJobScan) {
		if !e.scannedAt.IsZero() {
			e.recordWaits(e.now.Sub(e.scannedAt))
		}
		e.scannedAt, e.nextJobScan = e.now, e.now.Add(jobScanInterval)
		e.scanJobs()
	}
}

const (
	// stallThreshold is the time between two ticks from which this node was kept from
	// running; the owner ticks every 20 ms.
	stallThreshold = 60 * time.Millisecond
	// maxStall bounds what one such time counts.
	maxStall = 300 * time.Millisecond
)

// detectStall finds out from the time since the last tick whether this node was kept
// from running. Answers that came meanwhile are taken in as late as that: no order
// counts as unanswered for as long again.
func (e *Engine) detectStall() {
	gap := e.now.Sub(e.tickedAt)
	if !e.tickedAt.IsZero() && gap > stallThreshold {
		e.stalledUntil = e.now.Add(min(gap, maxStall))
	}
	e.tickedAt = e.now
}

// jobScanInterval is the time between two looks at all jobs for rounds that are due
// and for jobs to forget.
const jobScanInterval = 50 * time.Millisecond

func (e *Engine) scanJobs() {
	for _, j := range e.activeJobs {
		if j.spec.Rounds > 0 && !j.state.IsFinal() {
			e.openRounds(j)
		}
	}
	e.activeJobs = slices.DeleteFunc(e.activeJobs, func(j *job) bool { return j.state.IsFinal() && j.attempts == 0 })
	e.forgetCutOff()
	e.logAway()
	e.abandonedStarts.Forget(e.now)
	for id, j := range e.jobs {
		if j.state.IsFinal() && j.isShown && e.now.Sub(j.endedAt) > finalStateRetention && j.attempts == 0 {
			delete(e.jobs, id)
			e.currentBatch().ExpiredJobs = append(e.currentBatch().ExpiredJobs, id)
		}
	}
}

// NeedsScheduling reports whether something may be placed that could not be before.
func (e *Engine) NeedsScheduling() bool { return e.needsScheduling }

// Schedule places what can be placed. It is called after events, once for many.
func (e *Engine) Schedule() {
	if !e.needsScheduling {
		return
	}
	e.needsScheduling = false
	e.runPass()
}

// Actions returns what is to be done since the last call.
func (e *Engine) Actions() []order.Action {
	actions := e.actions
	e.actions = nil
	for _, started := range e.startsInActions {
		started.isHandedOut = true
	}
	e.startsInActions = e.startsInActions[:0]
	return actions
}

func (e *Engine) emit(a order.Action) { e.actions = append(e.actions, a) }

// emitStop tells a worker to stop a run, and to refuse it where it does not run.
func (e *Engine) emitStop(w *worker, task work.TaskID, run uint64) {
	e.emit(order.Stop{Worker: w.ID, Addr: w.Addr, Generation: e.abandonedStarts.Generation(w.ID), Task: task, Run: run})
}
