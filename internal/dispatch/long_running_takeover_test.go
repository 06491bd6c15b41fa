// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// Guards against long-running tasks that no owner starts: workers vanish before each change of owner, so that
// each new owner holds back what its predecessors may have started there until their leases have ended.
func TestLongRunningTasksAreNotHeldBackByOwnersInARow(t *testing.T) {
	w := newSim(1)
	w.addWorkers(20, workerCapacity)
	w.crashWorkersOf(func(work.TaskID) bool { return false })
	w.crashFaults.restartDelay, w.crashFaults.unlistDelay, w.crashFaults.isSilent = time.Minute, 200*time.Millisecond, true
	w.run(time.Second)
	w.submit("a", newLongRunningStep(2))
	w.run(500 * time.Millisecond)
	w.crashAndRestart(w.workerOf(work.TaskID{Job: "a"}))
	w.takeOverUncertain()
	w.run(9 * time.Second)
	for range 2 {
		w.crashIdleWorker()
		w.takeOverUncertain()
		w.run(3 * time.Second)
	}
	if got := w.runningTasks("a"); got != 2 {
		t.Errorf("running tasks: got: %d, want: 2", got)
	}
	expectNoViolations(t, w)
}

// takeOverUncertain is takeOver from an owner that may have started tasks ahead of the store.
func (w *sim) takeOverUncertain() {
	w.mayHaveUnpersistedStarts = true
	w.takeOver()
	w.mayHaveUnpersistedStarts = false
}

// crashIdleWorker crashes a worker that runs nothing.
func (w *sim) crashIdleWorker() {
	for _, name := range w.liveWorkers() {
		if m := w.workers[name]; len(m.running) == 0 {
			w.crashAndRestart(m)
			return
		}
	}
}
