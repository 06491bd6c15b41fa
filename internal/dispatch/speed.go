// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

const (
	// slowRatio is how much longer than expected a task may seem to take. Slow
	// workers take four times as long and more; sizes of like tasks differ by less.
	slowRatio = 2.5
	// slowPause is how long a slow worker is left for the last choice.
	slowPause = 4 * time.Second
)

// speed is what is known of how fast a worker works.
type speed struct {
	// slowUntil is until when it is left for the last choice.
	slowUntil time.Time
	// isSuspect means that it was slow, and has ended no task in the usual time
	// since. It gets what others have no room for.
	isSuspect bool
}

func (s *speed) judgedSlow(now time.Time) {
	s.slowUntil = now.Add(slowPause)
	s.isSuspect = true
}

func (s *speed) isSlow(now time.Time) bool { return now.Before(s.slowUntil) }

// ended takes the time of a task that is done; expected is 0 when it is not known.
func (s *speed) ended(took, expected time.Duration) {
	if expected > 0 && float64(took) < slowRatio*float64(expected) {
		s.isSuspect = false
	}
}

// judgeSpeed finds out from a listing whether a worker is slow: whether most of
// its tasks seem to take far too long, of two steps at least or of one whose time
// is known well.
func (e *Engine) judgeSpeed(w *worker) {
	judged, slow := 0, 0
	var first *step
	isSeveral := false
	for _, a := range w.attempts {
		if a.step == nil || a.phase != phaseRunning || a.isStopping || a.step.spec.IsLasting || a.step.spec.IsFiller {
			continue
		}
		expected, projected := e.expected(a.step), a.projected()
		if expected <= 0 || projected == 0 {
			continue
		}
		judged++
		if float64(projected) > slowRatio*float64(expected) {
			slow++
			isSeveral = isSeveral || e.isTrustedTime(a.step) || first != nil && first != a.step
			first = a.step
		}
	}
	if !isSeveral || 2*slow <= judged {
		return
	}
	if !w.speed.isSlow(e.now) {
		e.options.Log(events.WorkerSlow, "worker", w.ID, "slow", slow, "judged", judged)
	}
	w.speed.judgedSlow(e.now)
	e.isDirty = true
}
