// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/estimate"
)

// The timeout must stay above the usual response times, so that orders that are answered do not count
// as unacknowledged, and within its bounds.
func TestTimeoutFollowsResponseTimes(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		observed []time.Duration
		min, max time.Duration
	}{
		"none yet":         {nil, 200 * ms, 200 * ms},
		"always fast":      {[]time.Duration{4 * ms}, 60 * ms, 60 * ms},
		"slow but regular": {[]time.Duration{90 * ms, 100 * ms, 110 * ms}, 110 * ms, 160 * ms},
		"very slow":        {[]time.Duration{300 * ms}, 200 * ms, 200 * ms},
	} {
		a := &estimate.ResponseTime{}
		for i := range 100 * min(len(tc.observed), 1) {
			a.Observe(tc.observed[i%len(tc.observed)])
		}
		if got := a.Timeout(); got < tc.min || got > tc.max {
			t.Errorf("%s: got: %v, want: %v to %v", name, got, tc.min, tc.max)
		}
	}
}
