// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// This file gathers what package discard decides by, and carries out its verdicts.

// fullPoolUsage is the used fraction of a pool from which its capacity counts as all in use: what is
// left is too small for most tasks.
const fullPoolUsage = 0.9

// checkProgress replaces an attempt that is stuck, or so slow that another one would be done
// earlier.
func (e *Engine) checkProgress(a *attempt) {
	if a.phase != phaseRunning || a.isStopping || a.isReplaced || a.step == nil {
		return
	}
	d := e.attemptToJudge(a)
	v := d.Judge()
	a.slowness.Observe(v, a.worker.session.ListedAt())
	if v.Action != discard.Replace || v.Reason == discard.TooSlow && e.mayHaveCopy(a) && !e.isCopyWorthwhile(a) {
		return
	}
	a.isStalled = v.Reason == discard.Stalled
	if a.isStalled {
		e.options.Log(events.AttemptStalled, "task", a.id, "run", a.run, "worker", a.worker.ID, "percent", a.percent, "for", d.StalledFor, "expected", d.Expected)
		if !a.step.spec.IsBestEffort {
			e.eject(a.worker)
		}
	} else {
		e.options.Log(events.AttemptTooSlow, "task", a.id, "run", a.run, "worker", a.worker.ID, "percent", a.percent, "projected", d.Projected, "elsewhere", d.Elsewhere, "expected", d.Expected)
	}
	e.replace(a, v.Reason)
}

// attemptToJudge describes a running attempt to package discard.
func (e *Engine) attemptToJudge(a *attempt) discard.Attempt {
	s, t := a.step, &a.step.tasks[a.id.Index]
	// Progress is only known from listings, so that time without a listing does not count: a
	// silent worker does not mean that its tasks are stuck.
	stalledSince := a.percentChangedAt
	if s.spec.IsGang {
		stalledSince = s.gangStalledSince(a)
	}
	projected := a.projectedDuration()
	return discard.Attempt{
		Kind: discard.KindOf(s.spec), Ran: e.now.Sub(a.orderedAt), StalledFor: a.worker.session.ListedAt().Sub(stalledSince), IsThrottled: a.pace != fullPace, Percent: a.percent,
		Projected: projected, SlowFor: a.slowness.For(a.worker.session.ListedAt()), Elsewhere: e.durationElsewhere(a, projected), Expected: e.durationByEnds(s), IsWorkerSlow: a.worker.speed.IsSlow(e.now),
		IsResumable: s.spec.IsResumable, HasSaved: t.checkpoint != "", HasCopy: a.hasCopy(), Replacements: t.replacements, StopTime: e.options.StopTime,
	}
}

// durationElsewhere returns how long the attempt's task takes on other workers, by its siblings. It
// returns 0 if that is not known, or if the attempt cannot be slow in comparison.
func (e *Engine) durationElsewhere(a *attempt, projected time.Duration) time.Duration {
	s := a.step
	if !e.isEnabled(MechanismDiscard) {
		if e.isDurationTrusted(s) {
			return e.expectedDuration(s)
		}
		return 0
	}
	if projected <= 0 || len(s.tasks) == 1 || s.spec.IsLongRunning || s.spec.IsBestEffort {
		return 0
	}
	if s.siblings.NeedsUpdate(e.now) {
		s.siblings.Update(e.now, e.runningSiblings(s))
	}
	return s.siblings.Elsewhere(a.worker.ID)
}

// runningSiblings returns the projected durations of the step's running tasks. The slice is reused
// by the next call.
func (e *Engine) runningSiblings(s *step) []discard.Sample {
	e.siblingsBuffer = e.siblingsBuffer[:0]
	for i := range s.tasks {
		a := s.tasks[i].attempt
		if s.tasks[i].state == taskPlaced && a != nil && a.phase == phaseRunning && !a.isResumed && !a.isAdopted && a.isAtWork() {
			e.siblingsBuffer = append(e.siblingsBuffer, e.sample(a, a.projectedDuration()))
		}
	}
	return e.siblingsBuffer
}

func (e *Engine) sample(a *attempt, took time.Duration) discard.Sample {
	return discard.Sample{Worker: a.worker.ID, Duration: time.Duration(float64(took) / e.speedRatio(a.worker))}
}

// recordSibling records how long an attempt took that has succeeded. The members of a gang end
// together, whenever each has done its own work.
func (e *Engine) recordSibling(a *attempt) {
	if a.step != nil && discard.KindOf(a.step.spec) == discard.KindBatch && !a.isResumed && !a.isAdopted {
		a.step.siblings.RecordDone(e.sample(a, e.now.Sub(a.orderedAt)))
	}
}

// isAtWork reports whether a running attempt does its own work. A member of a gang may wait for others
// to start or to end instead.
func (a *attempt) isAtWork() bool {
	return !a.step.spec.IsGang || a.percent > 0 && a.percent < discard.NearlyDonePercent
}

// replace requests a speculative copy of the task or, where that is not allowed, stops the attempt
// so that the task can start elsewhere.
func (e *Engine) replace(a *attempt, reason discard.Reason) {
	t := &a.step.tasks[a.id.Index]
	t.avoidWorker = a.worker.ID
	a.isReplaced = true
	if e.requestCopy(a) {
		return
	}
	t.replacements++
	e.stop(a, string(reason))
}

// slackOf returns how much earlier than the objective of its queue the round of a step is expected
// to end if the step needs a further time of left, and false if the queue has no objective.
func (e *Engine) slackOf(s *step, q *order.Queue, left time.Duration) (time.Duration, bool) {
	if q.Stretch <= 0 && q.TargetLatency <= 0 {
		return 0, false
	}
	total, remaining := e.criticalPath(s.round, q)
	objective := q.TargetLatency + time.Duration(q.Stretch*float64(total))
	later := max(remaining-e.expectedDuration(s), 0)
	return s.arrivedAt().Add(objective).Sub(e.now) - later - left, true
}

// waitWithoutPreemption returns how long the tasks of a step may wait before others are preempted for
// them.
func (e *Engine) waitWithoutPreemption(s *step, q *order.Queue) time.Duration {
	slack, hasObjective := e.slackOf(s, q, e.expectedDuration(s))
	if !hasObjective || !e.isEnabled(MechanismDiscard) {
		return 0
	}
	return discard.MaxWait(slack, e.options.StopTime)
}

// canUseSoon reports whether a task of the step may start on the worker as soon as another one there
// has been stopped: its permit is still valid then.
func (e *Engine) canUseSoon(w *worker, s *step, q *order.Queue) bool {
	if q.Permission == nil || !e.isEnabled(MechanismDiscard) {
		return true
	}
	_, ok := s.permissions.ValidPermit(w.ID, e.now.Add(e.options.StopTime))
	return ok
}

// isLessUrgent reports whether the attempt may be preempted for tasks of the queue as far as their
// priorities matter.
func (e *Engine) isLessUrgent(a *attempt, q *order.Queue) bool {
	return e.isEnabled(MechanismPreemption) && a.phase == phaseRunning && !a.isStopping && e.queues[a.step.job.spec.Queue].Priority > q.Priority
}

// occupant describes an attempt that may be preempted to package discard.
func (e *Engine) occupant(a *attempt) discard.Occupant {
	s, t := a.step, &a.step.tasks[a.id.Index]
	q := e.queues[s.job.spec.Queue]
	slack, _ := e.slackOf(s, &q, e.remainingTime(a))
	return discard.Occupant{
		Kind: discard.KindOf(s.spec), Ran: e.now.Sub(a.orderedAt), IsResumable: s.spec.IsResumable, HasSaved: t.checkpoint != "", HasCopy: a.hasCopy(), Preemptions: t.preemptions, Slack: slack,
	}
}

// stopIfOverdue stops an attempt that its worker did not list, unless its order may still be carried
// out.
func (e *Engine) stopIfOverdue(a *attempt) {
	if a.phase != phaseUnacknowledged || a.isStopping {
		return
	}
	if !e.isEnabled(MechanismDiscard) || discard.IsOrderOverdue(discard.KindOf(a.step.spec), e.now.Sub(a.orderedAt)) {
		e.stop(a, "order was not carried out in time")
	}
}

// gangKeepsTurn reports whether a gang goes before others although it is late.
func (e *Engine) gangKeepsTurn(s *step) bool {
	return !e.isEnabled(MechanismDiscard) || discard.KeepsTurn(len(s.failedGangRuns) > 0, s.savedStateOf(0) != "")
}
