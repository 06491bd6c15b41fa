// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package throughput

import (
	"math"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// taskScatter is the standard deviation of the run times of a step's tasks, as a fraction of
	// its expected duration.
	taskScatter = 0.27
	// meanErrorOfNormal is the mean error of a normal distribution of which the standard deviation
	// is 1.
	meanErrorOfNormal = 0.8
	// maxEstimateWeight is how many tasks an accurate estimate counts as.
	maxEstimateWeight = 20.0
	// minTrustedTasks is how many tasks make the duration of a step known, if they are half of
	// those that have started.
	minTrustedTasks = 2
	// maxAge is how long a duration is valid before it is computed again.
	maxAge = 50 * time.Millisecond
)

// Step has how long the tasks of a step take on a typical worker, by those that have ended and by the
// progress of those that run. The zero value is ready to use.
type Step struct {
	// ends are the tasks that have ended; none once the step is done.
	ends []End
	// duration is 0 unless it is known from at least two tasks on different workers. It was computed
	// at computedAt, from sampleCount tasks of the startedCount that had started.
	duration                  time.Duration
	computedAt                time.Time
	sampleCount, startedCount int
	isOnTwoWorkers, isDone    bool
}

// Add adds a task that has ended.
func (s *Step) Add(end End) {
	s.ends = append(s.ends, end)
	s.computedAt = time.Time{}
}

// IsStale reports whether Update is due.
func (s *Step) IsStale(now time.Time) bool {
	return !s.isDone && (s.computedAt.IsZero() || now.Sub(s.computedAt) >= maxAge)
}

// Update computes the duration. running are the tasks that run; Took is their projected run time, 0
// if it is not known yet.
func (s *Step) Update(now time.Time, m *Model, running []End) {
	samples := append([]End{}, s.ends...)
	for _, r := range running {
		if r.Took > 0 {
			samples = append(samples, r)
		}
	}
	s.computedAt, s.startedCount, s.duration, s.sampleCount = now, len(s.ends)+len(running), 0, 0
	s.isOnTwoWorkers = areOnTwoWorkers(s.ends, running)
	if areOnTwoWorkers(samples, nil) {
		s.duration, s.sampleCount = m.Typical(samples), len(samples)
	}
}

// areOnTwoWorkers reports whether tasks are on at least two workers.
func areOnTwoWorkers(ends, running []End) bool {
	var first order.WorkerID
	for _, tasks := range [][]End{ends, running} {
		for i := range tasks {
			if first != "" && tasks[i].Worker != first {
				return true
			}
			first = tasks[i].Worker
		}
	}
	return false
}

// Finish records that all tasks have ended, and lets the model learn from them. expected is how long
// a task was expected to take, 0 if that is not known.
func (s *Step) Finish(now time.Time, m *Model, expected time.Duration) {
	if len(s.ends) > 0 {
		s.Update(now, m, nil)
		m.Observe(now, s.ends, expected)
	}
	s.ends, s.isDone = nil, true
}

// IsTrusted reports whether the duration is known well enough to judge a single task by it.
func (s *Step) IsTrusted() bool {
	return s.sampleCount >= max(minTrustedTasks, s.startedCount/2)
}

// IsOnTwoWorkers reports whether tasks have ended or run on at least two workers, so that their
// progress will tell whether the step is long as a whole.
func (s *Step) IsOnTwoWorkers() bool { return s.isOnTwoWorkers }

// Duration returns how long a task takes on a typical worker, by tasks and the caller's estimate,
// which counts as so many tasks as it is accurate; estimateError is the mean error of its logarithm. It
// is 0 if too little is known from tasks; the estimate may be 0 as well.
func (s *Step) Duration(estimate time.Duration, estimateError float64) time.Duration {
	if s.duration <= 0 || estimate <= 0 {
		return s.duration
	}
	// The error has the scatter of single tasks in it.
	const scatter = meanErrorOfNormal * taskScatter
	weight := min(scatter*scatter/max(estimateError*estimateError-scatter*scatter, 0.001), maxEstimateWeight)
	share := weight / (weight + float64(s.sampleCount))
	return time.Duration(math.Pow(float64(estimate), share) * math.Pow(float64(s.duration), 1-share))
}
