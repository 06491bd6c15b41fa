// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// The engine's clock includes the time for which the owner's machine was suspended, so that a time
// of day derived from it is ahead by as much. A round that is due at a time of day must not start
// earlier because of that.
func TestRoundDoesNotStartEarlyAfterSuspension(t *testing.T) {
	h := newSuccessor(0)
	begin := h.clock.Now()
	h.Inherit(begin, true, 0)
	h.setWorkerList("w")
	h.reportIdle("w")
	s := newStep(1, time.Second)
	h.AddJob(&work.Spec{ID: "timed", Queue: "q", Steps: []work.Step{s}, Rounds: 1, StartAt: begin.Add(8 * time.Second)})
	before := h.startsAfter(2 * time.Second)
	h.clock.Advance(8 * time.Second)
	h.Advance(h.clock.Now())
	h.SetTimeOfDay(begin.Add(5 * time.Second))
	h.reportIdle("w")
	if got := h.startsAfter(10 * time.Millisecond); got != 0 {
		t.Errorf("starts 3 s before the round is due, after %d: got: %d, want: 0", before, got)
	}
	h.SetTimeOfDay(begin.Add(9 * time.Second))
	h.reportIdle("w")
	if got := h.startsAfter(100 * time.Millisecond); got != 1 {
		t.Errorf("starts when the round is due: got: %d, want: 1", got)
	}
}
