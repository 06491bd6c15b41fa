// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// A permission query whose channel does not answer must time out soon and be repeated on another
// channel. A step once waited 4 s for a channel whose node had frozen, although an answer takes
// 60 ms.
func TestUnansweredPermissionQueryIsRetriedOnAnotherChannel(t *testing.T) {
	const ms = time.Millisecond
	owner := newSuccessor(1)
	queue := testQueue
	queue.Permission = &order.PermissionPolicy{BaseTime: 25 * ms, TimePerWorker: ms, ValidFor: 2 * time.Second}
	owner.SetQueues([]order.Queue{queue})
	owner.SetChannels([]string{"near", "far"})
	owner.setWorkerList("v")
	owner.reportIdle("v")
	queries := []order.QueryPermission{}
	advance := func(d time.Duration) {
		owner.clock.Advance(d)
		owner.Advance(owner.clock.Now())
		owner.Tick()
		owner.Schedule()
		for _, action := range owner.Actions() {
			if query, ok := action.(order.QueryPermission); ok {
				queries = append(queries, query)
			}
		}
	}
	advance(20 * ms)
	if len(queries) != 1 || queries[0].Timeout != 302*ms {
		t.Fatalf("permission queries: got: %v, want: one with a timeout of 302ms", queries)
	}
	for range 30 {
		advance(20 * ms)
	}
	if len(queries) != 1 {
		t.Errorf("permission queries while the first may still be answered: got: %d, want: 1", len(queries))
	}
	for range 8 {
		advance(20 * ms)
		owner.reportIdle("v")
	}
	if len(queries) != 2 {
		t.Errorf("permission queries in total: got: %d, want: 2", len(queries))
	}
}
