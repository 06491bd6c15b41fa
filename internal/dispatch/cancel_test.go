// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"
)

// cancelUnseen starts a long-running task, cancels its job while the worker is unreachable, and
// replaces the owner once the cancellation is persisted. The new owner knows nothing of the run.
func cancelUnseen(t *testing.T) *sim {
	t.Helper()
	w := newSim(1)
	w.hasFullPollWaits = true
	w.addWorkers(1, workerCapacity)
	w.run(time.Second)
	lasting := newStep(1, time.Hour)
	lasting.IsLongRunning = true
	w.submit("a", lasting)
	w.run(time.Second)
	w.workers["w00"].isPartitioned = true
	w.engine.Cancel("a", "")
	w.run(200 * time.Millisecond)
	if !w.engine.IsFinalPersisted("a") || w.runningTasks("a") != 1 {
		t.Fatalf("persisted, running: got: %v, %d, want: true, 1", w.engine.IsFinalPersisted("a"), w.runningTasks("a"))
	}
	w.takeOver()
	w.workers["w00"].isPartitioned = false
	return w
}

// A run of a cancelled job that a new owner does not know must be stopped soon, also if orders to
// stop are lost: the worker then gets the order again long before its next listing.
func TestUnknownRunOfACancelledJobIsStoppedThoughStopsAreLost(t *testing.T) {
	w := cancelUnseen(t)
	w.lostStops = 3
	w.run(time.Second)
	if got := w.runningTasks("a"); got != 0 {
		t.Errorf("tasks of the cancelled job that run a second after the takeover: got: %d, want: 0", got)
	}
	w.submit("b", newStep(4, 100*time.Millisecond))
	w.run(time.Second)
	expectState(t, w, "b", "succeeded")
	expectNoViolations(t, w)
}

// The order to stop an unknown run is not repeated once the worker has confirmed it, however long
// the task takes to stop.
func TestConfirmedStopOfAnUnknownRunIsNotRepeated(t *testing.T) {
	w := cancelUnseen(t)
	w.run(time.Second)
	stops := 0
	for _, a := range w.trace {
		if a.at > 2200*time.Millisecond && a.task.Job == "a" {
			stops++
		}
	}
	if stops != 1 {
		t.Errorf("orders to stop: got: %d, want: 1", stops)
	}
	expectNoViolations(t, w)
}
