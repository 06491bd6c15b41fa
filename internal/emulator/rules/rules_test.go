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
func checkRepeatedly(checker *rules.LongRunningChecker, faults *rules.FaultWindows, from, to time.Duration, workers ...rules.Worker) []rules.Violation {
	violations := []rules.Violation{}
	for now := from; now <= to; now += 100 * time.Millisecond {
		violations = append(violations, checker.Check(now, workers, faults)...)
	}
	return violations
}

func TestLongRunningTaskNotRestartedInTimeIsReported(t *testing.T) {
	step := rules.LongRunningStep{Name: "j.0.0", Tasks: 1, MilliCPU: 1000, MemoryMiB: 100}
	withCapacity := rules.Worker{ID: "w", IsAccepting: true, FreeMilliCPU: 2000, FreeMemoryMiB: 200}
	full, failing := withCapacity, withCapacity
	full.FreeMilliCPU, failing.IsAccepting = 1900, false
	running := withCapacity
	running.Running = []string{"j.0.0.0"}
	second := withCapacity
	second.ID = "v"
	anyWorker := func(string, string) bool { return true }
	for name, c := range map[string]struct {
		workers []rules.Worker
		permits func(step, worker string) bool
		faultAt time.Duration
		until   time.Duration
		want    int
	}{
		"away for 9 s beside room":    {[]rules.Worker{withCapacity, second}, anyWorker, -time.Minute, 9 * time.Second, 1},
		"not for as long":             {[]rules.Worker{withCapacity, second}, anyWorker, -time.Minute, 8900 * time.Millisecond, 0},
		"it runs":                     {[]rules.Worker{running, second}, anyWorker, -time.Minute, time.Minute, 0},
		"room for one only":           {[]rules.Worker{full}, anyWorker, -time.Minute, time.Minute, 0},
		"room on a failing one":       {[]rules.Worker{failing}, anyWorker, -time.Minute, time.Minute, 0},
		"room that it may not use":    {[]rules.Worker{withCapacity}, func(string, string) bool { return false }, -time.Minute, time.Minute, 0},
		"disturbed 5 s before":        {[]rules.Worker{withCapacity, second}, anyWorker, 4 * time.Second, 9 * time.Second, 0},
		"disturbed, and calm for 7 s": {[]rules.Worker{withCapacity, second}, anyWorker, 4 * time.Second, 12 * time.Second, 1},
	} {
		checker, faults := rules.NewLongRunningChecker(c.permits), &rules.FaultWindows{}
		faults.Add(c.faultAt, c.faultAt)
		checker.Add(step, 0)
		if got := checkRepeatedly(checker, faults, 0, c.until, c.workers...); len(got) != c.want {
			t.Errorf("%s: got: %v, want: %d", name, got, c.want)
		}
	}
}

func TestFaultOverlappingTheWindowIsFound(t *testing.T) {
	faults := rules.FaultWindows{}
	faults.Add(5*time.Second, 8*time.Second)
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
		if got := faults.IsFaultFree(x.from, x.to); got != x.want {
			t.Errorf("%s: got: %v, want: %v", name, got, x.want)
		}
	}
}

func TestTaskRunningLongAfterCancellationIsReported(t *testing.T) {
	worker := rules.Worker{ID: "w", Running: []string{"j.0.0.1"}}
	for name, c := range map[string]struct {
		job     string
		faultAt time.Duration
		now     time.Duration
		want    int
	}{
		"long after":       {"j", -time.Minute, 7 * time.Second, 1},
		"soon after":       {"j", -time.Minute, 5 * time.Second, 0},
		"another job":      {"k", -time.Minute, 7 * time.Second, 0},
		"disturbed before": {"j", 3 * time.Second, 7 * time.Second, 0},
	} {
		checker, faults := rules.CancelledChecker{}, &rules.FaultWindows{}
		faults.Add(c.faultAt, c.faultAt)
		checker.Add(c.job, 0)
		got := checker.Check(c.now, []rules.Worker{worker}, faults)
		again := checker.Check(c.now, []rules.Worker{worker}, faults)
		if len(got) != c.want || len(again) != 0 {
			t.Errorf("%s: got: %v, then %v, want: %d, told once", name, got, again, c.want)
		}
	}
}
