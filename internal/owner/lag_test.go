// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/owner"
)

// The share must count late ticks both when all are a little late and when a few are very late.
func TestLagMeter(t *testing.T) {
	const period = 20 * time.Millisecond
	for name, tc := range map[string]struct {
		gaps     []time.Duration
		min, max float64
	}{
		"on time":            {[]time.Duration{period}, 0, 0},
		"a little late":      {[]time.Duration{21 * time.Millisecond}, 0.01, 0.06},
		"a third lost":       {[]time.Duration{30 * time.Millisecond}, 0.25, 0.34},
		"stops now and then": {[]time.Duration{period, period, period, 120 * time.Millisecond}, 0.3, 0.6},
	} {
		now := clock.NewFake().Now()
		m := &owner.LagMeter{}
		m.Tick(now, period)
		for i := range 200 {
			now = now.Add(tc.gaps[i%len(tc.gaps)])
			m.Tick(now, period)
		}
		if got := m.Share(); got < tc.min || got > tc.max {
			t.Errorf("%s: got: %.3f, want: %.2f to %.2f", name, got, tc.min, tc.max)
		}
	}
}
