// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/owner"
)

// A store can be slow for seconds and still persist everything. With a fixed timeout the owner
// would treat it as down and refuse all new jobs for that time.
func TestAppendTimeoutFollowsSlowStore(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		persisted []time.Duration
		hasFailed bool
		want      time.Duration
	}{
		"nothing known":    {nil, false, 700 * ms},
		"a quick store":    {[]time.Duration{4 * ms}, false, 700 * ms},
		"a slow one":       {[]time.Duration{4 * ms, 690 * ms, 800 * ms}, false, 1200 * ms},
		"a very slow one":  {[]time.Duration{1200 * ms}, false, 1300 * ms},
		"quick again":      {[]time.Duration{800 * ms, 4 * ms}, false, 700 * ms},
		"slow, and failed": {[]time.Duration{800 * ms}, true, 700 * ms},
	} {
		if got := owner.AppendTimeout(tc.persisted, tc.hasFailed); got != tc.want {
			t.Errorf("%s: append timeout: got: %v, want: %v", name, got, tc.want)
		}
	}
}
