// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Parameters for throttling best-effort tasks that disturb tasks serving users. A pace is a
// percentage of full speed.
const (
	fullPace = 100
	// A tail latency above throttleRatio times its target is too long; below restoreRatio times the
	// target the best-effort tasks may run faster again.
	throttleRatio = 0.9
	restoreRatio  = 0.6
	// paceInterval is the time between two changes of pace, because the tail latency that a worker
	// reports covers the last half second.
	paceInterval = 600 * time.Millisecond
	// paceStep is how many percentage points one increase of the pace adds.
	paceStep = 25
	// Each cut divides the pace by paceDivisor; a result below minPace becomes 0.
	paceDivisor = 4
	minPace     = 10
)

// setPaces adjusts the pace of the best-effort tasks on a worker to the tail latencies of the tasks
// that serve users there.
func (e *Engine) setPaces(w *worker) {
	worstRatio := 0.0
	hasBestEffort := false
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning {
			continue
		}
		hasBestEffort = hasBestEffort || a.step.spec.IsBestEffort
		if target := a.step.spec.TailTarget; target > 0 && a.percent >= 100 {
			worstRatio = max(worstRatio, float64(a.metric)/float64(target.Milliseconds()))
		}
	}
	if !hasBestEffort {
		return
	}
	for _, a := range w.attempts.All() {
		if a.step != nil && a.step.spec.IsBestEffort && a.phase == phaseRunning && !a.isStopping {
			e.setPace(a, worstRatio)
		}
	}
}

func (e *Engine) setPace(a *attempt, worstRatio float64) {
	if e.now.Sub(a.paceChangedAt) < paceInterval {
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
	a.pace, a.paceChangedAt = newPace, e.now
	e.emit(order.Pace{Worker: a.worker.ID, Addr: a.worker.Addr, Generation: e.abandonedStarts.Generation(a.worker.ID), Task: a.id, Run: a.run, Percent: newPace})
}
