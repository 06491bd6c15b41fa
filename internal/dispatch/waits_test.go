// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/waits"
)

// The engine must report how long tasks have waited, by the reason: no free capacity, the
// customer's limit, no permit, no free channel to query permission, or permission for no worker.
func TestWaitTimesAreReportedByReason(t *testing.T) {
	permissionQueue := testQueue
	permissionQueue.Permission = &order.PermissionPolicy{BaseTime: 500 * time.Millisecond, TimePerWorker: time.Millisecond, ValidFor: 2 * time.Second}
	for name, tc := range map[string]struct {
		prepare func(w *sim)
		want    waits.Reason
	}{
		"room":  {func(w *sim) { w.submit("busy", newStep(8, time.Minute)) }, waits.Capacity},
		"limit": {func(w *sim) { w.limit(limitOf("a", 0)); w.limit(order.Customer{Name: "a", Limit: newStep(1, 0).Need}) }, waits.Limit},
		"permission": {func(w *sim) {
			w.queues = []order.Queue{permissionQueue}
			w.engine.SetQueues(w.queues)
			w.engine.SetChannels([]string{"n1", "n2", "n3"})
		}, waits.Permission},
		"denied": {func(w *sim) {
			w.queues = []order.Queue{permissionQueue}
			w.queues[0].Permission = &order.PermissionPolicy{BaseTime: 5 * time.Millisecond, ValidFor: 2 * time.Second}
			w.engine.SetQueues(w.queues)
			w.engine.SetChannels([]string{"n1", "n2", "n3"})
			w.isPermitted = func(order.WorkerID) bool { return false }
		}, waits.Denied},
		"full where permitted": {func(w *sim) {
			w.queues = []order.Queue{permissionQueue}
			w.queues[0].Permission = &order.PermissionPolicy{BaseTime: 5 * time.Millisecond, ValidFor: 2 * time.Second}
			w.engine.SetQueues(w.queues)
			w.engine.SetChannels([]string{"n1", "n2", "n3"})
			w.isPermitted = func(id order.WorkerID) bool { return id == "w00" }
			w.submit("busy", newStep(4, time.Minute))
			w.run(time.Second)
		}, waits.Capacity},
		"lane": {func(w *sim) { w.queues = []order.Queue{permissionQueue}; w.engine.SetQueues(w.queues) }, waits.Channel},
	} {
		w := newSim(1)
		w.addWorkers(2, workerCapacity)
		w.run(time.Second)
		tc.prepare(w)
		w.run(200 * time.Millisecond)
		w.engine.TakeWaits()
		w.submitFor("a", "q", "j", newStep(2, time.Minute))
		w.run(400 * time.Millisecond)
		waits := w.engine.TakeWaits()
		if len(waits) == 0 || waits[0].Queue != "q" || waits[0].Reason != tc.want || waits[0].Time < 300*time.Millisecond {
			t.Errorf("%s: got: %+v, want: mostly %s, for most of 0.4 s", name, waits, tc.want)
		}
		if second := w.engine.TakeWaits(); len(second) > 0 {
			t.Errorf("%s, on a second call right after: got: %+v, want: none", name, second)
		}
	}
}

// Steps that a new owner does not start, because a previous one may have, were reported as waiting for their turn.
func TestStepsHeldBackByDoubtAreReportedSo(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	w.submit("busy", newStep(8, time.Minute))
	w.submit("a", newStep(2, time.Minute))
	w.run(time.Second)
	w.workers["w00"].isPartitioned, w.mayHaveUnpersistedStarts = true, true
	w.takeOver()
	w.run(time.Second)
	got := w.engine.TakeWaits()
	if len(got) != 1 || got[0].Reason != waits.Uncertainty {
		t.Errorf("reasons after a takeover with a silent worker: got: %+v, want: only %s", got, waits.Uncertainty)
	}
}
