// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package served_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/served"
)

// A tenth of the jobs of a queue are in the largest class and a fifth in the next, whatever their
// sizes are, and also after these have changed.
func TestClassesFollowTheSizesOfRecentJobs(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := served.Sizes{}
	for _, unit := range []time.Duration{time.Second, time.Minute, time.Millisecond} {
		for range 300 {
			s.Add(time.Duration(rng.Float64() * float64(unit)))
		}
		got := map[served.Class]int{}
		for range 10_000 {
			got[s.Add(time.Duration(rng.Float64()*float64(unit)))]++
		}
		if a, b := got[served.Largest], got[served.Large]; a < 900 || a > 1100 || b < 1900 || b > 2100 {
			t.Errorf("jobs of up to %v: got: %v, want: about 1000, 2000 and 7000", unit, got)
		}
	}
}

// Jobs of the same size are all of the same class, and no class is known from the first jobs.
func TestClassOfEqualAndOfFirstJobs(t *testing.T) {
	s := served.Sizes{}
	for i := range 1000 {
		if got := s.Add(time.Second); got != served.Rest {
			t.Fatalf("job %d of the same size: got: %v, want: %v", i, got, served.Rest)
		}
	}
	s = served.Sizes{}
	for i, want := range []served.Class{
		served.Rest, served.Rest, served.Rest, served.Large, served.Large, served.Large, served.Large, served.Large, served.Large, served.Largest,
	} {
		if got := s.Add(time.Duration(i) * time.Second); got != want {
			t.Errorf("job %d, each larger than all before: got: %v, want: %v", i, got, want)
		}
	}
}

func TestClassesOfACompleteSet(t *testing.T) {
	work := []time.Duration{5, 1, 9, 1, 8, 1, 2, 3, 10, 4}
	want := []served.Class{
		served.Rest, served.Rest, served.Large, served.Rest, served.Large, served.Rest, served.Rest, served.Rest, served.Largest, served.Rest,
	}
	if got := served.ClassesOf(work); !slices.Equal(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
}

// The classes of a queue do not depend on the jobs of other queues.
func TestSizesOfQueuesAreLearnedApart(t *testing.T) {
	totals := served.Totals{}
	for range 100 {
		totals.Accept("small", time.Second)
		totals.Accept("large", time.Hour)
	}
	if got := totals.Accept("small", time.Minute); got != served.Largest {
		t.Errorf("got: %v, want: %v", got, served.Largest)
	}
}

func TestOutcomeOf(t *testing.T) {
	for _, tc := range []struct {
		took, objective time.Duration
		want            served.Outcome
	}{
		{time.Second, time.Second, served.InTime},
		{time.Second + 1, time.Second, served.Late},
		{3 * time.Second, time.Second, served.Late},
		{3*time.Second + 1, time.Second, served.TooLate},
		{time.Hour, 0, served.InTime},
	} {
		if got := served.OutcomeOf(tc.took, tc.objective); got != tc.want {
			t.Errorf("%v of %v: got: %v, want: %v", tc.took, tc.objective, got, tc.want)
		}
	}
}

func TestCountsOfOpenAndEndedJobs(t *testing.T) {
	totals := served.Totals{}
	for range 9 {
		totals.Accept("q", time.Second)
	}
	totals.Accept("q", time.Minute)
	for _, o := range []served.Outcome{served.InTime, served.InTime, served.Late, served.TooLate, served.Failed, served.Cancelled} {
		totals.End("q", served.Rest, o)
	}
	totals.End("unknown", served.Rest, served.InTime)
	got := totals.Counts([]served.Open{
		{"q", served.Rest, 2 * time.Second},
		{"q", served.Rest, 7 * time.Second},
		{"q", served.Rest, time.Second},
		{"q", served.Largest, time.Minute},
	})
	want := []served.Count{
		{Queue: "q", Class: served.Largest, Accepted: 1, Open: 1, Oldest: time.Minute},
		{Queue: "q", Class: served.Large},
		{Queue: "q", Class: served.Rest, Accepted: 9, InTime: 2, Late: 1, TooLate: 1, Failed: 1, Cancelled: 1, Open: 3, Oldest: 7 * time.Second},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got: %+v, want: %+v", got, want)
	}
}

// Any number of queues gives a bounded number of counts, in which no job is missing.
func TestBoundedCountsAddUpTheSmallQueues(t *testing.T) {
	totals := served.Totals{}
	for i := range 100 {
		for range i + 1 {
			totals.Accept(fmt.Sprintf("q%02d", i), time.Second)
		}
	}
	counts := totals.Counts(nil)
	got := served.Bounded(counts, 3)
	if len(got) != 12 || got[0].Queue != "q97" || got[11].Queue != served.OtherQueues {
		t.Errorf("got: %+v, want: the three largest queues and the others", got)
	}
	sum := 0
	for _, c := range got {
		sum += c.Accepted
	}
	if want := 5050; sum != want {
		t.Errorf("accepted: got: %d, want: %d", sum, want)
	}
	if got := served.Bounded(counts, 100); !slices.Equal(got, counts) {
		t.Errorf("with room for all queues: got: %+v, want: %+v", got, counts)
	}
}
