// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// SlowRatio is how much longer than expected a task may seem to take. Slow
	// workers take four times as long and more; sizes of like tasks differ by less.
	SlowRatio = 2.5
	// slowPause is how long a slow worker is left for the last choice.
	slowPause = 4 * time.Second
)

// Speed is what is known of how fast a worker works.
type Speed struct {
	// slowUntil is until when it is left for the last choice.
	slowUntil time.Time
	// IsSuspectedSlow means that it was slow, and has ended no task in the usual time
	// since. It gets what others have no room for.
	IsSuspectedSlow bool
}

// MarkSlow takes that the worker is slow now.
func (s *Speed) MarkSlow(now time.Time) {
	s.slowUntil = now.Add(slowPause)
	s.IsSuspectedSlow = true
}

// IsSlow reports whether it is left for the last choice.
func (s *Speed) IsSlow(now time.Time) bool { return now.Before(s.slowUntil) }

// NoteRunTime takes the time of a task that is done; expected is 0 when it is not known.
func (s *Speed) NoteRunTime(took, expected time.Duration) {
	if expected > 0 && float64(took) < SlowRatio*float64(expected) {
		s.IsSuspectedSlow = false
	}
}

const (
	// shortestSample and sampleShare are the least time between two percents that
	// tell a rate: the least, and a share of the time that the task should take.
	minSampleTime  = 150 * time.Millisecond
	minSampleShare = 0.08
)

// Progress is how far an attempt is, by its worker's clock.
type Progress struct {
	// at and percent are of the last sample; at is 0 before the first.
	at      order.WorkerTime
	percent int
	// rate is that between the last two samples, in percent a second.
	rate    float64
	hasRate bool
}

// Observe takes what a worker tells, no more often than the attempt's time asks for.
func (p *Progress) Observe(at order.WorkerTime, percent int, expected time.Duration) {
	took := time.Duration(at - p.at)
	if p.at > 0 && took < max(minSampleTime, time.Duration(minSampleShare*float64(expected))) {
		return
	}
	if p.at > 0 {
		p.rate, p.hasRate = float64(percent-p.percent)/took.Seconds(), true
	}
	p.at, p.percent = at, percent
}

// Rate returns that between the last two samples, in percent a second, and false before
// there are two.
func (p *Progress) Rate() (float64, bool) { return p.rate, p.hasRate }
