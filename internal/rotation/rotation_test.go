// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rotation_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/rotation"
)

// look looks at n steps, of which nothing can be placed, and returns at which.
func pass(r *rotation.Rotation, n int) []int {
	tried := []int{}
	for _, i := range r.Next(n) {
		tried = append(tried, i)
		r.Tried(false)
	}
	return tried
}

func TestNoStepStarves(t *testing.T) {
	const n = 300
	r := rotation.Rotation{}
	tries := make([]int, n)
	for range 4 {
		tried := pass(&r, n)
		if len(tried) != 128 || tried[0] != 0 || !r.HasSkipped() {
			t.Fatalf("one look: got: %d steps from %d, left: %v, want: 128 from the first, some left", len(tried), tried[0], r.HasSkipped())
		}
		for _, i := range tried {
			tries[i]++
		}
	}
	for i, got := range tries {
		if i < 64 && got != 4 || got == 0 {
			t.Errorf("step %d: got: %d looks of 4, want: all at the most urgent ones, some at each", i, got)
		}
	}
}

func TestPlacedStepsDoNotCount(t *testing.T) {
	r := rotation.Rotation{}
	tried := 0
	for range r.Next(300) {
		tried++
		r.Tried(true)
	}
	if tried != 300 || r.HasSkipped() {
		t.Errorf("got: %d steps, left: %v, want: all 300", tried, r.HasSkipped())
	}
	if got := len(pass(&r, 100)); got != 100 || r.HasSkipped() {
		t.Errorf("few steps: got: %d, want: all 100", got)
	}
}
