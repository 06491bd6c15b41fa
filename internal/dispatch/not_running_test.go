// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

// A long-running task that is not running must be logged, once a second from 3 s on, so that
// operators notice it.
func TestLongRunningTaskThatIsNotRunningIsLogged(t *testing.T) {
	w := newSim(1)
	logged := 0
	w.log = func(e events.Event, _ ...any) {
		if e == events.TaskNotRunning {
			logged++
		}
	}
	w.takeOver()
	w.addWorkers(1, workerCapacity)
	longRunning := newStep(1, time.Hour)
	longRunning.IsLongRunning = true
	w.submit("a", longRunning)
	w.run(6 * time.Second)
	if logged > 0 {
		t.Errorf("log lines on a task that runs: got: %d, want: none", logged)
	}
	w.workers["w00"].entry.IsDraining = true
	w.run(6 * time.Second)
	if logged < 2 || logged > 3 {
		t.Errorf("log lines on a task that is not running for 6 s: got: %d, want: one a second from 3 s on", logged)
	}
}
