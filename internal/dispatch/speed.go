// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/outlier"
)

const (
	// judgeAfter is the least time after which the whole of an attempt tells its rate:
	// percents are whole numbers.
	judgeAfter = 300 * time.Millisecond
	// slowestRate is the least rate that is believed, in percent a second: what stands
	// still is judged otherwise.
	slowestRate = 1.0
)

// projected returns how long the attempt will take in all at its last rate, or at
// that so far; 0 when that cannot be told yet.
func (a *attempt) projected() time.Duration {
	elapsed := a.worker.session.ListedAt().Sub(a.orderedAt)
	rate, hasRate := a.progress.Rate()
	switch {
	case a.isAdopted:
		return 0
	case hasRate:
		left := float64(100-a.percent) / max(rate, slowestRate)
		return elapsed + time.Duration(left*float64(time.Second))
	case elapsed < judgeAfter, a.percent <= 0 && elapsed < stuckLeast:
		return 0
	}
	return time.Duration(float64(elapsed) * 100 / max(float64(a.percent), 1))
}

// judgeSpeed finds out from a listing whether a worker is slow: whether most of
// its tasks seem to take far too long, of two steps at least or of one whose time
// is known well.
func (e *Engine) judgeSpeed(w *worker) {
	judged, slow := 0, 0
	var first *step
	isSeveral := false
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning || a.isStopping || a.step.spec.IsLasting || a.step.spec.IsFiller {
			continue
		}
		expected, projected := e.expected(a.step), a.projected()
		if expected <= 0 || projected == 0 {
			continue
		}
		judged++
		if float64(projected) > outlier.SlowRatio*float64(expected) {
			slow++
			isSeveral = isSeveral || e.isTrustedTime(a.step) || first != nil && first != a.step
			first = a.step
		}
	}
	if !isSeveral || 2*slow <= judged {
		return
	}
	if !e.isEnabled(MechanismSpeed) {
		return
	}
	if !w.speed.IsSlow(e.now) {
		e.options.Log(events.WorkerSlow, "worker", w.ID, "slow", slow, "judged", judged)
	}
	w.speed.JudgedSlow(e.now)
	e.needsScheduling = true
}
