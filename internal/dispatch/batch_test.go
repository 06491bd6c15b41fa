// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// The store holds each job as one record, so that a write contains far more than what has changed.
// Ends of single tasks are therefore batched for a short time. Only starts of tasks and ends of
// jobs are written at once.
func TestTaskEndsAreBatchedIntoFewJobWrites(t *testing.T) {
	w := newSim(1)
	w.addWorkers(30, workerCapacity)
	w.run(time.Second)
	w.writeCounts = map[work.JobID]int{}
	w.submit("a", newStep(60, time.Second))
	w.run(500 * time.Millisecond)
	if got := w.writeCounts["a"]; got != 1 {
		t.Errorf("writes of a job whose tasks all start at once: got: %d, want: 1", got)
	}
	for i := range 50 {
		w.submit(string(rune('A'+i)), newStep(1, 50*time.Millisecond))
		w.run(20 * time.Millisecond)
	}
	w.run(time.Second)
	expectState(t, w, "a", work.JobSucceeded)
	expectState(t, w, "A", work.JobSucceeded)
	if got := w.writeCounts["a"]; got > 4 {
		t.Errorf("writes of a job of 60 tasks that end within 0.25 s: got: %d, want: at most 4 (7 where all are written at once)", got)
	}
	expectNoViolations(t, w)
}
