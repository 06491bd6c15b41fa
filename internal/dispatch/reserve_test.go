// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/work"
)

// stepOfCores returns a step of tasks that need so many processors each.
func stepOfCores(tasks int, cores int64, runs time.Duration) work.Step {
	s := newStep(tasks, runs)
	s.Need = leverdyke.Resources{MilliCPU: 1000 * cores, MemoryMiB: 100}
	return s
}

// expectStartedWithin checks that tasks of a job run after so long.
func expectStartedWithin(t *testing.T, w *sim, id work.JobID, d time.Duration) {
	t.Helper()
	w.run(d)
	if got := w.runningTasks(id); got == 0 {
		t.Errorf("running tasks of %s after %v: got: none, want: some", id, d)
	}
}

// Capacity that is reserved for a gang must not stand idle while another member still waits for its own.
func TestShortTaskUsesCapacityOfAGangThatCannotStartYet(t *testing.T) {
	t.Parallel()
	w := newSim(1)
	w.addWorkers(2, leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4000})
	w.submit("blocker", stepOfCores(1, 4, 6*time.Second))
	w.run(300 * time.Millisecond)
	gang := stepOfCores(2, 4, time.Second)
	gang.IsGang = true
	w.submit("gang", gang)
	w.run(300 * time.Millisecond)
	w.submit("long", stepOfCores(1, 1, 20*time.Second))
	w.submit("short", stepOfCores(1, 1, time.Second))
	expectStartedWithin(t, w, "short", 500*time.Millisecond)
	if got := w.runningTasks("long"); got != 0 {
		t.Errorf("tasks of a job that would delay the gang: got: %d running, want: 0", got)
	}
	w.run(4900 * time.Millisecond)
	expectStartedWithin(t, w, "gang", 500*time.Millisecond)
	expectNoViolations(t, w)
}

// A reservation that is needed late must not lend out what another one on the worker needs before.
func TestTaskTakesNoCapacityThatIsNeededBeforeItEnds(t *testing.T) {
	t.Parallel()
	w := newSim(1)
	w.addWorkers(1, leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4000})
	w.submit("ends first", stepOfCores(1, 1, 2*time.Second))
	w.submit("ends late", stepOfCores(1, 2, 10*time.Second))
	w.run(300 * time.Millisecond)
	w.submit("large", stepOfCores(1, 2, time.Second))
	w.submit("larger", stepOfCores(1, 2, time.Second))
	w.run(300 * time.Millisecond)
	w.submit("small", stepOfCores(1, 1, 5*time.Second))
	w.run(1800 * time.Millisecond)
	expectStartedWithin(t, w, "large", 300*time.Millisecond)
	expectNoViolations(t, w)
}
