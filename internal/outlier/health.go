// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package outlier detects workers that are degraded or slow from the outcomes of their tasks. It
// does no I/O and reads no clock; the caller passes the current time.
package outlier

import (
	"math"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// Limits by which a worker is judged from the outcomes of its attempts.
const (
	// ejectAfter is how many failures in a row, of different jobs and without a
	// success between them, eject a worker: two tasks in a row that fail by their own
	// fault are rare.
	ejectAfter = 2
	// minEjection is how long a worker is ejected at first; the time doubles up to
	// maxEjection while its probes fail.
	minEjection = 3 * time.Second
	maxEjection = 12 * time.Second
	// refusalPause is how long a worker gets nothing after it has refused a task.
	refusalPause = 500 * time.Millisecond
)

// Health is how healthy a worker is, judged by the outcomes of its attempts. A worker that fails
// too often is ejected: it gets no tasks for a limited time. After that it is on probation, with one
// task at a time as a probe, until one succeeds.
type Health struct {
	// consecutiveFailures counts the failures since the last success. Unless the worker is on
	// probation, further failures of lastJob, the job of the last failure, do not count.
	consecutiveFailures int
	lastJob             work.JobID
	lastFailedAt        time.Time
	// pausedUntil is when the worker may get tasks again. IsOnProbation means that it gets one
	// task at a time from probationFrom on until one succeeds.
	pausedUntil   time.Time
	probationFrom time.Time
	// ejectedAt is when the worker was last ejected, and ejection for how long.
	ejectedAt     time.Time
	ejection      time.Duration
	IsOnProbation bool
	// successes and failures count the tasks that succeeded and that failed, with weights that
	// decay over time. They are as of decayedAt.
	successes, failures float64
	decayedAt           time.Time
}

const (
	// decayTime is the time after which the weight of an end has decayed to 1/e, about a third: long
	// enough for some ends of a busy worker (two to three a second), short enough to
	// detect one that becomes degraded.
	decayTime = 2 * time.Second
	// decayStep is how often the decay is computed: workers are scored thousands of times
	// a second.
	decayStep = 50 * time.Millisecond
	// priorFailureRate is the share of tasks that fail by their own fault. It counts like
	// priorWeight ends, so that it prevails where few ends are known.
	priorFailureRate = 0.05
	priorWeight      = 2
	// maxHealthyRate is the failure rate up to which a worker counts as healthy: two
	// of ten tasks that fail by their own fault are above it.
	maxHealthyRate = 0.15
	// failureRateWeight is the risk of a worker that fails all tasks. unprovenRisk is that of
	// a worker about which nothing is known; each success halves it.
	failureRateWeight = 3.0
	unprovenRisk      = 0.25
)

// decay lowers the weights of the ends by the time that has passed since the last decay.
func (h *Health) decay(now time.Time) {
	since := now.Sub(h.decayedAt)
	if since < decayStep {
		return
	}
	factor := math.Exp(-float64(since) / float64(decayTime))
	h.successes, h.failures, h.decayedAt = h.successes*factor, h.failures*factor, now
}

// FailureRate returns the estimated share of tasks that fail on the worker.
func (h *Health) FailureRate(now time.Time) float64 {
	h.decay(now)
	return (h.failures + priorFailureRate*priorWeight) / (h.successes + h.failures + priorWeight)
}

// Risk returns how likely the worker is to fail a task that it is given: about 0 for a worker that
// has just succeeded with several tasks, 1 and more for one that fails most of them.
func (h *Health) Risk(now time.Time) float64 {
	risk := failureRateWeight * max(h.FailureRate(now)-2*priorFailureRate, 0)
	if h.IsOnProbation {
		risk++
	}
	return risk + unprovenRisk*math.Exp2(-h.successes)
}

// IsHealthy reports whether the worker has recently failed no more tasks than fail by their own
// fault, and has succeeded with the last one.
func (h *Health) IsHealthy(now time.Time) bool {
	return h.consecutiveFailures == 0 && !h.IsOnProbation && h.FailureRate(now) <= maxHealthyRate
}

// RecordSuccess records that a task has succeeded.
func (h *Health) RecordSuccess(now time.Time) {
	h.decay(now)
	h.successes++
	h.Readmit()
}

// Readmit ends the worker's probation, if it is on probation, because a probe has succeeded.
func (h *Health) Readmit() {
	h.consecutiveFailures = 0
	h.IsOnProbation = false
	h.ejection = 0
}

// LastFailedAt returns when a failure was last recorded; zero if there was none.
func (h *Health) LastFailedAt() time.Time { return h.lastFailedAt }

// RecordFailure records that a task of a job has failed, and reports whether the worker should be ejected. Further failures of
// the same job do not count towards that, as the job may be at fault.
func (h *Health) RecordFailure(now time.Time, job work.JobID) bool {
	h.decay(now)
	h.failures++
	h.lastFailedAt = now
	if h.IsOnProbation || h.lastJob != job {
		h.consecutiveFailures++
	}
	h.lastJob = job
	return h.consecutiveFailures >= ejectAfter || h.IsOnProbation
}

// Eject keeps tasks off the worker for a time that grows with each ejection, and puts it on probation after
// that.
func (h *Health) Eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.pausedUntil = now.Add(h.ejection)
	h.ejectedAt, h.probationFrom, h.IsOnProbation = now, h.pausedUntil, true
}

// MayProbeEarly reports whether an ejected worker may be probed before its ejection ends, with a
// task that no other worker can run: the ejection gets longer with each probe that fails, and the
// worker may be healthy long before it ends.
func (h *Health) MayProbeEarly(now time.Time) bool {
	return h.IsOnProbation && h.pausedUntil.Equal(h.probationFrom) && now.Sub(h.ejectedAt) >= minEjection
}

// BeginProbation ends the ejection: tasks that are ordered from now on are probes.
func (h *Health) BeginProbation(now time.Time) { h.pausedUntil, h.probationFrom = now, now }

// IsProbe reports whether an attempt that was ordered at orderedAt is a probe of a worker on
// probation. Attempts that were ordered before the probation are not probes: they may run
// forever and would prove nothing.
func (h *Health) IsProbe(orderedAt time.Time) bool {
	return h.IsOnProbation && !orderedAt.Before(h.probationFrom)
}

// RecordRefusal records that the worker has refused a task, and keeps tasks off it for refusalPause.
func (h *Health) RecordRefusal(now time.Time) {
	if until := now.Add(refusalPause); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// IsPaused reports whether the worker is to get no tasks now, as it is ejected or has just
// refused one.
func (h *Health) IsPaused(now time.Time) bool { return now.Before(h.pausedUntil) }
