// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

const (
	// minRateTime is the least time after which the average rate of an attempt is usable: progress
	// is reported in whole percents.
	minRateTime = 300 * time.Millisecond
	// minFirstPercentTime is the least time after which an attempt without any progress is judged.
	minFirstPercentTime = 600 * time.Millisecond
	// minRate is the least rate that projections use, in percent a second. Attempts without
	// progress are detected as stalled instead.
	minRate = 1.0
)

// Projection returns how long an attempt takes in all, by its latest rate or else by its average one;
// 0 if that is not known yet. elapsed is the time since its order, worked the part of it since it began.
func (p *Progress) Projection(elapsed, worked time.Duration, percent int) time.Duration {
	if p.hasRate {
		remaining := float64(100-percent) / max(p.maxRate, minRate)
		return elapsed + time.Duration(remaining*float64(time.Second))
	}
	if worked < minRateTime || percent <= 0 && worked < minFirstPercentTime {
		return 0
	}
	return elapsed - worked + time.Duration(float64(worked)*100/max(float64(percent), 1))
}

// DurationAtRate returns how long the whole task would take at the latest rate, and false if that is
// not known yet.
func (p *Progress) DurationAtRate() (time.Duration, bool) {
	return time.Duration(100 / max(p.maxRate, minRate) * float64(time.Second)), p.hasRate
}
