// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/estimate"
)

func TestRunTimes(t *testing.T) {
	const declared = time.Second
	for name, tc := range map[string]struct {
		took       []time.Duration
		min, max   time.Duration
		isReliable bool
	}{
		"no samples":                {nil, declared, declared, false},
		"exact":                     {[]time.Duration{declared}, declared, declared, true},
		"always twice the estimate": {[]time.Duration{2 * declared}, 1900 * time.Millisecond, 2100 * time.Millisecond, true},
		"a fifth or thrice":         {[]time.Duration{declared / 5, 3 * declared}, 500 * time.Millisecond, 1200 * time.Millisecond, false},
	} {
		d := &estimate.RunTimes{}
		begin := clock.NewFake().Now()
		late := begin.Add(time.Minute)
		d.Ordered(begin)
		for i := range 60 * min(len(tc.took), 1) {
			d.Observe(late, tc.took[i%len(tc.took)], declared)
		}
		if got := d.Correct(declared); got < tc.min || got > tc.max {
			t.Errorf("%s: corrected: got: %v, want: %v to %v", name, got, tc.min, tc.max)
		}
		if got := d.IsReliable(); got != tc.isReliable {
			t.Errorf("%s: reliable: got: %v, want: %v", name, got, tc.isReliable)
		}
	}
	if got := (*estimate.RunTimes)(nil).Correct(declared); got != declared {
		t.Errorf("nil: got: %v, want: %v", got, declared)
	}
}

// The first tasks to end are the shortest ones, so that an estimate learned from them is too low. Two
// seconds after a takeover, with tasks of 5 s, all other tasks counted as slow: 40 workers in 1.5 s,
// and their tasks were moved to other workers.
func TestFirstTasksToEndDoNotLowerTheEstimate(t *testing.T) {
	const declared = 4 * time.Second
	begin := clock.NewFake().Now()
	d := &estimate.RunTimes{}
	d.Ordered(begin)
	for range 60 {
		d.Observe(begin.Add(time.Second), time.Second, declared)
	}
	if d.IsReliable() || d.Correct(declared) != declared {
		t.Errorf("got: %v, reliable: %v, want: %v, not reliable", d.Correct(declared), d.IsReliable(), declared)
	}
}
