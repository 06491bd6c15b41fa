// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// How tasks that fill are paced when they disturb tasks that serve users.
const (
	fullPace = 100
	// throttleRatio of its target is where a tail counts as too long; lowShare where
	// there is room again.
	throttleRatio = 0.9
	restoreRatio  = 0.6
	// paceInterval is the time between two changes: the figure that a worker tells
	// is over the last half second.
	paceInterval = 600 * time.Millisecond
	// paceStep is how much is given back at a time.
	paceStep = 25
	// paceDivisor divides the pace at each cut; below paceFloor it is 0.
	paceDivisor = 4
	minPace     = 10
)

// setPaces paces the tasks that fill on a worker by the tails of those that serve.
func (e *Engine) setPaces(w *worker) {
	worstRatio := 0.0
	hasBestEffort := false
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning {
			continue
		}
		hasBestEffort = hasBestEffort || a.step.spec.IsFiller
		if target := a.step.spec.TailTarget; target > 0 && a.percent >= 100 {
			worstRatio = max(worstRatio, float64(a.figure)/float64(target.Milliseconds()))
		}
	}
	if !hasBestEffort {
		return
	}
	for _, a := range w.attempts.All() {
		if a.step != nil && a.step.spec.IsFiller && a.phase == phaseRunning && !a.isStopping {
			e.setPace(a, worstRatio)
		}
	}
}

func (e *Engine) setPace(a *attempt, worstRatio float64) {
	if e.now.Sub(a.pacedAt) < paceInterval {
		return
	}
	newPace := a.pace
	switch {
	case worstRatio > throttleRatio:
		newPace = a.pace / paceDivisor
		if newPace < minPace {
			newPace = 0
		}
	case worstRatio < restoreRatio:
		newPace = min(a.pace+paceStep, fullPace)
	}
	if newPace == a.pace {
		return
	}
	a.pace, a.pacedAt = newPace, e.now
	e.emit(order.Pace{Worker: a.worker.ID, Addr: a.worker.Addr, Generation: e.abandonedStarts.Generation(a.worker.ID), Task: a.id, Run: a.run, Percent: newPace})
}
