// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// StartAnswered handles the answer to an order to start, once for each order. clock is the
// worker's clock in the answer, 0 if the answer has none.
func (e *Engine) StartAnswered(id order.WorkerID, task work.TaskID, run uint64, outcome order.StartOutcome, clock order.WorkerTime) {
	e.startsInFlight--
	defer e.sendReadyStarts()
	if outcome == order.StartIncarnationEnded {
		e.IncarnationEnded(id)
		return
	}
	w := e.workers.Get(id)
	if w == nil {
		return
	}
	a := w.attempts.Get(task)
	isFromThisIncarnation := a != nil && w.session.IsPlausibleClock(clock, a.orderedAt)
	isFromThisIncarnation = w.session.ObserveAnswerClock(clock, e.now) && isFromThisIncarnation
	if a == nil || a.run != run {
		return
	}
	if a.phase == phasePlanned {
		return
	}
	if a.phase == phaseOrdered && outcome != order.StartUnknown {
		e.answerTimes.Observe(e.now.Sub(a.orderedAt))
		e.startWindow.Observe(e.now.Sub(a.orderedAt), e.now)
	}
	switch outcome {
	case order.StartSucceeded:
		a.startConfirmedClock, a.startConfirmedAt = clock, e.now
		a.isAcknowledged = a.isAcknowledged || isFromThisIncarnation
		if clock > 0 && !a.isResumed {
			a.progress.Observe(clock, 0, 0)
		}
		if a.phase != phaseRunning {
			a.phase = phaseRunning
			a.percentChangedAt = e.now
		}
	case order.StartUnknown:
		if a.phase == phaseOrdered {
			e.markUnacknowledged(a)
		}
	case order.StartRefused, order.StartNoCapacity, order.StartNoPermit, order.StartUnhealthy, order.StartFenced, order.StartIncarnationEnded:
		e.handleRefusedStart(w, a, outcome)
	}
}

// handleRefusedStart handles a refusal to start an attempt. A worker also refuses a run that has ended
// there, after an earlier delivery of the order or by the order of another owner. So the attempt is
// released only by a listing that was requested later, except where the worker took no order at all.
func (e *Engine) handleRefusedStart(w *worker, a *attempt, outcome order.StartOutcome) {
	if a.phase == phaseRunning {
		return
	}
	e.options.Log(events.StartRefused, "task", a.id, "run", a.run, "worker", w.ID, "why", outcome)
	switch outcome {
	case order.StartNoPermit:
		a.step.permissions.DropPermit(w.ID)
	case order.StartUnhealthy:
		w.health.RecordRefusal(e.now)
	case order.StartNoCapacity, order.StartRefused:
		w.health.RecordRefusal(e.now)
	case order.StartSucceeded, order.StartFenced, order.StartUnknown, order.StartIncarnationEnded:
	}
	a.isAcknowledged = true
	if outcome != order.StartUnhealthy {
		a.phase, a.refusal, a.refusedAt = phaseRefused, outcome, e.now
		w.needsTick = true
		e.stopRestOfGang(a, "a member was refused")
		e.pollNow(w)
		return
	}
	e.giveUp(a, givenUpRefused+string(outcome))
	e.detachAttempt(a)
	e.stopRestOfGang(a, "a member was refused")
}

// StopAnswered handles the answer to an order to stop. isAnswered is false if none arrived.
func (e *Engine) StopAnswered(id order.WorkerID, task work.TaskID, run uint64, isAnswered bool, clock order.WorkerTime) {
	w := e.workers.Get(id)
	if w == nil || !isAnswered {
		return
	}
	w.session.ObserveAnswerClock(clock, e.now)
	w.refusals.MarkRefused(task, run)
	e.unknownStopAnswered(w, task, run)
	a := w.attempts.Get(task)
	if a == nil || a.run != run {
		return
	}
	a.stopConfirmedClock, a.stopConfirmedAt = clock, e.now
	e.pollNow(w)
}

// PollAnswered handles the answer to a poll: the worker's listing of all that it runs. If another
// incarnation of the worker answered than was polled, the polled one has ended.
func (e *Engine) PollAnswered(poll *order.Poll, listing *order.Listing) {
	if listing.OtherIncarnation != "" {
		e.handleRestart(poll.Worker, listing.OtherIncarnation)
		return
	}
	w := e.workers.Get(poll.Worker)
	if w == nil || e.deferAnswer(w, poll) {
		return
	}
	if w.session.HasMissed() && !w.session.IsSilent() {
		e.lossyUntil = e.now.Add(lossyPeriod)
	}
	if w.session.HasMissed() {
		e.silences.Remove(w.ID)
	}
	isRefuted := w.hasShutDown && !poll.AskedAt.Before(w.entryRemovedAt)
	if isRefuted {
		w.hasShutDown = false
	}
	w.session.RecordAnswer(listing.At, e.now)
	w.session.MarkEndsForgotten(poll.Confirmed)
	e.handleListing(w, listing, poll.AskedAt)
	e.observeGeneration(w, poll.Generation)
	if isRefuted {
		e.extendUncertainty(w)
	}
	e.finishPoll(w, poll.IsImmediate)
	e.dropIfEmpty(w)
}

func (e *Engine) handleListing(w *worker, listing *order.Listing, askedAt time.Time) {
	if !w.session.IsListed() {
		e.prepareFirstListing(w)
	}
	isNewest, hasAllEnds := w.session.AcceptListing(listing.At, e.now), listing.HasAllEnds()
	w.session.BeginListing(listing.FirstEnd(), isNewest && hasAllEnds)
	for i := range listing.Finished {
		e.handleEnd(w, &listing.Finished[i])
	}
	if !isNewest {
		return
	}
	running := make(map[work.TaskID]bool, len(listing.Running))
	w.listedUse = leverdyke.Resources{}
	for i := range listing.Running {
		task := listing.Running[i].Task
		running[task] = true
		e.handleRunning(w, &listing.Running[i])
		if a := w.attempts.Get(task); a != nil {
			w.listedUse = w.listedUse.Add(a.charge)
		}
	}
	w.dropEndedUnknown(running)
	if hasAllEnds {
		e.reconcileMissing(w, listing, running, askedAt)
		if !w.session.IsListed() {
			w.session.SetListed(true)
			e.needsScheduling = true
			if e.inherited != nil {
				e.inherited.unreported.reported(w.ID)
			}
		}
		e.resolveIncarnations(w)
	}
	e.detectSlowWorker(w)
	e.setPaces(w)
}

// prepareFirstListing prepares the first listing of a worker, or the first one after all its
// attempts were treated as ended. Orders that may be in flight to a previous incarnation are
// transferred to this one first, so that the listing shows whether it runs them.
func (e *Engine) prepareFirstListing(w *worker) {
	e.retractCrash(w.ID)
	e.endPreviousIncarnations(w)
	e.waitForOtherLeases(w)
}

// handleRunning records an attempt that the worker reports as running.
func (e *Engine) handleRunning(w *worker, running *order.Running) {
	a := w.attempts.Get(running.Task)
	if a == nil || a.run != running.Run {
		a = e.adopt(w, running)
		if a == nil {
			return
		}
	}
	a.isAcknowledged = true
	if a.phase != phaseRunning {
		a.phase = phaseRunning
		a.percentChangedAt = e.now
		// The order was not answered: this listing is the first to show that it has arrived.
		a.startConfirmedClock, a.startConfirmedAt = w.session.ListedClock(), e.now
	}
	if running.Percent != a.percent {
		a.percent, a.percentChangedAt = running.Percent, e.now
	}
	a.metric = running.LoadMetric
	a.progress.Observe(w.session.ListedClock(), running.Percent, max(e.expectedDuration(a.step), a.step.siblings.Elsewhere(w.ID)))
	if a.step != nil {
		a.step.job.hasBegun = true
		if running.Checkpoint != "" {
			a.step.tasks[a.id.Index].checkpoint = running.Checkpoint
		}
	}
}

// adopt records an attempt that a previous owner started, or stops it if the task does not need
// it.
func (e *Engine) adopt(w *worker, running *order.Running) *attempt {
	s, t := e.findReportedTask(running.Task)
	if s == nil {
		e.stopUnknown(w, running)
		return nil
	}
	if previous := w.attempts.Get(running.Task); previous != nil {
		// A worker runs at most one attempt of a task, so the previous one is not there any more.
		e.giveUp(previous, givenUpOtherRun)
		e.detachAttempt(previous)
	}
	a := &attempt{
		id: running.Task, step: s, run: running.Run, worker: w, charge: s.spec.Charge(), phase: phaseRunning,
		orderedAt: e.now, startConfirmedClock: w.session.Clock(), startConfirmedAt: e.now, percentChangedAt: e.now, pace: fullPace, isPaceUnknown: true, isAdopted: true,
	}
	w.session.RecordOtherLeases(e.inheritedLeasesUntil)
	e.charge(a)
	if slices.Contains(t.mayRunOn, w.ID) {
		a.isPersisted = true
	} else {
		e.addPlacement(a)
	}
	t.run = max(t.run, running.Run)
	if s.spec.AllowsSpeculation && t.state == taskPlaced && t.copy == nil && !s.job.state.IsFinal() {
		s.cancelCopyRequest(t)
		t.copy = a
		return a
	}
	if planned := t.attempt; planned != nil && planned.phase == phasePlanned && !s.spec.IsGang {
		e.stop(planned, "it runs already")
	}
	isWanted := t.state == taskWaiting && !s.job.state.IsFinal()
	if !isWanted {
		if t.state == taskPlaced {
			e.options.Log(events.TaskRunsTwice, "task", running.Task, "run", running.Run, "worker", w.ID)
			t.unwanted = append(t.unwanted, a)
		}
		e.stop(a, "not wanted")
		return a
	}
	t.state, t.attempt = taskPlaced, a
	s.waiting--
	return a
}

// charge charges an attempt to its worker, customer and job.
func (e *Engine) charge(a *attempt) {
	a.worker.attempts.Set(a.id, a)
	a.worker.needsTick = true
	a.worker.used = a.worker.used.Add(a.charge)
	e.chargeCustomer(a.step)
	a.step.job.attempts++
}

// handleEnd handles the end of an attempt that a worker reports, once for each end.
func (e *Engine) handleEnd(w *worker, end *order.End) {
	if !w.session.AcceptEnd(end.Number) {
		return
	}
	e.currentBatch().handledEnds.Set(w, w.session.LastAcceptedEnd())
	a := w.attempts.Get(end.Task)
	if a != nil && a.run == end.Run {
		a.isAcknowledged = true
		e.release(a)
	} else {
		a = nil
	}
	s, t := e.findReportedTask(end.Task)
	if s == nil {
		return
	}
	if end.Kind == order.EndSucceeded {
		e.logLateSuccess(w, s, t, end, a)
	}
	t.run = max(t.run, end.Run)
	if end.Checkpoint != "" && (a != nil || t.checkpoint == "") {
		t.checkpoint = end.Checkpoint
	}
	if a != nil && end.Kind != order.EndSucceeded {
		e.recordLoss(a, end.Kind)
	}
	switch end.Kind {
	case order.EndSucceeded:
		if a != nil {
			e.recordDuration(a)
			e.recordSibling(a)
		}
		e.handleSuccess(w, s, end, a)
	case order.EndFailed:
		e.handleFailure(w, s, end)
	case order.EndStopped, order.EndLeaseExpired, order.EndGangBroken, order.EndGangIncomplete:
		if a == nil || a.stopReason == "" {
			e.options.Log(events.AttemptEnded, "task", end.Task, "run", end.Run, "worker", w.ID, "how", end.Kind)
		}
	}
	if a != nil {
		e.detachAttempt(a)
	}
}

// handleSuccess handles a successful end. a is the attempt that has ended, nil if it is not known.
func (e *Engine) handleSuccess(w *worker, s *step, end *order.End, a *attempt) {
	e.counts.Done++
	w.health.RecordSuccess(e.now)
	s.job.outcomes.RecordSuccess()
	if s.spec.IsLongRunning {
		return
	}
	if !s.spec.IsGang {
		e.completeTask(s, end.Task.Index, a)
		return
	}
	for i := range s.tasks {
		if member := s.tasks[i].attempt; member != nil && member.run == end.Run && member.phase != phasePlanned {
			// The members of a gang end together.
			e.completeTask(s, i, member)
			continue
		}
		e.completeTask(s, i, a)
	}
}

// completeTask marks a task as done, and stops its attempts other than the one that has ended. The
// run number does not identify that one: an owner that does not know of it gives the same number
// to its own next attempt.
func (e *Engine) completeTask(s *step, i int, finished *attempt) {
	for _, a := range []*attempt{s.tasks[i].attempt, s.tasks[i].copy} {
		if a != nil && a != finished {
			e.stop(a, "another attempt is done")
		}
	}
	e.markTaskDone(s, i)
}

func (e *Engine) handleFailure(w *worker, s *step, end *order.End) {
	e.counts.Failed++
	i := end.Task.Index
	isNew := s.addFailure(work.Failure{Index: i, Worker: string(w.ID), Run: end.Run})
	if !isNew {
		return
	}
	e.recordFailure(w, s, i)
	e.markDirty(s.job)
	e.options.Log(events.AttemptEnded, "task", end.Task, "run", end.Run, "worker", w.ID, "how", end.Kind, "failures", s.failureCount(i))
	if s.spec.IsLongRunning {
		s.tasks[i].failures = nil
		return
	}
	if s.tasks[i].state != taskDone && e.isExhausted(s, &s.tasks[i]) {
		e.endJob(s.job, work.JobFailed, reasonExhausted)
	}
	if s.spec.IsGang {
		e.stopGang(s, end.Run, "a member failed")
	}
}

// stopRestOfGang stops the other members of a gang's run of which one is stopped or lost: they would
// wait for it in vain, up to the time limit within which a gang must assemble.
func (e *Engine) stopRestOfGang(a *attempt, reason string) {
	if a.step != nil && a.step.spec.IsGang && !a.step.job.state.IsFinal() {
		e.stopGang(a.step, a.run, reason)
	}
}

// stopGang stops the remaining attempts of a run of a gang.
func (e *Engine) stopGang(s *step, run uint64, reason string) {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && a.run == run {
			e.stop(a, reason)
		}
	}
}

// reconcileMissing ends attempts that a listing should have and does not: those whose start or
// stop was confirmed, or whose start was refused, before the listing was requested. It stops those whose orders had become
// unacknowledged by then: the order of one that was only late may arrive while a listing is on its
// way. The clock in a listing does not show when its content was put together, so the time of the
// request is compared instead.
func (e *Engine) reconcileMissing(w *worker, listing *order.Listing, running map[work.TaskID]bool, askedAt time.Time) {
	for id, a := range w.attempts.All() {
		if running[id] {
			continue
		}
		if a.phase == phaseUnacknowledged && !a.isStopping && !askedAt.Before(a.unacknowledgedAt) {
			a.isMissing = true
			e.stopIfOverdue(a)
		}
		isStopConfirmed := a.stopConfirmedClock > 0 && a.stopConfirmedClock <= listing.At && !askedAt.Before(a.stopConfirmedAt)
		isStartConfirmed := a.phase == phaseRunning && a.startConfirmedClock > 0 && a.startConfirmedClock < listing.At && askedAt.After(a.startConfirmedAt)
		isRefusalConfirmed := a.phase == phaseRefused && !askedAt.Before(a.refusedAt)
		if !isStopConfirmed && !isStartConfirmed && !isRefusalConfirmed {
			continue
		}
		reason := givenUpStopped
		switch {
		case isRefusalConfirmed:
			reason = givenUpRefused + string(a.refusal)
		case !isStopConfirmed:
			reason = givenUpMissing
			e.options.Log(events.AttemptMissing, "task", id, "run", a.run, "worker", w.ID)
		}
		e.giveUp(a, reason)
		e.detachAttempt(a)
		e.stopRestOfGang(a, "a member is missing")
	}
}
