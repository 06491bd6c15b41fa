// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package sizes_test

import (
	"fmt"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/sizes"
)

var (
	declared = leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1000, Slots: 1}
	largest  = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4000, Slots: 4}
)

func TestEstimate(t *testing.T) {
	for name, c := range map[string]struct {
		reports []leverdyke.Resources
		want    leverdyke.Resources
	}{
		"no report":           {nil, declared},
		"less than declared":  {[]leverdyke.Resources{{MilliCPU: 100, MemoryMiB: 100}}, declared},
		"more memory":         {[]leverdyke.Resources{{MilliCPU: 500, MemoryMiB: 3000}}, leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 3000, Slots: 1}},
		"the most of several": {[]leverdyke.Resources{{MilliCPU: 2000}, {MilliCPU: 1500}}, leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 1000, Slots: 1}},
		"more than a VM has":  {[]leverdyke.Resources{{MilliCPU: 9000, MemoryMiB: 9000}}, leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4000, Slots: 1}},
		"slots as declared":   {[]leverdyke.Resources{{MilliCPU: 2000, Slots: 3}}, leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 1000, Slots: 1}},
	} {
		l := sizes.NewEstimator()
		for _, used := range c.reports {
			l.Observe("job", declared, used)
		}
		if got := l.Estimate("job", declared, largest); got != c.want {
			t.Errorf("%s: got: %v, want: %v", name, got, c.want)
		}
		if got := l.Estimate("other", declared, largest); got != declared {
			t.Errorf("%s, another job: got: %v, want: %v", name, got, declared)
		}
	}
}

// A job that ended is not removed from the estimator; without a bound it would
// grow with every job that uses more than it declares.
func TestNumberOfRememberedJobsIsBounded(t *testing.T) {
	l := sizes.NewEstimator()
	for i := range 10000 {
		l.Observe(fmt.Sprint("job", i), declared, leverdyke.Resources{MilliCPU: 2000})
	}
	remembered := 0
	for i := range 10000 {
		if l.Estimate(fmt.Sprint("job", i), declared, largest) != declared {
			remembered++
		}
	}
	if remembered < 1 || remembered > 512 {
		t.Errorf("got: %d jobs remembered, want: 1 to 512", remembered)
	}
}
