// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

// lagMeter measures for which share of the time the loop is kept from running, by how late its
// ticks arrive. The zero value is ready to use.
type lagMeter struct {
	// lastTickAt is when the last tick was handled; zero before the first.
	lastTickAt time.Time
	// share is the share of the time by which ticks are late, averaged over about lagWindow.
	share float64
}

// lagWindow is the time over which lateness is averaged.
const lagWindow = 700 * time.Millisecond

// tick handles a tick of a clock with that period.
func (m *lagMeter) tick(now time.Time, period time.Duration) {
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
