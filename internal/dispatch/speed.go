// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
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

const (
	// judgeAfter is the least time after which the whole of an attempt tells its rate:
	// percents are whole numbers.
	judgeAfter = 300 * time.Millisecond
	// shortestSample and sampleShare are the least time between two percents that
	// tell a rate: the least, and a share of the time that the task should take.
	shortestSample = 150 * time.Millisecond
	sampleShare    = 0.08
	// slowestRate is the least rate that is believed, in percent a second: what stands
	// still is judged otherwise.
	slowestRate = 1.0
)

// progress is how far an attempt is, by its worker's clock.
type progress struct {
	// at and percent are of the last sample; at is 0 before the first.
	at      order.WorkerTime
	percent int
	// rate is that between the last two samples, in percent a second.
	rate    float64
	hasRate bool
}

// take takes what a worker tells, no more often than the attempt's time asks for.
func (p *progress) take(at order.WorkerTime, percent int, expected time.Duration) {
	took := time.Duration(at - p.at)
	if p.at > 0 && took < max(shortestSample, time.Duration(sampleShare*float64(expected))) {
		return
	}
	if p.at > 0 {
		p.rate, p.hasRate = float64(percent-p.percent)/took.Seconds(), true
	}
	p.at, p.percent = at, percent
}

// projected returns how long the attempt will take in all at its last rate, or at
// that so far; 0 when that cannot be told yet.
func (a *attempt) projected() time.Duration {
	elapsed := a.worker.toldAt.Sub(a.orderedAt)
	switch {
	case a.isAdopted:
		return 0
	case a.progress.hasRate:
		left := float64(100-a.percent) / max(a.progress.rate, slowestRate)
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
	if !e.has(MechanismSpeed) {
		return
	}
	if !w.speed.isSlow(e.now) {
		e.options.Log(events.WorkerSlow, "worker", w.ID, "slow", slow, "judged", judged)
	}
	w.speed.judgedSlow(e.now)
	e.isDirty = true
}
