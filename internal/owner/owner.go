// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/carrier"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/ring"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Owner decides for the shard until it is stopped or no longer the owner. Its
// methods but Run are safe for concurrent use.
type Owner struct {
	options Options
	engine  *dispatch.Engine
	// router belongs to the loop.
	router *carrier.Router
	inbox  *ring.Ring[event]
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// writes takes what is to be kept; at most one is on its way.
	writes chan *write
	// loaded is closed when the jobs are read from the store.
	loaded chan struct{}

	// isUnlogged is what IsUnlogged returns.
	mayHaveUnpersisted atomic.Bool
	// isTrustedNow is what IsTrusted returns.
	mayAct atomic.Bool
	// listed is how many workers the list had last.
	listedWorkers atomic.Int64
	// customers is what CustomerUse returns; nil before the first look.
	customerUse atomic.Pointer[[]quota.CustomerUse]
	// lagShare is the bits of what Lag returns.
	lagBits atomic.Uint64

	mu sync.Mutex
	// policy is that of a configuration that the engine does not have yet; nil when it has it.
	policy        *order.Policy
	policyVersion uint64
	// beat is the number of this owner's newest record in the store, keptAt when it
	// was kept.
	heartbeatSeq uint64
	persistedAt  time.Time
	writeBehind  writeBehindGate

	// What follows belongs to the loop.
	now           time.Time
	inFlight      *write
	inFlightSince time.Time
	// writeAfter is when the next batch may go out, after one that the store refused.
	nextWriteAt   time.Time
	isStoreDown   bool
	appendTimeout appendTimeout
	confirmedAt   time.Time
	recordOffset  uint64
	lag           lagMeter
	throttle      passThrottle
	// restEnds fires when the owner may look again; nil while nothing waits for that.
	pauseEnds      <-chan time.Time
	pendingSubmits map[work.JobID][]chan error
	pendingCancels map[work.JobID][]chan error
	// denials are questions for jobs that are not known here, until the store confirms
	// that this node still is the owner.
	unknownJobQueries  []stateEvent
	pendingStarts      int
	totalsLoggedAt     time.Time
	customersSampledAt time.Time
	handOverDone       chan bool
	handOverStartedAt  time.Time
	isWriteBehind      bool
	// nextNodes is when to look again at the other nodes.
	nextNodeCheck time.Time
	// beganAt is when the loop began; awaiting are listings that wait for carriers.
	loopStartedAt time.Time
	deferredPolls []order.Hold
}

// event is something that happened, for the loop.
type event interface{ apply(o *Owner) }

// New returns an owner that does not run yet.
func New(options Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	if options.Log == nil {
		options.Log = func(events.Event, ...any) {}
	}
	return &Owner{
		options: options,
		engine: dispatch.NewEngine(dispatch.Options{
			Log: options.Log, NodeZone: options.NodeZone, StopTime: options.StopTime, Heartbeat: options.Heartbeat,
		}),
		router: carrier.NewRouter(options.DirectWorkers, options.Claim.Record.Epoch),
		inbox:  ring.NewRing[event](inboxSize), ctx: ctx, cancel: cancel,
		writes: make(chan *write, 1), loaded: make(chan struct{}),
		pendingSubmits: map[work.JobID][]chan error{}, pendingCancels: map[work.JobID][]chan error{},
		recordOffset: options.Claim.Offset, heartbeatSeq: options.Claim.Record.HeartbeatSeq, persistedAt: options.Clock.Now(),
		writeBehind: newWriteBehindGate(&options.Claim.Record, options.Clock.Now()),
	}
}

// Epoch returns the number of this ownership.
func (o *Owner) Epoch() uint64 { return o.options.Claim.Record.Epoch }

// Done is closed when the owner no longer decides.
func (o *Owner) Done() <-chan struct{} { return o.ctx.Done() }

// Loaded is closed when the jobs are known.
func (o *Owner) Loaded() <-chan struct{} { return o.loaded }

// Lag returns which part of the time this owner is kept from running, lately.
func (o *Owner) Lag() float64 { return math.Float64frombits(o.lagBits.Load()) }

// IsLoaded reports whether the jobs are known.
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

// Run decides until ctx or Stop ends it, or another node is the owner.
func (o *Owner) Run(ctx context.Context) error {
	defer o.options.Workers.Close()
	defer o.wg.Wait()
	defer o.cancel()
	defer context.AfterFunc(ctx, o.cancel)()
	o.tick()
	o.confirmedAt = o.now
	o.mayAct.Store(true)
	// Reading the jobs may take longer than others wait for a record. The list of
	// workers is read meanwhile: in a slow store that takes as long as the jobs.
	o.wg.Add(2)
	go o.runHeartbeats()
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

// loop takes events, decides and hands out what is to be done.
func (o *Owner) loop() {
	ticks, stop := o.options.Clock.Subscribe(tickPeriod)
	defer stop()
	defer o.failPendingCalls()
	o.loopStartedAt = o.options.Clock.Now()
	for {
		select {
		case <-o.ctx.Done():
			return
		case ev := <-o.inbox.Out():
			if o.ctx.Err() != nil {
				// Another node may be the owner: nothing more is answered.
				return
			}
			o.tick()
			ev.apply(o)
			o.drainInbox()
		case <-o.pauseEnds:
			o.pauseEnds = nil
			o.tick()
		case <-ticks:
			o.tick()
			// What has come already is not overdue.
			o.drainInbox()
			o.lag.tick(o.now, tickPeriod)
			o.lagBits.Store(math.Float64bits(o.lag.share))
			o.checkNodes()
			o.engine.SetTimeOfDay(o.options.Clock.TimeOfDay())
			o.engine.Tick()
			o.logTotals()
		}
		o.updateWriteBehind()
		o.runCycle()
	}
}

// inboxShare is how many events are taken before the next decision.
const maxEventsPerCycle = 256

func (o *Owner) drainInbox() {
	for range maxEventsPerCycle {
		select {
		case ev := <-o.inbox.Out():
			ev.apply(o)
		default:
			return
		}
	}
}

// logTotals writes the engine's totals now and then, for a look back without
// figures.
func (o *Owner) logTotals() {
	if o.now.Sub(o.customersSampledAt) >= customerUsePeriod {
		fullest := o.engine.FullestCustomers(maxCustomersReported)
		o.customersSampledAt = o.now
		o.customerUse.Store(&fullest)
	}
	if o.now.Sub(o.totalsLoggedAt) < totalsPeriod {
		return
	}
	o.totalsLoggedAt = o.now
	c := o.engine.Counts()
	o.options.Log(events.Totals, "epoch", o.Epoch(), "starts", c.Starts, "done", c.Done, "failed", c.Failed, "stopped", c.Stopped,
		"lapsed", c.Lapsed, "doubtful", c.Doubtful, "asks", c.Asks, "orders", o.pendingStarts)
	for _, w := range o.engine.TakeWaits() {
		o.options.Log(events.TasksWaited, "queue", w.Queue, "reason", w.Reason, "waited", w.Time)
	}
}

// CustomerUse returns the customers that use most of their limits, some time ago.
func (o *Owner) CustomerUse() []quota.CustomerUse {
	if use := o.customerUse.Load(); use != nil {
		return *use
	}
	return nil
}

// runAhead finds out whether the store is slow or out, and whether tasks are
// started without waiting for it.
func (o *Owner) updateWriteBehind() {
	isSlow := o.isStoreDown || o.inFlight != nil && o.now.Sub(o.inFlightSince) > slowAppendTime || o.now.Sub(o.confirmedAt) > heartbeatOverdue
	hasUnpersisted := o.engine.HasUnkept()
	o.mu.Lock()
	if isSlow {
		o.writeBehind.noteSlow(o.now)
	}
	o.writeBehind.update(o.now, hasUnpersisted, o.engine.AllAnswer())
	isWriteBehind := o.writeBehind.mayWriteBehind(o.now)
	o.mu.Unlock()
	if isWriteBehind != o.isWriteBehind {
		o.isWriteBehind = isWriteBehind
		o.options.Log(events.StartsUnlogged, "epoch", o.Epoch(), "ahead", isWriteBehind, "confirmed", o.now.Sub(o.confirmedAt), "out", o.isStoreDown)
	}
	o.mayHaveUnpersisted.Store(isWriteBehind || hasUnpersisted)
	o.engine.SetUnlogged(isWriteBehind)
}

// MayHaveUnpersisted reports whether tasks may run in places that are not in the store.
func (o *Owner) MayHaveUnpersisted() bool { return o.mayHaveUnpersisted.Load() }

// LastUnflagged returns the number of this owner's last record without a mark, and how
// long ago it was sent.
func (o *Owner) LastUnflagged() (uint64, time.Duration) {
	now := o.options.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writeBehind.unflaggedSeq, now.Sub(o.writeBehind.unflaggedAt)
}

// step decides on what has happened.
func (o *Owner) runCycle() {
	o.applyPolicy()
	mayActAsOwner := o.mayActAsOwner()
	o.mayAct.Store(mayActAsOwner)
	o.engine.SetTrusted(mayActAsOwner)
	o.schedule()
	for _, a := range o.engine.Actions() {
		o.execute(a)
	}
	o.sendDelegated()
	o.write()
	o.finishHandOver()
}

// decide looks at all that waits, unless the owner rests.
func (o *Owner) schedule() {
	if !o.throttle.mayRun(o.now) {
		if o.pauseEnds == nil && o.engine.MustDecide() {
			o.pauseEnds = o.options.Clock.After(o.throttle.pausedUntil.Sub(o.now))
		}
		return
	}
	began := o.options.Clock.Now()
	o.engine.Decide()
	o.throttle.afterPass(o.options.Clock.Now().Sub(began), o.now)
}

// MayActAsOwner reports whether this node may act as the owner: no other one can be it
// yet. Without that it refuses all that is asked of it.
func (o *Owner) MayActAsOwner() bool { return o.mayAct.Load() }

// isTrusted reports whether no other node can be the owner yet, or whether it
// would have to reach a store that no node reaches.
func (o *Owner) mayActAsOwner() bool {
	return o.now.Sub(o.confirmedAt) < ConfirmationTimeout || o.options.HasStoreOutage()
}

func (o *Owner) enqueue(ev event) bool { return o.inbox.Put(ev, o.ctx.Done()) }

// ChangeError is a failure of a request that the next owner can answer: this one
// has ended or is about to. What was asked of it may be asked again.
type ChangeError struct{ Failure *leverdyke.Error }

// Error returns the text of the error.
func (e *ChangeError) Error() string { return e.Failure.Error() }

// Unwrap returns the failure with its verdict.
func (e *ChangeError) Unwrap() error { return e.Failure }

// errGone means that this node is not the owner any more; what was asked may
// have been done.
func errOwnerChanged() error {
	return &ChangeError{leverdyke.MayHaveRun("the owner of the jobs changes", nil)}
}

// errLeaving means that this node is about to hand over.
func errHandingOver() error {
	return &ChangeError{leverdyke.NotRun("the owner of the jobs hands over", retryAfterSeconds)}
}

// refuseWaiting answers those who wait when the loop ends. Their jobs may have
// been kept.
func (o *Owner) failPendingCalls() {
	for _, waiting := range []map[work.JobID][]chan error{o.pendingSubmits, o.pendingCancels} {
		for id, list := range waiting {
			for _, ch := range list {
				ch <- errOwnerChanged()
			}
			delete(waiting, id)
		}
	}
	for _, ev := range o.unknownJobQueries {
		ev.reply <- stateAnswer{err: errOwnerChanged()}
	}
	o.unknownJobQueries = nil
}

// ask puts an event and waits for its answer.
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

// Submit hands in a job. It returns nil once the job is kept.
func (o *Owner) Submit(ctx context.Context, spec *work.Spec) error {
	ch := make(chan error, 1)
	err, callErr := call(ctx, o, submitEvent{spec, ch}, ch)
	if callErr != nil {
		return callErr
	}
	return err
}

// Cancel cancels a job. It returns false when there is no such job of the caller's.
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

// State returns what a caller is told of a job; false when there is none of the caller's.
func (o *Owner) State(ctx context.Context, id work.JobID, by work.Caller) (work.JobState, bool, error) {
	ch := make(chan stateAnswer, 1)
	a, err := call(ctx, o, stateEvent{id, by, o.options.Clock.Now(), ch}, ch)
	if err == nil {
		err = a.err
	}
	return a.state, a.isKnown, err
}

// Pending returns how many jobs of a queue have not begun.
func (o *Owner) Pending(ctx context.Context, queue string) (int, error) {
	ch := make(chan pendingAnswer, 1)
	a, err := call(ctx, o, pendingEvent{queue, ch}, ch)
	if err == nil {
		err = a.err
	}
	return a.count, err
}

// SetPolicy puts a configuration in force, unless a later one is.
func (o *Owner) SetPolicy(version uint64, p order.Policy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version >= o.policyVersion {
		o.policyVersion, o.policy = version, &p
	}
}

// takePolicy passes a new configuration to the engine.
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

// HandOver stops starting work, waits until what is on its way is known and
// kept, and then ends the owner, so that another can begin without a gap. It
// reports false, and the owner goes on, when the store is out: then no other node
// can become the owner.
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
