// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/boundedqueue"
	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/inspect"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/statequery"
	"github.com/leverdyke/leverdyke/internal/witness"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Owner schedules the jobs of the shard until it is stopped or no longer the owner. Its methods but
// Run are safe for concurrent use.
type Owner struct {
	options Options
	engine  *dispatch.Engine
	// router is used by the loop only.
	router *delegate.Router
	inbox  *boundedqueue.Queue[event]
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// writes passes batches to runWrites; at most one is in flight.
	writes chan *write
	// recordNeeded receives when the next record should be written at once: it sets the write-behind flag,
	// no longer names a silent worker, or tells about jobs accepted in a doubt.
	recordNeeded chan struct{}
	// loaded is closed once the jobs have been read from the store.
	loaded chan struct{}

	// mayHaveUnpersisted is the result of MayHaveUnpersisted.
	mayHaveUnpersisted atomic.Bool
	// mayAct is the result of MayActAsOwner.
	mayAct atomic.Bool
	// needsProbes is the result of NeedsProbes.
	needsProbes atomic.Bool
	// haveInheritedExpired means that no leases of previous owners last any more.
	haveInheritedExpired atomic.Bool
	// mayPreviousAct means that the previous owner may still act during an outage of the store.
	mayPreviousAct atomic.Bool
	// mayNodesFollowPrevious means that most nodes may follow the previous owner, so that those that are linked to this one
	// may be few of all.
	mayNodesFollowPrevious atomic.Bool
	// hasPreviousEnded means that the previous owner's process was found to have ended since the claim.
	hasPreviousEnded atomic.Bool
	// isInheritanceKnown means that it is known what previous owners started.
	isInheritanceKnown atomic.Bool
	// listedWorkers is how many workers the list had when it was last read.
	listedWorkers atomic.Int64
	connBudget    connBudget
	// customerUse is the result of CustomerUse; nil before the first sample.
	customerUse atomic.Pointer[[]quota.CustomerUtilization]
	// served is the result of Served; nil before the first sample.
	served atomic.Pointer[[]served.Count]
	// lagBits has the bits of the result of Lag.
	lagBits atomic.Uint64

	mu sync.Mutex
	// policy is a configured policy that the engine does not have yet; nil when there is none.
	policy        *order.Policy
	policyVersion uint64
	// heartbeatSeq is the number of this owner's newest record in the store, persistedAt when it
	// was persisted.
	heartbeatSeq uint64
	persistedAt  time.Time
	writeBehind  writeBehindGate
	silent       silentRecord
	// leaseWitnesses are the workers on which this owner depends while the store does not confirm it.
	leaseWitnesses leaseWitnesses
	// ruledOutAt is when it was first known that the store's word is all that the previous owner can be confirmed by: most
	// nodes do not follow it any more, or half of its lease witnesses answer this owner.
	ruledOutAt time.Time
	// outlasted is what the next record says of runs.
	outlasted []crash.OutlastedRun

	// The fields below are used by the loop only.
	now           time.Time
	inFlight      *write
	inFlightSince time.Time
	// nextOutlasted is when the runs for the next record are next looked up.
	nextOutlasted time.Time
	// nextWriteAt is when the next batch may be sent after one that the store refused.
	nextWriteAt time.Time
	isStoreDown bool
	// nextLearned is when the next digest of what was learned is due.
	nextLearned   time.Time
	appendTimeout appendTimeout
	// encoder encodes batches for the store.
	encoder *batchEncoder
	// claimedAt is when the owner was made, right after its claim.
	claimedAt time.Time
	// loadedAt is when the jobs had been read.
	loadedAt time.Time
	// confirmedAt is when the newest heartbeat was sent that the store has confirmed.
	confirmedAt time.Time
	// majorityAnsweredAt is when most nodes were last known to follow this one, and most lease witnesses to answer it, in an
	// outage of the store.
	majorityAnsweredAt time.Time
	// zonesKnown is closed once the drained zones have been passed to the loop. areZonesKnown says
	// that it is; only runZoneDrains uses it.
	zonesKnown    chan struct{}
	areZonesKnown bool
	// jobsEnd is the end of the topic of jobs as far as this owner has read and written it. Only load
	// and then runWrites use it.
	jobsEnd uint64
	// recordOffset is the offset of this owner's newest record. Only runHeartbeats uses it.
	recordOffset uint64
	lag          LagMeter
	throttle     passThrottle
	// pauseEnds fires when the next scheduling pass may run; nil while none is waiting.
	pauseEnds <-chan time.Time
	// pendingSubmits and pendingCancels have the callers that wait for an answer, by job.
	pendingSubmits map[work.JobID][]chan error
	pendingCancels map[work.JobID][]chan error
	// held are new jobs that arrived while the store did not take any, in order of arrival.
	held []heldSubmit
	// unknownJobQueries are queries for jobs that are unknown here. They wait until the store
	// confirms that this node is still the owner.
	unknownJobQueries []stateEvent
	// refusals are the latest jobs that were refused.
	refusals inspect.Refusals
	// heldQueries are queries for jobs that are about to end.
	heldQueries statequery.Queries[stateEvent]
	// heldCheckedAt is when they were last checked.
	heldCheckedAt time.Time
	// pendingStarts is how many start orders are unanswered.
	pendingStarts  int
	totalsLoggedAt time.Time
	sampledAt      time.Time
	// handOverDone gets the outcome of a hand-over; nil while there is none.
	handOverDone chan bool
	// handOverSilentVersion is the version of the silent workers that the store must have before a hand-over
	// ends, persistedSilentVersion the one that it has.
	handOverSilentVersion, persistedSilentVersion uint64
	handOverStartedAt                             time.Time
	isWriteBehind                                 bool
	// candidates are the processes to name as witnesses.
	candidates []string
	// survey has what the witnesses of the previous owner have said; nil when it does not matter.
	survey *witness.Survey
	// laterSurvey has what those have said that it named for the jobs accepted in an epoch from laterSince on; nil when it
	// does not matter. Once they have ruled out starts ahead of the store, this owner is not in doubt about these jobs.
	laterSurvey *witness.Survey
	// leaseSurvey has which lease witnesses of the previous owner have answered this one; nil when it does not matter.
	leaseSurvey *witness.Survey
	laterSince  uint64
	// nextNodeCheck is when the other nodes are checked again.
	nextNodeCheck time.Time
	// loopStartedAt is when the loop started; deferredPolls are polls that wait for delegates.
	loopStartedAt time.Time
	deferredPolls []order.Poll
}

// event is something that the loop handles.
type event interface{ apply(o *Owner) }

// New returns an owner that does not run yet.
func New(options Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	if options.Log == nil {
		options.Log = func(events.Event, ...any) {}
	}
	o := &Owner{
		options: options,
		engine: dispatch.NewEngine(dispatch.Options{
			Log: options.Log, NodeZone: options.NodeZone, StopTime: options.StopTime, HeartbeatInterval: options.Heartbeat,
			Disabled: options.Disabled, Epoch: options.Claim.Record.Epoch, RoundMemory: options.RoundMemory,
		}),
		router: delegate.NewRouter(options.DirectWorkers, options.Claim.Record.Epoch),
		inbox:  boundedqueue.NewQueue[event](inboxSize), ctx: ctx, cancel: cancel,
		writes: make(chan *write, 1), recordNeeded: make(chan struct{}, 1), loaded: make(chan struct{}), zonesKnown: make(chan struct{}),
		pendingSubmits: map[work.JobID][]chan error{}, pendingCancels: map[work.JobID][]chan error{},
		recordOffset: options.Claim.Offset, heartbeatSeq: options.Claim.Record.HeartbeatSeq, persistedAt: options.Clock.Now(), claimedAt: options.Clock.Now(),
		writeBehind: newWriteBehindGate(&options.Claim.Record), leaseWitnesses: newLeaseWitnesses(&options.Claim.Record), laterSince: options.Claim.Record.Epoch,
	}
	o.encoder = newBatchEncoder(options.StoreLimits, o.engine.Spec)
	o.previousConfirmableUntil()
	o.connBudget.setLeft(options.Claim.Record.LeftConns)
	o.silent.bounds, o.silent.foreign, o.outlasted = options.Claim.Record.Silent, options.Claim.Record.Foreign, options.Claim.Record.Outlasted
	_, kept := o.connBudget.get()
	options.Workers.SetKeptConns(kept)
	return o
}

// isEnabled reports whether a mechanism is in use.
func (o *Owner) isEnabled(m dispatch.Mechanism) bool {
	return !slices.Contains(o.options.Disabled, m)
}

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() uint64 { return o.options.Claim.Record.Epoch }

// Done returns a channel that is closed when the owner no longer schedules.
func (o *Owner) Done() <-chan struct{} { return o.ctx.Done() }

// Loaded returns a channel that is closed once the jobs have been read.
func (o *Owner) Loaded() <-chan struct{} { return o.loaded }

// Lag returns the share of the recent time for which this owner was kept from running.
func (o *Owner) Lag() float64 { return math.Float64frombits(o.lagBits.Load()) }

// IsLoaded reports whether the jobs have been read.
func (o *Owner) IsLoaded() bool {
	select {
	case <-o.loaded:
		return true
	default:
		return false
	}
}

// Stop ends the owner at once.
func (o *Owner) Stop() { o.cancel() }

// Run schedules until ctx or Stop ends it, or another node is the owner.
func (o *Owner) Run(ctx context.Context) error {
	defer o.options.Workers.Close()
	defer o.wg.Wait()
	defer o.cancel()
	defer context.AfterFunc(ctx, o.cancel)()
	o.tick()
	o.confirmedAt = o.options.Claim.ConfirmedAt
	if o.confirmedAt.IsZero() {
		o.confirmedAt = o.now
	}
	o.mayAct.Store(true)
	// Reading the jobs may take longer than other nodes wait for a heartbeat, so heartbeats start
	// first. The worker list and the drained zones are read concurrently: on a slow store that takes
	// as long as reading the jobs.
	o.wg.Add(3)
	go o.runHeartbeats()
	go o.runZoneDrains()
	go o.runWorkerList()
	sequence, err := o.load()
	if err != nil {
		return err
	}
	close(o.loaded)
	o.wg.Add(1)
	go o.runWrites(sequence)
	o.loop()
	return nil
}

func (o *Owner) tick() {
	o.now = o.options.Clock.Now()
	o.engine.Advance(o.now)
}

// loop handles events, runs scheduling passes and executes the resulting actions.
func (o *Owner) loop() {
	ticks, stop := o.options.Clock.Subscribe(tickPeriod)
	defer stop()
	defer o.failPendingCalls()
	o.loopStartedAt = o.options.Clock.Now()
	for {
		select {
		case <-o.ctx.Done():
			return
		case ev := <-o.inbox.Items():
			if o.ctx.Err() != nil {
				// Another node may be the owner: no more requests are answered.
				return
			}
			o.beginCycle()
			ev.apply(o)
			o.drainInbox()
		case <-o.pauseEnds:
			o.pauseEnds = nil
			o.beginCycle()
		case <-ticks:
			o.beginCycle()
			// Outcomes that have already arrived are not overdue, so they are handled first.
			o.drainInbox()
			o.lag.Tick(o.now, tickPeriod)
			o.lagBits.Store(math.Float64bits(o.lag.Share()))
			o.checkNodes()
			o.engine.SetTimeOfDay(o.options.Clock.TimeOfDay())
			o.engine.Tick()
			o.logTotals()
		}
		o.updateWriteBehind()
		o.runCycle()
	}
}

// beginCycle sets the time and whether this node may act as the owner at that time. Events renew leases as soon as they are
// handled, and this process may have been paused since the last cycle.
func (o *Owner) beginCycle() {
	o.tick()
	o.awaitPrevious()
	o.updateOwnership()
}

// updateOwnership passes on whether this node may act as the owner, and from when its leases are counted.
func (o *Owner) updateOwnership() {
	mayAct := o.mayActAsOwner()
	o.mayAct.Store(mayAct)
	o.needsProbes.Store(o.now.Sub(o.confirmedAt) > heartbeatOverdue)
	o.engine.SetOwnershipConfirmed(mayAct)
	base := o.confirmedAt
	if o.majorityAnsweredAt.After(base) {
		base = o.majorityAnsweredAt
	}
	o.engine.SetLeaseBase(base)
}

// updateMajority finds out when most nodes were last known to follow this one, and most lease witnesses to answer it, in an
// outage of the store. A successor counts the leases of this owner from its claim or, if that is later, from when most nodes
// follow it or half of the witnesses have answered it. Without an outage it need not await these: its claim is later than the store's last word.
func (o *Owner) updateMajority() {
	known := o.knownNodes(o.confirmedAt)
	if o.options.MajorityAnsweredAt == nil || !o.needsProbes.Load() || !o.options.HasStoreOutage(o.confirmedAt, known) {
		return
	}
	answeredAt := o.options.MajorityAnsweredAt(o.confirmedAt, known)
	o.mu.Lock()
	workersAnsweredAt, isNeeded := o.leaseWitnesses.answeredAt()
	o.mu.Unlock()
	if isNeeded && workersAnsweredAt.Before(answeredAt) {
		answeredAt = workersAnsweredAt
	}
	o.majorityAnsweredAt = answeredAt
}

// NeedsProbes reports whether the store is late to confirm this owner, so that it matters which nodes
// follow it.
func (o *Owner) NeedsProbes() bool { return o.needsProbes.Load() }

// maxEventsPerCycle is how many queued events are handled before the next scheduling pass.
const maxEventsPerCycle = 256

func (o *Owner) drainInbox() {
	for range maxEventsPerCycle {
		select {
		case ev := <-o.inbox.Items():
			ev.apply(o)
		default:
			return
		}
	}
}

// logTotals periodically takes the samples for the metrics, and logs the engine's totals, so that a
// later analysis does not need the metrics.
func (o *Owner) logTotals() {
	if o.now.Sub(o.sampledAt) >= samplePeriod {
		o.sampledAt = o.now
		fullest := o.engine.TopCustomersByUsage(maxCustomersReported)
		o.customerUse.Store(&fullest)
		counts := served.Bounded(o.engine.Served(), maxQueuesReported)
		o.served.Store(&counts)
	}
	if o.now.Sub(o.totalsLoggedAt) < totalsPeriod {
		return
	}
	o.totalsLoggedAt = o.now
	c := o.engine.Counts()
	o.options.Log(events.OwnerTotals, "epoch", o.Epoch(), "starts", c.Starts, "done", c.Done, "failed", c.Failed, "stopped", c.Stopped,
		"lapsed", c.Expired, "doubtful", c.Unacknowledged, "asks", c.PermissionQueries, "orders", o.pendingStarts, "moved", o.router.MovedTotal())
	for _, w := range o.engine.TakeWaits() {
		o.options.Log(events.TasksWaited, "queue", w.Queue, "reason", w.Reason, "waited", w.Time)
	}
	for _, c := range o.Served() {
		if c.Accepted == 0 {
			continue
		}
		o.options.Log(events.JobsServed, "queue", c.Queue, "size", c.Class, "accepted", c.Accepted, "inTime", c.InTime, "late", c.Late,
			"tooLate", c.TooLate, "failed", c.Failed, "cancelled", c.Cancelled, "open", c.Open, "oldest", c.Oldest)
	}
	for _, l := range o.engine.TakeLostWork() {
		o.options.Log(events.WorkLost, "queue", l.Queue, "reason", l.Reason, "attempts", l.Attempts, "coreTime", l.CoreTime)
	}
}

// CustomerUse returns the customers that use most of their limits, as last sampled.
func (o *Owner) CustomerUse() []quota.CustomerUtilization {
	if use := o.customerUse.Load(); use != nil {
		return *use
	}
	return nil
}

// Served returns what became of the accepted jobs, by queue and size class, as last sampled. It has
// at most maxQueuesReported queues and the sum of all others.
func (o *Owner) Served() []served.Count {
	if counts := o.served.Load(); counts != nil {
		return *counts
	}
	return nil
}

// updateWriteBehind finds out whether the store is slow or down, and decides whether tasks are
// started without waiting for it.
func (o *Owner) updateWriteBehind() {
	isSlow := o.isStoreDown || o.inFlight != nil && o.now.Sub(o.inFlightSince) > slowAppendTime || o.now.Sub(o.confirmedAt) > heartbeatOverdue
	hasUnpersisted := o.engine.HasUnpersisted()
	o.mu.Lock()
	if isSlow {
		o.writeBehind.recordSlow(o.now)
	}
	isRecordNeeded := o.writeBehind.updateLaterJobs(hasUnpersisted, o.engine.HasUnpersistedStarts(), o.laterSince, o.nextWitnesses())
	if o.writeBehind.update(o.now, hasUnpersisted, o.engine.AllResponsive() && !o.awaitsWitnesses(), o.nextWitnesses()) || isRecordNeeded {
		select {
		case o.recordNeeded <- struct{}{}:
		default:
		}
	}
	isWriteBehind := o.writeBehind.mayWriteBehind(o.now)
	asked, round := o.writeBehind.beginConsentRequest(o.now, o.isStoreDown || o.inFlight != nil)
	o.mu.Unlock()
	o.sendConsentRequests(asked, round)
	if isWriteBehind != o.isWriteBehind {
		o.isWriteBehind = isWriteBehind
		o.options.Log(events.WriteBehindChanged, "epoch", o.Epoch(), "ahead", isWriteBehind, "confirmed", o.now.Sub(o.confirmedAt), "out", o.isStoreDown)
	}
	o.mayHaveUnpersisted.Store(isWriteBehind || hasUnpersisted)
	o.isInheritanceKnown.Store(o.engine.IsInheritanceKnown())
	o.haveInheritedExpired.Store(!o.mayPreviousAct.Load() && o.engine.HaveInheritedLeasesExpired())
	o.engine.SetWriteBehind(isWriteBehind)
	o.withdrawUnneededConsent(hasUnpersisted)
}

// MayHaveUnpersisted reports whether tasks may run on placements that are not in the store.
func (o *Owner) MayHaveUnpersisted() bool { return o.mayHaveUnpersisted.Load() }

// runCycle does what follows from the handled events: it runs a scheduling pass, executes the
// engine's actions and writes the next batch.
func (o *Owner) runCycle() {
	o.applyPolicy()
	o.releaseHeld()
	o.updateOwnership()
	o.schedule()
	for _, a := range o.engine.Actions() {
		o.execute(a)
	}
	o.sendDelegated()
	o.requestSilentUpdate()
	o.write()
	o.answerHeld()
	o.finishHandOver()
}

// schedule runs a scheduling pass, unless the owner pauses after an expensive one.
func (o *Owner) schedule() {
	if !o.throttle.mayRun(o.now) {
		if o.pauseEnds == nil && o.engine.NeedsScheduling() {
			o.pauseEnds = o.options.Clock.After(o.throttle.pausedUntil.Sub(o.now))
		}
		return
	}
	startedAt := o.options.Clock.Now()
	o.engine.Schedule()
	o.throttle.afterPass(o.options.Clock.Now().Sub(startedAt), o.now)
}

// MayActAsOwner reports whether this node may act as the owner, as the last cycle of the loop
// found. While it returns false, the owner refuses all requests.
func (o *Owner) MayActAsOwner() bool { return o.mayAct.Load() }

// mayActAsOwner reports whether the store has confirmed the ownership within ConfirmationTimeout, or
// within maxOutageOwnership while the store has an outage and the lease witnesses answer. A node that is not linked to this one may
// be served nevertheless and claim the shard; awaitPrevious says what it does then.
func (o *Owner) mayActAsOwner() bool {
	unconfirmed := o.now.Sub(o.confirmedAt)
	return unconfirmed < ConfirmationTimeout || unconfirmed < maxOutageOwnership && o.areLeaseWitnessesAnswering() && o.options.HasStoreOutage(o.confirmedAt, o.knownNodes(o.confirmedAt))
}

// knownNodes returns how many nodes there are as far as this owner knew at a time. Until all of them
// have had the time to link to it, or while they may be linked to the previous owner, they are at least
// as many as that owner knew.
func (o *Owner) knownNodes(at time.Time) int {
	known := 0
	if o.options.KnownNodes != nil {
		known = o.options.KnownNodes(at)
	}
	if at.Sub(o.claimedAt) < linkingTime || o.mayNodesFollowPrevious.Load() {
		known = max(known, o.options.Claim.Record.KnownNodes)
	}
	return known
}

func (o *Owner) enqueue(ev event) bool { return o.inbox.Put(ev, o.ctx.Done()) }

// ChangeError is a failure of a request that the next owner can answer: this one has ended or is
// about to. The request may be sent again.
type ChangeError struct{ Failure *leverdyke.Error }

// Error returns the text of the error.
func (e *ChangeError) Error() string { return e.Failure.Error() }

// Unwrap returns the failure with its verdict.
func (e *ChangeError) Unwrap() error { return e.Failure }

// errOwnerChanged reports that this node is no longer the owner; the request may have been
// executed.
func errOwnerChanged() error {
	return &ChangeError{leverdyke.MayHaveRun("the owner of the jobs changes", nil)}
}

// errHandingOver reports that this node is about to hand over.
func errHandingOver() error {
	return &ChangeError{leverdyke.NotRun("the owner of the jobs hands over", retryAfterSeconds)}
}

// failPendingCalls answers the callers that wait when the loop ends. Their jobs may have been
// persisted.
func (o *Owner) failPendingCalls() {
	for _, waiting := range []map[work.JobID][]chan error{o.pendingSubmits, o.pendingCancels} {
		for id, list := range waiting {
			for _, ch := range list {
				ch <- errOwnerChanged()
			}
			delete(waiting, id)
		}
	}
	o.refuseAllHeld(&ChangeError{leverdyke.NotRun("the owner of the jobs changes", retryAfterSeconds)})
	for _, ev := range append(o.unknownJobQueries, o.heldQueries.TakeAll()...) {
		ev.reply <- stateAnswer{err: errOwnerChanged()}
	}
	o.unknownJobQueries = nil
}

// call queues an event for the loop and waits for its answer.
func call[T any](ctx context.Context, o *Owner, ev event, ch chan T) (T, error) {
	var none T
	if !o.inbox.TryPut(ev) {
		return none, leverdyke.NotRun("the owner of the jobs is overloaded", retryAfterSeconds)
	}
	select {
	case v := <-ch:
		return v, nil
	case <-o.ctx.Done():
		select {
		case v := <-ch:
			return v, nil
		default:
			return none, errOwnerChanged()
		}
	case <-ctx.Done():
		return none, leverdyke.MayHaveRun("the owner of the jobs did not answer in time", ctx.Err())
	}
}

// Submit submits a job. It returns nil once the job is persisted.
func (o *Owner) Submit(ctx context.Context, spec *work.Spec) error {
	ch := make(chan error, 1)
	err, callErr := call(ctx, o, submitEvent{spec, ch}, ch)
	if callErr != nil {
		return callErr
	}
	return err
}

// Cancel cancels a job. It returns false when the caller has no such job.
func (o *Owner) Cancel(ctx context.Context, id work.JobID, by work.Caller) (bool, error) {
	ch := make(chan error, 1)
	err, callErr := call(ctx, o, cancelEvent{id, by, ch}, ch)
	switch {
	case callErr != nil:
		return false, callErr
	case err == errNoJob:
		return false, nil
	}
	return err == nil, err
}

var errNoJob = fmt.Errorf("owner: no such job")

// State returns the state of a job as the caller sees it; false when the caller has no such job.
func (o *Owner) State(ctx context.Context, id work.JobID, by work.Caller) (work.JobState, bool, error) {
	ch := make(chan stateAnswer, 1)
	a, err := call(ctx, o, stateEvent{id, by, o.options.Clock.Now(), ch}, ch)
	if err == nil {
		err = a.err
	}
	return a.state, a.isKnown, err
}

// Pending returns how many jobs of a queue have not started.
func (o *Owner) Pending(ctx context.Context, queue string) (int, error) {
	ch := make(chan pendingAnswer, 1)
	a, err := call(ctx, o, pendingEvent{queue, ch}, ch)
	if err == nil {
		err = a.err
	}
	return a.count, err
}

// SetPolicy puts a configured policy in force, unless a later version is.
func (o *Owner) SetPolicy(version uint64, p order.Policy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version >= o.policyVersion {
		o.policyVersion, o.policy = version, &p
	}
}

// applyPolicy passes a new policy to the engine.
func (o *Owner) applyPolicy() {
	o.mu.Lock()
	p := o.policy
	o.policy = nil
	o.mu.Unlock()
	if p != nil {
		o.engine.SetQueues(p.Queues)
		o.engine.SetCustomers(p.Customers)
	}
}

// HandOver stops starting tasks, waits until the outcomes of unanswered orders are known and
// persisted, and then ends the owner, so that another node can take over without a gap. It returns
// false, and the owner continues, when the store is down: no other node can become the owner then.
func (o *Owner) HandOver(ctx context.Context) bool {
	done := make(chan bool, 1)
	if !o.enqueue(handOverEvent{done}) {
		return true
	}
	select {
	case isHandedOver := <-done:
		return isHandedOver
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return true
}
