// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/estimate"
)

func TestDurations(t *testing.T) {
	const guess = time.Second
	for name, tc := range map[string]struct {
		took      []time.Duration
		min, max  time.Duration
		isTrusted bool
	}{
		"nothing known":     {nil, guess, guess, false},
		"exact":             {[]time.Duration{guess}, guess, guess, true},
		"always twice":      {[]time.Duration{2 * guess}, 1900 * time.Millisecond, 2100 * time.Millisecond, true},
		"a fifth or thrice": {[]time.Duration{guess / 5, 3 * guess}, 500 * time.Millisecond, 1200 * time.Millisecond, false},
	} {
		d := &estimate.Durations{}
		begin := clock.NewFake().Now()
		late := begin.Add(time.Minute)
		d.Begin(begin)
		for i := range 60 * min(len(tc.took), 1) {
			d.Learn(late, tc.took[i%len(tc.took)], guess)
		}
		if got := d.Correct(guess); got < tc.min || got > tc.max {
			t.Errorf("%s: corrected: got: %v, want: %v to %v", name, got, tc.min, tc.max)
		}
		if got := d.IsTrusted(); got != tc.isTrusted {
			t.Errorf("%s: trusted: got: %v, want: %v", name, got, tc.isTrusted)
		}
	}
	if got := (*estimate.Durations)(nil).Correct(guess); got != guess {
		t.Errorf("of an unknown queue: got: %v, want: %v", got, guess)
	}
}

// Two seconds after a takeover only the shortest of tasks of 5 s were done: all
// others counted as slow, 40 workers in 1.5 s, and their tasks were moved.
func TestTheFirstTasksToBeDoneTellNothing(t *testing.T) {
	const guess = 4 * time.Second
	begin := clock.NewFake().Now()
	d := &estimate.Durations{}
	d.Begin(begin)
	for range 60 {
		d.Learn(begin.Add(time.Second), time.Second, guess)
	}
	if d.IsTrusted() || d.Correct(guess) != guess {
		t.Errorf("got: %v, trusted: %v, want: %v, not trusted", d.Correct(guess), d.IsTrusted(), guess)
	}
}
