// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Steps that query permission at the same time must name different workers. Where they name the
// same ones, all but the first step find these workers occupied when the answer arrives half a
// second later.
func TestConcurrentPermissionQueriesNameDifferentWorkers(t *testing.T) {
	w := newSim(1)
	permissionQueue := testQueue
	permissionQueue.Permission = &order.PermissionPolicy{BaseTime: 500 * time.Millisecond, TimePerWorker: 7 * time.Millisecond, ValidFor: 2 * time.Second}
	w.queues, w.channels = []order.Queue{permissionQueue}, []string{"a", "b", "c", "d", "e"}
	w.takeOver()
	w.addWorkers(40, workerCapacity)
	w.run(time.Second)
	large := newStep(3, time.Second)
	large.Need = workerCapacity
	w.submit("first", large)
	w.submit("second", large)
	queried := map[string][]order.WorkerID{}
	w.onPermissionQuery = func(query order.QueryPermission) { queried[string(query.Step.Job)] = query.Workers }
	w.run(100 * time.Millisecond)
	first, second := queried["first"], queried["second"]
	if len(first) < 6 || len(second) < 6 {
		t.Fatalf("workers named in the queries: got: %d and %d, want: at least 6 in each", len(first), len(second))
	}
	shared := 0
	for _, id := range second {
		if slices.Contains(first, id) {
			shared++
		}
	}
	if shared > 0 {
		t.Errorf("workers named in both queries, of 40 empty ones: got: %d, want: none", shared)
	}
}
