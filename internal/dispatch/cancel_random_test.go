// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"os"
	"strconv"
	"testing"
)

// cancelSeeds returns the first seed and the number of seeds of TestNothingOfACancelledJobRuns, from
// the environment or as CI runs them.
func cancelSeeds() (uint64, uint64) {
	first, _ := strconv.ParseUint(os.Getenv("LEVERDYKE_CANCEL_SEED"), 10, 64)
	n, err := strconv.ParseUint(os.Getenv("LEVERDYKE_CANCEL_SEEDS"), 10, 64)
	if err != nil {
		n = 3
	}
	return first, n
}

// After the acknowledgement of a cancellation nothing of the job may be ordered, shown as running or
// run on, whatever faults there are.
func TestNothingOfACancelledJobRuns(t *testing.T) {
	t.Parallel()
	first, n := cancelSeeds()
	for name, faults := range map[string]cancelFaults{
		"late orders":              {hasLateOrders: true},
		"restarts":                 {hasRestarts: true},
		"late orders and restarts": {hasRestarts: true, hasLateOrders: true},
	} {
		counts := cancelCounts{}
		for seed := first; seed < first+n; seed++ {
			c := simulateCancels(seed, faults)
			found := c.cancelViolations
			if !faults.hasRestarts || !faults.hasLateOrders {
				// A late order that reaches a newer incarnation first may start a task twice, see
				// TestAbandonedStartReachingANewIncarnationFirstRunsNoTaskTwice.
				found = append(found, c.violations...)
			}
			if len(found) > 0 {
				t.Errorf("%s, seed %d: got: %s (and %d more), want: none", name, seed, found[0], len(found)-1)
			}
			counts.add(c.counts)
		}
		t.Logf("%s: %+v", name, counts)
	}
}
