// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// When this node's own process is kept from running, it receives answers late, and must not treat
// the orders in flight as unanswered. After a stall of 60 ms it once treated all 35 of them as
// unanswered at once, polled the workers, and stopped some of the tasks.
func TestStartsDoNotTimeOutBecauseThisNodeStalled(t *testing.T) {
	for name, tc := range map[string]struct {
		tickInterval time.Duration
		ticks        int
		want         int
	}{
		"this node stalls":         {300 * time.Millisecond, 1, 0},
		"this node does not stall": {20 * time.Millisecond, 20, 1},
	} {
		owner := newSuccessor(1)
		owner.setWorkerList("v")
		owner.reportIdle("v")
		if got := owner.startsAfter(20 * time.Millisecond); got != 1 {
			t.Fatalf("%s: starts: got: %d, want: 1", name, got)
		}
		for range tc.ticks {
			owner.startsAfter(tc.tickInterval)
		}
		if got := owner.Counts().Unacknowledged; got != tc.want {
			t.Errorf("%s: unanswered: got: %d, want: %d", name, got, tc.want)
		}
		owner.StartAnswered("v", work.TaskID{Job: "a"}, 1, order.StartSucceeded, 0)
	}
}
