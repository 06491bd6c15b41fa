// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// When the entry of a draining worker is removed from the list soon after its last heartbeat, and
// the list is known to be current, the worker has ended as planned, and its tasks can start
// elsewhere at once. They once waited 6.6 s for its lease to expire (inc-8de9).
func TestTasksOfADrainedAndRemovedWorkerRestartElsewhere(t *testing.T) {
	for name, tc := range map[string]struct {
		isDraining, isListCertain bool
		heartbeatAge              time.Duration
		// answersUntilRemoval means that the worker answers polls until its entry is removed.
		answersUntilRemoval, wantRestart bool
	}{
		"drained, recent heartbeat":       {true, true, time.Second, false, true},
		"drained, answered until removal": {true, true, time.Second, true, true},
		"drained, old heartbeat":          {true, true, 5 * time.Second, false, false},
		"drained, list uncertain":         {true, false, time.Second, false, false},
		"not drained":                     {false, true, time.Second, false, false},
	} {
		cluster := newRetryCluster("v", "w")
		cluster.submit("a", false)
		leaving := cluster.starts[0].Worker
		entry := order.Worker{ID: leaving, Service: "pool", Capacity: newStep(1, 0).Need, IsDraining: tc.isDraining}
		other := order.Worker{ID: "v", Service: "pool", Capacity: newStep(1, 0).Need}
		if leaving == "v" {
			other.ID = "w"
		}
		cluster.engine.SetWorkers([]order.Worker{entry, other}, true)
		if !tc.answersUntilRemoval {
			cluster.silentWorker = leaving
		}
		cluster.settle()
		cluster.silentWorker = leaving
		entry.IsRemoved, entry.HeartbeatAfter = true, cluster.clock.Now().Add(-tc.heartbeatAge)
		cluster.engine.SetWorkers([]order.Worker{entry, other}, tc.isListCertain)
		cluster.advance(500 * time.Millisecond)
		if got := len(cluster.starts) == 2; got != tc.wantRestart {
			t.Errorf("%s: started elsewhere: got: %v, want: %v", name, got, tc.wantRestart)
		}
	}
}

// Guards against a task that starts elsewhere because one answer of its worker was lost some time
// after the worker's entry had been removed.
func TestWorkerThatAnswersAfterItsEntryIsRemovedHasNotShutDown(t *testing.T) {
	for _, isListedAgain := range []bool{false, true} {
		cluster := newRetryCluster("v", "w")
		cluster.submit("a", false)
		leaving := cluster.starts[0].Worker
		entries := slices.Clone(cluster.entries)
		i := slices.IndexFunc(entries, func(w order.Worker) bool { return w.ID == leaving })
		entries[i].IsDraining, entries[i].HeartbeatAfter = true, cluster.clock.Now()
		cluster.engine.SetWorkers(entries, true)
		removed := slices.Clone(entries)
		removed[i].IsRemoved = true
		if isListedAgain {
			cluster.silentWorker = leaving
		}
		cluster.engine.SetWorkers(removed, true)
		if isListedAgain {
			cluster.engine.SetWorkers(entries, true)
		} else {
			cluster.advance(time.Second)
			cluster.silentWorker = leaving
		}
		cluster.advance(time.Second)
		if len(cluster.starts) != 1 {
			t.Errorf("listed again: %v: starts: got: %v, want: only the first one, which may still run", isListedAgain, cluster.starts)
		}
	}
}

// An owner must log that a worker is leaving once, also where it has not known the worker before: after
// a takeover nothing in its log said so.
func TestLeavingWorkerIsLoggedOnce(t *testing.T) {
	for name, isKnownBefore := range map[string]bool{"known before": true, "not known before": false} {
		logged := 0
		now := clock.NewFake()
		e := dispatch.NewEngine(dispatch.Options{Log: func(event events.Event, _ ...any) {
			if event == events.WorkerLeaving {
				logged++
			}
		}})
		e.Advance(now.Now())
		entry := order.Worker{ID: "w", Service: "pool", Capacity: workerCapacity}
		if isKnownBefore {
			e.SetWorkers([]order.Worker{entry}, true)
		}
		entry.IsDraining = true
		for range 3 {
			e.SetWorkers([]order.Worker{entry}, true)
		}
		if logged != 1 {
			t.Errorf("%s: logged: got: %d times, want: once", name, logged)
		}
	}
}
