// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
)

// A size class that is served less than half as often as its kind is reported, but only if more work
// arrived than there was room for, and the class has enough jobs.
func TestSizeClassThatIsNotServedIsReported(t *testing.T) {
	all := func(int) bool { return true }
	for name, c := range map[string]struct {
		jobs     int
		cores    float64
		isServed func(i int) bool
		want     int
	}{
		"all are served":                    {100, 1, all, 0},
		"none is served":                    {100, 1, func(int) bool { return false }, 0},
		"the largest tenth is not":          {100, 1, func(i int) bool { return i < 90 }, 1},
		"half of the largest tenth is":      {100, 1, func(i int) bool { return i < 95 }, 0},
		"four of the largest tenth are":     {100, 1, func(i int) bool { return i < 94 }, 1},
		"the fifth beneath it is not":       {100, 1, func(i int) bool { return i < 70 || i >= 90 }, 1},
		"neither is":                        {100, 1, func(i int) bool { return i < 70 }, 2},
		"only the largest tenth is":         {100, 1, func(i int) bool { return i >= 90 }, 2},
		"there was room":                    {100, 2000, func(i int) bool { return i < 90 }, 0},
		"too few jobs in the largest tenth": {70, 1, func(i int) bool { return i < 63 }, 0},
	} {
		checker := rules.NewSizesChecker(c.cores)
		for i := range c.jobs {
			id := fmt.Sprint(i)
			checker.Add(id, rules.SizedJob{Kind: "k", Work: time.Duration(i+1) * time.Second, UsefulUntil: 10 * time.Second})
			if c.isServed(i) {
				checker.Succeeded(id, 10*time.Second)
			}
		}
		if got := checker.Check(time.Minute); len(got) != c.want {
			t.Errorf("%s: got: %v, want: %d", name, got, c.want)
		}
	}
}

// An end that comes too late to be of use does not count as served; a job that can still end in time is
// not judged yet.
func TestSizesCountWhatIsUseful(t *testing.T) {
	for name, c := range map[string]struct {
		endAt, checkAt time.Duration
		want           int
	}{
		"in time":          {10 * time.Second, time.Minute, 0},
		"too late":         {11 * time.Second, time.Minute, 1},
		"not yet too late": {time.Hour, 9 * time.Second, 0},
	} {
		checker := rules.NewSizesChecker(1)
		for i := range 100 {
			id := fmt.Sprint(i)
			checker.Add(id, rules.SizedJob{Kind: "k", Work: time.Duration(i+1) * time.Second, UsefulUntil: 10 * time.Second})
			if i < 90 {
				checker.Succeeded(id, time.Second)
			} else if c.endAt <= c.checkAt {
				checker.Succeeded(id, c.endAt)
			}
		}
		checker.Succeeded("unknown", time.Second)
		if got := checker.Check(c.checkAt); len(got) != c.want {
			t.Errorf("%s: got: %v, want: %d", name, got, c.want)
		}
	}
}

// Work that arrives over a longer time than the workers need for it is no overload.
func TestLoadWithinTheRoomIsNoOverload(t *testing.T) {
	for name, c := range map[string]struct {
		gap  time.Duration
		want int
	}{"at once": {0, 1}, "a second apart": {time.Second, 0}} {
		checker := rules.NewSizesChecker(200)
		for i := range 100 {
			checker.Add(fmt.Sprint(i), rules.SizedJob{Kind: "k", Work: time.Duration(i+1) * time.Second, ArrivedAt: time.Duration(i) * c.gap})
			if i < 90 {
				checker.Succeeded(fmt.Sprint(i), 0)
			}
		}
		if got := checker.Check(time.Hour); len(got) != c.want {
			t.Errorf("%s: got: %v, want: %d", name, got, c.want)
		}
	}
}
