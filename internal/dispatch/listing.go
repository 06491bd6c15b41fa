// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// StartAnswered takes the answer to an order to start, once for each. at is the worker's clock
// in the answer, 0 when it told none.
func (e *Engine) StartAnswered(id order.WorkerID, task work.TaskID, run uint64, outcome order.StartOutcome, at order.WorkerTime) {
	e.startsInFlight--
	defer e.sendReadyStarts()
	if outcome == order.StartLifeOver {
		e.LifeOver(id)
		return
	}
	w := e.workers.Get(id)
	if w == nil {
		return
	}
	a := w.attempts.Get(task)
	isOfThisStart := a != nil && w.session.MayShow(at, a.orderedAt)
	isOfThisStart = w.session.ReadAnswer(at, e.now) && isOfThisStart
	if a == nil || a.run != run {
		return
	}
	if a.phase == phasePlanned {
		return
	}
	if a.phase == phaseOrdered && outcome != order.StartUnknown {
		e.answerTimes.Learn(e.now.Sub(a.orderedAt))
		e.startWindow.Answered(e.now.Sub(a.orderedAt), e.now)
	}
	switch outcome {
	case order.StartDone:
		a.startedAt, a.startedOn = at, e.now
		a.isTold = a.isTold || isOfThisStart
		if at > 0 && !a.hasSaved {
			a.progress.Take(at, 0, 0)
		}
		if a.phase != phaseRunning {
			a.phase = phaseRunning
			a.percentAt = e.now
		}
	case order.StartUnknown:
		if a.phase == phaseOrdered {
			e.doubt(a)
		}
	case order.StartRefused, order.StartNoRoom, order.StartNoTicket, order.StartUnhealthy, order.StartFenced, order.StartLifeOver:
		e.startRefused(w, a, outcome)
	}
}

func (e *Engine) startRefused(w *worker, a *attempt, outcome order.StartOutcome) {
	if a.phase == phaseRunning {
		return
	}
	e.options.Log(events.StartRefused, "task", a.id, "run", a.run, "worker", w.ID, "why", outcome)
	switch outcome {
	case order.StartNoTicket:
		a.step.permit.Forget(w.ID)
	case order.StartUnhealthy:
		w.health.Refused(e.now)
	case order.StartNoRoom, order.StartRefused:
		w.health.Refused(e.now)
	case order.StartDone, order.StartFenced, order.StartUnknown, order.StartLifeOver:
	}
	a.isTold = true
	e.release(a)
	e.attemptOver(a)
	if a.step.spec.IsGang {
		e.stopGang(a.step, a.run, "a member was refused")
	}
}

// StopAnswered takes the answer to an order to stop. isKnown is false when there
// was none.
func (e *Engine) StopAnswered(id order.WorkerID, task work.TaskID, run uint64, isKnown bool, at order.WorkerTime) {
	w := e.workers.Get(id)
	if w == nil || !isKnown {
		return
	}
	w.session.ReadAnswer(at, e.now)
	w.refusals.Refused(task, run)
	a := w.attempts.Get(task)
	if a == nil || a.run != run {
		return
	}
	a.stopAckedAt, a.stopAckedOn = at, e.now
	e.look(w)
}

// Listed takes a worker's word on all that it runs.
func (e *Engine) Listed(h *order.Hold, l *order.Listing) {
	if l.Worker != "" {
		e.startedAgain(h.Worker, l.Worker)
		return
	}
	w := e.workers.Get(h.Worker)
	if w == nil {
		return
	}
	if w.session.HasMissed() && !w.session.IsSilent() {
		e.lossyUntil = e.now.Add(lossyTime)
	}
	if w.session.HasMissed() {
		e.silences.Ended(w.ID)
	}
	w.session.Heard(l.At, e.now)
	w.session.Forgot(h.Confirmed)
	e.takeListing(w, l, h.AskedAt)
	e.answeredHold(w, h.IsLook)
	e.dropIfEmpty(w)
}

func (e *Engine) takeListing(w *worker, l *order.Listing, askedOn time.Time) {
	if !w.session.IsListed() {
		e.beginListing(w)
	}
	for i := range l.Finished {
		e.ended(w, &l.Finished[i])
	}
	if !w.session.List(l.At, e.now) {
		return
	}
	clear(w.foreign)
	running := make(map[work.TaskID]bool, len(l.Running))
	for i := range l.Running {
		running[l.Running[i].Task] = true
		e.runs(w, &l.Running[i])
	}
	e.settleMissing(w, l, running, askedOn)
	if !w.session.IsListed() {
		w.session.SetListed(true)
		e.needsScheduling = true
	}
	e.settleStarts(w)
	e.judgeSpeed(w)
	e.setPaces(w)
}

// beginListing takes that a worker tells for the first time what it runs, or again after all
// on it was taken as over. What may be on its way to an earlier start of it is known as such
// before the listing is looked at.
func (e *Engine) beginListing(w *worker) {
	e.forgiveCrash(w.ID)
	e.endEarlierLives(w)
	e.waitForOthers(w)
}

// runs takes an attempt that the worker says it runs.
func (e *Engine) runs(w *worker, r *order.Running) {
	a := w.attempts.Get(r.Task)
	if a == nil || a.run != r.Run {
		a = e.adopt(w, r)
		if a == nil {
			return
		}
	}
	a.isTold = true
	if a.phase != phaseRunning {
		a.phase = phaseRunning
		a.percentAt = e.now
		// The order got no answer: from here on it is known to have come.
		a.startedAt, a.startedOn = w.session.ListedClock(), e.now
	}
	if r.Percent != a.percent {
		a.percent, a.percentAt = r.Percent, e.now
	}
	a.figure = r.Figure
	a.progress.Take(w.session.ListedClock(), r.Percent, e.expected(a.step))
	if a.step != nil {
		a.step.job.hasBegun = true
		if r.Saved != "" {
			a.step.tasks[a.id.Index].saved = r.Saved
		}
	}
}

// adopt takes an attempt that an earlier owner started, or stops it when it is
// of no use.
func (e *Engine) adopt(w *worker, r *order.Running) *attempt {
	s, t := e.find(r.Task)
	if s == nil {
		w.foreign[r.Task] = r.Run
		e.emitStop(w, r.Task, r.Run)
		return nil
	}
	if old := w.attempts.Get(r.Task); old != nil {
		// The worker has one run of a task at most: the other one is not there.
		e.release(old)
		e.attemptOver(old)
	}
	a := &attempt{
		id: r.Task, step: s, run: r.Run, worker: w, charge: s.spec.Charge(), phase: phaseRunning,
		orderedAt: e.now, startedAt: w.session.Clock(), startedOn: e.now, percentAt: e.now, pace: fullPace, isAdopted: true,
	}
	w.session.WaitFor(e.inheritedLeasesUntil)
	e.charge(a)
	if slices.Contains(t.heldBy, w.ID) {
		a.isKept = true
	} else {
		e.addPlacement(a)
	}
	t.run = max(t.run, r.Run)
	if s.spec.MayDuplicate && t.state == taskPlaced && t.copy == nil && !s.job.state.IsFinal() {
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
			e.options.Log(events.TaskTwice, "task", r.Task, "run", r.Run, "worker", w.ID)
			t.unwanted = append(t.unwanted, a)
		}
		e.stop(a, "not wanted")
		return a
	}
	t.state, t.attempt = taskPlaced, a
	s.waiting--
	return a
}

func (e *Engine) charge(a *attempt) {
	a.worker.attempts.Set(a.id, a)
	a.worker.isRestless = true
	a.worker.used = a.worker.used.Add(a.charge)
	e.chargeCustomer(a.step)
	a.step.job.attempts++
}

// ended takes an end, once.
func (e *Engine) ended(w *worker, end *order.End) {
	if !w.session.Take(end.Number) {
		return
	}
	e.currentBatch().handledEnds.Set(w, end.Number)
	a := w.attempts.Get(end.Task)
	if a != nil && a.run == end.Run {
		a.isTold = true
		e.release(a)
	} else {
		a = nil
	}
	s, t := e.find(end.Task)
	if s == nil {
		return
	}
	t.run = max(t.run, end.Run)
	if end.Saved != "" && (a != nil || t.saved == "") {
		t.saved = end.Saved
	}
	switch end.Kind {
	case order.EndDone:
		if a != nil {
			e.learn(a)
		}
		e.endedDone(w, s, end, a)
	case order.EndFailed:
		e.endedFailed(w, s, end)
	case order.EndStopped, order.EndLapsed, order.EndBroken, order.EndAlone:
		if a == nil || a.stopWhy == "" {
			e.options.Log(events.AttemptEnded, "task", end.Task, "run", end.Run, "worker", w.ID, "how", end.Kind)
		}
	}
	if a != nil {
		e.attemptOver(a)
	}
}

// endedDone takes a good end. a is the attempt that has ended, nil where it is not known.
func (e *Engine) endedDone(w *worker, s *step, end *order.End, a *attempt) {
	e.counts.Done++
	w.health.Succeeded(e.now)
	if s.spec.IsLasting {
		return
	}
	if !s.spec.IsGang {
		e.doneOnce(s, end.Task.Index, a)
		return
	}
	for i := range s.tasks {
		if mate := s.tasks[i].attempt; mate != nil && mate.run == end.Run && mate.phase != phasePlanned {
			// The members of a gang end together.
			e.doneOnce(s, i, mate)
			continue
		}
		e.doneOnce(s, i, a)
	}
}

// doneOnce notes that a task is done, and stops its attempts but the one that is. Its number does
// not tell that one: an owner that does not know of it gives the same number to the next.
func (e *Engine) doneOnce(s *step, i int, done *attempt) {
	for _, a := range []*attempt{s.tasks[i].attempt, s.tasks[i].copy} {
		if a != nil && a != done {
			e.stop(a, "another attempt is done")
		}
	}
	e.taskEnded(s, i)
}

func (e *Engine) endedFailed(w *worker, s *step, end *order.End) {
	e.counts.Failed++
	i := end.Task.Index
	isNew := s.addFailure(work.Failure{Index: i, Worker: string(w.ID), Run: end.Run})
	if !isNew {
		return
	}
	if e.isEnabled(MechanismHealth) {
		w.health.Failed(e.now, s.job.spec.ID)
	}
	s.tasks[i].avoid, s.tasks[i].failedAt = w.ID, e.now
	e.touch(s.job)
	e.options.Log(events.AttemptEnded, "task", end.Task, "run", end.Run, "worker", w.ID, "how", end.Kind, "failures", s.failureCount(i))
	if s.spec.IsLasting {
		s.tasks[i].failures = nil
		return
	}
	limit := e.queues[s.job.spec.Queue].MaxAttempts
	if limit > 0 && s.failureCount(i) >= limit && s.tasks[i].state != taskDone {
		e.endJob(s.job, work.JobFailed, "a task failed as often as it may")
	}
	if s.spec.IsGang {
		e.stopGang(s, end.Run, "a member failed")
	}
}

// stopGang stops what is left of a run of a gang.
func (e *Engine) stopGang(s *step, run uint64, why string) {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && a.run == run {
			e.stop(a, why)
		}
	}
}

// settleMissing settles the attempts that a listing should have and has not: those
// whose start or stop was confirmed before the listing was asked for. The clock
// in a listing does not tell when its content was put together.
func (e *Engine) settleMissing(w *worker, l *order.Listing, running map[work.TaskID]bool, askedOn time.Time) {
	for id, a := range w.attempts.All() {
		if running[id] {
			continue
		}
		if a.phase == phaseDoubtful && !a.isStopping {
			e.stop(a, "order was not carried out in time")
		}
		isStopped := a.stopAckedAt > 0 && a.stopAckedAt <= l.At && !askedOn.Before(a.stopAckedOn)
		isStarted := a.phase == phaseRunning && a.startedAt > 0 && a.startedAt < l.At && askedOn.After(a.startedOn)
		if !isStopped && !isStarted {
			continue
		}
		if !isStopped {
			e.options.Log(events.AttemptMissing, "task", id, "run", a.run, "worker", w.ID)
		}
		e.release(a)
		e.attemptOver(a)
	}
}
