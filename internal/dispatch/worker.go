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
	reservations        []reservation
	reservationsReadyAt time.Time
	// foreign are attempts of which nothing is known, so that their size is not
	// known either: while there are any, the worker gets nothing new.
	unknownRuns map[work.TaskID]uint64
	// session is what this start of the worker has told.
	session session.Session
	// isGone means that the platform's list no longer has it; hasLeft that it was
	// removed because the worker has ended as planned.
	isUnlisted, hasShutDown bool
	// isLeaving means that the list lost it while it answered: it ends as planned.
	isShuttingDown bool
	// isSuperseded means that the list has another start of the worker in its place.
	isSuperseded bool
	// refusals are orders that may still come and that it is told to refuse.
	refusals stray.Refusals
	health   outlier.Health
	// tickedAt is when it was looked at last by time alone. isRestless means that it is to
	// be at the next tick: something on it is under way.
	tickedAt  time.Time
	needsTick bool
	speed     outlier.Speed
	// orderedAt is when a start was planned or ordered last, triedAt when that was of a task
	// that may crash it; until trialUntil it gets nothing else.
	lastStartAt, lastSuspectAt, isolatedUntil time.Time
	// keptFor is the step for which the worker is kept until keptUntil.
	exclusiveStep  *step
	exclusiveUntil time.Time
}

// phase is where an attempt is.
type phase string

const (
	// phasePlanned means that its place is not kept yet: nothing was ordered.
	phasePlanned phase = "planned"
	// phaseOrdered means that the order is on its way.
	phaseOrdered phase = "ordered"
	// phaseDoubtful means that the order got no answer and may be carried out.
	phaseUnacknowledged phase = "doubtful"
	phaseRunning        phase = "running"
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
	orderedAt time.Time
	isSent    bool
	// doubtAt is when the order became doubtful.
	unacknowledgedAt time.Time
	// startedAt is the worker's clock when it confirmed the start.
	startConfirmedClock order.WorkerTime
	// startedOn and stopAckedOn are when the worker's word came, by the engine's
	// time: only a listing that was asked for later can do without the attempt.
	startConfirmedAt, stopConfirmedAt time.Time
	// isStopping means that it was told to stop; stopSentAt is when, last.
	isStopping bool
	stopSentAt time.Time
	stopReason string
	// stopAckedAt is the worker's clock when it confirmed the stop; 0 before.
	stopConfirmedClock order.WorkerTime
	percent            int
	percentChangedAt   time.Time
	progress           outlier.Progress
	metric             int
	pace               int
	paceChangedAt      time.Time
	// isTold means that this start of the worker has told of it: the order has come.
	isAcknowledged bool
	// hasSaved means that it went on from where an earlier attempt was saved;
	// isAdopted that an earlier owner started it.
	isResumed, isAdopted bool
	// isReplaced means that it was judged as stuck or too slow.
	isReplaced bool
	// isKept means that its place is in the store, isUnkept that it was ordered
	// without.
	isPersisted, isWriteBehind bool
}

// SetWorkers takes the platform's list, whole. isCertain is false while the list
// may lack workers that live: then none is taken as gone.
func (e *Engine) SetWorkers(list []order.Worker, isComplete bool) {
	seen := make(map[order.WorkerID]bool, len(list))
	hasUnclear := false
	for _, entry := range list {
		if entry.IsRemoved {
			e.handleEntryRemoved(&entry, isComplete)
			continue
		}
		seen[entry.ID] = true
		if !e.over[entry.ID] {
			e.updateWorker(entry)
		}
		hasUnclear = hasUnclear || entry.IsUnclear && e.workers.Get(entry.ID) == nil
	}
	if !isComplete {
		return
	}
	if e.inherited != nil {
		e.inherited.currentlyListed, e.inherited.hasUnclear = len(seen), hasUnclear
	}
	for id := range e.over {
		if !seen[id] {
			delete(e.over, id)
		}
	}
	for id, w := range e.workers.All() {
		if !seen[id] && !w.isUnlisted {
			e.handleUnlisted(w, otherIncarnation(list, id))
		}
	}
}

// unlisted takes that the list does not have a worker, but perhaps another start of it.
func (e *Engine) handleUnlisted(w *worker, replacement *order.Worker) {
	if replacement != nil && e.over[replacement.ID] {
		// It has started again, and is about to write its entry.
		return
	}
	w.isUnlisted, w.isSuperseded = true, replacement != nil
	if replacement == nil {
		w.isShuttingDown = !w.session.HasMissed()
		e.extendUncertainty(w)
	}
	e.options.Log(events.WorkerUnlisted, "worker", w.ID, "attempts", w.attempts.Len(), "silent", e.now.Sub(w.session.HeardAt()))
	e.dropIfEmpty(w)
}

func (e *Engine) updateWorker(entry order.Worker) {
	w := e.workers.Get(entry.ID)
	if w == nil && entry.IsUnclear && !e.mayRunInherited(&entry) {
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
		e.isDirty = true
		e.options.Log(events.WorkerResized, "worker", entry.ID, "from", w.Capacity, "to", entry.Capacity, "used", w.used)
	}
	if w.isUnlisted || w.IsDraining != entry.IsDraining || w.IsUnclear != entry.IsUnclear {
		e.isDirty = true
	}
	if w.Machine != entry.Machine {
		e.index.remove(w)
		defer e.index.add(w)
	}
	w.Worker = entry
	w.isUnlisted, w.isShuttingDown, w.isSuperseded = false, false, false
}

// addWorker takes a start of a worker that was not known, and asks what it runs.
func (e *Engine) addWorker(entry *order.Worker) *worker {
	w := &worker{Worker: *entry, unknownRuns: map[work.TaskID]uint64{}, needsTick: true}
	e.workers.Set(entry.ID, w)
	e.index.add(w)
	e.strays.NextGeneration(entry.ID)
	e.refuseAbandoned(w)
	e.longPoll(w)
	return w
}

// mayRunOn reports whether a worker of which only an unclear entry is known may run
// tasks of an earlier owner, and can be asked.
func (e *Engine) mayRunInherited(entry *order.Worker) bool {
	return entry.Addr.IsValid() && e.hasUnresolved(entry.ID)
}

const (
	// heartbeatsMissed is how many heartbeats must stay away until the platform
	// removes the entry of a silent worker.
	heartbeatsUntilRemoval = 3
	// removalSlack covers when heartbeats and removals are seen: the list is read
	// every 0.4 s.
	removalSlack = time.Second
)

// entryRemoved takes the removal of an entry. One of a worker that drains and was
// heard lately was removed because the worker has left, and nothing of it runs
// any more; otherwise the worker may only be cut off.
func (e *Engine) handleEntryRemoved(entry *order.Worker, isComplete bool) {
	w := e.workers.Get(entry.ID)
	if w == nil || !w.IsDraining || !isComplete || entry.HeartbeatAt.IsZero() {
		return
	}
	sinceHeartbeat := e.now.Sub(entry.HeartbeatAt)
	if sinceHeartbeat >= heartbeatsUntilRemoval*e.options.Heartbeat-removalSlack {
		return
	}
	w.hasShutDown = true
	e.options.Log(events.WorkerLeft, "worker", w.ID, "attempts", w.attempts.Len(), "heartbeat", sinceHeartbeat)
	if w.session.HasMissed() {
		e.IncarnationEnded(w.ID)
		return
	}
	e.pollNow(w)
}

// endEarlierLives ends the other lives of a machine, and the other starts of a worker, that
// has answered. One in whose place the list has another start answers late.
func (e *Engine) endPreviousIncarnations(w *worker) {
	if w.isSuperseded {
		return
	}
	for _, other := range e.index.earlierLives(w) {
		e.endIncarnation(other.ID, w)
	}
	e.confirmCrashes(w)
}

// IncarnationEnded says that a worker's life is over: nothing of it runs any more.
func (e *Engine) IncarnationEnded(id order.WorkerID) { e.endIncarnation(id, nil) }

// lifeOver is LifeOver of a worker after which next is there; nil when that is not known.
func (e *Engine) endIncarnation(id order.WorkerID, successor *worker) {
	if successor == nil || !id.IsOtherStart(successor.ID) {
		// Orders of an earlier owner may run on a newer start: it has to tell first.
		e.resolveInherited(id, resolvedByIncarnationEnd)
	}
	e.over[id] = true
	w := e.workers.Get(id)
	if w == nil {
		return
	}
	e.options.Log(events.WorkerLifeOver, "worker", id, "attempts", w.attempts.Len())
	tasks := e.recordCrashes(w, true)
	if successor != nil && id.IsOtherStart(successor.ID) {
		e.transferInFlight(w, successor)
	}
	e.endAllAttempts(w, endedWithIncarnation)
	e.failCrashingJobs(id, tasks)
	w.isUnlisted = true
	e.dropIfEmpty(w)
}

func (e *Engine) dropIfEmpty(w *worker) {
	if !w.isUnlisted || w.attempts.Len() > 0 || len(w.unknownRuns) > 0 {
		return
	}
	if _, ok := e.unsettled.Find(w.ID); ok {
		return
	}
	e.workers.Delete(w.ID)
	e.index.remove(w)
}

// calmTick is the time between two looks at a worker on which nothing is under way: all
// its attempts run, and a listing is on its way.
const steadyTickInterval = 100 * time.Millisecond

// isTickDue reports whether it is time to look at the worker.
func (e *Engine) isTickDue(w *worker) bool {
	return w.needsTick || e.now.Sub(w.tickedAt) >= steadyTickInterval
}

func (e *Engine) tickWorker(w *worker) {
	w.tickedAt = e.now
	polls := &w.session.Polls
	w.needsTick = w.refusals.HasAny() || !w.session.IsListed() || !polls.IsWaiting() || polls.WantsLook() || w.isUnlisted || w.IsDraining
	if polls.MayWait(e.now) {
		e.longPoll(w)
	}
	isOverdue := !w.session.IsListed() && polls.WaitsFor(e.now) > firstListingTimeout
	if polls.WantsLook() || isOverdue {
		e.pollNow(w)
	}
	e.sendRefusals(w)
	e.dropIfEmpty(w)
	if w.attempts.Len() == 0 {
		return
	}
	if w.session.IsOver(e.now) {
		e.options.Log(events.WorkerLost, "worker", w.ID, "attempts", w.attempts.Len(), "silent", e.now.Sub(w.session.HeardAt()))
		tasks := e.recordCrashes(w, false)
		e.endAllAttempts(w, endedByLeaseExpiry)
		e.failCrashingJobs(w.ID, tasks)
		return
	}
	for _, a := range w.attempts.All() {
		e.tickAttempt(a)
		w.needsTick = w.needsTick || a.phase != phaseRunning || a.isStopping
	}
	if w.IsDraining && !w.isUnlisted {
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
	if a.phase == phaseOrdered && e.now.Sub(a.orderedAt) > e.answers.Patience() && !e.now.Before(e.stalledUntil) {
		e.markUnacknowledged(a)
	}
	if a.phase == phaseUnacknowledged && !a.isStopping && e.now.Sub(a.unacknowledgedAt) > doubtPatience {
		e.stop(a, "order was not answered")
		return
	}
	e.copyIfSilent(a)
	if a.isStopping && a.stopConfirmedClock == 0 && e.now.Sub(a.stopSentAt) > stopRetry {
		e.sendStop(a)
	}
	if a.isStopping && a.stopConfirmedClock > 0 && a.phase == phaseUnacknowledged {
		e.pollNow(a.worker)
	}
	e.checkProbation(a)
	e.clearRefutedCrashes(a)
	e.checkProgress(a)
}

// doubt takes an order as one that may have been carried out or may be later.
// Where the worker says that it runs, it is left alone; otherwise it is stopped,
// which also keeps it from being carried out.
func (e *Engine) markUnacknowledged(a *attempt) {
	a.phase = phaseUnacknowledged
	a.unacknowledgedAt = e.now
	e.window.Answered(e.now.Sub(a.orderedAt), e.now)
	e.counts.Doubtful++
	e.options.Log(events.OrderDoubtful, "task", a.id, "run", a.run, "worker", a.worker.ID, "age", e.now.Sub(a.orderedAt))
	e.wantCopy(a)
	e.pollNow(a.worker)
}

// Why all attempts on a worker are over.
const (
	endedWithIncarnation = "life over"
	endedByLeaseExpiry   = "leases lapsed"
)

// lapseAll takes all attempts of a worker as over.
func (e *Engine) endAllAttempts(w *worker, reason string) {
	e.logEndedAttempts(w, reason)
	for _, a := range w.attempts.All() {
		e.counts.Lapsed++
		e.release(a)
		e.detachAttempt(a)
	}
	clear(w.unknownRuns)
	w.session.SetListed(false)
	e.isDirty = true
}

// maxCutLogged bounds the lines on attempts that end with one worker: that is about as
// many as it has, and a whole rack that goes writes some hundred lines.
const maxEndedLogged = 20

// logCut tells which attempts end with their worker, and how long they are known to have
// been on it.
func (e *Engine) logEndedAttempts(w *worker, reason string) {
	n := 0
	for _, a := range w.attempts.All() {
		if n++; n > maxEndedLogged {
			return
		}
		e.options.Log(events.AttemptCut, "task", a.id, "run", a.run, "worker", w.ID, "why", reason, "phase", a.phase, "ran", max(w.session.HeardAt().Sub(a.orderedAt), 0))
	}
}

// stop orders an attempt to stop, once.
func (e *Engine) stop(a *attempt, reason string) {
	if a.isStopping {
		return
	}
	if a.phase == phasePlanned || e.withdrawStart(a) {
		e.dropPlanned(a, reason)
		return
	}
	a.isStopping = true
	a.worker.needsTick = true
	a.stopReason = reason
	e.counts.Stopped++
	e.sendStop(a)
}

// takeBack takes back an order to start that has not left the engine, and reports whether
// there was one: what ends between the order and its handing out would be started again,
// as the last task of a job that is told to have succeeded.
func (e *Engine) withdrawStart(a *attempt) bool {
	if a.phase != phaseOrdered || a.isSent {
		return false
	}
	isOrder := func(x order.Action) bool {
		s, ok := x.(order.Start)
		return ok && s.Task == a.id && s.Run == a.run && s.Worker == a.worker.ID
	}
	e.actions = slices.DeleteFunc(e.actions, isOrder)
	e.fresh = slices.DeleteFunc(e.fresh, func(x *attempt) bool { return x == a })
	e.counts.Starts--
	e.unanswered--
	if a.isWriteBehind && !a.isPersisted {
		a.isWriteBehind = false
		e.unkept--
	}
	a.phase = phasePlanned
	return true
}

func (e *Engine) sendStop(a *attempt) {
	a.stopSentAt = e.now
	e.doStop(a.worker, a.id, a.run)
}

// release gives back the room of an attempt.
func (e *Engine) release(a *attempt) {
	w := a.worker
	if w.attempts.Get(a.id) != a {
		return
	}
	// An order that has not left would reach a newer start of the worker.
	e.withdrawStart(a)
	w.attempts.Delete(a.id)
	w.used = w.used.Sub(a.charge)
	if a.mayBeInFlight() {
		e.strays.Note(w.ID, a.id, a.run, a.orderedAt, e.now)
	}
	if a.step != nil {
		a.step.job.attempts--
		a.step.job.idleSince = e.now
		if a.phase == phaseRunning {
			a.step.tasks[a.id.Index].lastRanAt = e.now
		}
		e.releaseCustomer(a.step)
	}
	e.isDirty = true
}

// attemptOver makes the task of a released attempt wait again, if none of its attempts is
// left: one that is not wanted and told to stop may still run.
func (e *Engine) detachAttempt(a *attempt) {
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
	a.step.dropCopyWish(t)
	if len(t.unwanted) > 0 {
		return
	}
	t.state = taskWaiting
	a.step.waiting++
	if a.step.isOpen {
		e.enqueue(a.step)
	}
}
