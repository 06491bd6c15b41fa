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
	minStuckTimeout = 600 * time.Millisecond
	stuckFraction   = 0.15
	// stuckFiller is for tasks that only get what others leave.
	bestEffortStuckTimeout = 8 * time.Second
	// stuckLasting is for a lasting task that does not get to work, and provenLasting how long one
	// is at work until the trial of its worker has gone well.
	longRunningStuckTimeout = 4 * time.Second
	longRunningProbation    = time.Second
	// nearlyDone is the percent from which a task may take its time: it is longer
	// than the worker thought. stuckEnd is how long.
	nearlyDonePercent      = 98
	nearlyDoneStuckTimeout = 4 * time.Second
	// worthRatio is how much sooner another attempt must be done to be worth it.
	replacementGain = 1.3
	// maxRescues bounds the attempts of a task that are stopped as too slow.
	maxReplacements = 2
	// trustedRuns is how many done tasks of a step make its time known, if they are
	// half of it.
	minTrustedTasks = 2
)

// expected returns how long a task of the step should take on a sound worker, by
// those of it that are done, or by the caller's estimate, corrected by what the
// tasks of the queue took; 0 when nothing is known.
func (e *Engine) expectedDuration(s *step) time.Duration {
	if s.doneTasks > 0 {
		// The first to be done are the shortest: they do not lower the estimate.
		return max(s.doneRunTime/time.Duration(s.doneTasks), e.correctedEstimate(s))
	}
	return e.correctedEstimate(s)
}

// estimated returns the caller's estimate, corrected.
func (e *Engine) correctedEstimate(s *step) time.Duration {
	return e.estimates[s.job.spec.Queue].Correct(s.spec.Estimate)
}

// isTrustedTime reports whether expected is good enough to judge a single task.
func (e *Engine) isDurationTrusted(s *step) bool {
	return s.doneTasks >= max(minTrustedTasks, len(s.tasks)/2) || s.spec.Estimate > 0 && e.estimates[s.job.spec.Queue].IsTrusted()
}

// learn takes the time that a task took from its order to its end.
func (e *Engine) learnDuration(a *attempt) {
	s := a.step
	if s == nil || s.spec.IsLasting || s.spec.IsFiller || a.isResumed || a.isAdopted {
		return
	}
	took := e.now.Sub(a.orderedAt)
	a.worker.speed.Ended(took, e.expectedDuration(s))
	s.doneTasks++
	s.doneRunTime += took
	if s.spec.Estimate <= 0 || a.worker.speed.IsSlow(e.now) {
		return
	}
	e.durationsOf(s).Learn(e.now, took, s.spec.Estimate)
}

// durations returns what is learned of the run times of a step's queue.
func (e *Engine) durationsOf(s *step) *estimate.Durations {
	queue := s.job.spec.Queue
	if e.estimates[queue] == nil {
		e.estimates[queue] = &estimate.Durations{}
	}
	return e.estimates[queue]
}

// checkTrial ends the trial of a worker when a task that lasts is at work there: it has no good
// end.
func (e *Engine) checkProbation(a *attempt) {
	health := &a.worker.health
	isAtWork := a.phase == phaseRunning && !a.isStopping && a.step != nil && a.step.spec.IsLasting && a.percent >= 100
	if isAtWork && health.IsTrial(a.orderedAt) && a.worker.session.ListedAt().Sub(a.percentChangedAt) >= longRunningProbation {
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
	stalledFor := a.worker.session.ListedAt().Sub(a.percentChangedAt)
	if stalledFor >= e.stuckTimeout(a) && a.pace == fullPace {
		e.options.Log(events.AttemptStuck, "task", a.id, "run", a.run, "worker", a.worker.ID, "percent", a.percent, "for", stalledFor, "expected", e.expectedDuration(a.step))
		if !a.step.spec.IsFiller {
			a.worker.health.SetAside(e.now)
		}
		e.replace(a, "stands still")
		return
	}
	if (a.worker.speed.IsSlow(e.now) || e.isDurationTrusted(a.step)) && e.isWorthReplacing(a) {
		e.replace(a, "too slow")
	}
}

func (e *Engine) stuckTimeout(a *attempt) time.Duration {
	s := a.step
	switch {
	case s.spec.IsLasting:
		return longRunningStuckTimeout
	case s.spec.IsFiller:
		return bestEffortStuckTimeout
	case a.percent >= nearlyDonePercent:
		return nearlyDoneStuckTimeout
	}
	expected := e.expectedDuration(s)
	return minStuckTimeout + time.Duration(stuckFraction*float64(expected))
}

// isWorthReplacing reports whether another attempt would be done much sooner.
func (e *Engine) isWorthReplacing(a *attempt) bool {
	s := a.step
	if s.spec.IsLasting || s.spec.IsFiller || s.spec.IsGang || a.hasCopy() {
		return false
	}
	expected, projected := e.expectedDuration(s), a.projectedDuration()
	if expected <= 0 || float64(projected) < outlier.SlowRatio*float64(expected) || s.tasks[a.id.Index].replacements >= maxReplacements {
		return false
	}
	remaining := projected - e.now.Sub(a.orderedAt)
	replacement := expected + e.options.StopTime
	if s.spec.KeepsProgress {
		replacement = e.options.StopTime + time.Duration(float64(expected)*float64(100-a.percent)/100)
	}
	return float64(remaining) > replacementGain*float64(replacement)
}

// replace starts a copy of the task, or stops the attempt so that the task can
// start elsewhere.
func (e *Engine) replace(a *attempt, reason string) {
	a.isReplaced = true
	t := &a.step.tasks[a.id.Index]
	t.avoidWorker = a.worker.ID
	if e.wantCopy(a) {
		return
	}
	t.replacements++
	e.stop(a, reason)
	if a.step.spec.IsGang {
		e.stopGang(a.step, a.run, "a member "+reason)
	}
}
