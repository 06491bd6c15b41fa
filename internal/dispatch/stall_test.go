// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// A node that had been kept from running for 60 ms took all 35 orders on their way
// as unanswered at once, asked after them, and stopped some.
func TestAnOrderIsNotUnansweredBecauseThisNodeStoodStill(t *testing.T) {
	for name, tc := range map[string]struct {
		pause time.Duration
		ticks int
		want  int
	}{
		"kept from running":           {300 * time.Millisecond, 1, 0},
		"kept from running, then not": {20 * time.Millisecond, 20, 1},
	} {
		h := newHeir(1)
		h.list("v")
		h.told("v")
		if got := h.starts(20 * time.Millisecond); got != 1 {
			t.Fatalf("%s: starts: got: %d, want: 1", name, got)
		}
		for range tc.ticks {
			h.starts(tc.pause)
		}
		if got := h.Counts().Unacknowledged; got != tc.want {
			t.Errorf("%s: unanswered: got: %d, want: %d", name, got, tc.want)
		}
		h.StartAnswered("v", work.TaskID{Job: "a"}, 1, order.StartSucceeded, 0)
	}
}
