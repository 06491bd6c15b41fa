// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/outlier"
)

const (
	// minRateTime is the least time after which the average rate of an attempt is usable: progress
	// is reported in whole percents.
	minRateTime = 300 * time.Millisecond
	// minRate is the least rate that projections use, in percent a second. Attempts without
	// progress are detected by stuckTimeout instead.
	minRate = 1.0
)

// projectedDuration returns how long the attempt will take in all, by its latest rate or else by
// its average one; 0 if that is not known yet.
func (a *attempt) projectedDuration() time.Duration {
	elapsed := a.worker.session.ListedAt().Sub(a.orderedAt)
	rate, hasRate := a.progress.Rate()
	switch {
	case a.isAdopted:
		return 0
	case hasRate:
		remaining := float64(100-a.percent) / max(rate, minRate)
		return elapsed + time.Duration(remaining*float64(time.Second))
	case elapsed < minRateTime, a.percent <= 0 && elapsed < minStuckTimeout:
		return 0
	}
	return time.Duration(float64(elapsed) * 100 / max(float64(a.percent), 1))
}

// detectSlowWorker judges from a listing whether a worker is slow: whether most of its tasks are
// likely to take far too long, of two steps at least or of one whose duration is known well.
func (e *Engine) detectSlowWorker(w *worker) {
	judged, slow := 0, 0
	var slowStep *step
	isConclusive := false
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning || a.isStopping || a.step.spec.IsLongRunning || a.step.spec.IsBestEffort {
			continue
		}
		expected, projected := e.expectedDuration(a.step), a.projectedDuration()
		if expected <= 0 || projected == 0 {
			continue
		}
		judged++
		if float64(projected) > outlier.SlowRatio*float64(expected) {
			slow++
			isConclusive = isConclusive || e.isDurationTrusted(a.step) || slowStep != nil && slowStep != a.step
			slowStep = a.step
		}
	}
	if !isConclusive || 2*slow <= judged {
		return
	}
	if !e.isEnabled(MechanismSpeed) {
		return
	}
	if !w.speed.IsSlow(e.now) {
		e.options.Log(events.WorkerSlow, "worker", w.ID, "slow", slow, "judged", judged)
	}
	w.speed.MarkSlow(e.now)
	e.needsScheduling = true
}
