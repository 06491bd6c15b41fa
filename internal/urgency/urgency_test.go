// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package urgency_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/urgency"
)

// The cases of want are in the order in which the work has to go; only late and overdue work is late.
func TestOrder(t *testing.T) {
	const s = time.Second
	named := map[string]urgency.Work{
		"pressing":        {Age: s, IsImmediate: true},
		"must not yield":  {Age: 50 * s, Objective: 5 * s, Remaining: s, MustNotYield: true},
		"due soon":        {Age: 3 * s, Objective: 5 * s, Remaining: 2 * s},
		"due later":       {Age: s, Objective: 5 * s, Remaining: 3 * s},
		"older":           {Age: 4 * s, Objective: 20 * s, Remaining: s},
		"younger":         {Age: 2 * s, Objective: 20 * s, Remaining: s},
		"late":            {Age: 14 * s, Objective: 6 * s, Remaining: 2 * s},
		"late, due later": {Age: 4 * s, Objective: 5 * s, Remaining: 2 * s},
		"overdue":         {Age: 60 * s, Objective: 5 * s, Remaining: s},
		"overdue, later":  {Age: 15 * s, Objective: 5 * s, Remaining: s},
	}
	want := []string{"pressing", "must not yield", "due soon", "due later", "older", "younger", "late", "late, due later", "overdue", "overdue, later"}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortStableFunc(got, func(a, b string) int {
		x, y := named[a], named[b]
		return x.Rank().Compare(y.Rank())
	})
	if !slices.Equal(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
	for name, w := range named {
		if got, want := w.Rank().IsLate(), name[:4] == "late" || name[:4] == "over"; got != want {
			t.Errorf("%s is late: got: %v, want: %v", name, got, want)
		}
	}
}

// Work without objectives is done in the order of its arrival.
func TestWorkWithoutAnObjectiveIsOrderedByAge(t *testing.T) {
	old, young := urgency.Work{Age: 2 * time.Second, Remaining: time.Hour}, urgency.Work{Age: time.Second}
	if got := old.Rank().Compare(young.Rank()); got >= 0 {
		t.Errorf("got: %d, want: the older one first", got)
	}
}

// Late work must not starve while the load permanently exceeds the capacity: it goes first in 100 ms of
// each second.
func TestLateWorkDoesNotStarve(t *testing.T) {
	first := 0
	for i := range 1000 {
		if urgency.IsLateFirst(time.Duration(i) * 10 * time.Millisecond) {
			first++
		}
	}
	if first != 100 {
		t.Errorf("late work first, of 1000 times in 10 s: got: %d, want: 100", first)
	}
}
