// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate

import (
	"math"
	"time"
)

const (
	// minReliableSamples is how many tasks have to be observed before the error of the
	// estimates counts as known.
	minReliableSamples = 20
	// maxReliableError is the mean error of estimates, as a logarithm, below which an estimate is
	// good enough to detect that a single task is slow: at 0.4, one estimate in a hundred is
	// off by a factor of 2.5.
	maxReliableError = 0.4
	// minSampleWeight is the least weight of a new task in the moving averages of bias and error.
	minSampleWeight = 0.05
	// warmUpRatio is how many times a task's estimate must have passed since the first order
	// before the task's run time counts. The first tasks to end are the shortest ones; if
	// they counted, all others would appear slow.
	warmUpRatio = 3
)

// RunTimes learns how accurate callers' estimates of run times are. The zero value is ready to use.
// A nil *RunTimes returns estimates uncorrected and unreliable.
type RunTimes struct {
	// firstOrderAt is when the first task was ordered to start.
	firstOrderAt time.Time
	samples      int
	// bias is the mean logarithm of the ratio of run time to estimate; error is the mean absolute
	// deviation from bias.
	bias, error float64
}

// Correct returns an estimate, corrected by the mean ratio of run times to estimates.
func (r *RunTimes) Correct(estimate time.Duration) time.Duration {
	if r == nil {
		return estimate
	}
	return time.Duration(math.Exp(r.bias) * float64(estimate))
}

// IsReliable reports whether corrected estimates are accurate enough to detect that a single task is
// slow.
func (r *RunTimes) IsReliable() bool {
	return r != nil && r.samples >= minReliableSamples && r.error < maxReliableError
}

// Error returns the mean error of corrected estimates, as a logarithm; that from which estimates are
// not reliable if it is not known yet.
func (r *RunTimes) Error() float64 {
	if r == nil || r.samples < minReliableSamples {
		return maxReliableError
	}
	return r.error
}

// Ordered records that a task was ordered to start. Only the first call has an effect.
func (r *RunTimes) Ordered(now time.Time) {
	if r.firstOrderAt.IsZero() {
		r.firstOrderAt = now
	}
}

// Observe adds the run time of a task that is done now. Its estimate must be positive.
func (r *RunTimes) Observe(now time.Time, took, estimate time.Duration) {
	if now.Sub(r.firstOrderAt) < warmUpRatio*estimate {
		return
	}
	r.samples++
	weight := max(minSampleWeight, 1/float64(r.samples))
	ratio := float64(max(took, time.Millisecond)) / float64(estimate)
	distance := math.Log(ratio) - r.bias
	r.bias += weight * distance
	r.error += weight * (math.Abs(distance) - r.error)
}

// RunTimesSummary is what a RunTimes has learned.
type RunTimesSummary struct {
	// Samples is the number of observed tasks.
	Samples int
	// Bias is the mean logarithm of the ratio of run time to estimate, Error the mean absolute
	// deviation from it.
	Bias, Error float64
}

// maxRestoredBias limits the bias and the error of a restored summary: no useful estimate is wrong
// by more than a factor of about 150.
const maxRestoredBias = 5

// maxRestoredSamples is how many tasks a restored summary counts for at most: too few to judge that
// a single task is slow.
const maxRestoredSamples = minReliableSamples / 2

func (s *RunTimesSummary) isValid() bool {
	return s.Samples > 0 && math.Abs(s.Bias) <= maxRestoredBias && s.Error >= 0 && s.Error <= maxRestoredBias
}

// Summary returns what was learned.
func (r *RunTimes) Summary() RunTimesSummary { return RunTimesSummary{r.samples, r.bias, r.error} }

// Restore continues from a summary, unless tasks have been observed already or the summary is not
// valid. Corrected estimates are not reliable before further tasks have been observed.
func (r *RunTimes) Restore(s RunTimesSummary) {
	if r.samples > 0 || !s.isValid() {
		return
	}
	r.samples, r.bias, r.error = min(s.Samples, maxRestoredSamples), s.Bias, s.Error
}
