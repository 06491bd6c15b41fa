// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// newBatchTask returns a task with a run time. Every task but a service has
// one.
func (h *harness) newBatchTask(job string, each leverdyke.Resources, class leverdyke.Class, runTime time.Duration) worker.Task {
	t := h.newTask(job, each, class)
	t.RunTime = runTime
	return t
}

// requestStarvedTask requests a starved task that needs a whole VM and has
// waited for age.
func (h *harness) requestStarvedTask(job string, class leverdyke.Class, age time.Duration) worker.Task {
	h.t.Helper()
	t := h.newBatchTask(job, leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 1000, Slots: 1}, class, time.Hour)
	h.requestStarts(node.StartItem{Task: t, Age: age, IsStarved: true})
	return t
}

// Without a reservation, small tasks take each slot of a VM as it becomes free,
// and a task that needs a whole VM never starts. More urgent tasks and services
// may still use the reserved VM.
func TestStarvedTaskReservesVM(t *testing.T) {
	for name, c := range map[string]struct {
		hasStarvedTask bool
		class          leverdyke.Class
		runTime        time.Duration
		isPlaced       bool
	}{
		"another task waits":         {true, leverdyke.ClassNormal, time.Hour, false},
		"a less urgent one waits":    {true, leverdyke.ClassBatch, time.Hour, false},
		"a more urgent one does not": {true, leverdyke.ClassUrgent, time.Hour, true},
		"a service does not":         {true, leverdyke.ClassNormal, 0, true},
		"no reservation otherwise":   {false, leverdyke.ClassNormal, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, vmCapacity)
			for range 4 {
				h.requestStarts(node.StartItem{Task: h.newBatchTask("small", small, leverdyke.ClassNormal, 3*time.Second)})
			}
			if c.hasStarvedTask {
				h.requestStarvedTask("large", leverdyke.ClassNormal, 20*time.Second)
			}
			h.advanceSeconds(4)
			other := h.newBatchTask("other", small, c.class, c.runTime)
			h.requestStarts(node.StartItem{Task: other})
			if got := h.answers[other.Key].Worker != ""; got != c.isPlaced {
				t.Errorf("got: %+v, want: placed %v", h.answers[other.Key], c.isPlaced)
			}
			if got := h.rack.Summary(h.clock.Now()).Largest.Slots == 0; got != c.hasStarvedTask {
				t.Errorf("got: capacity of the VM is in the summary %v, want: %v", !got, !c.hasStarvedTask)
			}
		})
	}
}

// Both VMs are full when two starved tasks are requested. The one that has
// waited longer must get the reserved VM and start when its small tasks have
// ended.
func TestStarvedTaskStartsOnItsReservedVM(t *testing.T) {
	h := newHarness(t, 2, vmCapacity)
	for range 8 {
		h.requestStarts(node.StartItem{Task: h.newBatchTask("small", small, leverdyke.ClassNormal, 3*time.Second)})
	}
	h.requestStarvedTask("large", leverdyke.ClassNormal, 20*time.Second)
	// This task has waited less, so it does not get the reservation.
	h.requestStarvedTask("younger", leverdyke.ClassNormal, 15*time.Second)
	h.advanceSeconds(4)
	large := h.requestStarvedTask("large", leverdyke.ClassNormal, 24*time.Second)
	if got := h.answers[large.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started", got)
	}
	younger := h.requestStarvedTask("younger", leverdyke.ClassNormal, 19*time.Second)
	if got := h.answers[younger.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started on the other VM, which is empty", got)
	}
}

// If the starved task is no longer requested, its VM must not stay reserved.
func TestVMReservationExpiresWithoutFurtherRequests(t *testing.T) {
	h := newHarness(t, 1, vmCapacity)
	for range 4 {
		h.requestStarts(node.StartItem{Task: h.newBatchTask("small", small, leverdyke.ClassNormal, 2*time.Second)})
	}
	h.requestStarvedTask("large", leverdyke.ClassNormal, 20*time.Second)
	h.advanceSeconds(6)
	other := h.newBatchTask("other", small, leverdyke.ClassNormal, time.Hour)
	h.requestStarts(node.StartItem{Task: other})
	if got := h.answers[other.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started, since the starved task was not requested again", got)
	}
}
