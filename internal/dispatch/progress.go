// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/estimate"
)

const (
	// longRunningProbation is how long a long-running task must be at work for its worker to pass its
	// probation.
	longRunningProbation = time.Second
	// minTrustedTasks is how many done tasks of a step make its duration known, if they are half
	// of its tasks.
	minTrustedTasks = 2
)

// expectedDuration returns how long a task of the step should take on a typical worker, by the
// step's tasks that are done or run, or by the caller's estimate, corrected by how long tasks of the
// queue took; 0 if neither is known.
func (e *Engine) expectedDuration(s *step) time.Duration {
	if e.isEnabled(MechanismThroughput) {
		e.updateSpeeds(s)
		if d := s.speeds.Duration(e.correctedEstimate(s), e.estimates[s.job.spec.Queue].Error()); d > 0 {
			return d
		}
	}
	return e.durationByEnds(s)
}

// durationByEnds is expectedDuration without regard to the progress of running tasks.
func (e *Engine) durationByEnds(s *step) time.Duration {
	if s.doneTasks > 0 {
		// The first tasks to be done are the shortest: they must not lower the estimate.
		return max(s.doneRunTime/time.Duration(s.doneTasks), e.correctedEstimate(s))
	}
	return e.correctedEstimate(s)
}

// correctedEstimate returns the caller's estimate, corrected by how long tasks of the queue took.
func (e *Engine) correctedEstimate(s *step) time.Duration {
	return e.estimates[s.job.spec.Queue].Correct(s.spec.Estimate)
}

// isDurationTrusted reports whether expectedDuration is accurate enough to judge a single task by
// it.
func (e *Engine) isDurationTrusted(s *step) bool {
	if e.isEnabled(MechanismThroughput) {
		// The progress of other tasks will soon tell whether the step is long as a whole.
		if e.updateSpeeds(s); s.speeds.IsTrusted() || s.speeds.IsOnTwoWorkers() {
			return s.speeds.IsTrusted()
		}
	}
	return s.doneTasks >= max(minTrustedTasks, len(s.tasks)/2) || s.spec.Estimate > 0 && e.estimates[s.job.spec.Queue].IsReliable()
}

// recordDuration records the time that a task took from its order to its end.
func (e *Engine) recordDuration(a *attempt) {
	s := a.step
	if s == nil || s.spec.IsLongRunning || s.spec.IsBestEffort || a.isResumed || a.isAdopted {
		return
	}
	took := e.now.Sub(a.orderedAt)
	a.worker.speed.RecordRunTime(took, e.expectedDuration(s))
	s.doneTasks++
	s.doneRunTime += took
	e.recordEnd(s, a.worker, took)
	if s.spec.Estimate <= 0 || a.worker.speed.IsSlow(e.now) {
		return
	}
	e.durationsOf(s).Observe(e.now, time.Duration(float64(took)/e.speedRatio(a.worker)), s.spec.Estimate)
}

// durationsOf returns the statistics of run times of the step's queue.
func (e *Engine) durationsOf(s *step) *estimate.RunTimes {
	queue := s.job.spec.Queue
	if e.estimates[queue] == nil {
		e.estimates[queue] = &estimate.RunTimes{}
	}
	return e.estimates[queue]
}
