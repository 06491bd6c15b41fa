// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// A step waited 4 s for a lane whose node had frozen, where an answer takes 60 ms.
func TestAnotherLaneIsAskedSoonWhenOneDoesNotAnswer(t *testing.T) {
	const ms = time.Millisecond
	h := newHeir(1)
	queue := testQueue
	queue.Permission = &order.PermissionPolicy{BaseTime: 25 * ms, TimePerWorker: ms, ValidFor: 2 * time.Second}
	h.SetQueues([]order.Queue{queue})
	h.SetLanes([]string{"near", "far"})
	h.list("v")
	h.told("v")
	asks := []order.QueryPermission{}
	advance := func(d time.Duration) {
		h.clock.Advance(d)
		h.Advance(h.clock.Now())
		h.Tick()
		h.Decide()
		for _, a := range h.Actions() {
			if ask, ok := a.(order.QueryPermission); ok {
				asks = append(asks, ask)
			}
		}
	}
	advance(20 * ms)
	if len(asks) != 1 || asks[0].Timeout != 302*ms {
		t.Fatalf("asks: got: %v, want: one with a patience of 302ms", asks)
	}
	for range 30 {
		advance(20 * ms)
	}
	if len(asks) != 1 {
		t.Errorf("asks while the first may be answered: got: %d, want: 1", len(asks))
	}
	for range 8 {
		advance(20 * ms)
		h.told("v")
	}
	if len(asks) != 2 {
		t.Errorf("asks in all: got: %d, want: 2", len(asks))
	}
}
