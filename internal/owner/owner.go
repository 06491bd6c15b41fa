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
	isUnlogged atomic.Bool
	// isTrustedNow is what IsTrusted returns.
	isTrustedNow atomic.Bool
	// listed is how many workers the list had last.
	listed atomic.Int64
	// customers is what CustomerUse returns; nil before the first look.
	customers atomic.Pointer[[]quota.CustomerUse]
	// lagShare is the bits of what Lag returns.
	lagShare atomic.Uint64

	mu sync.Mutex
	// policy is that of a configuration that the engine does not have yet; nil when it has it.
	policy        *order.Policy
	policyVersion uint64
	// beat is the number of this owner's newest record in the store, keptAt when it
	// was kept.
	beat   uint64
	keptAt time.Time
	ahead  aheadGate

	// What follows belongs to the loop.
	now       time.Time
	writing   *write
	writingAt time.Time
	// writeAfter is when the next batch may go out, after one that the store refused.
	writeAfter  time.Time
	isStoreOut  bool
	appends     appendTimes
	confirmedAt time.Time
	offset      uint64
	lag         lagMeter
	rest        resting
	// restEnds fires when the owner may look again; nil while nothing waits for that.
	restEnds <-chan time.Time
	submits  map[work.JobID][]chan error
	cancels  map[work.JobID][]chan error
	// denials are questions for jobs that are not known here, until the store confirms
	// that this node still is the owner.
	denials     []stateEvent
	orders      int
	totalsAt    time.Time
	customersAt time.Time
	handOver    chan bool
	handOverAt  time.Time
	isAhead     bool
	// nextNodes is when to look again at the other nodes.
	nextNodes time.Time
	// beganAt is when the loop began; awaiting are listings that wait for carriers.
	beganAt  time.Time
	awaiting []order.Hold
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
			Log: options.Log, NodeZone: options.NodeZone, StopTime: options.StopTime, HeartbeatInterval: options.Heartbeat,
		}),
		router: carrier.NewRouter(options.OwnWorkers, options.Claim.Record.Epoch),
		inbox:  ring.NewRing[event](eventsBound), ctx: ctx, cancel: cancel,
		writes: make(chan *write, 1), loaded: make(chan struct{}),
		submits: map[work.JobID][]chan error{}, cancels: map[work.JobID][]chan error{},
		offset: options.Claim.Offset, beat: options.Claim.Record.Beat, keptAt: options.Clock.Now(),
		ahead: newAheadGate(&options.Claim.Record, options.Clock.Now()),
	}
}

// Epoch returns the number of this ownership.
func (o *Owner) Epoch() uint64 { return o.options.Claim.Record.Epoch }

// Done is closed when the owner no longer decides.
func (o *Owner) Done() <-chan struct{} { return o.ctx.Done() }

// Loaded is closed when the jobs are known.
func (o *Owner) Loaded() <-chan struct{} { return o.loaded }

// Lag returns which part of the time this owner is kept from running, lately.
func (o *Owner) Lag() float64 { return math.Float64frombits(o.lagShare.Load()) }

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
	o.isTrustedNow.Store(true)
	// Reading the jobs may take longer than others wait for a record. The list of
	// workers is read meanwhile: in a slow store that takes as long as the jobs.
	o.wg.Add(2)
	go o.runBeats()
	go o.runList()
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
	defer o.refuseWaiting()
	o.beganAt = o.options.Clock.Now()
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
		case <-o.restEnds:
			o.restEnds = nil
			o.tick()
		case <-ticks:
			o.tick()
			// What has come already is not overdue.
			o.drainInbox()
			o.lag.tick(o.now, tickPeriod)
			o.lagShare.Store(math.Float64bits(o.lag.share))
			o.tickNodes()
			o.engine.SetTimeOfDay(o.options.Clock.TimeOfDay())
			o.engine.Tick()
			o.logTotals()
		}
		o.runAhead()
		o.step()
	}
}

// inboxShare is how many events are taken before the next decision.
const inboxShare = 256

func (o *Owner) drainInbox() {
	for range inboxShare {
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
	if o.now.Sub(o.customersAt) >= customersPeriod {
		fullest := o.engine.TopCustomersByUsage(maxCustomersTold)
		o.customersAt = o.now
		o.customers.Store(&fullest)
	}
	if o.now.Sub(o.totalsAt) < totalsPeriod {
		return
	}
	o.totalsAt = o.now
	c := o.engine.Counts()
	o.options.Log(events.Totals, "epoch", o.Epoch(), "starts", c.Starts, "done", c.Done, "failed", c.Failed, "stopped", c.Stopped,
		"lapsed", c.Expired, "doubtful", c.Unacknowledged, "asks", c.PermissionQueries, "orders", o.orders)
	for _, w := range o.engine.TakeWaits() {
		o.options.Log(events.TasksWaited, "queue", w.Queue, "reason", w.Reason, "waited", w.Time)
	}
}

// CustomerUse returns the customers that use most of their limits, some time ago.
func (o *Owner) CustomerUse() []quota.CustomerUse {
	if use := o.customers.Load(); use != nil {
		return *use
	}
	return nil
}

// runAhead finds out whether the store is slow or out, and whether tasks are
// started without waiting for it.
func (o *Owner) runAhead() {
	isSlow := o.isStoreOut || o.writing != nil && o.now.Sub(o.writingAt) > slowAppend || o.now.Sub(o.confirmedAt) > overdueBeat
	hasUnkept := o.engine.HasUnpersisted()
	o.mu.Lock()
	if isSlow {
		o.ahead.noteSlow(o.now)
	}
	o.ahead.update(o.now, hasUnkept, o.engine.AllResponsive())
	isAhead := o.ahead.mayRunAhead(o.now)
	o.mu.Unlock()
	if isAhead != o.isAhead {
		o.isAhead = isAhead
		o.options.Log(events.StartsUnlogged, "epoch", o.Epoch(), "ahead", isAhead, "confirmed", o.now.Sub(o.confirmedAt), "out", o.isStoreOut)
	}
	o.isUnlogged.Store(isAhead || hasUnkept)
	o.engine.SetWriteBehind(isAhead)
}

// IsUnlogged reports whether tasks may run in places that are not in the store.
func (o *Owner) IsUnlogged() bool { return o.isUnlogged.Load() }

// LastPlain returns the number of this owner's last record without a mark, and how
// long ago it was sent.
func (o *Owner) LastPlain() (uint64, time.Duration) {
	now := o.options.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ahead.plain, now.Sub(o.ahead.plainAt)
}

// step decides on what has happened.
func (o *Owner) step() {
	o.takePolicy()
	isTrusted := o.isTrusted()
	o.isTrustedNow.Store(isTrusted)
	o.engine.SetOwnershipConfirmed(isTrusted)
	o.decide()
	for _, a := range o.engine.Actions() {
		o.carryOut(a)
	}
	o.sendCarried()
	o.write()
	o.finishHandOver()
}

// decide looks at all that waits, unless the owner rests.
func (o *Owner) decide() {
	if !o.rest.isOver(o.now) {
		if o.restEnds == nil && o.engine.NeedsScheduling() {
			o.restEnds = o.options.Clock.After(o.rest.until.Sub(o.now))
		}
		return
	}
	began := o.options.Clock.Now()
	o.engine.Schedule()
	o.rest.looked(o.options.Clock.Now().Sub(began), o.now)
}

// IsTrusted reports whether this node may act as the owner: no other one can be it
// yet. Without that it refuses all that is asked of it.
func (o *Owner) IsTrusted() bool { return o.isTrustedNow.Load() }

// isTrusted reports whether no other node can be the owner yet, or whether it
// would have to reach a store that no node reaches.
func (o *Owner) isTrusted() bool {
	return o.now.Sub(o.confirmedAt) < TrustPeriod || o.options.HasOutage()
}

func (o *Owner) put(ev event) bool { return o.inbox.Put(ev, o.ctx.Done()) }

// AwayError is a failure of a request that the next owner can answer: this one
// has ended or is about to. What was asked of it may be asked again.
type AwayError struct{ Failure *leverdyke.Error }

// Error returns the text of the error.
func (e *AwayError) Error() string { return e.Failure.Error() }

// Unwrap returns the failure with its verdict.
func (e *AwayError) Unwrap() error { return e.Failure }

// errGone means that this node is not the owner any more; what was asked may
// have been done.
func errGone() error {
	return &AwayError{leverdyke.MayHaveRun("the owner of the jobs changes", nil)}
}

// errLeaving means that this node is about to hand over.
func errLeaving() error {
	return &AwayError{leverdyke.NotRun("the owner of the jobs hands over", retryAfter)}
}

// refuseWaiting answers those who wait when the loop ends. Their jobs may have
// been kept.
func (o *Owner) refuseWaiting() {
	for _, waiting := range []map[work.JobID][]chan error{o.submits, o.cancels} {
		for id, list := range waiting {
			for _, ch := range list {
				ch <- errGone()
			}
			delete(waiting, id)
		}
	}
	for _, ev := range o.denials {
		ev.reply <- stateAnswer{err: errGone()}
	}
	o.denials = nil
}

// ask puts an event and waits for its answer.
func ask[T any](ctx context.Context, o *Owner, ev event, ch chan T) (T, error) {
	var none T
	if !o.inbox.TryPut(ev) {
		return none, leverdyke.NotRun("the owner of the jobs is overloaded", retryAfter)
	}
	select {
	case v := <-ch:
		return v, nil
	case <-o.ctx.Done():
		select {
		case v := <-ch:
			return v, nil
		default:
			return none, errGone()
		}
	case <-ctx.Done():
		return none, leverdyke.MayHaveRun("the owner of the jobs did not answer in time", ctx.Err())
	}
}

// Submit hands in a job. It returns nil once the job is kept.
func (o *Owner) Submit(ctx context.Context, spec *work.Spec) error {
	ch := make(chan error, 1)
	err, failed := ask(ctx, o, submitEvent{spec, ch}, ch)
	if failed != nil {
		return failed
	}
	return err
}

// Cancel cancels a job. It returns false when there is no such job of the caller's.
func (o *Owner) Cancel(ctx context.Context, id work.JobID, by work.Caller) (bool, error) {
	ch := make(chan error, 1)
	err, failed := ask(ctx, o, cancelEvent{id, by, ch}, ch)
	switch {
	case failed != nil:
		return false, failed
	case err == errNoJob:
		return false, nil
	}
	return err == nil, err
}

var errNoJob = fmt.Errorf("owner: no such job")

// State returns what a caller is told of a job; false when there is none of the caller's.
func (o *Owner) State(ctx context.Context, id work.JobID, by work.Caller) (work.JobState, bool, error) {
	ch := make(chan stateAnswer, 1)
	a, err := ask(ctx, o, stateEvent{id, by, o.options.Clock.Now(), ch}, ch)
	if err == nil {
		err = a.err
	}
	return a.state, a.isKnown, err
}

// Pending returns how many jobs of a queue have not begun.
func (o *Owner) Pending(ctx context.Context, queue string) (int, error) {
	ch := make(chan pendingAnswer, 1)
	a, err := ask(ctx, o, pendingEvent{queue, ch}, ch)
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
func (o *Owner) takePolicy() {
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
	if !o.put(handOverEvent{done}) {
		return true
	}
	select {
	case isOver := <-done:
		return isOver
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return true
}
