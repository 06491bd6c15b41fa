// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
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

// A job that was cancelled before its submission arrives, and whose caller was answered that there is
// no such job, must not appear as running when the submission arrives: callers are shown no job until
// the store has the job as cancelled.
func TestJobCancelledBeforeItsSubmissionIsNotShownAsRunning(t *testing.T) {
	for name, isStored := range map[string]bool{"the store has the cancellation": true, "the cancellation is being written": false} {
		t.Run(name, func(t *testing.T) {
			w := newSim(1)
			w.run(time.Second)
			w.engine.Cancel("a", "")
			if isStored {
				w.run(200 * time.Millisecond)
			}
			cancellation := w.engine.TakeBatch()
			if isPersisted := w.engine.IsFinalPersisted("a"); isPersisted != isStored || isStored != (cancellation == nil) {
				t.Fatalf("persisted: got: %v, want: %v", isPersisted, isStored)
			}
			w.submit("a", newStep(1, time.Second))
			if cancellation != nil {
				w.engine.Committed(cancellation)
			}
			if got, isKnown := w.engine.State("a"); isKnown {
				t.Errorf("state before the store has the job: got: %s, want: none", got)
			}
			if w.engine.IsFinalPersisted("a") {
				t.Error("the store does not have the job yet: got: final state persisted, want: not persisted")
			}
			w.run(time.Second)
			expectState(t, w, "a", work.JobCancelled)
			expectNoViolations(t, w)
		})
	}
}

// A worker that is lost while it lists a run of a cancelled job must not hold back its customer for
// ever: what may be running there counts against the customer's limit until the worker's leases have
// expired.
func TestUnknownRunOnALostWorkerEndsWithItsLeases(t *testing.T) {
	w := newLimitedWorld(limitOf("a", 1))
	lasting := newStep(1, time.Hour)
	lasting.IsLongRunning = true
	w.submitFor("a", "q", "j1", lasting)
	w.run(time.Second)
	m := w.workerOf(work.TaskID{Job: "j1"})
	m.isPartitioned = true
	w.engine.Cancel("j1", "a")
	w.run(200 * time.Millisecond)
	w.takeOver()
	m.isPartitioned, w.lostStops = false, 10
	w.run(300 * time.Millisecond)
	m.isDead, m.running = true, nil
	w.submitFor("a", "q", "j2", newStep(1, 100*time.Millisecond))
	w.run(20 * time.Second)
	expectState(t, w, "j2", work.JobSucceeded)
	expectNoViolations(t, w)
}
