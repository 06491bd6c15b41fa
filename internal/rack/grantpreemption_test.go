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

// newFullHarness returns a rack of one worker that runs a replica of a service,
// with tasks of the class in all other slots.
func newFullHarness(t *testing.T, class leverdyke.Class, isOnce bool) *harness {
	t.Helper()
	h := newHarness(t, 1, vmCapacity)
	replica := h.newTask("service", small, leverdyke.ClassNormal)
	replica.Service, replica.Request = "s", leverdyke.Resources{MilliCPU: 100, Slots: 1}
	h.requestStarts(node.StartItem{Task: replica})
	for range 3 {
		task := h.newTask("fill", small, class)
		task.IsOnce = isOnce
		task.RunTime = time.Hour
		h.requestStarts(node.StartItem{Task: task})
	}
	h.advanceSeconds(1)
	if got := h.rack.Summary(h.clock.Now()).Free.Slots; got != 0 {
		t.Fatalf("got: %d slots free, want: 0", got)
	}
	return h
}

// Requests of a service preempt batch tasks, because clients wait for the
// answers while a batch task can run later. They must not preempt tasks as
// urgent as they are, nor tasks that must not run twice.
func TestServiceRequestsPreemptBatchTasks(t *testing.T) {
	for name, c := range map[string]struct {
		class        leverdyke.Class
		isOnce       bool
		requestClass leverdyke.Class
		isGranted    bool
	}{
		"a batch for a normal request":       {leverdyke.ClassBatch, false, leverdyke.ClassNormal, true},
		"a batch for an urgent request":      {leverdyke.ClassBatch, false, leverdyke.ClassUrgent, true},
		"a normal task for an urgent one":    {leverdyke.ClassNormal, false, leverdyke.ClassUrgent, true},
		"not a batch for a batch's request":  {leverdyke.ClassBatch, false, leverdyke.ClassBatch, false},
		"not a normal task for a normal one": {leverdyke.ClassNormal, false, leverdyke.ClassNormal, false},
		"not what may not be repeated":       {leverdyke.ClassBatch, true, leverdyke.ClassUrgent, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFullHarness(t, c.class, c.isOnce)
			h.rack.OnGrantRequest(h.clock.Now(), "n1", &node.GrantRequest{Service: "s", Slots: 3, Class: c.requestClass})
			h.executeOrders()
			h.rack.OnGrantRequest(h.clock.Now(), "n1", &node.GrantRequest{Service: "s", Slots: 3, Class: c.requestClass})
			h.executeOrders()
			h.advanceSeconds(2)
			granted, refused := 0, 0
			for i := range h.toNode {
				if g := h.toNode[i].Grant; g != nil && g.RefusalReason == "" {
					granted++
				} else if g != nil {
					refused++
				}
			}
			want := 0
			if c.isGranted {
				want = 1
			}
			if granted != want || (refused > 0) == c.isGranted {
				t.Errorf("got: %d grants and %d refusals, want: %d grants", granted, refused, want)
			}
			if got := h.workers["w0"].Running("fill"); got != 3-want {
				t.Errorf("got: %d tasks left, want: %d", got, 3-want)
			}
			for key, n := range h.updates {
				if n.State != worker.StateCheckpointed {
					t.Errorf("%s: got: %v, want: checkpointed", key, n.State)
				}
			}
			if got := h.oracle.Report().OverCommits; got != 0 {
				t.Errorf("got: %d over-commits, want: 0", got)
			}
		})
	}
}

// If preemption frees no capacity, the grant must be refused in time for the
// node to request one from another rack.
func TestGrantIsRefusedWhenPreemptionTimesOut(t *testing.T) {
	h := newFullHarness(t, leverdyke.ClassBatch, false)
	h.rack.OnGrantRequest(h.clock.Now(), "n1", &node.GrantRequest{Service: "s", Slots: 1, Class: leverdyke.ClassNormal})
	// The worker becomes unresponsive before it gets the orders, so none is
	// carried out.
	h.rack.TakeOutput()
	h.clock.Advance(2 * time.Second)
	h.rack.OnUnresponsive("w0")
	h.rack.Tick(h.clock.Now())
	h.executeOrders()
	if len(h.toNode) != 1 || h.toNode[0].Grant == nil || h.toNode[0].Grant.RefusalReason == "" {
		t.Errorf("got: %+v, want: one refusal", h.toNode)
	}
}

// The summary must say for how many requests batch tasks could be preempted, or
// a node would not request a grant from a full rack.
func TestSummaryCountsSlotsOfPreemptibleBatches(t *testing.T) {
	for class, want := range map[leverdyke.Class]int{leverdyke.ClassBatch: 3, leverdyke.ClassNormal: 0} {
		h := newFullHarness(t, class, false)
		summary := h.rack.Summary(h.clock.Now())
		if got := summary.Services[0]; got.Slots != 0 || got.PreemptibleSlots != want {
			t.Errorf("%s: got: %+v, want: 0 free slots and %d by preemption", class, got, want)
		}
	}
}
