// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
)

// projectedDuration returns how long the attempt will take in all; 0 if that is not known yet.
func (a *attempt) projectedDuration() time.Duration {
	if a.isAdopted {
		return 0
	}
	listedAt := a.worker.session.ListedAt()
	return a.progress.Projection(listedAt.Sub(a.orderedAt), listedAt.Sub(a.startConfirmedAt), a.percent)
}

// durationAtRate returns how long the whole task would take at its latest rate; 0 if that is not known
// yet.
func (a *attempt) durationAtRate() time.Duration {
	if d, ok := a.progress.DurationAtRate(); ok && !a.isAdopted {
		return d
	}
	return a.projectedDuration()
}

// detectSlowWorker judges from a listing whether a worker is slow.
func (e *Engine) detectSlowWorker(w *worker) {
	if !e.isEnabled(MechanismSpeed) {
		return
	}
	e.observationsBuffer = e.observationsBuffer[:0]
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning || a.isStopping || a.step.spec.IsLongRunning || a.step.spec.IsBestEffort || !a.isAtWork() {
			continue
		}
		if d := a.durationAtRate(); d > 0 && a.percent < discard.NearlyDonePercent {
			e.observationsBuffer = append(e.observationsBuffer, discard.Observation{Step: a.step.id, AtRate: d, Elsewhere: e.durationElsewhere(a, d), Expected: e.durationByEnds(a.step), Rounding: a.progress.RoundingShare()})
		}
	}
	speed := discard.JudgeWorker(e.observationsBuffer)
	if !speed.IsSlow {
		return
	}
	if !w.speed.IsSlow(e.now) {
		e.options.Log(events.WorkerSlow, "worker", w.ID, "slow", speed.Slow, "judged", speed.Judged)
	}
	w.speed.MarkSlow(e.now)
	e.needsScheduling = true
}
