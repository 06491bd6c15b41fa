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
type sim struct {
	clock     *clock.Fake
	startedAt time.Time
	rng       *rand.Rand
	engine    *dispatch.Engine
	fence     uint64
	workers   map[string]*modelWorker
	// names are the workers' in order: none is ever taken out.
	workerNames []string
	// mail is what is on its way: answers and orders that come late.
	inFlight []message
	// specs and progress are what the store has.
	specs       map[work.JobID]*work.Spec
	jobOrder    []work.JobID
	progress    map[work.JobID]*work.Progress
	isStoreDown bool
	// writing is the batch that is on its way to the store until writtenAt, up to storeDelay; of
	// the batches, refusedShare are refused.
	inFlightBatch *dispatch.Batch
	batchDoneAt   time.Time
	maxStoreDelay time.Duration
	refusedShare  float64
	// isSlow means that the owner runs ahead of a store that keeps all the same.
	isStoreSlow bool

	// lostShare of the answers do not come; lateShare of those orders are carried
	// out up to 12 s later.
	lostAnswerShare, lateOrderShare float64
	failureShare                    float64
	// lastingFailShare of the runs of tasks that last fail, at some time up to lastingFailTime.
	longRunningFailureShare   float64
	maxLongRunningFailureTime time.Duration
	// lateHoldShare of the questions for a listing that get no answer reach the worker up to
	// 12 s later.
	latePollShare float64
	persistedDone map[work.TaskID]bool
	failures      map[work.TaskID]int
	startCount    int
	pollCounts    map[order.WorkerID]int
	violations    []string
	// lingering are entries of lives that are over.
	staleEntries []order.Worker
	// holdDelay is how much later than asked listings come.
	pollDelay time.Duration
	// isInexact means that owners may have started tasks without the store.
	mayHaveUnpersistedStarts bool
	// runsAhead makes the engine run ahead of the store while that is out.
	isWriteBehind bool
	// told is what callers know.
	acknowledged map[work.JobID]work.JobState
	// queues are the policies in force; mayRun tells which workers are permitted on a
	// queue that asks, nil means all. endedAt has when callers could know of an end.
	queues      []order.Queue
	isPermitted func(order.WorkerID) bool
	// onAdvise sees each call for permission; nil sees none.
	onPermissionQuery func(order.QueryPermission)
	// mayRunStep tells it by step instead; nil where mayRun does.
	isStepPermitted func(*order.Queue, work.StepID, order.WorkerID) bool
	endedAt         map[work.JobID]time.Duration
	// customers are those in force, before those that were until changedAt.
	customers, previousCustomers []order.Customer
	customersChangedAt           time.Time
	// without are mechanisms that the engine does not use, lanes its ways to ask who is
	// permitted.
	disabledMechanisms []dispatch.Mechanism
	channels           []string
	// log takes the lines of the engine's log; nil drops them.
	log func(e events.Event, keysAndValues ...any)
	// writes counts how often each job was written; nil counts nothing.
	writeCounts map[work.JobID]int
	// crashes has the tasks that crash their workers; nil when there are none.
	crashFaults *crashFaults
	// bornAt is when the workers that are added say that they have started; zero when they do
	// not tell.
	workersStartedAt time.Time
	// listLag is how long after a worker has started again the list has its new entry.
	listLag time.Duration
	// trace has what the engine has told to do, and when.
	trace []tracedAction
	// isLateOrder means that the order which is carried out was held up for seconds.
	isDelayedOrder bool
}

// traced is an action in brief.
type tracedAction struct {
	at time.Duration
	// worker, task and run are of its order, wait that of a question for a listing.
	worker order.WorkerID
	task   work.TaskID
	run    uint64
	wait   time.Duration
}

func traceOf(at time.Duration, a order.Action) tracedAction {
	switch a := a.(type) {
	case order.Start:
		return tracedAction{at: at, worker: a.Worker, task: a.Task, run: a.Run}
	case order.Stop:
		return tracedAction{at: at, worker: a.Worker, task: a.Task, run: a.Run}
	case order.Poll:
		return tracedAction{at: at, worker: a.Worker, run: a.Confirmed, wait: a.Wait}
	}
	return tracedAction{at: at}
}

type message struct {
	at      time.Time
	deliver func()
}

func newSim(seed uint64) *sim {
	c := clock.NewFake()
	w := &sim{
		clock: c, startedAt: c.Now(), rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*modelWorker{},
		specs: map[work.JobID]*work.Spec{}, progress: map[work.JobID]*work.Progress{},
		persistedDone: map[work.TaskID]bool{}, failures: map[work.TaskID]int{},
		pollCounts: map[order.WorkerID]int{}, acknowledged: map[work.JobID]work.JobState{},
		queues: []order.Queue{testQueue}, endedAt: map[work.JobID]time.Duration{},
	}
	w.takeOver()
	return w
}

var testQueue = order.Queue{Name: "q", Service: "pool", MaxAttempts: 3}

// takeOver replaces the engine by one of a new owner that knows what the store has:
// nothing else outlasts the nodes.
func (w *sim) takeOver() {
	w.fence++
	if w.inFlightBatch != nil && w.rng.IntN(2) == 0 {
		w.applyBatch(w.inFlightBatch)
	}
	w.inFlightBatch = nil
	areStartsPersisted := !w.mayHaveUnpersistedStarts && (w.engine == nil || !w.engine.HasUnkept())
	w.engine = dispatch.NewEngine(dispatch.Options{Without: w.disabledMechanisms, StopTime: modelStopTime, Log: w.log})
	w.engine.Advance(w.clock.Now())
	w.engine.SetQueues(w.queues)
	w.engine.SetCustomers(w.customers)
	w.engine.SetLanes(w.channels)
	for _, id := range w.jobOrder {
		w.engine.RestoreJob(w.specs[id], w.progress[id])
	}
	w.engine.Inherit(w.clock.Now().Add(10*time.Second), areStartsPersisted, len(w.workerList()))
	w.engine.SetTrusted(true)
}

func (w *sim) elapsed() time.Duration { return w.clock.Now().Sub(w.startedAt) }

func (w *sim) addWorkers(n int, r leverdyke.Resources) {
	for i := range n {
		m := newModelWorker(fmt.Sprintf("w%02d", i), r, time.Duration(i)*time.Hour, 0.02*w.rng.Float64())
		m.entry.ID = order.NewWorkerID(m.name, w.workersStartedAt)
		w.workers[m.name] = m
	}
}

func (w *sim) workerList() []order.Worker {
	out := []order.Worker{}
	for _, m := range w.allWorkers() {
		if !m.isDead || m.isRestarting {
			out = append(out, m.listedEntry(w.clock.Now()))
		}
	}
	if w.rng.IntN(2) == 0 {
		return append(out, w.staleEntries...)
	}
	return append(append([]order.Worker{}, w.staleEntries...), out...)
}

// later delivers something after a delay, unless the engine is replaced.
func (w *sim) deliverToEngine(d time.Duration, deliver func()) {
	e := w.engine
	w.inFlight = append(w.inFlight, message{w.clock.Now().Add(d), func() {
		if e == w.engine {
			deliver()
		}
	}})
}

// order carries out an order after a delay, whoever is the owner then.
func (w *sim) schedule(d time.Duration, deliver func()) {
	w.inFlight = append(w.inFlight, message{w.clock.Now().Add(d), deliver})
}

const (
	tick = 10 * time.Millisecond
	// modelStopTime is how long a modelled worker takes to stop a task.
	modelStopTime = 150 * time.Millisecond
)

// run lets time pass.
func (w *sim) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(tick)
		w.runTick()
	}
}

func (w *sim) runTick() {
	w.engine.Advance(w.clock.Now())
	w.stepWorkers()
	w.engine.SetWorkers(w.workerList(), true)
	w.engine.SetUnlogged(w.isStoreDown && w.isWriteBehind || w.isStoreSlow)
	w.engine.Tick()
	w.engine.Decide()
	for _, a := range w.engine.Actions() {
		w.execute(a)
	}
	w.commitBatch()
	w.checkInvariants()
}

// stepWorkers lets the workers, and what is on its way, go on without the engine.
func (w *sim) stepWorkers() {
	now := w.clock.Now()
	for _, m := range w.allWorkers() {
		m.step(now, w.elapsed())
	}
	due, rest := []message{}, []message{}
	for _, l := range w.inFlight {
		if l.at.After(now) {
			rest = append(rest, l)
		} else {
			due = append(due, l)
		}
	}
	w.inFlight = rest
	for _, l := range due {
		l.deliver()
	}
}

// keep writes what must last.
func (w *sim) commitBatch() {
	if w.isStoreDown {
		return
	}
	if w.inFlightBatch == nil {
		w.inFlightBatch = w.engine.TakeBatch()
		w.batchDoneAt = w.clock.Now().Add(time.Duration(w.rng.Int64N(int64(w.maxStoreDelay) + 1)))
	}
	b := w.inFlightBatch
	if b == nil || w.clock.Now().Before(w.batchDoneAt) {
		return
	}
	w.inFlightBatch = nil
	if w.rng.Float64() < w.refusedShare {
		w.engine.Refused(b)
		return
	}
	w.applyBatch(b)
	w.engine.Committed(b)
}

// kept takes that the store has a batch.
func (w *sim) applyBatch(b *dispatch.Batch) {
	for _, s := range b.Specs {
		w.specs[s.ID] = s
		w.jobOrder = append(w.jobOrder, s.ID)
	}
	for id, p := range b.Progress {
		w.progress[id] = p
		if w.writeCounts != nil {
			w.writeCounts[id]++
		}
	}
}

// delay is the way to a worker or back.
func (w *sim) networkDelay() time.Duration { return time.Duration(1+w.rng.IntN(20)) * time.Millisecond }

func (w *sim) execute(a order.Action) {
	w.trace = append(w.trace, traceOf(w.elapsed(), a))
	switch a := a.(type) {
	case order.Start:
		w.executeStart(a)
	case order.Stop:
		w.executeStop(a)
	case order.Poll:
		w.executePoll(a)
	case order.QueryPermission:
		w.answerPermissionQuery(a)
	case order.Pace:
	}
}

// advise answers which workers are permitted, after the time that the policy tells.
func (w *sim) answerPermissionQuery(a order.QueryPermission) {
	if w.onPermissionQuery != nil {
		w.onPermissionQuery(a)
	}
	q := w.queueOf(a.Step.Job)
	policy := q.Permission
	permits := []order.Permit{}
	for _, id := range a.Workers {
		if w.isStepPermitted == nil && (w.isPermitted == nil || w.isPermitted(id)) || w.isStepPermitted != nil && w.isStepPermitted(q, a.Step, id) {
			permits = append(permits, order.Permit{Worker: id, Text: "t"})
		}
	}
	w.deliverToEngine(policy.BaseTime+time.Duration(len(a.Workers))*policy.TimePerWorker, func() {
		w.engine.Advised(a.Channel, a.Step, a.Workers, permits, policy.ValidFor, true)
	})
}

func (w *sim) queueOf(id work.JobID) *order.Queue {
	i := slices.IndexFunc(w.queues, func(q order.Queue) bool { return q.Name == w.specs[id].Queue })
	return &w.queues[i]
}

// isLost decides whether an answer is lost, and when the order is carried out.
func (w *sim) drawLoss() (bool, time.Duration) {
	if w.rng.Float64() >= w.lostAnswerShare {
		return false, w.networkDelay()
	}
	if w.rng.Float64() < w.lateOrderShare {
		return true, 2*time.Second + time.Duration(w.rng.IntN(10_000))*time.Millisecond
	}
	return true, w.networkDelay()
}

func (w *sim) executeStart(s order.Start) {
	m, fence := w.workerByID(s.Worker), w.fence
	lost, delay := w.drawLoss()
	if m == nil || m.isDead {
		w.deliverToEngine(w.networkDelay(), func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, order.StartUnhealthy, 0) })
		return
	}
	spec := w.specs[s.Task.Job].Steps[s.Task.Step]
	r := &modelRun{orderedAt: w.elapsed(), need: spec.Need, isLongRunning: spec.IsLongRunning, fails: w.rng.Float64() < w.failureShare}
	engine := w.engine
	w.schedule(delay, func() {
		if m.isDead && engine == w.engine && !lost && !m.isPartitioned {
			w.deliverToEngine(w.networkDelay(), func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, order.StartUnknown, 0) })
		}
		if m.isPartitioned || m.isDead {
			return
		}
		r.beganAt, r.endsAt = w.clock.Now(), w.clock.Now().Add(w.runDuration(m, r, &spec))
		outcome, began := m.start(order.Token(fence, s.Generation), &s, r, w.elapsed())
		w.isDelayedOrder = delay >= shrinkGrace
		if began {
			w.checkStart(m, s.Task, r)
		}
		if lost || engine != w.engine {
			return
		}
		at := m.clockAt(w.elapsed())
		w.deliverToEngine(w.networkDelay(), func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, outcome, at) })
	})
	if lost || m.isPartitioned {
		w.deliverToEngine(1500*time.Millisecond, func() { w.engine.StartAnswered(s.Worker, s.Task, s.Run, order.StartUnknown, 0) })
	}
}

// runTime returns how long a run takes on a worker until it ends by itself.
func (w *sim) runDuration(m *modelWorker, r *modelRun, spec *work.Step) time.Duration {
	switch {
	case m.isDegraded:
		r.fails = true
		return degradedRunTime
	case r.isLongRunning && w.longRunningFailureShare > 0 && w.rng.Float64() < w.longRunningFailureShare:
		r.fails = true
		return time.Duration(w.rng.Int64N(int64(w.maxLongRunningFailureTime)))
	}
	return spec.Estimate
}

func (w *sim) executeStop(s order.Stop) {
	m, fence := w.workerByID(s.Worker), w.fence
	lost, delay := w.drawLoss()
	if m == nil {
		return
	}
	w.schedule(delay, func() {
		if m.isPartitioned || m.isDead || !m.stop(order.Token(fence, s.Generation), &s, w.clock.Now(), modelStopTime) || lost {
			return
		}
		at := m.clockAt(w.elapsed())
		w.deliverToEngine(w.networkDelay(), func() { w.engine.StopAnswered(s.Worker, s.Task, s.Run, true, at) })
	})
}

func (w *sim) executePoll(p order.Poll) {
	m, fence := w.workerByID(p.Worker), w.fence
	lost, delay := w.drawLoss()
	if m != nil && m.refusesConnections {
		w.deliverToEngine(w.networkDelay(), func() { w.engine.PollFailed(&p) })
		return
	}
	if lost && m != nil && w.rng.Float64() < w.latePollShare {
		w.schedule(2*time.Second+time.Duration(w.rng.IntN(10_000))*time.Millisecond, func() {
			if !m.isPartitioned && !m.isDead {
				m.poll(order.Token(fence, p.Generation), &p, w.elapsed())
			}
		})
	}
	if m == nil || m.isDead || m.isPartitioned || lost {
		w.deliverToEngine(p.Wait+p.Timeout, func() { w.engine.PollFailed(&p) })
		return
	}
	w.pollCounts[p.Worker]++
	engine := w.engine
	wait := min(p.Wait, 200*time.Millisecond) + w.pollDelay
	if len(m.finished) > 0 {
		wait = 0
	}
	arrivedIncarnation := order.WorkerID("")
	w.schedule(delay, func() {
		if !m.isDead {
			arrivedIncarnation = m.entry.ID
		}
	})
	w.schedule(delay+wait, func() {
		var l *order.Listing
		// A start that ends takes what waits there with it.
		if !m.isPartitioned && !m.isDead && m.entry.ID == arrivedIncarnation {
			l = m.poll(order.Token(fence, p.Generation), &p, w.elapsed())
		}
		if engine != w.engine {
			return
		}
		w.deliverToEngine(w.networkDelay(), func() {
			if l == nil {
				w.engine.PollFailed(&p)
				return
			}
			w.engine.PollAnswered(&p, l)
		})
	})
}

// began checks a start against the promises.
func (w *sim) checkStart(m *modelWorker, id work.TaskID, r *modelRun) {
	w.startCount++
	w.recordCrashingStart(m, id)
	if capacity := m.allowed(w.clock.Now()); !w.isDelayedOrder && !m.used().FitsIn(capacity) {
		w.reportViolation("%s brings %s over its room: %v of %v", id, m.entry.ID, m.used(), capacity)
	}
	w.checkLimit(m, id)
	for other, o := range w.allWorkers() {
		if o != m && !o.isDead && o.running[id] != nil {
			w.reportViolation("%s runs on %s and on %s", id, other, m.entry.ID)
		}
	}
	for other, o := range w.allWorkers() {
		if o.confirmed[id] {
			w.reportViolation("%s starts on %s after its end was confirmed to %s", id, m.entry.ID, other)
		}
	}
	if w.persistedDone[id] {
		w.reportViolation("%s starts on %s after its end was kept", id, m.entry.ID)
	}
	// An order that was on its way when another task of its job was given up cannot be taken
	// back; it is stopped.
	isLate := w.acknowledged[id.Job] == work.JobFailed && r.orderedAt <= w.endedAt[id.Job]
	if state := w.acknowledged[id.Job]; state != "" && !isLate {
		w.reportViolation("%s starts on %s after its job was told to have %s", id, m.entry.ID, state)
	}
}

// check looks at what runs now.
func (w *sim) checkInvariants() {
	for _, what := range w.engine.Inconsistencies(w.inFlightBatch) {
		w.reportViolation("%s", what)
	}
	for id, m := range w.allWorkers() {
		// What ran when its room shrank goes on; starts are looked at one by one.
		if len(m.capacityChanges) == 0 && !m.used().FitsIn(m.entry.Capacity) {
			w.reportViolation("%s is over its room: %v of %v", id, m.used(), m.entry.Capacity)
		}
	}
	for _, id := range w.jobOrder {
		w.queryState(id)
		p := w.progress[id]
		if p == nil || p.State.IsFinal() {
			continue
		}
		for k, steps := range p.Rounds {
			for s := range steps {
				for i := range w.specs[id].Steps[s].Count {
					if steps[s].IsDone(i) {
						w.persistedDone[work.TaskID{Job: id, Round: k, Step: s, Index: i}] = true
					}
				}
			}
		}
	}
}

// tell asks for the state of a job, as its caller does. A final one never changes.
func (w *sim) queryState(id work.JobID) {
	state, ok := w.engine.State(id)
	if previous := w.acknowledged[id]; previous != "" && ok && state != previous {
		w.reportViolation("%s is told to be %s after %s", id, state, previous)
	}
	if state.IsFinal() {
		if w.acknowledged[id] == "" {
			w.endedAt[id] = w.elapsed()
		}
		w.acknowledged[id] = state
	}
}

func (w *sim) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%8v ", w.elapsed())+fmt.Sprintf(format, args...))
}

// submit hands in a job of steps that follow each other.
func (w *sim) submit(id string, steps ...work.Step) { w.submitTo("q", id, steps...) }

// submitTo hands it in to a queue.
func (w *sim) submitTo(queue, id string, steps ...work.Step) {
	for i := range steps {
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	w.submitFor("", queue, id, steps...)
}

// submitFor hands in a job of a customer.
func (w *sim) submitFor(customer work.CustomerName, queue, id string, steps ...work.Step) {
	w.engine.AddJob(&work.Spec{ID: work.JobID(id), Queue: queue, Customer: customer, Steps: steps})
}

// crash ends a worker's life and begins another on the same machine.
func (w *sim) crashAndReplace(id order.WorkerID, next string) {
	m := w.workerByID(id)
	m.isDead = true
	m.running = map[work.TaskID]*modelRun{}
	replacement := newModelWorker(next, m.entry.Capacity, 0, m.drift)
	replacement.clockOffset = -w.elapsed()
	replacement.entry.Machine = m.entry.Machine
	if !w.workersStartedAt.IsZero() {
		replacement.entry.ID = order.NewWorkerID(next, w.clock.Now())
	}
	w.workers[replacement.name] = replacement
}

// each goes through the workers in the order of their names.
func (w *sim) allWorkers() iter.Seq2[string, *modelWorker] {
	if len(w.workerNames) != len(w.workers) {
		w.workerNames = slices.Sorted(maps.Keys(w.workers))
	}
	return func(yield func(string, *modelWorker) bool) {
		for _, name := range w.workerNames {
			if !yield(name, w.workers[name]) {
				return
			}
		}
	}
}

// holds returns how many listings a worker was asked for.
func (w *sim) pollCount(id order.WorkerID) int { return w.pollCounts[id] }

// workerOf returns the worker on which a task runs.
func (w *sim) workerOf(id work.TaskID) *modelWorker {
	for _, m := range w.allWorkers() {
		if m.running[id] != nil {
			return m
		}
	}
	return nil
}
