// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/estimate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/outlier"
)

// Limits by which attempts are judged from the progress that workers tell.
const (
	// stuckLeast and stuckShare are how long a task may show no progress: the
	// least, and a share of the time that it should take. The shortest tasks take
	// 0.8 s, so that one percent takes 64 ms on a worker that is eight times slower.
	stuckLeast = 600 * time.Millisecond
	stuckShare = 0.15
	// stuckFiller is for tasks that only get what others leave.
	stuckFiller = 8 * time.Second
	// stuckLasting is for a lasting task that does not get to work, and provenLasting how long one
	// is at work until the trial of its worker has gone well.
	stuckLasting  = 4 * time.Second
	provenLasting = time.Second
	// nearlyDone is the percent from which a task may take its time: it is longer
	// than the worker thought. stuckEnd is how long.
	nearlyDone = 98
	stuckEnd   = 4 * time.Second
	// worthRatio is how much sooner another attempt must be done to be worth it.
	worthRatio = 1.3
	// maxRescues bounds the attempts of a task that are stopped as too slow.
	maxRescues = 2
	// trustedRuns is how many done tasks of a step make its time known, if they are
	// half of it.
	trustedRuns = 2
)

// expected returns how long a task of the step should take on a sound worker, by
// those of it that are done, or by the caller's estimate, corrected by what the
// tasks of the queue took; 0 when nothing is known.
func (e *Engine) expected(s *step) time.Duration {
	if s.doneRuns > 0 {
		// The first to be done are the shortest: they do not lower the estimate.
		return max(s.doneTime/time.Duration(s.doneRuns), e.estimated(s))
	}
	return e.estimated(s)
}

// estimated returns the caller's estimate, corrected.
func (e *Engine) estimated(s *step) time.Duration {
	return e.estimates[s.job.spec.Queue].Correct(s.spec.Estimate)
}

// isTrustedTime reports whether expected is good enough to judge a single task.
func (e *Engine) isTrustedTime(s *step) bool {
	return s.doneRuns >= max(trustedRuns, len(s.tasks)/2) || s.spec.Estimate > 0 && e.estimates[s.job.spec.Queue].IsTrusted()
}

// learn takes the time that a task took from its order to its end.
func (e *Engine) learn(a *attempt) {
	s := a.step
	if s == nil || s.spec.IsLasting || s.spec.IsFiller || a.hasSaved || a.isAdopted {
		return
	}
	took := e.now.Sub(a.orderedAt)
	a.worker.speed.Ended(took, e.expected(s))
	s.doneRuns++
	s.doneTime += took
	if s.spec.Estimate <= 0 || a.worker.speed.IsSlow(e.now) {
		return
	}
	e.durations(s).Learn(e.now, took, s.spec.Estimate)
}

// durations returns what is learned of the run times of a step's queue.
func (e *Engine) durations(s *step) *estimate.Durations {
	queue := s.job.spec.Queue
	if e.estimates[queue] == nil {
		e.estimates[queue] = &estimate.Durations{}
	}
	return e.estimates[queue]
}

// checkTrial ends the trial of a worker when a task that lasts is at work there: it has no good
// end.
func (e *Engine) checkTrial(a *attempt) {
	health := &a.worker.health
	isAtWork := a.phase == phaseRunning && !a.isStopping && a.step != nil && a.step.spec.IsLasting && a.percent >= 100
	if isAtWork && health.IsTrial(a.orderedAt) && a.worker.session.ListedAt().Sub(a.percentAt) >= provenLasting {
		health.Passed()
	}
}

// checkProgress gives a task another chance elsewhere when its attempt stands
// still, or goes on so slowly that another one would be done sooner.
func (e *Engine) checkProgress(a *attempt) {
	if a.phase != phaseRunning || a.isStopping || a.isReplaced || a.step == nil || a.step.spec.IsLasting && a.percent >= 100 {
		return
	}
	// Progress is only known from listings: a silent worker is no stuck task.
	still := a.worker.session.ListedAt().Sub(a.percentAt)
	if still >= e.stuckLimit(a) && a.pace == fullPace {
		e.options.Log(events.AttemptStuck, "task", a.id, "run", a.run, "worker", a.worker.ID, "percent", a.percent, "for", still, "expected", e.expected(a.step))
		if !a.step.spec.IsFiller {
			a.worker.health.SetAside(e.now)
		}
		e.replace(a, "stands still")
		return
	}
	if (a.worker.speed.IsSlow(e.now) || e.isTrustedTime(a.step)) && e.isWorthReplacing(a) {
		e.replace(a, "too slow")
	}
}

func (e *Engine) stuckLimit(a *attempt) time.Duration {
	s := a.step
	switch {
	case s.spec.IsLasting:
		return stuckLasting
	case s.spec.IsFiller:
		return stuckFiller
	case a.percent >= nearlyDone:
		return stuckEnd
	}
	expected := e.expected(s)
	return stuckLeast + time.Duration(stuckShare*float64(expected))
}

// isWorthReplacing reports whether another attempt would be done much sooner.
func (e *Engine) isWorthReplacing(a *attempt) bool {
	s := a.step
	if s.spec.IsLasting || s.spec.IsFiller || s.spec.IsGang || a.hasCopy() {
		return false
	}
	expected, projected := e.expected(s), a.projected()
	if expected <= 0 || float64(projected) < outlier.SlowRatio*float64(expected) || s.tasks[a.id.Index].rescues >= maxRescues {
		return false
	}
	left := projected - e.now.Sub(a.orderedAt)
	again := expected + e.options.StopTime
	if s.spec.KeepsProgress {
		again = e.options.StopTime + time.Duration(float64(expected)*float64(100-a.percent)/100)
	}
	return float64(left) > worthRatio*float64(again)
}

// replace starts a copy of the task, or stops the attempt so that the task can
// start elsewhere.
func (e *Engine) replace(a *attempt, why string) {
	a.isReplaced = true
	t := &a.step.tasks[a.id.Index]
	t.avoid = a.worker.ID
	if e.requestCopy(a) {
		return
	}
	t.rescues++
	e.stop(a, why)
	if a.step.spec.IsGang {
		e.stopGang(a.step, a.run, "a member "+why)
	}
}
