// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate

import (
	"math"
	"time"
)

const (
	// trustedRuns is how many tasks make the errors of a caller's estimates known.
	trustedRuns = 20
	// trustedError is the mean error of estimates, as a logarithm, up to which one
	// tells that a task is slow: at 0.4, one in a hundred is off by a factor of 2.5.
	trustedError = 0.4
	// biasWeight is the weight of a new task in what estimates are corrected by.
	biasWeight = 0.05
	// settled is how many times as long as a task's estimate tasks must have been
	// ordered for until its time counts: the first to be done are the shortest, and
	// make all others look slow.
	settled = 3
)

// Durations learns how good callers' estimates of run times are. The zero value
// works; a nil *Durations knows nothing.
type Durations struct {
	// began is when the first task was ordered.
	began time.Time
	runs  int
	// bias is the mean logarithm of how much longer tasks take than estimated,
	// error the mean distance from it.
	bias, error float64
}

// Correct returns an estimate, corrected by what earlier tasks took.
func (d *Durations) Correct(estimate time.Duration) time.Duration {
	if d == nil {
		return estimate
	}
	return time.Duration(math.Exp(d.bias) * float64(estimate))
}

// IsTrusted reports whether a corrected estimate tells that a single task is slow.
func (d *Durations) IsTrusted() bool {
	return d != nil && d.runs >= trustedRuns && d.error < trustedError
}

// Begin takes that a task was ordered.
func (d *Durations) Begin(now time.Time) {
	if d.began.IsZero() {
		d.began = now
	}
}

// Learn takes how long a task took that is done now, for which there was an
// estimate, which must be positive.
func (d *Durations) Learn(now time.Time, took, estimate time.Duration) {
	if now.Sub(d.began) < settled*estimate {
		return
	}
	d.runs++
	weight := max(biasWeight, 1/float64(d.runs))
	ratio := float64(max(took, time.Millisecond)) / float64(estimate)
	distance := math.Log(ratio) - d.bias
	d.bias += weight * distance
	d.error += weight * (math.Abs(distance) - d.error)
}
