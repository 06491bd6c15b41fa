// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate

import (
	"math"
	"time"
)

const (
	// trustedRuns is how many tasks make the errors of a caller's estimates known.
	minReliableSamples = 20
	// trustedError is the mean error of estimates, as a logarithm, up to which one
	// tells that a task is slow: at 0.4, one in a hundred is off by a factor of 2.5.
	maxReliableError = 0.4
	// biasWeight is the weight of a new task in what estimates are corrected by.
	minSampleWeight = 0.05
	// settled is how many times as long as a task's estimate tasks must have been
	// ordered for until its time counts: the first to be done are the shortest, and
	// make all others look slow.
	warmUpRatio = 3
)

// RunTimes learns how good callers' estimates of run times are. The zero value
// works; a nil *RunTimes knows nothing.
type RunTimes struct {
	// began is when the first task was ordered.
	firstOrderAt time.Time
	samples      int
	// bias is the mean logarithm of how much longer tasks take than estimated,
	// error the mean distance from it.
	bias, error float64
}

// Correct returns an estimate, corrected by what earlier tasks took.
func (r *RunTimes) Correct(estimate time.Duration) time.Duration {
	if r == nil {
		return estimate
	}
	return time.Duration(math.Exp(r.bias) * float64(estimate))
}

// IsReliable reports whether a corrected estimate tells that a single task is slow.
func (r *RunTimes) IsReliable() bool {
	return r != nil && r.samples >= minReliableSamples && r.error < maxReliableError
}

// Ordered takes that a task was ordered.
func (r *RunTimes) Ordered(now time.Time) {
	if r.firstOrderAt.IsZero() {
		r.firstOrderAt = now
	}
}

// Observe takes how long a task took that is done now, for which there was an
// estimate, which must be positive.
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
