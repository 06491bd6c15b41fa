// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/urgency"
	"github.com/leverdyke/leverdyke/internal/work"
)

// place starts what can be started, the most urgent first.
func (e *Engine) place() {
	if e.isPaused || !e.isTrusted {
		return
	}
	e.refreshReservations()
	e.asksLeft, e.putOffsLeft = maxAsks, maxPutOffs
	e.noteDoubts()
	waiting := e.stepsByTurn()
	steps := e.withinLimits(waiting)
	isWaiting := len(steps) < len(waiting)
	for _, i := range e.rotation.Next(len(steps)) {
		s := steps[i]
		before := s.waiting + s.copiesWanted
		e.placeStep(s)
		after := s.waiting + s.copiesWanted
		e.rotation.Tried(after < before)
		isWaiting = isWaiting || after > 0
	}
	if isWaiting || e.rotation.HasSkipped() {
		// What they wait for may come without an event: a pause ends, a lane that did
		// not answer is asked again.
		e.recheckAt = e.now.Add(recheckInterval)
	}
}

// enqueue notes that a step has tasks that wait, or wants copies.
func (e *Engine) enqueue(s *step) {
	if !s.isQueued {
		s.isQueued = true
		e.queue = append(e.queue, s)
	}
}

// stepsByTurn returns the steps with waiting tasks in the order of their turn.
func (e *Engine) stepsByTurn() []*step {
	e.noteUse()
	e.queue = slices.DeleteFunc(e.queue, func(s *step) bool {
		s.isQueued = !s.job.state.IsFinal() && (s.waiting > 0 || s.copiesWanted > 0)
		s.priority = e.queues[s.job.spec.Queue].Priority
		if s.isQueued {
			e.setRank(s)
		}
		return !s.isQueued
	})
	e.noteShares()
	e.isLateTurn = urgency.IsLateFirst(time.Duration(e.now.UnixNano()))
	slices.SortStableFunc(e.queue, e.compareTurns)
	if e.inherited == nil {
		return e.queue
	}
	return slices.DeleteFunc(slices.Clone(e.queue), func(s *step) bool { return e.isBlocked(s.job) })
}

// openedFor is the time by which steps of one priority take turns.
func (s *step) openedFor() time.Time {
	if s.job.spec.Rounds > 0 {
		return s.round.dueAt
	}
	return s.job.acceptedAt
}

func (e *Engine) placeStep(s *step) {
	q, ok := e.queues[s.job.spec.Queue]
	if !ok {
		return
	}
	s.mayProbeEarly = e.mayTryEarly(s, q.Service)
	e.startTasks(s, &q)
	if s.waiting > 0 {
		s.waitReason = e.whyWaiting(s, &q)
	}
}

// startTasks starts what can be started of a step, and prepares what the rest waits for.
func (e *Engine) startTasks(s *step, q *order.Queue) {
	if s.spec.IsGang {
		e.placeGang(s, q)
		return
	}
	placed := 0
	mayStart := e.quotaRoom(s)
	var candidates *candidates
	for _, i := range e.turnsOf(s) {
		t := &s.tasks[i]
		if t.state != taskWaiting || len(t.mayRunOn) > 0 {
			continue
		}
		if placed >= mayStart {
			break
		}
		if candidates == nil {
			candidates = e.newCandidates(s, q)
		}
		w := candidates.take(e, s, i, q)
		if w == nil && needsIndividualPlacement(t) {
			// Only this task may have no worker that suits it.
			e.reserveForSuspect(s, i, q)
			continue
		}
		if w == nil {
			break
		}
		e.start(w, s, i, t.run+1)
		candidates.changed(e, s)
		placed++
	}
	if placed > 0 {
		e.options.Log(events.StepPlaced, "step", s.id, "queue", q.Name, "placed", placed, "waiting", s.waiting, "waited", e.now.Sub(s.openedAt))
	}
	if s.copiesWanted > 0 {
		e.placeCopies(s, q)
	}
	mayStart = e.quotaRoom(s)
	if missing := min(s.waiting+s.copiesWanted, mayStart); missing > 0 && q.Permission != nil {
		e.askAdvice(s, q.Permission, missing)
	}
	if missing := min(s.waiting, mayStart); missing > 0 {
		e.reserveFor(s, q, missing)
	}
}

// turnsOf returns the indexes of the step's tasks in the order in which they are started. Tasks that
// last come back for as long as their job does: the one that is away for longest goes first. The
// slice is reused by the next call.
func (e *Engine) turnsOf(s *step) []int {
	e.turns = e.turns[:0]
	for i := range s.tasks {
		e.turns = append(e.turns, i)
	}
	if s.spec.IsLongRunning {
		slices.SortStableFunc(e.turns, func(i, k int) int { return s.tasks[i].lastRanAt.Compare(s.tasks[k].lastRanAt) })
	}
	return e.turns
}

// mayRun reports whether the worker is one on which the step may run at all.
func (e *Engine) mayRun(w *worker, s *step, pool string) bool {
	if w.Service != pool {
		return false
	}
	return s.spec.Label == "" || slices.Contains(w.Labels, s.spec.Label)
}

// fits returns how many tasks of the step the worker could take now.
func (e *Engine) fits(w *worker, s *step) int { return e.fitsBeside(w, s, leverdyke.Resources{}) }

// fitsBeside returns how many tasks of the step the worker could take if others took so much.
func (e *Engine) fitsBeside(w *worker, s *step, others leverdyke.Resources) int {
	n := e.roomBeside(w, s, others)
	if w.health.IsOnProbation {
		n = min(n, 1-w.trials())
	}
	return max(n, 0)
}

// roomBeside is fitsBeside whatever the health of the worker.
func (e *Engine) roomBeside(w *worker, s *step, others leverdyke.Resources) int {
	if w.isOverfull() {
		return 0
	}
	n := len(s.tasks)
	charge := s.spec.Charge()
	if charge.MilliCPU > 0 || charge.MemoryMiB > 0 || charge.Accelerators > 0 {
		free := e.freeFor(w, s).Sub(others)
		free.Slots = 0
		charge.Slots = 0
		n = int(min(int64(n), charge.Count(free)))
	}
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-w.countOf(s))
	}
	return max(n, 0)
}

// isOverfull reports whether what the worker has been given takes more than it has: its
// room may shrink after a place was worked out and before the order leaves, which is
// seconds where a place waits for the store.
func (w *worker) isOverfull() bool {
	used := w.used
	used.Slots = 0
	return !used.FitsIn(w.Capacity)
}

func (w *worker) countOf(s *step) int {
	n := 0
	for _, a := range w.attempts.All() {
		if a.step == s {
			n++
		}
	}
	return n
}

// choose picks the worker for a task, or returns nil.
func (e *Engine) choose(s *step, i int, q *order.Queue, gang *gangSoFar) *worker {
	id := s.taskID(i)
	t := &s.tasks[i]
	var best *worker
	bestScore := 0.0
	for _, w := range e.permitted(s, q) {
		if w.attempts.Get(id) != nil || !e.mayRetryOn(w, s, t) {
			continue
		}
		room := e.fits(w, s)
		if gang != nil {
			if gang.rack != "" && w.Rack != gang.rack {
				continue
			}
			room -= gang.taken[w]
		}
		if room <= 0 {
			continue
		}
		score := e.score(w, s, t)
		if best == nil || score > bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// permitted returns the workers that may be given tasks of the step now. The
// slice is reused by the next call.
func (e *Engine) permitted(s *step, q *order.Queue) []*worker {
	found := e.found[:0]
	if q.Permission == nil {
		for _, w := range e.workers.All() {
			if e.isUsable(w, s) && e.mayRun(w, s, q.Service) {
				found = append(found, w)
			}
		}
	}
	s.permissions.EachPermitted(e.now, func(id order.WorkerID) {
		if w := e.workers.Get(id); w != nil && q.Permission != nil && e.isUsable(w, s) && e.mayRun(w, s, q.Service) {
			found = append(found, w)
		}
	})
	e.found = found
	return found
}

// Weights of a placement's score, in parts of a worker's room. What makes a task
// slower or likely to fail outweighs packing.
const (
	weightAside   = 8.0
	weightAvoid   = 4.0
	weightSlow    = 3.0
	weightSuspect = 1.5
	weightFar     = 1.0
	weightShared  = 1.5
	weightZone    = 0.01
	// weightSpare, weightScarce and weightLast are for the risk that a worker fails
	// the task, which has three attempts left or more, two, or one: the job fails
	// with the last one.
	weightSpare  = 0.3
	weightScarce = 0.8
	weightLast   = 5.0
)

// score is higher the better the worker suits: packed tightly, near the data,
// away from where the task failed and from what it would disturb. t is nil for
// any task of the step.
func (e *Engine) score(w *worker, s *step, t *task) float64 {
	score := w.fullness()
	if s.spec.IsLongRunning || s.spec.IsBestEffort || t != nil && isSuspect(t) {
		score = -score
	}
	switch {
	case w.speed.IsSlow(e.now):
		score -= weightSlow
	case w.speed.IsSuspectedSlow:
		score -= weightSuspect
	}
	if w.health.IsPaused(e.now) {
		score -= weightAside
	}
	if t != nil && (t.avoidWorker == w.ID || hasCrashedOn(t, w.Machine)) {
		score -= weightAvoid
	}
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score -= weightFar
	}
	if w.Zone == e.options.NodeZone {
		score += weightZone
	}
	score -= e.stake(s, t) * w.health.Risk(e.now)
	if s.spec.IsBestEffort || s.spec.TailTarget > 0 {
		score -= weightShared * w.conflicts(s)
	}
	return score
}

// stake is the weight of the risk that a task fails; t is nil for a task that has
// not failed yet.
func (e *Engine) stake(s *step, t *task) float64 {
	limit := e.queues[s.job.spec.Queue].MaxAttempts
	if s.spec.IsLongRunning || limit <= 0 {
		return weightSpare
	}
	left := limit
	if t != nil {
		left -= s.failuresOf(t)
	}
	switch {
	case left <= 1:
		return weightLast
	case left == 2:
		return weightScarce
	}
	return weightSpare
}

// fullness is the part of the worker's room that is taken, by the dimension that
// is taken most.
func (w *worker) fullness() float64 {
	full := 0.0
	if w.Capacity.MilliCPU > 0 {
		full = float64(w.used.MilliCPU) / float64(w.Capacity.MilliCPU)
	}
	if w.Capacity.MemoryMiB > 0 {
		full = max(full, float64(w.used.MemoryMiB)/float64(w.Capacity.MemoryMiB))
	}
	return full
}

// conflicts is 1 when the worker has tasks that the step would disturb or be
// disturbed by.
func (w *worker) conflicts(s *step) float64 {
	for _, a := range w.attempts.All() {
		if a.step == nil {
			continue
		}
		if s.spec.IsBestEffort && a.step.spec.TailTarget > 0 || s.spec.TailTarget > 0 && a.step.spec.IsBestEffort {
			return 1
		}
	}
	return 0
}

func (s *step) taskID(i int) work.TaskID {
	return work.TaskID{Job: s.id.Job, Round: s.id.Round, Step: s.id.Step, Index: i}
}

func (s *step) highestRun() uint64 {
	run := uint64(0)
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
	}
	return run
}

// start orders a waiting task to start.
func (e *Engine) start(w *worker, s *step, i int, run uint64) {
	t := &s.tasks[i]
	t.state = taskPlaced
	t.attempt = e.order(w, s, i, run)
	s.waiting--
}

// order charges the worker for an attempt. The start is ordered once the store
// has its place, so that the next owner knows where the task may run.
func (e *Engine) order(w *worker, s *step, i int, run uint64) *attempt {
	t := &s.tasks[i]
	a := &attempt{
		id: s.taskID(i), step: s, run: run, worker: w, charge: s.spec.Charge(), phase: phasePlanned, orderedAt: e.now, pace: fullPace,
	}
	e.charge(a)
	if w.health.IsPaused(e.now) {
		w.health.BeginProbation(e.now)
	}
	w.lastStartAt = e.now
	e.isolateSuspect(a)
	t.run = max(t.run, run)
	e.keepPlace(a)
	e.markUrgent(s.job)
	if e.mayStartUnpersisted(a) {
		e.sendSoon(a)
	}
	return a
}

// keepPlace puts the place of an attempt into the batch. One that is ordered
// already counts as unkept until then.
func (e *Engine) keepPlace(a *attempt) {
	e.markDirty(a.step.job)
	b := e.batchNow()
	b.planned = append(b.planned, a)
	if a.phase != phasePlanned {
		e.noteUnkept(a)
	}
}

func (e *Engine) noteUnkept(a *attempt) {
	if !a.isPersisted && !a.isWriteBehind {
		a.isWriteBehind = true
		e.unkept++
	}
}

// placeKept says that the place of an attempt is in the store.
func (e *Engine) placeKept(a *attempt) {
	a.isPersisted = true
	if a.isWriteBehind {
		a.isWriteBehind = false
		e.unkept--
	}
}

// sendSoon orders a planned start when there are few enough without an answer.
func (e *Engine) sendSoon(a *attempt) {
	e.ready = append(e.ready, a)
	e.sendReady()
}

func (e *Engine) sendReady() {
	for len(e.ready) > 0 && e.unanswered < e.window.Limit() {
		a := e.ready[0]
		e.ready = e.ready[1:]
		e.send(a)
	}
}

// send orders a planned start, if it still makes sense.
func (e *Engine) send(a *attempt) {
	if a.phase != phasePlanned || a.worker.attempts.Get(a.id) != a {
		return
	}
	if !a.isPersisted && !e.mayStartUnpersisted(a) {
		// The store is waited for again: it has its turn when its place is kept. An owner that
		// does not say that it runs ahead must not.
		return
	}
	q := e.queues[a.step.job.spec.Queue]
	text, hasTicket := a.step.permissions.ValidPermit(a.worker.ID, e.now)
	isHeldBack := e.isPaused && !e.isGangUnderWay(a)
	isOverLimit := e.quota.IsOverLimit(a.step.customer()) && !e.isGangUnderWay(a)
	if !e.isReachable(a.worker) || !e.isTrusted || isHeldBack || q.Permission != nil && !hasTicket || a.worker.isOverfull() || isOverLimit {
		e.dropPlanned(a, "a member was not ordered")
		return
	}
	a.phase, a.orderedAt, a.worker.lastStartAt = phaseOrdered, e.now, e.now
	e.isolateSuspect(a)
	e.durationsOf(a.step).Ordered(e.now)
	e.noteUnkept(a)
	a.isResumed = a.step.savedFor(a.id.Index) != ""
	e.counts.Starts++
	e.unanswered++
	e.fresh = append(e.fresh, a)
	e.do(order.Start{
		Worker: a.worker.ID, Addr: a.worker.Addr, Generation: e.strays.Generation(a.worker.ID), Task: a.id, Run: a.run, Payload: a.step.job.spec.Payload,
		Checkpoint: a.step.savedFor(a.id.Index), Permit: text, Deadline: a.worker.session.Renew(e.now),
	})
}

// dropPlanned gives up an attempt that was not ordered. The other members of its run of a
// gang would wait for it in vain, up to gang time: they are given up, too.
func (e *Engine) dropPlanned(a *attempt, why string) {
	e.release(a)
	e.detachAttempt(a)
	if a.step != nil && a.step.spec.IsGang {
		e.stopGang(a.step, a.run, why)
	}
}

// isGangUnderWay reports whether other members of the attempt's run of a gang are ordered:
// they would wait for this one in vain.
func (e *Engine) isGangUnderWay(a *attempt) bool {
	if !a.step.spec.IsGang {
		return false
	}
	return slices.ContainsFunc(a.step.tasks, func(t task) bool {
		return t.attempt != nil && t.attempt.run == a.run && t.attempt.phase != phasePlanned
	})
}

// HasReady reports whether starts whose places are kept wait for their turn.
func (e *Engine) HasReady() bool { return len(e.ready) > 0 }

// savedFor returns where a task goes on from. The members of a gang must all go
// on from the same text.
func (s *step) savedFor(i int) string {
	if !s.spec.IsGang {
		return s.tasks[i].checkpoint
	}
	for t := range s.tasks {
		if text := s.tasks[t].checkpoint; text != "" {
			return text
		}
	}
	return ""
}
