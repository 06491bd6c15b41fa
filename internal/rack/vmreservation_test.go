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

// batchTask returns a task with a run time, as everything but a service has.
func (h *harness) newBatchTask(job string, each leverdyke.Resources, class leverdyke.Class, runTime time.Duration) worker.Task {
	t := h.newTask(job, each, class)
	t.RunTime = runTime
	return t
}

// starve asks for a task that needs a whole VM, and has waited so long.
func (h *harness) requestStarvedTask(job string, class leverdyke.Class, age time.Duration) worker.Task {
	h.t.Helper()
	t := h.newBatchTask(job, leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 1000, Slots: 1}, class, time.Hour)
	h.requestStarts(node.AskItem{Task: t, Age: age, IsStarved: true})
	return t
}

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
		"nothing is kept without":    {false, leverdyke.ClassNormal, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, vmCapacity)
			for range 4 {
				h.requestStarts(node.AskItem{Task: h.newBatchTask("small", small, leverdyke.ClassNormal, 3*time.Second)})
			}
			if c.hasStarvedTask {
				h.requestStarvedTask("large", leverdyke.ClassNormal, 20*time.Second)
			}
			h.advanceSeconds(4)
			other := h.newBatchTask("other", small, c.class, c.runTime)
			h.requestStarts(node.AskItem{Task: other})
			if got := h.answers[other.Key].Worker != ""; got != c.isPlaced {
				t.Errorf("got: %+v, want: taken %v", h.answers[other.Key], c.isPlaced)
			}
			if got := h.rack.Summary(h.clock.Now()).Largest.Slots == 0; got != c.hasStarvedTask {
				t.Errorf("got: the room of a kept VM is told %v, want: %v", !got, !c.hasStarvedTask)
			}
		})
	}
}

func TestStarvedTaskStartsOnItsReservedVM(t *testing.T) {
	h := newHarness(t, 2, vmCapacity)
	for range 8 {
		h.requestStarts(node.AskItem{Task: h.newBatchTask("small", small, leverdyke.ClassNormal, 3*time.Second)})
	}
	h.requestStarvedTask("large", leverdyke.ClassNormal, 20*time.Second)
	// A younger one waits for the older.
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

func TestVMReservationExpiresWithoutFurtherRequests(t *testing.T) {
	h := newHarness(t, 1, vmCapacity)
	for range 4 {
		h.requestStarts(node.AskItem{Task: h.newBatchTask("small", small, leverdyke.ClassNormal, 2*time.Second)})
	}
	h.requestStarvedTask("large", leverdyke.ClassNormal, 20*time.Second)
	h.advanceSeconds(6)
	other := h.newBatchTask("other", small, leverdyke.ClassNormal, time.Hour)
	h.requestStarts(node.AskItem{Task: other})
	if got := h.answers[other.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started, since nobody asked again", got)
	}
}
