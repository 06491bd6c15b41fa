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
	"github.com/leverdyke/leverdyke/internal/abandoned"
	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/estimate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/rotation"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Durations and limits of the engine.
const (
	// overdueAfter is how long a worker may be silent before it gets nothing new;
	// a listing comes at least every 2 s.
	overdueAfter = 2600 * time.Millisecond
	// doubtPatience is how long a listing may take that tells whether a doubtful
	// order was carried out.
	doubtPatience = 150 * time.Millisecond
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 120 * time.Millisecond
	// flushPause is the longest that progress waits for its batch; a job's end
	// does not wait.
	flushPause = 60 * time.Millisecond
	// keepFinal is how long the state of a job that is over is kept: the time for
	// which callers may ask, and a margin.
	keepFinal = 140 * time.Second
)

// Options configures an Engine. The zero value works.
type Options struct {
	// Log takes a line of the log; nil drops it.
	Log func(e events.Event, keysAndValues ...any)
	// NodeZone is the zone of this node: a tie goes to a worker near by.
	NodeZone string
	// StopTime is the longest that a worker takes to stop a task.
	StopTime time.Duration
	// Heartbeat is the time between two heartbeats of a worker; 0 when not known.
	Heartbeat time.Duration
	// Without switches mechanisms off, for tests and measurements.
	Without []Mechanism
}

// has reports whether a mechanism is in use.
func (e *Engine) has(m Mechanism) bool { return !slices.Contains(e.options.Without, m) }

// Engine decides for one shard: its jobs and its workers.
type Engine struct {
	options Options
	now     time.Time
	// day is how far the time of day is ahead of now: rounds are due by that.
	day  time.Duration
	jobs map[work.JobID]*job
	// live are the jobs that are not over, in the order in which they came.
	live []*job
	// queue has the steps of kept jobs that are open and have tasks that wait, or want
	// copies, and perhaps some that no longer do.
	queue   []*step
	workers ordered.Map[order.WorkerID, *worker]
	index   workerIndex
	// over has lives that are over while the platform's list still has them.
	over   map[order.WorkerID]bool
	queues map[string]order.Queue
	// quota counts what may be running for each customer.
	quota quota.Ledger
	// customers are those in force. overShare has those with more in use than their share, looked
	// at anew at sharesAt.
	customers []order.Customer
	overShare map[work.CustomerName]bool
	sharesAt  time.Time
	// inUse is what part of each pool is in use, looked at anew at useAt.
	inUse map[string]float64
	useAt time.Time
	// admitted is the buffer of withinLimits, heldLogAt when what is held back is told next.
	admitted  []*step
	heldLogAt time.Time
	// awayLogAt is when it is told next of which tasks that last nothing runs.
	awayLogAt time.Time
	lanes     permit.Channels
	// claims has the room that calls for permission are likely to use.
	claims permit.Claims
	// unsettled are workers on which an earlier owner may have started tasks that
	// are not known yet, with these tasks.
	unsettled ordered.Map[order.WorkerID, []work.TaskID]
	// strays has what may still be on its way to workers and is not wanted any more.
	strays abandoned.Starts
	// cutOff has workers that may have crashed, or only be cut off.
	cutOff ordered.Map[order.WorkerID, *possibleCrash]
	// silences are workers that fell silent lately, whether they live or not.
	silences crash.SilentWorkers
	// soloUntil is until when a task under which several workers have crashed is tried, and
	// no other such one.
	soloUntil time.Time
	// keptUntil is until when a worker is kept for a task that may crash it.
	keptUntil time.Time
	// inheritedUntil is when all leases that the earlier owner gave are over.
	inheritedUntil time.Time
	// inherited is set while any task may run anywhere by an earlier owner's order.
	inherited *inheritedUncertainty
	// hasLearned means that what workers have told of its orders is not kept yet.
	hasLearned bool
	actions    []order.Action
	// fresh are the attempts whose orders to start are in actions.
	fresh []*attempt
	// ready are starts whose places are kept and that wait for their turn, and
	// unanswered counts those that were ordered and not answered.
	ready      []*attempt
	unanswered int
	// reservations counts the steps for which room is kept, on the workers reserved, and
	// largest has, by service, the most that a worker has of each dimension, all until
	// reserveAt. isReserving means that this look at all that waits keeps room anew.
	reserveAt    time.Time
	isReserving  bool
	reservations int
	reserved     []*worker
	largest      map[string]leverdyke.Resources
	// askFrom is how many workers the next look at whom to ask about passes over at first.
	askFrom int
	// lanesMissedAt is when a step of a pool with room found no free lane last.
	lanesMissedAt time.Time
	// asksLeft is how many calls for permission this look may still prepare, putOffsLeft how many
	// steps it may put off besides.
	asksLeft, putOffsLeft int
	// rotation chooses at which of many steps that wait is looked.
	rotation rotation.Rotation
	// isLateTurn means that late steps go first in this look.
	isLateTurn bool
	// found is the buffer of permitted, turns that of turnsOf.
	found []*worker
	turns []int
	// recheckAt is when to look again for workers for tasks that wait; zero when none
	// does.
	recheckAt time.Time
	// isDirty means that something may be placed that could not be before.
	isDirty  bool
	isPaused bool
	// isTrusted means that this node is known to own the shard still. Without it
	// nothing is started and no lease is renewed.
	isTrusted bool
	// isUnlogged means that starts are ordered, and ends shown, before they are kept.
	isUnlogged bool
	// unkept counts attempts that were ordered and whose places are not kept yet.
	unkept int
	// allAnswer is what AllAnswer returns.
	allAnswer bool
	batch     *Batch
	lastFlush time.Time
	// pending counts, by queue, jobs none of whose tasks has begun.
	nextWalk, walkedAt time.Time
	counts             Counts
	// waits is how long tasks have waited, by queue and reason.
	waits waits.Totals
	// tickedAt is when Tick was called last, stalledUntil until when answers are late
	// because this node was kept from running.
	tickedAt, stalledUntil time.Time
	// answers tells how long workers take to answer an order to start.
	answers estimate.ResponseTime
	// window bounds the orders to start that are not answered.
	window estimate.Window
	// lossyUntil is until when answers of workers may be lost.
	lossyUntil time.Time
	// estimates has, by queue, how good the callers' estimates are.
	estimates map[string]*estimate.RunTimes
}

// Counts are totals since the engine was made.
type Counts struct {
	Starts, Done, Failed, Stopped, Lapsed, Doubtful, Asks int
	// Plans counts the times at which it was worked out where room is to be kept.
	Plans int
}

// NewEngine returns an engine without jobs or workers.
func NewEngine(options Options) *Engine {
	if options.Log == nil {
		options.Log = func(events.Event, ...any) {}
	}
	return &Engine{
		options: options, jobs: map[work.JobID]*job{}, index: newWorkerIndex(),
		queues: map[string]order.Queue{}, over: map[order.WorkerID]bool{}, largest: map[string]leverdyke.Resources{}, estimates: map[string]*estimate.RunTimes{},
		overShare: map[work.CustomerName]bool{}, inUse: map[string]float64{},
	}
}

// Advance sets the time. It is called before any other call.
func (e *Engine) Advance(now time.Time) { e.now = now }

// SetTimeOfDay says what the time of day is now. Until then it is the time by which the
// engine goes.
func (e *Engine) SetTimeOfDay(t time.Time) { e.day = t.Round(0).Sub(e.now.Round(0)) }

// SetPaused ends or resumes new starts: an owner that hands over starts nothing.
func (e *Engine) SetPaused(isPaused bool) {
	e.isPaused = isPaused
	e.isDirty = true
}

// SetTrusted says whether this node is known to own the shard still.
func (e *Engine) SetTrusted(isTrusted bool) {
	if e.isTrusted == isTrusted {
		return
	}
	e.isTrusted = isTrusted
	e.isDirty = true
}

// SetUnlogged says whether starts are ordered before their places are kept, which
// is for a store that is slow or out. What an owner that does so had started is not
// known to the next one while HasUnkept. Ends are told only when they are kept.
func (e *Engine) SetUnlogged(isUnlogged bool) {
	if e.isUnlogged == isUnlogged {
		return
	}
	e.isUnlogged = isUnlogged && e.has(MechanismAheadOfStore)
	if !e.isUnlogged {
		return
	}
	for _, w := range e.workers.All() {
		for _, a := range w.attempts.All() {
			if a.phase == phasePlanned && e.mayStartUnpersisted(a) {
				e.sendSoon(a)
			}
		}
	}
}

// AllAnswer reports whether all workers had told what they run, and none was
// silent, at the last Tick.
func (e *Engine) AllAnswer() bool { return e.allAnswer }

// HasUnkept reports whether tasks may run, or have ended, in places that are not kept, by this
// owner's orders or by an earlier one's.
func (e *Engine) HasUnkept() bool { return e.unkept > 0 || e.inherited != nil || e.hasLearned }

// Counts returns the totals.
func (e *Engine) Counts() Counts { return e.counts }

// SetQueues puts a configuration in force. A queue that is no longer in it keeps
// its last policy for the jobs that it has.
func (e *Engine) SetQueues(queues []order.Queue) {
	for _, q := range queues {
		e.queues[q.Name] = q
	}
	e.isDirty = true
}

// Tick does what is due by time alone. It is called every 50 ms or so.
func (e *Engine) Tick() {
	e.noteStall()
	e.adviceLost(e.lanes.Expire(e.now))
	e.tickInherited()
	e.allAnswer = true
	for _, w := range e.workers.All() {
		if e.isTickDue(w) {
			e.tickWorker(w)
		}
		e.allAnswer = e.allAnswer && w.session.IsListed() && !w.session.HasMissed()
	}
	if !e.recheckAt.IsZero() && !e.now.Before(e.recheckAt) {
		e.recheckAt, e.isDirty = time.Time{}, true
	}
	if !e.now.Before(e.nextWalk) {
		if !e.walkedAt.IsZero() {
			e.noteWaits(e.now.Sub(e.walkedAt))
		}
		e.walkedAt, e.nextWalk = e.now, e.now.Add(walkPause)
		e.walkJobs()
	}
}

const (
	// longTick is the time between two ticks from which this node was kept from
	// running; the owner ticks every 20 ms.
	longTick = 60 * time.Millisecond
	// longestStall bounds what one such time counts.
	longestStall = 300 * time.Millisecond
)

// noteStall finds out from the time since the last tick whether this node was kept
// from running. Answers that came meanwhile are taken in as late as that: no order
// counts as unanswered for as long again.
func (e *Engine) noteStall() {
	gap := e.now.Sub(e.tickedAt)
	if !e.tickedAt.IsZero() && gap > longTick {
		e.stalledUntil = e.now.Add(min(gap, longestStall))
	}
	e.tickedAt = e.now
}

// walkPause is the time between two looks at all jobs for rounds that are due
// and for jobs to forget.
const walkPause = 50 * time.Millisecond

func (e *Engine) walkJobs() {
	for _, j := range e.live {
		if j.spec.Rounds > 0 && !j.state.IsFinal() {
			e.openRounds(j)
		}
	}
	e.live = slices.DeleteFunc(e.live, func(j *job) bool { return j.state.IsFinal() && j.attempts == 0 })
	e.expirePossibleCrashes()
	e.logNotRunning()
	e.strays.DropExpired(e.now)
	for id, j := range e.jobs {
		if j.state.IsFinal() && j.isFinalPersisted && e.now.Sub(j.endedAt) > keepFinal && j.attempts == 0 {
			delete(e.jobs, id)
			e.batchNow().Forgotten = append(e.batchNow().Forgotten, id)
		}
	}
}

// MustDecide reports whether something may be placed that could not be before.
func (e *Engine) MustDecide() bool { return e.isDirty }

// Decide places what can be placed. It is called after events, once for many.
func (e *Engine) Decide() {
	if !e.isDirty {
		return
	}
	e.isDirty = false
	e.place()
}

// Actions returns what is to be done since the last call.
func (e *Engine) Actions() []order.Action {
	a := e.actions
	e.actions = nil
	for _, ordered := range e.fresh {
		ordered.isSent = true
	}
	e.fresh = e.fresh[:0]
	return a
}

func (e *Engine) do(a order.Action) { e.actions = append(e.actions, a) }

// doStop tells a worker to stop a run, and to refuse it where it does not run.
func (e *Engine) doStop(w *worker, task work.TaskID, run uint64) {
	e.do(order.Stop{Worker: w.ID, Addr: w.Addr, Generation: e.strays.Generation(w.ID), Task: task, Run: run})
}
