// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Steps that ask at the same time leave room to each other: asked about the same workers, all
// but the first of them find these taken half a second later.
func TestConcurrentPermissionQueriesNameDifferentWorkers(t *testing.T) {
	w := newWorld(1)
	permissionQueue := testQueue
	permissionQueue.Permission = &order.PermissionPolicy{BaseTime: 500 * time.Millisecond, TimePerWorker: 7 * time.Millisecond, ValidFor: 2 * time.Second}
	w.queues, w.lanes = []order.Queue{permissionQueue}, []string{"a", "b", "c", "d", "e"}
	w.takeOver()
	w.addWorkers(40, room)
	w.run(time.Second)
	large := step(3, time.Second)
	large.Need = room
	w.submit("first", large)
	w.submit("second", large)
	queried := map[string][]order.WorkerID{}
	w.onAdvise = func(query order.QueryPermission) { queried[string(query.Step.Job)] = query.Workers }
	w.run(100 * time.Millisecond)
	first, second := queried["first"], queried["second"]
	if len(first) < 6 || len(second) < 6 {
		t.Fatalf("named: got: %d and %d, want: some for both", len(first), len(second))
	}
	shared := 0
	for _, id := range second {
		if slices.Contains(first, id) {
			shared++
		}
	}
	if shared > 0 {
		t.Errorf("named by both, of 40 that are empty: got: %d, want: none", shared)
	}
}
