// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
)

// checkRepeatedly evaluates the same workers ten times a second from one time to another, and returns
// all violations.
func checkRepeatedly(checker *rules.LongRunningChecker, faults *rules.FaultWindows, from, to time.Duration, workers ...rules.Worker) []rules.Violation {
	violations := []rules.Violation{}
	for now := from; now <= to; now += 100 * time.Millisecond {
		violations = append(violations, checker.Check(now, workers, faults)...)
	}
	return violations
}

// A task that has not run for 9 s is reported once, but only if workers that may run it had enough free
// capacity and no fault occurred in the last 7 s.
func TestLongRunningTaskNotRestartedInTimeIsReported(t *testing.T) {
	step := rules.LongRunningStep{Name: "j.0.0", Tasks: 1, MilliCPU: 1000, MemoryMiB: 100}
	withCapacity := rules.Worker{ID: "w", IsAccepting: true, FreeMilliCPU: 2000, FreeMemoryMiB: 200}
	fitsOne, failing := withCapacity, withCapacity
	fitsOne.FreeMilliCPU, failing.IsAccepting = 1900, false
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
		"not running for 9 s with free capacity": {[]rules.Worker{withCapacity, second}, anyWorker, -time.Minute, 9 * time.Second, 1},
		"not running for less than 9 s":          {[]rules.Worker{withCapacity, second}, anyWorker, -time.Minute, 8900 * time.Millisecond, 0},
		"it is running":                          {[]rules.Worker{running, second}, anyWorker, -time.Minute, time.Minute, 0},
		"capacity for one task only":             {[]rules.Worker{fitsOne}, anyWorker, -time.Minute, time.Minute, 0},
		"capacity on a failing worker":           {[]rules.Worker{failing}, anyWorker, -time.Minute, time.Minute, 0},
		"capacity without permission":            {[]rules.Worker{withCapacity}, func(string, string) bool { return false }, -time.Minute, time.Minute, 0},
		"fault 5 s before":                       {[]rules.Worker{withCapacity, second}, anyWorker, 4 * time.Second, 9 * time.Second, 0},
		"fault more than 7 s before":             {[]rules.Worker{withCapacity, second}, anyWorker, 4 * time.Second, 12 * time.Second, 1},
	} {
		checker, faults := rules.NewLongRunningChecker(c.permits), &rules.FaultWindows{}
		faults.Add(c.faultAt, c.faultAt)
		checker.Add(step, 0)
		if got := checkRepeatedly(checker, faults, 0, c.until, c.workers...); len(got) != c.want {
			t.Errorf("%s: got: %v, want: %d", name, got, c.want)
		}
	}
}

// A period counts as free of faults only if it does not overlap the window of any fault. Both ends of a
// window belong to it.
func TestFaultOverlappingTheWindowIsFound(t *testing.T) {
	faults := rules.FaultWindows{}
	faults.Add(5*time.Second, 8*time.Second)
	for name, x := range map[string]struct {
		from, to time.Duration
		want     bool
	}{
		"before":             {0, 4 * time.Second, true},
		"overlaps its start": {0, 6 * time.Second, false},
		"within it":          {6 * time.Second, 7 * time.Second, false},
		"encloses it":        {0, 20 * time.Second, false},
		"overlaps its end":   {8 * time.Second, 20 * time.Second, false},
		"after it":           {9 * time.Second, 20 * time.Second, true},
	} {
		if got := faults.IsFaultFree(x.from, x.to); got != x.want {
			t.Errorf("%s: got: %v, want: %v", name, got, x.want)
		}
	}
}

// A task that still runs 6 s after the cancellation of its job was acknowledged is reported once,
// but not if a fault occurred in that time.
func TestTaskRunningLongAfterCancellationIsReported(t *testing.T) {
	worker := rules.Worker{ID: "w", Running: []string{"j.0.0.1"}}
	for name, c := range map[string]struct {
		job     string
		faultAt time.Duration
		now     time.Duration
		want    int
	}{
		"long after":   {"j", -time.Minute, 7 * time.Second, 1},
		"soon after":   {"j", -time.Minute, 5 * time.Second, 0},
		"another job":  {"k", -time.Minute, 7 * time.Second, 0},
		"fault before": {"j", 3 * time.Second, 7 * time.Second, 0},
	} {
		checker, faults := rules.CancelledChecker{}, &rules.FaultWindows{}
		faults.Add(c.faultAt, c.faultAt)
		checker.Add(c.job, 0)
		got := checker.Check(c.now, []rules.Worker{worker}, faults)
		again := checker.Check(c.now, []rules.Worker{worker}, faults)
		if len(got) != c.want || len(again) != 0 {
			t.Errorf("%s: got: %v, then %v, want: %d, reported once", name, got, again, c.want)
		}
	}
}
