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
	// highShare of its target is where a tail counts as too long; lowShare where
	// there is room again.
	highShare = 0.9
	lowShare  = 0.6
	// pacePause is the time between two changes: the figure that a worker tells
	// is over the last half second.
	pacePause = 600 * time.Millisecond
	// paceStep is how much is given back at a time.
	paceStep = 25
	// paceCut divides the pace at each cut; below paceFloor it is 0.
	paceCut   = 4
	paceFloor = 10
)

// setPaces paces the tasks that fill on a worker by the tails of those that serve.
func (e *Engine) setPaces(w *worker) {
	worst := 0.0
	hasFillers := false
	for _, a := range w.attempts.All() {
		if a.step == nil || a.phase != phaseRunning {
			continue
		}
		hasFillers = hasFillers || a.step.spec.IsBestEffort
		if target := a.step.spec.TailTarget; target > 0 && a.percent >= 100 {
			worst = max(worst, float64(a.metric)/float64(target.Milliseconds()))
		}
	}
	if !hasFillers {
		return
	}
	for _, a := range w.attempts.All() {
		if a.step != nil && a.step.spec.IsBestEffort && a.phase == phaseRunning && !a.isStopping {
			e.setPace(a, worst)
		}
	}
}

func (e *Engine) setPace(a *attempt, worst float64) {
	if e.now.Sub(a.paceChangedAt) < pacePause {
		return
	}
	want := a.pace
	switch {
	case worst > highShare:
		want = a.pace / paceCut
		if want < paceFloor {
			want = 0
		}
	case worst < lowShare:
		want = min(a.pace+paceStep, fullPace)
	}
	if want == a.pace {
		return
	}
	a.pace, a.paceChangedAt = want, e.now
	e.do(order.Pace{Worker: a.worker.ID, Addr: a.worker.Addr, Generation: e.strays.Generation(a.worker.ID), Task: a.id, Run: a.run, Percent: want})
}
