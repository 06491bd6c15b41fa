// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// SlowRatio is how much longer than expected a task may seem to take before its worker
	// counts as slow. Slow workers take four times as long and more; tasks of one kind differ
	// in size by less.
	SlowRatio = 2.5
	// slowPause is the time during which a slow worker gets only tasks that no other worker can take.
	slowPause = 4 * time.Second
)

// Speed is what is known of how fast a worker works.
type Speed struct {
	// slowUntil is until when the worker gets only tasks that no other worker can take.
	slowUntil time.Time
	// IsSuspectedSlow means that the worker was slow, and has ended no task within the expected
	// time since. It gets only tasks for which other workers have no free capacity.
	IsSuspectedSlow bool
}

// MarkSlow records that the worker is slow now.
func (s *Speed) MarkSlow(now time.Time) {
	s.slowUntil = now.Add(slowPause)
	s.IsSuspectedSlow = true
}

// IsSlow reports whether the worker has been slow within the last slowPause.
func (s *Speed) IsSlow(now time.Time) bool { return now.Before(s.slowUntil) }

// RecordRunTime records how long a task took that has succeeded; expected is 0 when it is not
// known.
func (s *Speed) RecordRunTime(took, expected time.Duration) {
	if expected > 0 && float64(took) < SlowRatio*float64(expected) {
		s.IsSuspectedSlow = false
	}
}

const (
	// minSampleTime and minSampleShare are the least time between two samples of an attempt's
	// progress from which a rate is computed: an absolute minimum, and a share of the time that
	// the task is expected to take.
	minSampleTime  = 150 * time.Millisecond
	minSampleShare = 0.08
)

// Progress is the progress of an attempt, by its worker's clock.
type Progress struct {
	// at and percent are those of the last sample; at is 0 before the first.
	at      order.WorkerTime
	percent int
	// rate is the rate between the last two samples, and maxRate the highest one that they allow, because
	// each is rounded down to a whole percent: of a long task, two samples may be less than one percent
	// apart. Both are in percent a second.
	rate, maxRate float64
	hasRate       bool
}

// Observe records a sample of the progress. It ignores samples that follow the last one too soon.
func (p *Progress) Observe(at order.WorkerTime, percent int, expected time.Duration) {
	took := time.Duration(at - p.at)
	if p.at > 0 && took < max(minSampleTime, time.Duration(minSampleShare*float64(expected))) {
		return
	}
	if p.at > 0 {
		p.rate, p.hasRate = float64(percent-p.percent)/took.Seconds(), true
		p.maxRate = float64(percent-p.percent+1) / took.Seconds()
	}
	p.at, p.percent = at, percent
}

// Rate returns the rate between the last two samples, in percent a second, and false before
// there are two.
func (p *Progress) Rate() (float64, bool) { return p.rate, p.hasRate }

// RoundingShare returns which fraction of the highest rate that the last two samples allow may come
// from rounding; 0 before there are two.
func (p *Progress) RoundingShare() float64 {
	if p.maxRate <= 0 {
		return 0
	}
	return 1 - max(p.rate, 0)/p.maxRate
}
