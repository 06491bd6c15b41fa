// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/abandoned"
	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/outlier"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/work"
)

// worker is one incarnation of a worker, with the attempts that are charged to it.
type worker struct {
	order.Worker
	attempts ordered.Map[work.TaskID, *attempt]
	// used is the sum of the charges of its attempts, listedUse of those that its newest listing has running.
	used, listedUse leverdyke.Resources
	// reservations are the resources kept free for waiting steps.
	reservations []reservation
	// unknownRuns has the runs, by task, that the worker reports of tasks unknown to this engine.
	// What they need is not known either, so the worker gets nothing new while there are any.
	unknownRuns ordered.Map[work.TaskID, *unknownRun]
	// session has the lease, the listings, the reported ends and the polls of this incarnation.
	session session.Session
	// isUnlisted means that the platform's list no longer has the worker, or that this incarnation
	// has ended. hasShutDown means that its entry was removed, at entryRemovedAt, because it shut
	// down as planned; a poll that was sent later and is answered refutes that. pollsFailedSince
	// counts those that were not.
	isUnlisted, hasShutDown bool
	// addedAt is when the worker became known, answeredNamedAt when it last answered while a record of
	// this owner said that it does not.
	addedAt, answeredNamedAt time.Time
	// deferredAnswers counts the last long polls in a row that were answered so.
	deferredAnswers  int
	entryRemovedAt   time.Time
	pollsFailedSince int
	// isShuttingDown means that its entry disappeared while it still answered polls: it shuts down
	// as planned.
	isShuttingDown bool
	// isZoneDrained means that the worker's availability zone is one of the engine's drainedZones.
	isZoneDrained bool
	// isSuperseded means that the list has another incarnation of the worker in its place.
	isSuperseded bool
	// refusals are abandoned orders to start that may still arrive and that the worker is asked to
	// refuse.
	refusals abandoned.Refusals
	// fencedFrom is the generation with which the worker refuses all ends of leases by the clocks of earlier
	// incarnations; 0 if it has answered a poll with that generation, or if none were in flight.
	fencedFrom uint64
	health     outlier.Health
	// tickedAt is when tickWorker last ran for the worker. needsTick makes it run at the next
	// tick, because something on the worker is in progress.
	tickedAt  time.Time
	needsTick bool
	speed     outlier.Speed
	// lastStartAt is when a start on the worker was last planned or ordered, lastSuspectAt when
	// that was of a task suspected of crashing its workers. Until isolatedUntil the worker gets
	// nothing else, so that a crash can be attributed to the suspect.
	lastStartAt, lastSuspectAt, isolatedUntil time.Time
	// exclusiveStep is the only step whose tasks the worker may get until exclusiveUntil.
	exclusiveStep  *step
	exclusiveUntil time.Time
}

// phase is the stage of an attempt, from planned to running.
type phase string

const (
	// phasePlanned means that the start has not been ordered: the placement is still to be
	// persisted, or too many orders are without an answer.
	phasePlanned phase = "planned"
	// phaseOrdered means that the start was ordered and its answer is awaited.
	phaseOrdered phase = "ordered"
	// phaseUnacknowledged means that the order was not answered; it may have been carried out, or
	// may be later.
	phaseUnacknowledged phase = "doubtful"
	phaseRunning        phase = "running"
	// phaseRefused means that the worker refused the order, and that no listing requested later has
	// shown yet that the attempt does not run.
	phaseRefused phase = "refused"
)

// attempt is a start of a task, from its planning until it is known to have ended.
type attempt struct {
	id     work.TaskID
	step   *step
	run    uint64
	worker *worker
	charge leverdyke.Resources
	phase  phase
	// orderedAt is when the start was planned and, from then on, when it was ordered. isSent means
	// that Actions has returned the order, so that it can no longer be withdrawn.
	orderedAt time.Time
	isSent    bool
	// unacknowledgedAt is when the order became unacknowledged. isMissing means that a listing that was
	// requested later did not have the attempt.
	unacknowledgedAt time.Time
	isMissing        bool
	// refusal is how the worker refused the order, at refusedAt.
	refusal   order.StartOutcome
	refusedAt time.Time
	// startConfirmedClock is the worker's clock when it confirmed the start; 0 before.
	startConfirmedClock order.WorkerTime
	// startConfirmedAt and stopConfirmedAt are when these confirmations arrived, by the engine's
	// time. A listing without the attempt proves that it has ended only if the listing was
	// requested later than that.
	startConfirmedAt, stopConfirmedAt time.Time
	// wasAtWork means that the attempt, of a long-running task, has been at work for longRunningProbation.
	wasAtWork bool
	// isStopping means that the attempt was ordered to stop; stopSentAt is when that order was
	// last sent.
	isStopping bool
	stopSentAt time.Time
	stopReason string
	// stopConfirmedClock is the worker's clock when it confirmed the stop; 0 before.
	stopConfirmedClock order.WorkerTime
	// percent is the reported progress. A long-running task is at work at 100.
	percent          int
	percentChangedAt time.Time
	progress         outlier.Progress
	// metric is the tail latency in ms that is reported for a task that serves users; for other
	// tasks it is their processor use in thousandths.
	metric int
	// pace is the share of its full speed, in percent, that a best-effort task was ordered to work
	// at.
	pace          int
	paceChangedAt time.Time
	// isPaceUnknown means that the worker may run the attempt at another pace: the last order, sent at
	// paceSentAt, is not answered, or a previous owner has ordered a pace.
	isPaceUnknown bool
	paceSentAt    time.Time
	// isAcknowledged means that the order to start is known to have arrived at this incarnation of
	// the worker, which has reported or refused the attempt.
	isAcknowledged bool
	// isResumed means that the attempt started from a checkpoint of an earlier one; isAdopted that
	// a previous owner started it.
	isResumed, isAdopted bool
	// isReplaced means that the attempt was judged as stuck or too slow, and that a replacement
	// was requested. isStalled means that it was judged as stuck.
	isReplaced, isStalled bool
	slowness              discard.Slowness
	// isPersisted means that the placement is in the store. isWriteBehind means that the start was
	// ordered before that, and that the placement is still to be persisted.
	isPersisted, isWriteBehind bool
}

// SetWorkers applies the platform's list of workers; each call passes the whole list. isComplete
// is false while the list may lack workers that still run: then a worker that is not in it is not
// taken as removed.
func (e *Engine) SetWorkers(list []order.Worker, isComplete bool) {
	seen := make(map[order.WorkerID]bool, len(list))
	hasUnclear := false
	for _, entry := range list {
		if entry.IsRemoved {
			e.handleEntryRemoved(&entry, isComplete)
			continue
		}
		if entry.IsUncertain && entry.Service == "" {
			entry = e.identify(&entry)
		}
		seen[entry.ID] = true
		if !e.endedIncarnations[entry.ID] {
			e.updateWorker(entry)
		}
		hasUnclear = hasUnclear || entry.IsUncertain && e.workers.Get(entry.ID) == nil
	}
	if !isComplete {
		return
	}
	if e.silent.firstListedAt.IsZero() {
		e.silent.firstListedAt = e.now
	}
	if e.inherited != nil {
		e.inherited.currentlyListed, e.inherited.hasUnclear = len(seen), hasUnclear
	}
	for id := range e.endedIncarnations {
		if !seen[id] {
			delete(e.endedIncarnations, id)
		}
	}
	for id, w := range e.workers.All() {
		if !seen[id] && !w.isUnlisted {
			e.handleUnlisted(w, otherIncarnation(list, id))
		}
	}
}

// handleUnlisted handles a worker that is no longer in the list. replacement is the list's entry
// of another incarnation of it, nil if there is none.
func (e *Engine) handleUnlisted(w *worker, replacement *order.Worker) {
	if replacement != nil && e.endedIncarnations[replacement.ID] {
		// The list still has the entry of an incarnation that has ended: w is a newer one, which
		// has not written its own entry yet.
		return
	}
	w.isUnlisted, w.isSuperseded = true, replacement != nil
	if replacement == nil {
		w.isShuttingDown = !w.session.HasMissed()
		e.extendUncertainty(w)
	}
	e.options.Log(events.WorkerUnlisted, "worker", w.ID, "attempts", w.attempts.Len(), "silent", e.now.Sub(w.session.LastHeardAt()))
	e.dropIfEmpty(w)
}

// updateWorker applies the list's entry of a worker.
func (e *Engine) updateWorker(entry order.Worker) {
	w := e.workers.Get(entry.ID)
	if w == nil && entry.IsUncertain && !e.mayRunInherited(&entry) {
		return
	}
	if w == nil {
		e.addWorker(&entry)
		return
	}
	if entry.IsDraining && !w.IsDraining {
		e.logLeaving(w)
	}
	if w.Capacity != entry.Capacity && !entry.IsUncertain {
		e.needsScheduling = true
		e.options.Log(events.WorkerResized, "worker", entry.ID, "from", w.Capacity, "to", entry.Capacity, "used", w.used)
	}
	if w.isUnlisted || w.IsDraining != entry.IsDraining || w.IsUncertain != entry.IsUncertain {
		e.needsScheduling = true
	}
	if w.Machine != entry.Machine {
		e.index.remove(w)
		defer e.index.add(w)
	}
	w.Worker = entry
	e.updateZoneDrain(w)
	e.storeWorkerInUse(w)
	w.isUnlisted, w.isShuttingDown, w.isSuperseded, w.hasShutDown = false, false, false, false
}

// addWorker adds an incarnation of a worker that was not known, and polls it for what it runs.
func (e *Engine) addWorker(entry *order.Worker) *worker {
	w := &worker{Worker: *entry, needsTick: true, addedAt: e.now}
	if until := e.foreignUntil(entry.ID.Name()); until.After(e.now) {
		w.session.RecordForeignLeases(until)
	}
	e.updateZoneDrain(w)
	e.workers.Set(entry.ID, w)
	e.index.add(w)
	e.storeWorker(w)
	e.abandonedStarts.NextGeneration(entry.ID)
	e.refuseAbandoned(w)
	e.longPoll(w)
	if w.IsDraining {
		e.logLeaving(w)
	}
	return w
}

func (e *Engine) logLeaving(w *worker) {
	e.options.Log(events.WorkerLeaving, "worker", w.ID, "attempts", w.attempts.Len())
}

// mayRunInherited reports whether a worker for which only an uncertain entry is known can be polled,
// and may run tasks that a previous owner started.
func (e *Engine) mayRunInherited(entry *order.Worker) bool {
	if !entry.Addr.IsValid() {
		return false
	}
	return e.hasUnresolved(entry.ID) || e.inherited != nil && e.inherited.unreported.has(entry.ID)
}

const (
	// heartbeatsUntilRemoval is how many heartbeats in a row must be missing before the platform
	// removes the entry of a silent worker.
	heartbeatsUntilRemoval = 3
	// removalSlack allows for the delay with which heartbeats and removals are seen: the list is
	// read every 0.4 s.
	removalSlack = time.Second
)

// handleEntryRemoved handles the removal of an entry. If the worker is draining and its last
// heartbeat is recent, the entry was removed because the worker has shut down, and nothing runs on
// it any more unless it answers the next poll. Otherwise the worker may still run and only be
// unreachable.
func (e *Engine) handleEntryRemoved(entry *order.Worker, isComplete bool) {
	w := e.workers.Get(entry.ID)
	if w == nil || !w.IsDraining || !isComplete || entry.HeartbeatAfter.IsZero() {
		return
	}
	sinceHeartbeat := e.now.Sub(entry.HeartbeatAfter)
	if sinceHeartbeat >= heartbeatsUntilRemoval*e.options.HeartbeatInterval-removalSlack {
		return
	}
	w.hasShutDown, w.entryRemovedAt, w.pollsFailedSince = true, e.now, 0
	e.options.Log(events.WorkerLeft, "worker", w.ID, "attempts", w.attempts.Len(), "heartbeat", sinceHeartbeat)
	e.pollNow(w)
}

// endPreviousIncarnations ends the other workers on the machine of a worker that has answered, and
// the other incarnations of that worker: at most one of all these is running. If the list has
// another incarnation in its place, the answer is a late one and ends none of them.
func (e *Engine) endPreviousIncarnations(w *worker) {
	if w.isSuperseded {
		return
	}
	for _, other := range e.index.replacedBy(w) {
		e.endIncarnation(other.ID, w)
	}
	e.confirmCrashes(w)
}

// IncarnationEnded records that an incarnation of a worker has ended: nothing runs on it any more.
func (e *Engine) IncarnationEnded(id order.WorkerID) { e.endIncarnation(id, nil) }

// endIncarnation is IncarnationEnded with the worker that followed on the same machine or under
// the same name; successor is nil if none is known.
func (e *Engine) endIncarnation(id order.WorkerID, successor *worker) {
	if successor == nil || !id.IsOtherIncarnation(successor.ID) {
		// If the successor is another incarnation of the same worker, orders of a previous owner
		// may have reached that one: its listing has to show it first.
		e.resolveInherited(id, resolvedByIncarnationEnd)
		e.recordLeaseEnd(id)
	}
	if e.inherited != nil {
		e.inherited.unreported.ended(id)
	}
	e.endedIncarnations[id] = true
	w := e.workers.Get(id)
	if w == nil {
		return
	}
	e.options.Log(events.IncarnationEnded, "worker", id, "attempts", w.attempts.Len())
	tasks := e.recordCrashes(w, true)
	if successor != nil && id.IsOtherIncarnation(successor.ID) {
		e.transferInFlight(w, successor)
	}
	e.endAllAttempts(w, endedWithIncarnation)
	e.failCrashingJobs(id, tasks)
	w.isUnlisted, w.hasShutDown = true, false
	e.dropIfEmpty(w)
}

// dropIfEmpty removes a worker that is no longer listed, once nothing may run on it.
func (e *Engine) dropIfEmpty(w *worker) {
	if !w.isUnlisted || w.attempts.Len() > 0 || w.unknownRuns.Len() > 0 {
		return
	}
	if e.inherited != nil && (w.hasShutDown && !w.session.IsListed() || e.inherited.unreported.has(w.ID)) {
		return
	}
	if e.uncertainTasks.has(w.ID) {
		return
	}
	e.workers.Delete(w.ID)
	e.throughput.Forget(w.ID)
	e.index.remove(w)
}

// steadyTickInterval is the time between two ticks of a worker on which nothing is in progress:
// all its attempts run, and a long poll is outstanding.
const steadyTickInterval = 100 * time.Millisecond

// isTickDue reports whether tickWorker is to run for the worker now.
func (e *Engine) isTickDue(w *worker) bool {
	return w.needsTick || e.now.Sub(w.tickedAt) >= steadyTickInterval
}

// tickWorker does what is due on a worker by time alone: polls, refusals, the expiry of its leases
// and the timeouts of its attempts.
func (e *Engine) tickWorker(w *worker) {
	w.tickedAt = e.now
	polls := &w.session.Polls
	w.needsTick = w.refusals.HasPending() || !w.session.IsListed() || !polls.IsLongPolling() || polls.WantsImmediatePoll() || w.isUnlisted || w.IsDraining || w.isZoneDrained
	if polls.MayLongPoll(e.now) {
		e.longPoll(w)
	}
	isOverdue := !w.session.IsListed() && polls.LongPollAge(e.now) > firstListingTimeout
	if polls.WantsImmediatePoll() || isOverdue {
		e.pollNow(w)
	}
	e.sendRefusals(w)
	e.repeatUnknownStops(w)
	e.dropIfEmpty(w)
	if w.attempts.Len() == 0 && w.unknownRuns.Len() == 0 {
		return
	}
	if w.session.HasExpired(e.now) {
		e.options.Log(events.WorkerLost, "worker", w.ID, "attempts", w.attempts.Len(), "silent", e.now.Sub(w.session.LastHeardAt()))
		tasks := e.recordCrashes(w, false)
		e.recordLeaseEnd(w.ID)
		e.endAllAttempts(w, endedByLeaseExpiry)
		e.failCrashingJobs(w.ID, tasks)
		return
	}
	for _, a := range w.attempts.All() {
		e.tickAttempt(a)
		w.needsTick = w.needsTick || a.phase != phaseRunning || a.isStopping
	}
	if (w.IsDraining || w.isZoneDrained) && !w.isUnlisted {
		e.evacuate(w)
	}
}

// tickAttempt does what is due on an attempt by time alone.
func (e *Engine) tickAttempt(a *attempt) {
	if a.phase == phasePlanned {
		if !e.isReachable(a.worker) {
			e.stop(a, "worker is not reached")
		}
		return
	}
	if a.phase == phaseOrdered && e.now.Sub(a.orderedAt) > e.answerTimes.Timeout() && !e.now.Before(e.stalledUntil) {
		e.markUnacknowledged(a)
	}
	if a.isMissing {
		e.stopIfOverdue(a)
	}
	if a.phase == phaseUnacknowledged && !a.isStopping && e.now.Sub(a.unacknowledgedAt) > unacknowledgedTimeout {
		e.stop(a, "order was not answered")
		return
	}
	e.requestCopyIfSilent(a)
	if a.isStopping && a.stopConfirmedClock == 0 && e.now.Sub(a.stopSentAt) > stopRetryInterval {
		e.sendStop(a)
	}
	if a.phase == phaseRefused || a.isStopping && a.stopConfirmedClock > 0 && a.phase == phaseUnacknowledged {
		e.pollNow(a.worker)
	}
	e.observeAtWork(a)
	e.clearRefutedCrashes(a)
	e.checkProgress(a)
}

// markUnacknowledged marks an order to start as unacknowledged: it may have been carried out, or
// may be later. If the worker reports that the attempt runs, it is left alone; otherwise it is
// stopped, which also makes the worker refuse the order if it arrives later.
func (e *Engine) markUnacknowledged(a *attempt) {
	a.phase = phaseUnacknowledged
	a.unacknowledgedAt = e.now
	e.startWindow.Observe(e.now.Sub(a.orderedAt), e.now)
	e.counts.Unacknowledged++
	e.options.Log(events.StartUnacknowledged, "task", a.id, "run", a.run, "worker", a.worker.ID, "age", e.now.Sub(a.orderedAt))
	e.requestCopy(a)
	e.pollNow(a.worker)
}

// Reasons why all attempts on a worker have ended; they are logged.
const (
	endedWithIncarnation = "life over"
	endedByLeaseExpiry   = "leases lapsed"
)

// endAllAttempts treats all attempts on a worker as ended.
func (e *Engine) endAllAttempts(w *worker, reason string) {
	e.logEndedAttempts(w, reason)
	for _, a := range w.attempts.All() {
		e.counts.Expired++
		e.recordLoss(a, order.EndLeaseExpired)
		e.giveUp(a, reason)
		e.detachAttempt(a)
		if a.step != nil && !a.step.job.state.IsFinal() {
			// The next owner must not wait for this worker because of the stored placement.
			e.markDirty(a.step.job)
		}
		e.stopRestOfGang(a, "a member is lost")
	}
	w.unknownRuns.Clear()
	w.session.SetListed(false)
	e.needsScheduling = true
}

// maxEndedLogged bounds the log lines about attempts that end with one worker. A worker has about
// as many, so that the loss of a whole rack writes some hundred lines.
const maxEndedLogged = 20

// logEndedAttempts logs which attempts end with their worker, and how long each is known to have
// been on it.
func (e *Engine) logEndedAttempts(w *worker, reason string) {
	n := 0
	for _, a := range w.attempts.All() {
		if n++; n > maxEndedLogged {
			return
		}
		e.options.Log(events.AttemptEndedWithWorker, "task", a.id, "run", a.run, "worker", w.ID, "why", reason, "phase", a.phase, "ran", max(w.session.LastHeardAt().Sub(a.orderedAt), 0))
	}
}

// stop orders an attempt to stop, unless that was done before.
func (e *Engine) stop(a *attempt, reason string) {
	if a.isStopping {
		return
	}
	if a.phase == phasePlanned || e.withdrawStart(a) {
		e.abandonPlanned(a, reason)
		return
	}
	a.isStopping = true
	a.worker.needsTick = true
	a.stopReason = reason
	e.counts.Stopped++
	e.sendStop(a)
	e.stopRestOfGang(a, reason)
}

// withdrawStart withdraws an order to start that Actions has not returned yet, and reports whether
// there was one. A task that ends between its order and the call of Actions would otherwise be
// started again, for example the last task of a job that was reported to its caller as succeeded.
func (e *Engine) withdrawStart(a *attempt) bool {
	if a.phase != phaseOrdered || a.isSent {
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
	if a.isWriteBehind && !a.isPersisted {
		a.isWriteBehind = false
		e.unpersisted--
	}
	a.phase = phasePlanned
	return true
}

func (e *Engine) sendStop(a *attempt) {
	a.stopSentAt = e.now
	e.emitStop(a.worker, a.id, a.run)
}

// release returns the resources of an attempt to its worker.
func (e *Engine) release(a *attempt) {
	w := a.worker
	if w.attempts.Get(a.id) != a {
		return
	}
	// An order that Actions has not returned yet would be sent to a newer incarnation of the
	// worker.
	e.withdrawStart(a)
	w.attempts.Delete(a.id)
	w.used = w.used.Sub(a.charge)
	if a.mayBeInFlight() {
		e.abandonedStarts.Add(w.ID, a.id, a.run, a.orderedAt, e.now)
	}
	if a.step != nil {
		a.step.job.attempts--
		a.step.job.idleSince = e.now
		if a.phase == phaseRunning {
			a.step.tasks[a.id.Index].lastRanAt, a.step.job.ranAt = e.now, e.now
		}
		e.releaseCustomer(a.step)
	}
	e.needsScheduling = true
}

// detachAttempt removes a released attempt from its task, which waits again if it has no attempt
// left. Unwanted attempts count for this: they were ordered to stop, but may still run.
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
