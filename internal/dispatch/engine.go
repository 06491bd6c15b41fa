// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package dispatch is the scheduling engine: it decides which task runs on which worker and when.
// It does no I/O and reads no clock. The caller passes in events together with the current time and
// carries out the actions that the engine returns. The engine is not safe for concurrent use: one
// goroutine calls it.
//
// It guarantees the following. The capacity of a worker is charged for an attempt from the moment
// the attempt is planned until it is known to have ended. A task has at most one attempt that is
// not known to have ended, except where its caller allows speculative copies. Everything that must
// survive a change of owner is handed out as a batch for the store, and the engine confirms the end
// of an attempt to its worker only after the batch with that end is committed.
package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/abandoned"
	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/estimate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/lostwork"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/rotation"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/throughput"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Timeouts and intervals of the engine.
const (
	// unreachableAfter is how long a worker may be silent before it is given no new tasks. A worker
	// that answers sends a listing at least every 2 s.
	unreachableAfter = 2600 * time.Millisecond
	// unacknowledgedTimeout is how long the engine waits for a listing that shows whether an
	// unacknowledged start was carried out. After that it stops the attempt.
	unacknowledgedTimeout = 150 * time.Millisecond
	// stopRetryInterval is how long a stop order may stay unanswered before it is sent again.
	stopRetryInterval = 120 * time.Millisecond
	// flushInterval is the longest time that ordinary progress of jobs is held back to be written
	// in one batch. The end of a job is written without this delay.
	flushInterval = 60 * time.Millisecond
	// finalStateRetention is how long the state of an ended job is kept: the time during which
	// callers may query it, plus a margin.
	finalStateRetention = 140 * time.Second
)

// Options configures an Engine. The zero value is usable.
type Options struct {
	// Log writes a log line for an event. If it is nil, nothing is logged.
	Log func(e events.Event, keysAndValues ...any)
	// NodeZone is the availability zone of this node. Of workers that suit a task equally well, one
	// in this zone is preferred.
	NodeZone string
	// StopTime is the longest time that a worker takes to stop a task.
	StopTime time.Duration
	// HeartbeatInterval is the time between two heartbeats of a worker; 0 if it is not known.
	HeartbeatInterval time.Duration
	// Disabled lists mechanisms that are switched off.
	Disabled []Mechanism
	// RoundMemory is how many bytes the open rounds of jobs may take beyond one of each job; 0 means defaultRoundMemory.
	RoundMemory int64
	// Epoch is that of the owner; it is logged.
	Epoch uint64
}

// isEnabled reports whether a mechanism is in use.
func (e *Engine) isEnabled(m Mechanism) bool {
	return !slices.Contains(e.options.Disabled, m)
}

// Engine schedules the jobs of one shard on the workers of that shard.
type Engine struct {
	options Options
	now     time.Time
	// wallClockOffset is added to now to get the time of day, by which the rounds of a job are due.
	wallClockOffset time.Duration
	jobs            map[work.JobID]*job
	// largeJobBytes is the sum of the jobs' largeBytes.
	largeJobBytes int64
	// furtherRoundBytes is the memory of all open rounds beyond one of each job.
	furtherRoundBytes int64
	// activeJobs are the persisted jobs that have not ended, in order of arrival. A job that has
	// ended stays here until its last attempt has ended.
	activeJobs []*job
	// stepQueue has every open step of a persisted job that has waiting tasks or wants speculative
	// copies. It may also contain steps that no longer do; these are removed in the next scheduling
	// pass.
	stepQueue []*step
	// workers has the known incarnations of workers. One that has ended, or that the platform no
	// longer lists, stays until no attempt is charged to it.
	workers ordered.Map[order.WorkerID, *worker]
	index   workerIndex
	// givenUp has the runs that were taken for ended without their ends, for the log.
	givenUp givenUpRuns
	// endedIncarnations are the workers' incarnations that are known to have ended and are still in
	// the platform's list.
	endedIncarnations map[order.WorkerID]bool
	queues            map[string]order.Queue
	// knownCustomers has the last policy of each customer that was configured, or stored beside the jobs.
	knownCustomers map[string]order.Customer
	// inheritedOutlasted has the runs that previous owners handed on.
	inheritedOutlasted ordered.Map[crash.OutlastedRun, bool]
	// drainedZones are the availability zones in which nothing may be started, sorted.
	drainedZones []string
	// quota counts the resources that may be in use by each customer.
	quota quota.Ledger
	// customers is the current configuration of customers. overShare has those that use more than
	// their share; it is recomputed at sharesDueAt.
	customers []order.Customer
	overShare map[work.CustomerName]bool
	// activeWeight is the sum of the weights of the customers that have work running or waiting.
	activeWeight float64
	sharesDueAt  time.Time
	// poolUsage is the used fraction of each pool, by the name of its service; it is recomputed at
	// poolUsageDueAt.
	poolUsage      map[string]float64
	poolUsageDueAt time.Time
	// admittedBuffer is the reusable result slice of withinLimits.
	admittedBuffer []*step
	// limitLogDueAt is the earliest time of the next log line about a step that is blocked by the
	// limit of its customer. There is one such time for all customers.
	limitLogDueAt time.Time
	// notRunningLogDueAt is the earliest time of the next log lines about long-running tasks that
	// do not run, standstillLogDueAt that of those about jobs that stand still.
	notRunningLogDueAt, standstillLogDueAt time.Time
	// planner decides which permission queries are made. permissionLogDueAt is the earliest time of
	// the next log lines about them.
	planner            *permit.Planner
	permissionLogDueAt time.Time
	// uncertainTasks are the tasks that a previous owner may have started.
	uncertainTasks uncertainTasks
	// abandonedStarts are the orders to start that are no longer wanted and may still arrive at a
	// worker.
	abandonedStarts abandoned.Starts
	// possiblyCrashed are workers that have stopped answering. They may have crashed, or only be
	// partitioned.
	possiblyCrashed ordered.Map[order.WorkerID, *possibleCrash]
	// silences are the recent periods during which a worker did not answer, whether it turned out
	// to be alive or not.
	silences crash.SilentWorkers
	// soloProbeUntil is when the current probe of a task under which several workers have crashed
	// ends. Until then no other such task is started.
	soloProbeUntil time.Time
	// probeReservedUntil is when the reservation of a worker for a task that may crash it ends.
	// Only one worker at a time is reserved for this.
	probeReservedUntil time.Time
	// inheritedLeasesUntil is when all leases that the previous owner granted have expired.
	inheritedLeasesUntil time.Time
	// inherited is set while it is not known on which workers tasks may run that a previous owner
	// started.
	inherited *inheritedUncertainty
	// silent is what is known and handed on of the leases of workers that do not answer.
	silent silentWorkers
	// storedQueues and storedCustomers are the policies that the store has beside the jobs.
	storedQueues    storedPolicies[order.Queue]
	storedCustomers storedPolicies[order.Customer]
	// stored are the workers whose IDs are in the store.
	stored storedWorkers
	// inheritedNames has, by the name of a worker, the incarnation by which a previous owner knew it; "" if there
	// are several.
	inheritedNames map[string]order.WorkerID
	// hasUnpersistedReports means that workers have reported attempts of the previous owner that
	// are not in the store yet.
	hasUnpersistedReports bool
	actions               []order.Action
	// startsInActions are the attempts whose start orders are in actions.
	startsInActions []*attempt
	// readyStarts are planned attempts that may be started and wait until the window allows another
	// unanswered order. startsInFlight counts the start orders that have been issued and for which
	// StartAnswered has not been called yet.
	readyStarts    []*attempt
	startsInFlight int
	// At reservationDueAt all reservations are dropped and computed again; isReserving means that
	// the current scheduling pass does so. Until then reservedSteps counts the steps that have
	// reservations, reservedWorkers are the workers with reservations, and largestCapacity has, by
	// service, the largest capacity of any worker in each dimension.
	reservationDueAt time.Time
	isReserving      bool
	reservedSteps    int
	reservedWorkers  []*worker
	largestCapacity  map[string]leverdyke.Resources
	// queryOffset is the position in the list of workers at which the next permission query starts
	// to look for candidates.
	queryOffset int
	// rotation selects which of the waiting steps a scheduling pass tries to place.
	rotation rotation.Rotation
	// isLateFirst means that steps that will miss their deadline go first in this scheduling pass.
	isLateFirst bool
	// permittedBuffer and taskOrderBuffer are the reusable result slices of permittedWorkers and
	// taskOrder.
	permittedBuffer []*worker
	taskOrderBuffer []int
	// siblingsBuffer and observationsBuffer are the reusable inputs of package discard.
	siblingsBuffer     []discard.Sample
	observationsBuffer []discard.Observation
	// recheckAt is when the next scheduling pass runs even if no event calls for one; zero if no
	// task waits.
	recheckAt time.Time
	// passedAt is when the last scheduling pass ran.
	passedAt time.Time
	// needsScheduling means that an event may have made it possible to place a task that could not
	// be placed before.
	needsScheduling bool
	isPaused        bool
	// isOwnershipConfirmed means that this node is known to still own the shard. Without it no
	// attempt is started and no lease is renewed.
	isOwnershipConfirmed bool
	// leaseBase is from when leases are counted; zero if that is when they are renewed.
	leaseBase time.Time
	// isWriteBehind means that attempts are started before their placements are persisted.
	isWriteBehind bool
	// unpersisted counts the attempts that were ordered and whose placements are not persisted yet.
	unpersisted int
	// allResponsive is the result of AllResponsive.
	allResponsive bool
	batch         *Batch
	lastFlush     time.Time
	// nextJobScan is when all jobs are next scanned for rounds that are due and for jobs to delete;
	// scannedAt is when they last were.
	nextJobScan, scannedAt time.Time
	counts                 Counts
	// waits sums up how long tasks have waited, by queue and reason.
	waits waits.Totals
	// lostWork sums up the work of attempts that ended without a result, by queue and reason.
	lostWork lostwork.Totals
	// served counts what became of the accepted jobs, by queue and size class.
	served served.Totals
	// tickedAt is when Tick was last called. Until stalledUntil, answers may be processed late
	// because this node did not get processor time.
	tickedAt, stalledUntil time.Time
	// answerTimes estimates how long workers take to answer an order to start.
	answerTimes estimate.ResponseTime
	// startWindow limits startsInFlight, the number of start orders whose answers are awaited.
	startWindow estimate.Window
	// Until lossyUntil the answers of workers may get lost, because one was lost recently.
	lossyUntil time.Time
	// throughput has how fast each worker is; it is next updated at throughputDueAt. runningBuffer is
	// the reusable slice of updateSpeeds.
	throughput throughput.Model
	// ejectedCounts has the counts of ejected workers by pool.
	ejectedCounts   map[string]*ejectedCount
	throughputDueAt time.Time
	runningBuffer   []throughput.End
	// estimates has, by queue, how accurate the callers' estimates of run times are.
	estimates map[string]*estimate.RunTimes
}

// Counts are totals since the engine was created.
type Counts struct {
	Starts, Done, Failed, Stopped, Expired, Unacknowledged, PermissionQueries int
	// ReservationPlans counts how often the engine computed where to reserve capacity for a step.
	ReservationPlans int
}

// NewEngine returns an engine without jobs or workers.
func NewEngine(options Options) *Engine {
	if options.Log == nil {
		options.Log = func(events.Event, ...any) {}
	}
	e := &Engine{
		options: options, jobs: map[work.JobID]*job{}, index: newWorkerIndex(),
		queues: map[string]order.Queue{}, knownCustomers: map[string]order.Customer{}, endedIncarnations: map[order.WorkerID]bool{}, largestCapacity: map[string]leverdyke.Resources{}, estimates: map[string]*estimate.RunTimes{},
		overShare: map[work.CustomerName]bool{}, poolUsage: map[string]float64{}, ejectedCounts: map[string]*ejectedCount{},
	}
	e.planner = permit.NewPlanner(permit.Options{IsFixed: !e.isEnabled(MechanismPermissionPlan), IgnoresClaims: !e.isEnabled(MechanismClaims)})
	return e
}

// Advance sets the time. It is called before any other call.
func (e *Engine) Advance(now time.Time) { e.now = now }

// SetTimeOfDay sets the current time of day. Before the first call the engine takes the time that
// Advance sets as the time of day.
func (e *Engine) SetTimeOfDay(t time.Time) { e.wallClockOffset = t.Round(0).Sub(e.now.Round(0)) }

// SetPaused suspends or resumes the start of tasks. An owner that hands over its shard starts
// nothing.
func (e *Engine) SetPaused(isPaused bool) {
	e.isPaused = isPaused
	e.needsScheduling = true
}

// SetOwnershipConfirmed sets whether this node is known to still own the shard.
func (e *Engine) SetOwnershipConfirmed(isConfirmed bool) {
	if e.isOwnershipConfirmed == isConfirmed {
		return
	}
	e.isOwnershipConfirmed = isConfirmed
	e.needsScheduling = true
}

// SetLeaseBase sets from when leases are counted: when this node was last known to own the shard.
func (e *Engine) SetLeaseBase(at time.Time) { e.leaseBase = at }

// leaseEndOf renews the lease of a worker and returns its end.
func (e *Engine) leaseEndOf(w *worker) order.WorkerTime {
	if e.leaseBase.IsZero() {
		return w.session.Renew(e.now)
	}
	return w.session.Renew(e.leaseBase)
}

// SetWriteBehind sets whether tasks are started before their placements are persisted. This is for
// a store that is slow or unavailable. While HasUnpersisted is true, the next owner would not know
// everything that this one has started. A task that may crash its workers still waits for the
// store, and callers learn that a job has ended only after its end is persisted.
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
			if a.phase == phasePlanned && e.mayStartUnpersisted(a) {
				e.queueStart(a)
			}
		}
	}
}

// AllResponsive reports whether, at the last Tick, every worker had reported what it runs and none
// had missed its last poll.
func (e *Engine) AllResponsive() bool { return e.allResponsive }

// HasUnpersisted reports whether tasks may run, or have ended, in placements that are not in the
// store, by orders of this owner or of a previous one.
func (e *Engine) HasUnpersisted() bool {
	return e.unpersisted > 0 || e.inherited != nil || e.hasUnpersistedReports
}

// HasUnpersistedStarts reports whether tasks may run by orders of this owner in placements that are not in the store.
func (e *Engine) HasUnpersistedStarts() bool { return e.unpersisted > 0 }

// Counts returns the totals.
func (e *Engine) Counts() Counts { return e.counts }

// SetQueues applies a configuration of queues. A queue that is missing from it keeps its last
// policy for the jobs that it still has.
func (e *Engine) SetQueues(queues []order.Queue) {
	for _, q := range queues {
		e.queues[q.Name] = q
	}
	if e.storedQueues.configured(e.queues) {
		e.currentBatch()
	}
	e.needsScheduling = true
}

// Tick does everything that is due because of the passage of time: timeouts, retries and regular
// scans. It is called about every 50 ms or more often.
func (e *Engine) Tick() {
	e.detectStall()
	e.queriesLost(e.planner.Channels().Expire(e.now))
	e.tickInherited()
	e.allResponsive = true
	for _, w := range e.workers.All() {
		if e.isTickDue(w) {
			e.tickWorker(w)
		}
		e.allResponsive = e.allResponsive && w.isResponsive()
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
	// stallThreshold is the time between two ticks above which this node is taken to have been
	// without processor time in between. The owner ticks every 20 ms.
	stallThreshold = 60 * time.Millisecond
	// maxStall is the maximum time for which one such gap keeps orders from being marked as
	// unacknowledged.
	maxStall = 300 * time.Millisecond
)

// detectStall finds out from the time since the last tick whether this node was without processor
// time. An answer that arrived during the gap may not have been processed yet, although it arrived
// in time. So for as long as the gap was, but no longer than maxStall, no further order is marked as
// unacknowledged.
func (e *Engine) detectStall() {
	gap := e.now.Sub(e.tickedAt)
	if !e.tickedAt.IsZero() && gap > stallThreshold {
		e.stalledUntil = e.now.Add(min(gap, maxStall))
	}
	e.tickedAt = e.now
}

// jobScanInterval is the time between two scans of all jobs for rounds that are due and for jobs to
// delete.
const jobScanInterval = 50 * time.Millisecond

func (e *Engine) scanJobs() {
	for _, j := range e.activeJobs {
		if j.spec.Rounds > 0 && !j.state.IsFinal() {
			e.dropRounds(j)
			e.openRounds(j)
		}
	}
	e.activeJobs = slices.DeleteFunc(e.activeJobs, func(j *job) bool { return j.state.IsFinal() && j.attempts == 0 })
	e.expirePossibleCrashes()
	e.logNotRunning()
	e.logStandstills()
	e.updateThroughput()
	e.queryNextSteps()
	e.logPermissionQueries()
	e.abandonedStarts.DropExpired(e.now)
	e.removeStoredWorkers()
	for id, j := range e.jobs {
		if len(j.rounds) > 0 && j.isFinalPersisted && e.inherited == nil {
			e.dropRounds(j)
		}
		if j.state.IsFinal() && j.isFinalPersisted && e.now.Sub(j.endedAt) > finalStateRetention && j.attempts == 0 {
			e.removeJob(j)
			e.currentBatch().ExpiredJobs = append(e.currentBatch().ExpiredJobs, id)
		}
	}
}

// NeedsScheduling reports whether a task may now be placeable that was not before.
func (e *Engine) NeedsScheduling() bool { return e.needsScheduling }

// Schedule runs a scheduling pass if one is needed. The caller handles a group of events first and
// then calls it once.
func (e *Engine) Schedule() {
	if !e.needsScheduling {
		return
	}
	e.needsScheduling = false
	e.runPass()
}

// Actions returns the actions to be carried out that have accumulated since the last call.
func (e *Engine) Actions() []order.Action {
	actions := e.actions
	e.actions = nil
	for _, started := range e.startsInActions {
		started.isSent = true
	}
	e.startsInActions = e.startsInActions[:0]
	return actions
}

func (e *Engine) emit(a order.Action) { e.actions = append(e.actions, a) }

// emitStop orders a worker to stop an attempt, and to refuse its start if the order to start
// arrives later.
func (e *Engine) emitStop(w *worker, task work.TaskID, run uint64) {
	e.emit(order.Stop{Worker: w.ID, Addr: w.Addr, Generation: e.abandonedStarts.Generation(w.ID), Task: task, Run: run})
}
