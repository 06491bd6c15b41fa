// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/throughput"
)

const (
	// minProjectedPercent is the progress from which the projection of a running attempt counts:
	// before, rounding is too large a part of it.
	minProjectedPercent = 10
	// throughputInterval is the time between two log lines about the speed of workers.
	throughputInterval = 10 * time.Second
)

// WorkerSpeeds returns how fast the workers are on which tasks have ended lately, sorted by worker.
func (e *Engine) WorkerSpeeds() []throughput.WorkerRatio { return e.throughput.Snapshot() }

// updateThroughput lets old observations of speeds decay and logs how many workers are fast and
// slow, every throughputInterval.
func (e *Engine) updateThroughput() {
	if e.now.Before(e.throughputDueAt) {
		return
	}
	e.throughputDueAt = e.now.Add(throughputInterval)
	e.throughput.Decay(e.now)
	counts := map[throughput.Class]int{}
	speeds := e.WorkerSpeeds()
	for i := range speeds {
		counts[speeds[i].Class()]++
	}
	if len(speeds) > 0 {
		e.options.Log(events.WorkersBySpeed, "fast", counts[throughput.Fast], "typical", counts[throughput.Typical], "slow", counts[throughput.Slow])
	}
}

// speedRatio returns how long tasks take on the worker compared with a typical one.
func (e *Engine) speedRatio(w *worker) float64 {
	if !e.isEnabled(MechanismThroughput) {
		return 1
	}
	return e.throughput.Ratio(w.ID)
}

// expectedOn returns how long an attempt of the step should take on the worker; 0 if that is not
// known.
func (e *Engine) expectedOn(s *step, w *worker) time.Duration {
	return time.Duration(float64(e.expectedDuration(s)) * e.speedRatio(w))
}

// updateSpeeds updates what the step's tasks tell of its duration. Those on workers that do not
// answer tell nothing.
func (e *Engine) updateSpeeds(s *step) {
	if !s.speeds.IsStale(e.now) {
		return
	}
	running := e.runningBuffer[:0]
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && s.tasks[i].state == taskPlaced && !a.worker.session.IsSilent() {
			running = append(running, throughput.End{Worker: a.worker.ID, Took: a.averageProjection()})
		}
	}
	e.runningBuffer = running
	s.speeds.Update(e.now, &e.throughput, running)
}

// averageProjection returns how long the attempt will take from its order to its end, by its average
// rate since it started; 0 if that is not known. A member of a gang that has done its work waits for
// the slowest one.
func (a *attempt) averageProjection() time.Duration {
	isWaiting := a.step.spec.IsGang && a.percent >= discard.NearlyDonePercent
	if a.phase != phaseRunning || a.isResumed || a.isAdopted || isWaiting || a.percent < minProjectedPercent || a.startConfirmedAt.IsZero() {
		return 0
	}
	ran := a.worker.session.ListedAt().Sub(a.startConfirmedAt)
	if a.percent < 100 {
		// Progress is reported in whole percents, rounded down.
		ran = time.Duration(float64(ran) * 100 / (float64(a.percent) + 0.5))
	}
	return a.startConfirmedAt.Sub(a.orderedAt) + ran
}

// recordEnd records how long a task of a step took. Members of a gang take as long as the slowest,
// and a worker that is slow for a while is not to be remembered as such.
func (e *Engine) recordEnd(s *step, w *worker, took time.Duration) {
	if !s.spec.IsGang && !w.speed.IsSlow(e.now) {
		s.speeds.Add(throughput.End{Worker: w.ID, Took: took})
	}
}

// objective returns what it takes to end a task of the step in time.
func (e *Engine) objective(s *step) throughput.Objective {
	return throughput.Objective{Duration: e.expectedDuration(s), Slack: s.slack}
}

// hasUsableObjective reports whether workers for the step are chosen by their speed.
func (e *Engine) hasUsableObjective(s *step) bool {
	return s.hasObjective && !s.spec.IsLongRunning && !s.spec.IsBestEffort && e.isEnabled(MechanismThroughput)
}
