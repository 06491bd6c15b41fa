// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// world is an engine with modelled workers and a store, under a fake clock. It
// watches from outside that the promises hold.
type world struct {
	clock   *clock.Fake
	begin   time.Time
	rng     *rand.Rand
	engine  *dispatch.Engine
	fence   uint64
	workers map[string]*modelWorker
	// names are the workers' in order: none is ever taken out.
	names []string
	// mail is what is on its way: answers and orders that come late.
	mail []letter
	// specs and progress are what the store has.
	specs    map[work.JobID]*work.Spec
	order    []work.JobID
	progress map[work.JobID]*work.Progress
	isOut    bool
	// writing is the batch that is on its way to the store until writtenAt, up to storeDelay; of
	// the batches, refusedShare are refused.
	writing      *dispatch.Batch
	writtenAt    time.Time
	storeDelay   time.Duration
	refusedShare float64
	// isSlow means that the owner runs ahead of a store that keeps all the same.
	isSlow bool

	// lostShare of the answers do not come; lateShare of those orders are carried
	// out up to 12 s later.
	lostShare, lateShare float64
	failShare            float64
	// lastingFailShare of the runs of tasks that last fail, at some time up to lastingFailTime.
	lastingFailShare float64
	lastingFailTime  time.Duration
	// lateHoldShare of the questions for a listing that get no answer reach the worker up to
	// 12 s later.
	lateHoldShare float64
	done          map[work.TaskID]bool
	failures      map[work.TaskID]int
	starts        int
	held          map[order.WorkerID]int
	broken        []string
	// lingering are entries of lives that are over.
	lingering []order.Worker
	// holdDelay is how much later than asked listings come.
	holdDelay time.Duration
	// isInexact means that owners may have started tasks without the store.
	isInexact bool
	// runsAhead makes the engine run ahead of the store while that is out.
	runsAhead bool
	// told is what callers know.
	told map[work.JobID]work.JobState
	// queues are the policies in force; mayRun tells which workers are permitted on a
	// queue that asks, nil means all. endedAt has when callers could know of an end.
	queues []order.Queue
	mayRun func(order.WorkerID) bool
	// onAdvise sees each call for permission; nil sees none.
	onAdvise func(order.QueryPermission)
	// mayRunStep tells it by step instead; nil where mayRun does.
	mayRunStep func(*order.Queue, work.StepID, order.WorkerID) bool
	endedAt    map[work.JobID]time.Duration
	// customers are those in force, before those that were until changedAt.
	customers, before []order.Customer
	changedAt         time.Time
	// without are mechanisms that the engine does not use, lanes its ways to ask who is
	// permitted.
	without []dispatch.Mechanism
	lanes   []string
	// log takes the lines of the engine's log; nil drops them.
	log func(e events.Event, keysAndValues ...any)
	// writes counts how often each job was written; nil counts nothing.
	writes map[work.JobID]int
	// crashes has the tasks that crash their workers; nil when there are none.
	crashes *crashes
	// bornAt is when the workers that are added say that they have started; zero when they do
	// not tell.
	bornAt time.Time
	// listLag is how long after a worker has started again the list has its new entry.
	listLag time.Duration
	// trace has what the engine has told to do, and when.
	trace []traced
	// isLateOrder means that the order which is carried out was held up for seconds.
	isLateOrder bool
}

// traced is an action in brief.
type traced struct {
	at time.Duration
	// worker, task and run are of its order, wait that of a question for a listing.
	worker order.WorkerID
	task   work.TaskID
	run    uint64
	wait   time.Duration
}

func briefly(at time.Duration, a order.Action) traced {
	switch a := a.(type) {
	case order.Start:
		return traced{at: at, worker: a.Worker, task: a.Task, run: a.Run}
	case order.Stop:
		return traced{at: at, worker: a.Worker, task: a.Task, run: a.Run}
	case order.Poll:
		return traced{at: at, worker: a.Worker, run: a.Confirmed, wait: a.Wait}
	}
	return traced{at: at}
}

type letter struct {
	at      time.Time
	deliver func()
}

func newWorld(seed uint64) *world {
	c := clock.NewFake()
	w := &world{
		clock: c, begin: c.Now(), rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*modelWorker{},
		specs: map[work.JobID]*work.Spec{}, progress: map[work.JobID]*work.Progress{},
		done: map[work.TaskID]bool{}, failures: map[work.TaskID]int{},
		held: map[order.WorkerID]int{}, told: map[work.JobID]work.JobState{},
		queues: []order.Queue{testQueue}, endedAt: map[work.JobID]time.Duration{},
	}
	w.takeOver()
	return w
}

var testQueue = order.Queue{Name: "q", Service: "pool", MaxAttempts: 3}

// takeOver replaces the engine by one of a new owner that knows what the store has:
// nothing else outlasts the nodes.
func (w *world) takeOver() {
	w.fence++
	if w.writing != nil && w.rng.IntN(2) == 0 {
		w.kept(w.writing)
	}
	w.writing = nil
	isExact := !w.isInexact && (w.engine == nil || !w.engine.HasUnkept())
	w.engine = dispatch.NewEngine(dispatch.Options{Without: w.without, StopTime: modelStopTime, Log: w.log})
	w.engine.Advance(w.clock.Now())
	w.engine.SetQueues(w.queues)
	w.engine.SetCustomers(w.customers)
	w.engine.SetLanes(w.lanes)
	for _, id := range w.order {
		w.engine.RestoreJob(w.specs[id], w.progress[id])
	}
	w.engine.Inherit(w.clock.Now().Add(10*time.Second), isExact, len(w.list()))
	w.engine.SetTrusted(true)
}

func (w *world) since() time.Duration { return w.clock.Now().Sub(w.begin) }

func (w *world) addWorkers(n int, r leverdyke.Resources) {
	for i := range n {
		m := newModelWorker(fmt.Sprintf("w%02d", i), r, time.Duration(i)*time.Hour, 0.02*w.rng.Float64())
		m.entry.ID = order.NewWorkerID(m.name, w.bornAt)
		w.workers[m.name] = m
	}
}

func (w *world) list() []order.Worker {
	out := []order.Worker{}
	for _, m := range w.each() {
		if !m.isDead || m.isRestarting {
			out = append(out, m.listed(w.clock.Now()))
		}
	}
	if w.rng.IntN(2) == 0 {
		return append(out, w.lingering...)
	}
	return append(append([]order.Worker{}, w.lingering...), out...)
}

// later delivers something after a delay, unless the engine is replaced.
func (w *world) later(d time.Duration, deliver func()) {
	e := w.engine
	w.mail = append(w.mail, letter{w.clock.Now().Add(d), func() {
		if e == w.engine {
			deliver()
		}
	}})
}

// order carries out an order after a delay, whoever is the owner then.
func (w *world) orderLater(d time.Duration, deliver func()) {
	w.mail = append(w.mail, letter{w.clock.Now().Add(d), deliver})
}

const (
	tick = 10 * time.Millisecond
	// modelStopTime is how long a modelled worker takes to stop a task.
	modelStopTime = 150 * time.Millisecond
)

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(tick)
		w.step()
	}
}

func (w *world) step() {
	w.engine.Advance(w.clock.Now())
	w.stepWorkers()
	w.engine.SetWorkers(w.list(), true)
	w.engine.SetUnlogged(w.isOut && w.runsAhead || w.isSlow)
	w.engine.Tick()
	w.engine.Decide()
	for _, a := range w.engine.Actions() {
		w.carryOut(a)
	}
	w.keep()
	w.check()
}

// stepWorkers lets the workers, and what is on its way, go on without the engine.
func (w *world) stepWorkers() {
	now := w.clock.Now()
	for _, m := range w.each() {
		m.step(now, w.since())
	}
	due, rest := []letter{}, []letter{}
	for _, l := range w.mail {
		if l.at.After(now) {
			rest = append(rest, l)
		} else {
			due = append(due, l)
		}
	}
	w.mail = rest
	for _, l := range due {
		l.deliver()
	}
}

// keep writes what must last.
func (w *world) keep() {
	if w.isOut {
		return
	}
	if w.writing == nil {
		w.writing = w.engine.TakeBatch()
		w.writtenAt = w.clock.Now().Add(time.Duration(w.rng.Int64N(int64(w.storeDelay) + 1)))
	}
	b := w.writing
	if b == nil || w.clock.Now().Before(w.writtenAt) {
		return
	}
	w.writing = nil
	if w.rng.Float64() < w.refusedShare {
		w.engine.Refused(b)
		return
	}
	w.kept(b)
	w.engine.Committed(b)
}

// kept takes that the store has a batch.
func (w *world) kept(b *dispatch.Batch) {
	for _, s := range b.Specs {
		w.specs[s.ID] = s
		w.order = append(w.order, s.ID)
	}
	for id, p := range b.Progress {
		w.progress[id] = p
		if w.writes != nil {
			w.writes[id]++
		}
	}
}

// delay is the way to a worker or back.
func (w *world) delay() time.Duration { return time.Duration(1+w.rng.IntN(20)) * time.Millisecond }

func (w *world) carryOut(a order.Action) {
	w.trace = append(w.trace, briefly(w.since(), a))
	switch a := a.(type) {
	case order.Start:
		w.orderStart(a)
	case order.Stop:
		w.orderStop(a)
	case order.Poll:
		w.orderHold(a)
	case order.QueryPermission:
		w.advise(a)
	case order.Pace:
	}
}

// advise answers which workers are permitted, after the time that the policy tells.
func (w *world) advise(a order.QueryPermission) {
	if w.onAdvise != nil {
		w.onAdvise(a)
	}
	q := w.queueOf(a.Step.Job)
	policy := q.Permission
	good := []order.Permit{}
	for _, id := range a.Workers {
		if w.mayRunStep == nil && (w.mayRun == nil || w.mayRun(id)) || w.mayRunStep != nil && w.mayRunStep(q, a.Step, id) {
			good = append(good, order.Permit{Worker: id, Text: "t"})
		}
	}
	w.later(policy.BaseTime+time.Duration(len(a.Workers))*policy.TimePerWorker, func() {
		w.engine.Advised(a.Channel, a.Step, a.Workers, good, policy.ValidFor, true)
	})
}

func (w *world) queueOf(id work.JobID) *order.Queue {
	i := slices.IndexFunc(w.queues, func(q order.Queue) bool { return q.Name == w.specs[id].Queue })
	return &w.queues[i]
}

// isLost decides whether an answer is lost, and when the order is carried out.
func (w *world) isLost() (bool, time.Duration) {
	if w.rng.Float64() >= w.lostShare {
		return false, w.delay()
	}
	if w.rng.Float64() < w.lateShare {
		return true, 2*time.Second + time.Duration(w.rng.IntN(10_000))*time.Millisecond
	}
	return true, w.delay()
}

func (w *world) orderStart(s order.Start) {
	m, fence := w.named(s.Worker), w.fence
	lost, delay := w.isLost()
	if m == nil || m.isDead {
		w.later(w.delay(), func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, order.StartUnhealthy, 0) })
		return
	}
	spec := w.specs[s.Task.Job].Steps[s.Task.Step]
	r := &modelRun{orderedAt: w.since(), need: spec.Need, lasts: spec.IsLongRunning, fails: w.rng.Float64() < w.failShare}
	engine := w.engine
	w.orderLater(delay, func() {
		if m.isDead && engine == w.engine && !lost && !m.isCut {
			w.later(w.delay(), func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, order.StartUnknown, 0) })
		}
		if m.isCut || m.isDead {
			return
		}
		r.beganAt, r.endsAt = w.clock.Now(), w.clock.Now().Add(w.runTime(m, r, &spec))
		outcome, began := m.start(order.Token(fence, s.Generation), &s, r, w.since())
		w.isLateOrder = delay >= shrinkGrace
		if began {
			w.began(m, s.Task, r)
		}
		if lost || engine != w.engine {
			return
		}
		at := m.at(w.since())
		w.later(w.delay(), func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, outcome, at) })
	})
	if lost || m.isCut {
		w.later(1500*time.Millisecond, func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, order.StartUnknown, 0) })
	}
}

// runTime returns how long a run takes on a worker until it ends by itself.
func (w *world) runTime(m *modelWorker, r *modelRun, spec *work.Step) time.Duration {
	switch {
	case m.isSick:
		r.fails = true
		return sickTime
	case r.lasts && w.lastingFailShare > 0 && w.rng.Float64() < w.lastingFailShare:
		r.fails = true
		return time.Duration(w.rng.Int64N(int64(w.lastingFailTime)))
	}
	return spec.Estimate
}

func (w *world) orderStop(s order.Stop) {
	m, fence := w.named(s.Worker), w.fence
	lost, delay := w.isLost()
	if m == nil {
		return
	}
	w.orderLater(delay, func() {
		if m.isCut || m.isDead || !m.stop(order.Token(fence, s.Generation), &s, w.clock.Now(), modelStopTime) || lost {
			return
		}
		at := m.at(w.since())
		w.later(w.delay(), func() { w.engine.StopAnswered(s.Worker, s.Task, s.Run, true, at) })
	})
}

func (w *world) orderHold(h order.Poll) {
	m, fence := w.named(h.Worker), w.fence
	lost, delay := w.isLost()
	if m != nil && m.refuses {
		w.later(w.delay(), func() { w.engine.PollFailed(&h) })
		return
	}
	if lost && m != nil && w.rng.Float64() < w.lateHoldShare {
		w.orderLater(2*time.Second+time.Duration(w.rng.IntN(10_000))*time.Millisecond, func() {
			if !m.isCut && !m.isDead {
				m.hold(order.Token(fence, h.Generation), &h, w.since())
			}
		})
	}
	if m == nil || m.isDead || m.isCut || lost {
		w.later(h.Wait+h.Timeout, func() { w.engine.PollFailed(&h) })
		return
	}
	w.held[h.Worker]++
	engine := w.engine
	wait := min(h.Wait, 200*time.Millisecond) + w.holdDelay
	if len(m.finished) > 0 {
		wait = 0
	}
	arrivedAt := order.WorkerID("")
	w.orderLater(delay, func() {
		if !m.isDead {
			arrivedAt = m.entry.ID
		}
	})
	w.orderLater(delay+wait, func() {
		var l *order.Listing
		// A start that ends takes what waits there with it.
		if !m.isCut && !m.isDead && m.entry.ID == arrivedAt {
			l = m.hold(order.Token(fence, h.Generation), &h, w.since())
		}
		if engine != w.engine {
			return
		}
		w.later(w.delay(), func() {
			if l == nil {
				w.engine.PollFailed(&h)
				return
			}
			w.engine.PollAnswered(&h, l)
		})
	})
}

// began checks a start against the promises.
func (w *world) began(m *modelWorker, id work.TaskID, r *modelRun) {
	w.starts++
	w.noteCrashing(m, id)
	if room := m.maxAllowedCapacity(w.clock.Now()); !w.isLateOrder && !m.used().FitsIn(room) {
		w.breaks("%s brings %s over its room: %v of %v", id, m.entry.ID, m.used(), room)
	}
	w.checkLimit(m, id)
	for other, o := range w.each() {
		if o != m && !o.isDead && o.running[id] != nil {
			w.breaks("%s runs on %s and on %s", id, other, m.entry.ID)
		}
	}
	for other, o := range w.each() {
		if o.confirmed[id] {
			w.breaks("%s starts on %s after its end was confirmed to %s", id, m.entry.ID, other)
		}
	}
	if w.done[id] {
		w.breaks("%s starts on %s after its end was kept", id, m.entry.ID)
	}
	// An order that was on its way when another task of its job was given up cannot be taken
	// back; it is stopped.
	isLate := w.told[id.Job] == work.JobFailed && r.orderedAt <= w.endedAt[id.Job]
	if state := w.told[id.Job]; state != "" && !isLate {
		w.breaks("%s starts on %s after its job was told to have %s", id, m.entry.ID, state)
	}
}

// check looks at what runs now.
func (w *world) check() {
	for _, what := range w.engine.Inconsistencies(w.writing) {
		w.breaks("%s", what)
	}
	for id, m := range w.each() {
		// What ran when its room shrank goes on; starts are looked at one by one.
		if len(m.resized) == 0 && !m.used().FitsIn(m.entry.Capacity) {
			w.breaks("%s is over its room: %v of %v", id, m.used(), m.entry.Capacity)
		}
	}
	for _, id := range w.order {
		w.tell(id)
		p := w.progress[id]
		if p == nil || p.State.IsFinal() {
			continue
		}
		for k, steps := range p.Rounds {
			for s := range steps {
				for i := range w.specs[id].Steps[s].Count {
					if steps[s].IsDone(i) {
						w.done[work.TaskID{Job: id, Round: k, Step: s, Index: i}] = true
					}
				}
			}
		}
	}
}

// tell asks for the state of a job, as its caller does. A final one never changes.
func (w *world) tell(id work.JobID) {
	state, ok := w.engine.State(id)
	if before := w.told[id]; before != "" && ok && state != before {
		w.breaks("%s is told to be %s after %s", id, state, before)
	}
	if state.IsFinal() {
		if w.told[id] == "" {
			w.endedAt[id] = w.since()
		}
		w.told[id] = state
	}
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%8v ", w.since())+fmt.Sprintf(format, args...))
}

// submit hands in a job of steps that follow each other.
func (w *world) submit(id string, steps ...work.Step) { w.submitTo("q", id, steps...) }

// submitTo hands it in to a queue.
func (w *world) submitTo(queue, id string, steps ...work.Step) {
	for i := range steps {
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	w.submitFor("", queue, id, steps...)
}

// submitFor hands in a job of a customer.
func (w *world) submitFor(customer work.CustomerName, queue, id string, steps ...work.Step) {
	w.engine.AddJob(&work.Spec{ID: work.JobID(id), Queue: queue, Customer: customer, Steps: steps})
}

// crash ends a worker's life and begins another on the same machine.
func (w *world) crash(id order.WorkerID, next string) {
	m := w.named(id)
	m.isDead = true
	m.running = map[work.TaskID]*modelRun{}
	born := newModelWorker(next, m.entry.Capacity, 0, m.drift)
	born.clock = -w.since()
	born.entry.Machine = m.entry.Machine
	if !w.bornAt.IsZero() {
		born.entry.ID = order.NewWorkerID(next, w.clock.Now())
	}
	w.workers[born.name] = born
}

// each goes through the workers in the order of their names.
func (w *world) each() iter.Seq2[string, *modelWorker] {
	if len(w.names) != len(w.workers) {
		w.names = slices.Sorted(maps.Keys(w.workers))
	}
	return func(yield func(string, *modelWorker) bool) {
		for _, name := range w.names {
			if !yield(name, w.workers[name]) {
				return
			}
		}
	}
}

// holds returns how many listings a worker was asked for.
func (w *world) holds(id order.WorkerID) int { return w.held[id] }

// workerOf returns the worker on which a task runs.
func (w *world) workerOf(id work.TaskID) *modelWorker {
	for _, m := range w.each() {
		if m.running[id] != nil {
			return m
		}
	}
	return nil
}
