// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit_test

import (
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Steps that ask at the same time about the same workers would find the capacity used by the
// first of them. So the claims of all calls in flight add up on a worker, and a call that is
// repeated or answered leaves nothing behind.
func TestClaimsOfCallsInFlightAddUp(t *testing.T) {
	c := permit.Claims{}
	need := leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 10}
	first, second := work.StepID{Job: "a"}, work.StepID{Job: "b"}
	c.Add(first, 1, []order.WorkerID{"v", "w"}, 1, need)
	c.Add(second, 1, []order.WorkerID{"w"}, 9, need)
	c.Add(work.StepID{Job: "c"}, 1, nil, 9, need)
	expect := func(when string, id order.WorkerID, milliCPU int64) {
		t.Helper()
		if got := c.OnWorker(id, 1).MilliCPU; got != milliCPU {
			t.Errorf("%s, on %s: got: %d, want: %d", when, id, got, milliCPU)
		}
	}
	expect("half a task of the first step and a whole one of the second", "w", 1500)
	expect("half a task", "v", 500)
	expect("not named", "u", 0)
	c.Add(first, 1, []order.WorkerID{"v"}, 1, need)
	expect("asked again", "w", 1000)
	expect("asked again", "v", 1000)
	c.Drop(first)
	c.Drop(first)
	c.Drop(second)
	expect("answered", "v", 0)
	expect("answered", "w", 0)
}

// What steps of less urgent queues claim must not count for a step that goes before them: gangs did not ask
// for workers on which they could start.
func TestClaimsOfLessUrgentQueuesDoNotCount(t *testing.T) {
	c := permit.Claims{}
	need := leverdyke.Resources{MilliCPU: 1000}
	urgent, other := work.StepID{Job: "a"}, work.StepID{Job: "b"}
	c.Add(urgent, 0, []order.WorkerID{"w"}, 1, need)
	c.Add(other, 2, []order.WorkerID{"w"}, 1, need)
	for priority, want := range []int64{1000, 1000, 2000} {
		if got := c.OnWorker("w", priority).MilliCPU; got != want {
			t.Errorf("priority %d: got: %d, want: %d", priority, got, want)
		}
	}
	c.Drop(urgent)
	if got := c.OnWorker("w", 1).MilliCPU; got != 0 {
		t.Errorf("priority 1 once the urgent call is answered: got: %d, want: 0", got)
	}
}
