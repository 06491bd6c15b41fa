// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
)

// look lets a watch of one task look at a world for a while, ten times a second, and returns what it
// found.
func look(l *rules.LastingWatch, calm *rules.Calm, from, to time.Duration, workers ...rules.Worker) []rules.Violation {
	found := []rules.Violation{}
	for now := from; now <= to; now += 100 * time.Millisecond {
		found = append(found, l.Look(now, workers, calm)...)
	}
	return found
}

func TestATaskThatLastsMustComeBack(t *testing.T) {
	step := rules.LastingStep{Name: "j.0.0", Tasks: 1, MilliCPU: 1000, MemoryMiB: 100}
	roomy := rules.Worker{ID: "w", IsTaking: true, FreeMilliCPU: 2000, FreeMemoryMiB: 200}
	full, failing := roomy, roomy
	full.FreeMilliCPU, failing.IsTaking = 1900, false
	running := roomy
	running.Running = []string{"j.0.0.0"}
	second := roomy
	second.ID = "v"
	everywhere := func(string, string) bool { return true }
	for name, c := range map[string]struct {
		workers   []rules.Worker
		permits   func(step, worker string) bool
		disturbed time.Duration
		to        time.Duration
		want      int
	}{
		"away for 9 s beside room":    {[]rules.Worker{roomy, second}, everywhere, -time.Minute, 9 * time.Second, 1},
		"not for as long":             {[]rules.Worker{roomy, second}, everywhere, -time.Minute, 8900 * time.Millisecond, 0},
		"it runs":                     {[]rules.Worker{running, second}, everywhere, -time.Minute, time.Minute, 0},
		"room for one only":           {[]rules.Worker{full}, everywhere, -time.Minute, time.Minute, 0},
		"room on a failing one":       {[]rules.Worker{failing}, everywhere, -time.Minute, time.Minute, 0},
		"room that it may not use":    {[]rules.Worker{roomy}, func(string, string) bool { return false }, -time.Minute, time.Minute, 0},
		"disturbed 5 s before":        {[]rules.Worker{roomy, second}, everywhere, 4 * time.Second, 9 * time.Second, 0},
		"disturbed, and calm for 7 s": {[]rules.Worker{roomy, second}, everywhere, 4 * time.Second, 12 * time.Second, 1},
	} {
		l, calm := rules.NewLastingWatch(c.permits), &rules.Calm{}
		calm.Disturb(c.disturbed, c.disturbed)
		l.Add(step, 0)
		if got := look(l, calm, 0, c.to, c.workers...); len(got) != c.want {
			t.Errorf("%s: got: %v, want: %d", name, got, c.want)
		}
	}
}

func TestCalm(t *testing.T) {
	c := rules.Calm{}
	c.Disturb(5*time.Second, 8*time.Second)
	for name, x := range map[string]struct {
		from, to time.Duration
		want     bool
	}{
		"before":    {0, 4 * time.Second, true},
		"into it":   {0, 6 * time.Second, false},
		"within it": {6 * time.Second, 7 * time.Second, false},
		"around it": {0, 20 * time.Second, false},
		"out of it": {8 * time.Second, 20 * time.Second, false},
		"after it":  {9 * time.Second, 20 * time.Second, true},
	} {
		if got := c.IsCalm(x.from, x.to); got != x.want {
			t.Errorf("%s: got: %v, want: %v", name, got, x.want)
		}
	}
}

func TestNothingOfACancelledJobRunsForLong(t *testing.T) {
	worker := rules.Worker{ID: "w", Running: []string{"j.0.0.1"}}
	for name, c := range map[string]struct {
		job       string
		disturbed time.Duration
		now       time.Duration
		want      int
	}{
		"long after":       {"j", -time.Minute, 7 * time.Second, 1},
		"soon after":       {"j", -time.Minute, 5 * time.Second, 0},
		"another job":      {"k", -time.Minute, 7 * time.Second, 0},
		"disturbed before": {"j", 3 * time.Second, 7 * time.Second, 0},
	} {
		watch, calm := rules.CancelledWatch{}, &rules.Calm{}
		calm.Disturb(c.disturbed, c.disturbed)
		watch.Add(c.job, 0)
		got := watch.Look(c.now, []rules.Worker{worker}, calm)
		again := watch.Look(c.now, []rules.Worker{worker}, calm)
		if len(got) != c.want || len(again) != 0 {
			t.Errorf("%s: got: %v, then %v, want: %d, told once", name, got, again, c.want)
		}
	}
}
