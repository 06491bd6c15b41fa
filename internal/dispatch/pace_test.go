// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// adoptBestEffort returns the engine of a new owner that finds a best-effort task running on worker "w".
func adoptBestEffort() *successor {
	s := newSuccessor(1)
	step := newStep(1, time.Hour)
	step.IsBestEffort = true
	s.RestoreJob(&work.Spec{ID: "b", Queue: "q", Steps: []work.Step{step}}, nil)
	s.setWorkerList("w")
	return s
}

// paceOrders lets the worker list the task as running, advances the time by d, and returns the orders to
// pace it.
func (s *successor) paceOrders(d time.Duration) []order.Pace {
	at := order.WorkerTime(s.clock.Now().Sub(newSim(0).clock.Now()) + time.Second)
	s.PollAnswered(&order.Poll{Worker: "w", AskedAt: s.clock.Now()}, &order.Listing{
		At: at, Running: []order.Running{{Task: work.TaskID{Job: "b"}, Run: 1, Percent: 10}},
	})
	out := []order.Pace{}
	for _, a := range s.Actions() {
		if p, ok := a.(order.Pace); ok {
			out = append(out, p)
		}
	}
	s.clock.Advance(d)
	s.Advance(s.clock.Now())
	return out
}

// Guards against a task that stands still for good: a previous owner had ordered it to pause, and the new
// one took it for running at full speed.
func TestNewOwnerSetsThePaceOfTasksItFinds(t *testing.T) {
	s := adoptBestEffort()
	orders := s.paceOrders(time.Second)
	if len(orders) != 1 || orders[0].Percent != 100 {
		t.Fatalf("got: %v, want: one order for full speed", orders)
	}
	s.PaceAnswered(&orders[0], true)
	if got := s.paceOrders(time.Second); len(got) != 0 {
		t.Errorf("after its answer: got: %v, want: none", got)
	}
}

// Guards against an order to pace that is lost and not sent again.
func TestOrderToPaceIsRepeatedUntilItIsAnswered(t *testing.T) {
	s := adoptBestEffort()
	first := s.paceOrders(100 * time.Millisecond)
	if got := s.paceOrders(time.Second); len(got) != 0 {
		t.Errorf("right after the order: got: %v, want: none", got)
	}
	s.PaceAnswered(&first[0], false)
	second := s.paceOrders(100 * time.Millisecond)
	if len(second) != 1 {
		t.Fatalf("without an answer: got: %v, want: the order again", second)
	}
	other := second[0]
	other.Percent = 25
	s.PaceAnswered(&other, true)
	s.clock.Advance(time.Second)
	s.Advance(s.clock.Now())
	if got := s.paceOrders(time.Second); len(got) != 1 {
		t.Errorf("after the answer to another order: got: %v, want: the order again", got)
	}
}
