// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package outlier finds workers that are sick or slow, by what became of their tasks.
// It is pure.
package outlier

import (
	"math"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// Limits by which a worker is judged from what became of its attempts.
const (
	// suspectAfter is how many failures in a row, of different jobs and without a
	// success between them, set a worker aside: two tasks in a row that fail by their own
	// fault are rare.
	ejectAfter = 2
	// firstPause is how long a worker is set aside at first; it doubles up to
	// longestPause while trials fail.
	minEjection = 3 * time.Second
	maxEjection = 12 * time.Second
	// refusedPause is for a worker that says that it takes nothing.
	refusalPause = 500 * time.Millisecond
)

// Health is how a worker does by the outcomes of its attempts.
type Health struct {
	// inRow counts failures without a success since.
	consecutiveFailures int
	lastJob             work.JobID
	// pausedUntil is when it may be tried again; OnTrial means that it gets one
	// task at a time from trialFrom on until one succeeds.
	pausedUntil   time.Time
	probationFrom time.Time
	// asideAt is when it was set aside last.
	ejectedAt     time.Time
	ejection      time.Duration
	IsOnProbation bool
	// done and undone count tasks that ended well and that failed, less the longer
	// ago; countedAt is as of when.
	successes, failures float64
	decayedAt           time.Time
}

const (
	// countTime is how long ago an end counts a third: long enough for some ends of
	// a busy worker (two to three a second), short enough to see one turn bad.
	decayTime = 2 * time.Second
	// countStep is how often that is worked out: workers are scored thousands of times
	// a second.
	decayStep = 50 * time.Millisecond
	// usualShare is the share of tasks that fail by their own fault, and usualWeight
	// how many ends that is worth where few are known.
	priorFailureRate = 0.05
	priorWeight      = 2
	// soundShare is the share of failures up to which a worker counts as sound: two
	// of ten by the tasks' own fault are above it.
	maxHealthyRate = 0.15
	// shareWeight is the risk of a worker that fails all, unprovenRisk that of one of
	// which nothing is known; each end that went well halves it.
	failureRateWeight = 3.0
	unprovenRisk      = 0.25
)

// count forgets ends by how long ago they were.
func (h *Health) decay(now time.Time) {
	since := now.Sub(h.decayedAt)
	if since < decayStep {
		return
	}
	factor := math.Exp(-float64(since) / float64(decayTime))
	h.successes, h.failures, h.decayedAt = h.successes*factor, h.failures*factor, now
}

// FailureRate is the share of tasks that the worker fails, as far as is known.
func (h *Health) FailureRate(now time.Time) float64 {
	h.decay(now)
	return (h.failures + priorFailureRate*priorWeight) / (h.successes + h.failures + priorWeight)
}

// Risk is how likely the worker fails what it is given: about 0 for one that has
// just done well, 1 and more for one that fails most.
func (h *Health) Risk(now time.Time) float64 {
	risk := failureRateWeight * max(h.FailureRate(now)-2*priorFailureRate, 0)
	if h.IsOnProbation {
		risk++
	}
	return risk + unprovenRisk*math.Exp2(-h.successes)
}

// IsHealthy reports whether the worker has ended well what it had lately, but for what
// fails by its own fault.
func (h *Health) IsHealthy(now time.Time) bool {
	return h.consecutiveFailures == 0 && !h.IsOnProbation && h.FailureRate(now) <= maxHealthyRate
}

// NoteSuccess takes that a task has ended well.
func (h *Health) NoteSuccess(now time.Time) {
	h.decay(now)
	h.successes++
	h.Readmit()
}

// Readmit notes that the trial of the worker, if it is on trial, went well.
func (h *Health) Readmit() {
	h.consecutiveFailures = 0
	h.IsOnProbation = false
	h.ejection = 0
}

// NoteFailure takes that a task of a job has failed.
func (h *Health) NoteFailure(now time.Time, job work.JobID) {
	h.decay(now)
	h.failures++
	if h.IsOnProbation || h.lastJob != job {
		h.consecutiveFailures++
	}
	h.lastJob = job
	if h.consecutiveFailures < ejectAfter && !h.IsOnProbation {
		return
	}
	h.Eject(now)
}

// Eject keeps tasks off the worker for a while, longer each time, and then lets it
// prove itself with one.
func (h *Health) Eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.pausedUntil = now.Add(h.ejection)
	h.ejectedAt, h.probationFrom, h.IsOnProbation = now, h.pausedUntil, true
}

// MayProbeEarly reports whether a worker that is set aside may be tried before its pause is over by
// what has nowhere else to go: the pause grows with each trial that fails, and the worker may be
// well long before it ends.
func (h *Health) MayProbeEarly(now time.Time) bool {
	return h.IsOnProbation && h.pausedUntil.Equal(h.probationFrom) && now.Sub(h.ejectedAt) >= minEjection
}

// BeginProbation ends the pause: the worker is on trial with what is ordered from now on.
func (h *Health) BeginProbation(now time.Time) { h.pausedUntil, h.probationFrom = now, now }

// IsProbe reports whether the worker is on trial with what was ordered then. What was there before
// may last for good, and tells nothing.
func (h *Health) IsProbe(orderedAt time.Time) bool {
	return h.IsOnProbation && !orderedAt.Before(h.probationFrom)
}

// NoteRefusal takes that the worker says that it takes nothing.
func (h *Health) NoteRefusal(now time.Time) {
	if until := now.Add(refusalPause); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// IsPaused reports whether the worker is to get nothing now.
func (h *Health) IsPaused(now time.Time) bool { return now.Before(h.pausedUntil) }
