// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rotation_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/rotation"
)

// pass does one scheduling pass over n steps, none of which can be placed, and returns the indexes of
// those that it tries.
func pass(r *rotation.Rotation, n int) []int {
	tried := []int{}
	for _, i := range r.Next(n) {
		tried = append(tried, i)
		r.Tried(false)
	}
	return tried
}

// With more steps waiting than a pass tries, the steps after the most urgent ones must not starve.
func TestNoStepStarves(t *testing.T) {
	const n = 300
	r := rotation.Rotation{}
	tries := make([]int, n)
	for range 4 {
		tried := pass(&r, n)
		if len(tried) != 128 || tried[0] != 0 || !r.HasSkipped() {
			t.Fatalf("one pass: got: %d steps from %d, skipped: %v, want: 128 from the first, some skipped", len(tried), tried[0], r.HasSkipped())
		}
		for _, i := range tried {
			tries[i]++
		}
	}
	for i, got := range tries {
		if i < 64 && got != 4 || got == 0 {
			t.Errorf("step %d: got: tried in %d passes of 4, want: the most urgent 64 in all, each other in some", i, got)
		}
	}
}

// Steps of which a task is placed do not count towards the bound of a pass: otherwise free capacity
// would be left unused while tasks wait for it.
func TestPlacedStepsDoNotCount(t *testing.T) {
	r := rotation.Rotation{}
	tried := 0
	for range r.Next(300) {
		tried++
		r.Tried(true)
	}
	if tried != 300 || r.HasSkipped() {
		t.Errorf("got: %d steps, skipped: %v, want: all 300", tried, r.HasSkipped())
	}
	if got := len(pass(&r, 100)); got != 100 || r.HasSkipped() {
		t.Errorf("few steps: got: %d, want: all 100", got)
	}
}
