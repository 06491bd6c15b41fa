// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/outlier"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/stray"
	"github.com/leverdyke/leverdyke/internal/work"
)

// worker is one start of a worker with the attempts that are charged to it.
type worker struct {
	order.Worker
	attempts ordered.Map[work.TaskID, *attempt]
	// used is the sum of what the attempts are charged.
	used leverdyke.Resources
	// reserved is kept for others that wait; it is complete at reservedAt, which is zero
	// when none is.
	reserved   []reservation
	reservedAt time.Time
	// foreign are attempts of which nothing is known, so that their size is not
	// known either: while there are any, the worker gets nothing new.
	foreign map[work.TaskID]uint64
	// session is what this start of the worker has told.
	session session.Session
	// isGone means that the platform's list no longer has it; hasLeft that it was
	// removed because the worker has ended as planned.
	isGone, hasLeft bool
	// isLeaving means that the list lost it while it answered: it ends as planned.
	isLeaving bool
	// isSuperseded means that the list has another start of the worker in its place.
	isSuperseded bool
	// refusals are orders that may still come and that it is told to refuse.
	refusals stray.Refusals
	health   outlier.Health
	// tickedAt is when it was looked at last by time alone. isRestless means that it is to
	// be at the next tick: something on it is under way.
	tickedAt   time.Time
	isRestless bool
	speed      outlier.Speed
	// orderedAt is when a start was planned or ordered last, triedAt when that was of a task
	// that may crash it; until trialUntil it gets nothing else.
	orderedAt, triedAt, trialUntil time.Time
	// keptFor is the step for which the worker is kept until keptUntil.
	keptFor   *step
	keptUntil time.Time
}

// phase is where an attempt is.
type phase string

const (
	// phasePlanned means that its place is not kept yet: nothing was ordered.
	phasePlanned phase = "planned"
	// phaseOrdered means that the order is on its way.
	phaseOrdered phase = "ordered"
	// phaseDoubtful means that the order got no answer and may be carried out.
	phaseDoubtful phase = "doubtful"
	phaseRunning  phase = "running"
)

// attempt is a start of a task that is not known to be over.
type attempt struct {
	id     work.TaskID
	step   *step
	run    uint64
	worker *worker
	charge leverdyke.Resources
	phase  phase
	// orderedAt is when the order was sent; isHandedOut means that it has left the engine.
	orderedAt   time.Time
	isHandedOut bool
	// doubtAt is when the order became doubtful.
	doubtAt time.Time
	// startedAt is the worker's clock when it confirmed the start.
	startedAt order.WorkerTime
	// startedOn and stopAckedOn are when the worker's word came, by the engine's
	// time: only a listing that was asked for later can do without the attempt.
	startedOn, stopAckedOn time.Time
	// isStopping means that it was told to stop; stopSentAt is when, last.
	isStopping bool
	stopSentAt time.Time
	stopWhy    string
	// stopAckedAt is the worker's clock when it confirmed the stop; 0 before.
	stopAckedAt order.WorkerTime
	percent     int
	percentAt   time.Time
	progress    outlier.Progress
	figure      int
	pace        int
	pacedAt     time.Time
	// isTold means that this start of the worker has told of it: the order has come.
	isTold bool
	// hasSaved means that it went on from where an earlier attempt was saved;
	// isAdopted that an earlier owner started it.
	hasSaved, isAdopted bool
	// isReplaced means that it was judged as stuck or too slow.
	isReplaced bool
	// isKept means that its place is in the store, isUnkept that it was ordered
	// without.
	isKept, isUnkept bool
}

// SetWorkers takes the platform's list, whole. isCertain is false while the list
// may lack workers that live: then none is taken as gone.
func (e *Engine) SetWorkers(list []order.Worker, isCertain bool) {
	seen := make(map[order.WorkerID]bool, len(list))
	hasUnclear := false
	for _, entry := range list {
		if entry.IsRemoved {
			e.entryRemoved(&entry, isCertain)
			continue
		}
		seen[entry.ID] = true
		if !e.endedIncarnations[entry.ID] {
			e.setWorker(entry)
		}
		hasUnclear = hasUnclear || entry.IsUnclear && e.workers.Get(entry.ID) == nil
	}
	if !isCertain {
		return
	}
	if e.inherited != nil {
		e.inherited.entries, e.inherited.hasUnclear = len(seen), hasUnclear
	}
	for id := range e.endedIncarnations {
		if !seen[id] {
			delete(e.endedIncarnations, id)
		}
	}
	for id, w := range e.workers.All() {
		if !seen[id] && !w.isGone {
			e.unlisted(w, otherStart(list, id))
		}
	}
}

// unlisted takes that the list does not have a worker, but perhaps another start of it.
func (e *Engine) unlisted(w *worker, other *order.Worker) {
	if other != nil && e.endedIncarnations[other.ID] {
		// It has started again, and is about to write its entry.
		return
	}
	w.isGone, w.isSuperseded = true, other != nil
	if other == nil {
		w.isLeaving = !w.session.HasMissed()
		e.lost(w)
	}
	e.options.Log(events.WorkerUnlisted, "worker", w.ID, "attempts", w.attempts.Len(), "silent", e.now.Sub(w.session.HeardAt()))
	e.dropIfEmpty(w)
}

func (e *Engine) setWorker(entry order.Worker) {
	w := e.workers.Get(entry.ID)
	if w == nil && entry.IsUnclear && !e.mayRunOn(&entry) {
		return
	}
	if w == nil {
		e.addWorker(&entry)
		return
	}
	if entry.IsDraining && !w.IsDraining {
		e.options.Log(events.WorkerLeaving, "worker", entry.ID, "attempts", w.attempts.Len())
	}
	if w.Capacity != entry.Capacity && !entry.IsUnclear {
		e.needsScheduling = true
		e.options.Log(events.WorkerResized, "worker", entry.ID, "from", w.Capacity, "to", entry.Capacity, "used", w.used)
	}
	if w.isGone || w.IsDraining != entry.IsDraining || w.IsUnclear != entry.IsUnclear {
		e.needsScheduling = true
	}
	if w.Machine != entry.Machine {
		e.index.remove(w)
		defer e.index.add(w)
	}
	w.Worker = entry
	w.isGone, w.isLeaving, w.isSuperseded = false, false, false
}

// addWorker takes a start of a worker that was not known, and asks what it runs.
func (e *Engine) addWorker(entry *order.Worker) *worker {
	w := &worker{Worker: *entry, foreign: map[work.TaskID]uint64{}, isRestless: true}
	e.workers.Set(entry.ID, w)
	e.index.add(w)
	e.abandonedStarts.NextGeneration(entry.ID)
	e.refuseStrays(w)
	e.hold(w)
	return w
}

// mayRunOn reports whether a worker of which only an unclear entry is known may run
// tasks of an earlier owner, and can be asked.
func (e *Engine) mayRunOn(entry *order.Worker) bool {
	return entry.Addr.IsValid() && e.isUnsettled(entry.ID)
}

const (
	// heartbeatsMissed is how many heartbeats must stay away until the platform
	// removes the entry of a silent worker.
	heartbeatsMissed = 3
	// removalSlack covers when heartbeats and removals are seen: the list is read
	// every 0.4 s.
	removalSlack = time.Second
)

// entryRemoved takes the removal of an entry. One of a worker that drains and was
// heard lately was removed because the worker has left, and nothing of it runs
// any more; otherwise the worker may only be cut off.
func (e *Engine) entryRemoved(entry *order.Worker, isCertain bool) {
	w := e.workers.Get(entry.ID)
	if w == nil || !w.IsDraining || !isCertain || entry.HeartbeatAt.IsZero() {
		return
	}
	silent := e.now.Sub(entry.HeartbeatAt)
	if silent >= heartbeatsMissed*e.options.HeartbeatInterval-removalSlack {
		return
	}
	w.hasLeft = true
	e.options.Log(events.WorkerLeft, "worker", w.ID, "attempts", w.attempts.Len(), "heartbeat", silent)
	if w.session.HasMissed() {
		e.LifeOver(w.ID)
		return
	}
	e.look(w)
}

// endEarlierLives ends the other lives of a machine, and the other starts of a worker, that
// has answered. One in whose place the list has another start answers late.
func (e *Engine) endEarlierLives(w *worker) {
	if w.isSuperseded {
		return
	}
	for _, other := range e.index.replacedBy(w) {
		e.lifeOver(other.ID, w)
	}
	e.crashKnown(w)
}

// LifeOver says that a worker's life is over: nothing of it runs any more.
func (e *Engine) LifeOver(id order.WorkerID) { e.lifeOver(id, nil) }

// lifeOver is LifeOver of a worker after which next is there; nil when that is not known.
func (e *Engine) lifeOver(id order.WorkerID, next *worker) {
	if next == nil || !id.IsOtherStart(next.ID) {
		// Orders of an earlier owner may run on a newer start: it has to tell first.
		e.settle(id, settledByLife)
	}
	e.endedIncarnations[id] = true
	w := e.workers.Get(id)
	if w == nil {
		return
	}
	e.options.Log(events.WorkerLifeOver, "worker", id, "attempts", w.attempts.Len())
	under := e.noteCrashes(w, true)
	if next != nil && id.IsOtherStart(next.ID) {
		e.inheritFrom(w, next)
	}
	e.lapseAll(w, cutByLife)
	e.judgeCrash(id, under)
	w.isGone = true
	e.dropIfEmpty(w)
}

func (e *Engine) dropIfEmpty(w *worker) {
	if !w.isGone || w.attempts.Len() > 0 || len(w.foreign) > 0 {
		return
	}
	if _, ok := e.uncertainTasks.Find(w.ID); ok {
		return
	}
	e.workers.Delete(w.ID)
	e.index.remove(w)
}

// calmTick is the time between two looks at a worker on which nothing is under way: all
// its attempts run, and a listing is on its way.
const calmTick = 100 * time.Millisecond

// isTickDue reports whether it is time to look at the worker.
func (e *Engine) isTickDue(w *worker) bool {
	return w.isRestless || e.now.Sub(w.tickedAt) >= calmTick
}

func (e *Engine) tickWorker(w *worker) {
	w.tickedAt = e.now
	polls := &w.session.Polls
	w.isRestless = w.refusals.HasAny() || !w.session.IsListed() || !polls.IsWaiting() || polls.WantsLook() || w.isGone || w.IsDraining
	if polls.MayWait(e.now) {
		e.hold(w)
	}
	isOverdue := !w.session.IsListed() && polls.WaitsFor(e.now) > firstPatience
	if polls.WantsLook() || isOverdue {
		e.look(w)
	}
	e.stopStrays(w)
	e.dropIfEmpty(w)
	if w.attempts.Len() == 0 {
		return
	}
	if w.session.IsOver(e.now) {
		e.options.Log(events.WorkerLost, "worker", w.ID, "attempts", w.attempts.Len(), "silent", e.now.Sub(w.session.HeardAt()))
		under := e.noteCrashes(w, false)
		e.lapseAll(w, cutByTime)
		e.judgeCrash(w.ID, under)
		return
	}
	for _, a := range w.attempts.All() {
		e.tickAttempt(a)
		w.isRestless = w.isRestless || a.phase != phaseRunning || a.isStopping
	}
	if w.IsDraining && !w.isGone {
		e.evacuate(w)
	}
}

func (e *Engine) tickAttempt(a *attempt) {
	if a.phase == phasePlanned {
		if !e.isReachable(a.worker) {
			e.stop(a, "worker is not reached")
		}
		return
	}
	if a.phase == phaseOrdered && e.now.Sub(a.orderedAt) > e.answerTimes.Patience() && !e.now.Before(e.stalledUntil) {
		e.doubt(a)
	}
	if a.phase == phaseDoubtful && !a.isStopping && e.now.Sub(a.doubtAt) > unacknowledgedTimeout {
		e.stop(a, "order was not answered")
		return
	}
	e.requestCopyIfSilent(a)
	if a.isStopping && a.stopAckedAt == 0 && e.now.Sub(a.stopSentAt) > stopRetryInterval {
		e.sendStop(a)
	}
	if a.isStopping && a.stopAckedAt > 0 && a.phase == phaseDoubtful {
		e.look(a.worker)
	}
	e.checkTrial(a)
	e.clearOutlived(a)
	e.checkProgress(a)
}

// doubt takes an order as one that may have been carried out or may be later.
// Where the worker says that it runs, it is left alone; otherwise it is stopped,
// which also keeps it from being carried out.
func (e *Engine) doubt(a *attempt) {
	a.phase = phaseDoubtful
	a.doubtAt = e.now
	e.startWindow.Answered(e.now.Sub(a.orderedAt), e.now)
	e.counts.Unacknowledged++
	e.options.Log(events.OrderDoubtful, "task", a.id, "run", a.run, "worker", a.worker.ID, "age", e.now.Sub(a.orderedAt))
	e.requestCopy(a)
	e.look(a.worker)
}

// Why all attempts on a worker are over.
const (
	cutByLife = "life over"
	cutByTime = "leases lapsed"
)

// lapseAll takes all attempts of a worker as over.
func (e *Engine) lapseAll(w *worker, why string) {
	e.logCut(w, why)
	for _, a := range w.attempts.All() {
		e.counts.Expired++
		e.release(a)
		e.attemptOver(a)
	}
	clear(w.foreign)
	w.session.SetListed(false)
	e.needsScheduling = true
}

// maxCutLogged bounds the lines on attempts that end with one worker: that is about as
// many as it has, and a whole rack that goes writes some hundred lines.
const maxCutLogged = 20

// logCut tells which attempts end with their worker, and how long they are known to have
// been on it.
func (e *Engine) logCut(w *worker, why string) {
	n := 0
	for _, a := range w.attempts.All() {
		if n++; n > maxCutLogged {
			return
		}
		e.options.Log(events.AttemptCut, "task", a.id, "run", a.run, "worker", w.ID, "why", why, "phase", a.phase, "ran", max(w.session.HeardAt().Sub(a.orderedAt), 0))
	}
}

// stop orders an attempt to stop, once.
func (e *Engine) stop(a *attempt, why string) {
	if a.isStopping {
		return
	}
	if a.phase == phasePlanned || e.takeBack(a) {
		e.abandonPlanned(a, why)
		return
	}
	a.isStopping = true
	a.worker.isRestless = true
	a.stopWhy = why
	e.counts.Stopped++
	e.sendStop(a)
}

// takeBack takes back an order to start that has not left the engine, and reports whether
// there was one: what ends between the order and its handing out would be started again,
// as the last task of a job that is told to have succeeded.
func (e *Engine) takeBack(a *attempt) bool {
	if a.phase != phaseOrdered || a.isHandedOut {
		return false
	}
	isOrder := func(x order.Action) bool {
		s, ok := x.(order.Start)
		return ok && s.Task == a.id && s.Run == a.run && s.Worker == a.worker.ID
	}
	e.actions = slices.DeleteFunc(e.actions, isOrder)
	e.startsInActions = slices.DeleteFunc(e.startsInActions, func(x *attempt) bool { return x == a })
	e.counts.Starts--
	e.startsInFlight--
	if a.isUnkept && !a.isKept {
		a.isUnkept = false
		e.unpersisted--
	}
	a.phase = phasePlanned
	return true
}

func (e *Engine) sendStop(a *attempt) {
	a.stopSentAt = e.now
	e.emitStop(a.worker, a.id, a.run)
}

// release gives back the room of an attempt.
func (e *Engine) release(a *attempt) {
	w := a.worker
	if w.attempts.Get(a.id) != a {
		return
	}
	// An order that has not left would reach a newer start of the worker.
	e.takeBack(a)
	w.attempts.Delete(a.id)
	w.used = w.used.Sub(a.charge)
	if a.mayBeOnItsWay() {
		e.abandonedStarts.Note(w.ID, a.id, a.run, a.orderedAt, e.now)
	}
	if a.step != nil {
		a.step.job.attempts--
		a.step.job.idleAt = e.now
		if a.phase == phaseRunning {
			a.step.tasks[a.id.Index].ranAt = e.now
		}
		e.releaseCustomer(a.step)
	}
	e.needsScheduling = true
}

// attemptOver makes the task of a released attempt wait again, if none of its attempts is
// left: one that is not wanted and told to stop may still run.
func (e *Engine) attemptOver(a *attempt) {
	if a.step == nil {
		return
	}
	t := &a.step.tasks[a.id.Index]
	switch a {
	case t.copy:
		t.copy = nil
	case t.attempt:
		t.attempt, t.copy = t.copy, nil
	default:
		t.unwanted = slices.DeleteFunc(t.unwanted, func(x *attempt) bool { return x == a })
	}
	if t.state != taskPlaced || t.attempt != nil {
		return
	}
	a.step.cancelCopyRequest(t)
	if len(t.unwanted) > 0 {
		return
	}
	t.state = taskWaiting
	a.step.waiting++
	if a.step.isOpen {
		e.enqueue(a.step)
	}
}
