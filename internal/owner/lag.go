// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

// LagMeter measures for which share of the time a loop is kept from running, by how late its
// ticks arrive. The zero value is ready to use. It is not safe for concurrent use.
type LagMeter struct {
	// lastTickAt is when the last tick was handled; zero before the first.
	lastTickAt time.Time
	// share is the share of the time by which ticks are late, averaged over about lagWindow.
	share float64
}

// lagWindow is the time over which lateness is averaged.
const lagWindow = 700 * time.Millisecond

// Share returns that share of the recent time.
func (m *LagMeter) Share() float64 { return m.share }

// Tick handles a tick of a clock with that period.
func (m *LagMeter) Tick(now time.Time, period time.Duration) {
	last := m.lastTickAt
	m.lastTickAt = now
	if last.IsZero() || !now.After(last) {
		return
	}
	gap := now.Sub(last)
	late := float64(max(gap-period, 0)) / float64(gap)
	weight := min(float64(gap)/float64(lagWindow), 1)
	m.share += weight * (late - m.share)
}
