// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/order"
)

// Guards against a delegate that keeps more connections to workers than the owner allows: those of a
// delegate that loses power stay open at the workers.
func TestDelegateKeepsAsManyConnectionsAsTheOwnerAllows(t *testing.T) {
	s := newTestDelegate()
	s.Execute(t.Context(), &delegate.Batch{Fence: 7, KeptConns: 3})
	s.Execute(t.Context(), &delegate.Batch{Fence: 6, KeptConns: 4})
	if got := s.workers.keptConns.Load(); got != 3 {
		t.Errorf("after a batch of a replaced owner: got: %d, want: 3", got)
	}
	s.Execute(t.Context(), &delegate.Batch{Fence: 8, KeptConns: 1})
	if got := s.workers.keptConns.Load(); got != 1 {
		t.Errorf("after a batch of a new owner: got: %d, want: 1", got)
	}
}

// Guards against a loss of a delegate that is counted twice, or that is counted although the node
// talked to no worker.
func TestDelegateCountsAsUsedOnce(t *testing.T) {
	now := time.Unix(0, 0)
	r := delegate.NewRouter(1, 7)
	r.SetWorkers([]order.Worker{{ID: "v", Zone: "z"}, {ID: "w", Zone: "z"}})
	r.SetNodes([]delegate.Node{{Name: "c", Zone: "z", LinkID: 1, Capacity: 10}}, now)
	if r.TakeUsed("c") {
		t.Error("before the first order: got: used, want: not used")
	}
	if !r.Add(order.Poll{Worker: "v"}, "v", time.Second, now) {
		t.Fatal("got: an order for the owner itself, want: one for the delegate")
	}
	if !r.TakeUsed("c") || r.TakeUsed("c") {
		t.Error("after an order: got: not used, or used twice, want: used once")
	}
}
