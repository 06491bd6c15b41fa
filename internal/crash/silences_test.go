// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crash_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/order"
)

// A worker crashed at some time between its last answer and the first one that was missing.
// Workers whose intervals overlap may have crashed at the same moment, which no single task
// causes. If they were not counted, each crash would be strong evidence against the tasks on its
// worker.
func TestWorkersWithOverlappingSilencesCountAsOneMoment(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	s := crash.SilentWorkers{}
	s.Add("a", at(100), at(300))
	s.Add("b", at(200), at(500))
	s.Add("c", at(400), at(600))
	for name, tc := range map[string]struct {
		worker order.WorkerID
		want   int
	}{"a overlaps b": {"a", 1}, "b overlaps both": {"b", 2}, "c overlaps b": {"c", 1}} {
		if got := s.CountOverlapping(tc.worker, at(0), at(1000)); got != tc.want {
			t.Errorf("%s: got: %d, want: %d", name, got, tc.want)
		}
	}
	if got := s.CountOverlapping("d", at(550), at(700)); got != 1 {
		t.Errorf("one that was not found silent yet, overlaps c: got: %d, want: 1", got)
	}
	s.Remove("b")
	if got := s.CountOverlapping("a", at(0), at(1000)); got != 0 {
		t.Errorf("a, when b answers again: got: %d, want: 0", got)
	}
	s.DropBefore(at(400))
	if got := s.CountOverlapping("d", at(0), at(1000)); got != 1 {
		t.Errorf("those that were found silent at 400 ms or later: got: %d, want: 1", got)
	}
}
