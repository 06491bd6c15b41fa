// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package router_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

func newRouter(maxWaiting int) (*router.Router, *clock.Fake) {
	c := clock.NewFake()
	r := router.NewRouter(router.NewRouterOptions{Zone: "near", MaxWaiting: maxWaiting, Clock: c})
	r.SetServices(map[string]router.Info{"s": {}})
	return r, c
}

func newGrant(attempt uint64, zone string, slots int) *node.Grant {
	return &node.Grant{
		Rack: "rack/r1/k", Service: "s", Worker: worker.ID(zone), Zone: zone, Slots: slots,
		Key: worker.Key{Task: leverdyke.TaskID{Job: "grant"}, Attempt: attempt},
	}
}

func acquire(t *testing.T, r *router.Router) *router.Slot {
	t.Helper()
	s, err := r.Acquire(context.Background(), "s", leverdyke.ClassNormal)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSlotComesFromLeastLoadedThenNearestGrant(t *testing.T) {
	r, _ := newRouter(0)
	r.OnGrant(newGrant(1, "far", 2))
	r.OnGrant(newGrant(2, "near", 2))
	got := []worker.ID{}
	for range 4 {
		got = append(got, acquire(t, r).Worker)
	}
	want := []worker.ID{"near", "far", "near", "far"}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got: %v, want: %v", got, want)
		}
	}
}

// startWaiting starts a request that waits, and returns once it does.
func startWaiting(t *testing.T, r *router.Router, class leverdyke.Class) chan *leverdyke.Error {
	t.Helper()
	select {
	case <-r.PlanDue():
	default:
	}
	done := make(chan *leverdyke.Error, 1)
	go func() {
		s, err := r.Acquire(context.Background(), "s", class)
		if s != nil {
			s.Release(false)
		}
		done <- err
	}()
	// A request nudges when it has been queued.
	select {
	case err := <-done:
		done <- err
	case <-r.PlanDue():
	}
	return done
}

func TestFullQueueShedsLeastUrgentRequest(t *testing.T) {
	r, _ := newRouter(2)
	first := startWaiting(t, r, leverdyke.ClassNormal)
	batch := startWaiting(t, r, leverdyke.ClassBatch)
	urgent := startWaiting(t, r, leverdyke.ClassUrgent)
	if err := <-batch; err == nil || err.Verdict != leverdyke.VerdictNotRun || err.RetryAfterSeconds == 0 {
		t.Errorf("the batch request: got: %v, want: not-run with a time to come back", err)
	}
	if _, err := r.Acquire(context.Background(), "s", leverdyke.ClassBatch); err == nil || err.Verdict != leverdyke.VerdictNotRun {
		t.Errorf("one more: got: %v, want: not-run", err)
	}
	r.OnGrant(newGrant(1, "near", 1))
	for name, done := range map[string]chan *leverdyke.Error{"first": first, "urgent": urgent} {
		if err := <-done; err != nil {
			t.Errorf("%s: got: %v, want: nil", name, err)
		}
	}
}

func TestRequestIsRefusedAtOnceIfItsDeadlineIsShorterThanTheQueue(t *testing.T) {
	r, c := newRouter(0)
	r.OnGrant(newGrant(1, "near", 1))
	slot := acquire(t, r)
	c.Advance(200 * time.Second)
	slot.Release(false)
	acquire(t, r)
	startWaiting(t, r, leverdyke.ClassNormal)
	ctx, cancel := context.WithDeadline(context.Background(), c.Now().Add(time.Second))
	defer cancel()
	_, err := r.Acquire(ctx, "s", leverdyke.ClassNormal)
	if err == nil || err.Verdict != leverdyke.VerdictNotRun || err.RetryAfterSeconds < 10 {
		t.Errorf("got: %v, want: not-run at once, with the time of the queue", err)
	}
}

func TestIdleAndRecalledGrantsAreReturnedOnlyWhenUnused(t *testing.T) {
	r, c := newRouter(0)
	r.OnGrant(newGrant(1, "near", 2))
	slot := acquire(t, r)
	c.Advance(time.Minute)
	if got := r.Plan().GrantReturns; len(got) != 0 {
		t.Errorf("in use: got: %v, want: none", got)
	}
	r.OnRecall(slot.Grant)
	if got := r.Plan().GrantReturns; len(got) != 0 {
		t.Errorf("recalled and in use: got: %v, want: none", got)
	}
	slot.Release(false)
	if got := r.Plan().GrantReturns; len(got) != 1 || got[0].Key != slot.Grant {
		t.Errorf("recalled: got: %v, want: %v", got, slot.Grant)
	}
	r.OnGrant(newGrant(2, "near", 2))
	acquire(t, r).Release(false)
	if got := r.Plan().GrantReturns; len(got) != 0 {
		t.Errorf("used just now: got: %v, want: none", got)
	}
	c.Advance(3 * time.Second)
	if got := r.Plan().GrantReturns; len(got) != 1 {
		t.Errorf("idle: got: %v, want: one", got)
	}
}

func TestGrantsAreRequestedFromNearRacksFirst(t *testing.T) {
	r, c := newRouter(0)
	for _, capacity := range []node.Room{
		{Rack: "rack/r1/a", Zone: "far", Services: []node.ServiceRoom{{Service: "s", Slots: 50}}},
		{Rack: "rack/r1/b", Zone: "near", Services: []node.ServiceRoom{{Service: "s", Slots: 1}}},
	} {
		r.OnCapacity(&capacity)
	}
	startWaiting(t, r, leverdyke.ClassNormal)
	startWaiting(t, r, leverdyke.ClassNormal)
	requests := r.Plan().GrantRequests
	if len(requests) != 2 || requests[0].Rack != "rack/r1/b" || requests[1].Rack != "rack/r1/a" {
		t.Fatalf("got: %+v, want: the near rack, then the far one", requests)
	}
	if again := r.Plan().GrantRequests; len(again) != 0 {
		t.Errorf("unanswered: got: %+v, want: none", again)
	}
	r.OnGrant(&node.Grant{Rack: "rack/r1/b", Service: "s", Refused: "no room"})
	c.Advance(2 * time.Second)
	if again := r.Plan().GrantRequests; len(again) != 1 || again[0].Rack != "rack/r1/b" {
		t.Errorf("after a refusal and a silence: got: %+v, want: the near one, which has answered", again)
	}
	c.Advance(200 * time.Millisecond)
	if again := r.Plan().GrantRequests; len(again) != 1 || again[0].Rack != "rack/r1/a" {
		t.Errorf("a moment later: got: %+v, want: the silent one as well", again)
	}
}

// One waiting request asks one rack, and another only if that does not answer.
func TestOneWaitingRequestQueriesOneRackAtATime(t *testing.T) {
	r, c := newRouter(0)
	for _, rack := range []state.ShardID{"rack/r1/a", "rack/r1/b", "rack/r1/c"} {
		r.OnCapacity(&node.Room{Rack: rack, Zone: "near", Services: []node.ServiceRoom{{Service: "s", Slots: 4}}})
	}
	startWaiting(t, r, leverdyke.ClassNormal)
	if got := len(r.Plan().GrantRequests) + len(r.Plan().GrantRequests); got != 1 {
		t.Errorf("got: %d asks, want: 1", got)
	}
	c.Advance(60 * time.Millisecond)
	if got := len(r.Plan().GrantRequests); got != 1 {
		t.Errorf("without an answer: got: %d more asks, want: 1", got)
	}
}

// A rack that told of room, was full for a moment and is as before tells
// nothing more: what it told must count again.
func TestRackIsQueriedAgainAfterBackoffFollowingARefusal(t *testing.T) {
	r, c := newRouter(0)
	r.OnCapacity(&node.Room{Rack: "rack/r1/a", Zone: "near", Services: []node.ServiceRoom{{Service: "s", Slots: 4}}})
	startWaiting(t, r, leverdyke.ClassNormal)
	began := c.Now()
	queriedAt := []time.Duration{}
	for range 100 {
		if requests := r.Plan().GrantRequests; len(requests) > 0 {
			queriedAt = append(queriedAt, c.Now().Sub(began))
			r.OnGrant(&node.Grant{Rack: "rack/r1/a", Service: "s", Refused: "no room"})
		}
		c.Advance(100 * time.Millisecond)
	}
	if n := len(queriedAt); n < 6 || n > 9 {
		t.Errorf("got: asked at %v, want: 6 to 9 times in 10 s, ever more rarely", queriedAt)
	}
	r.OnCapacity(&node.Room{Rack: "rack/r1/a", Zone: "near", Services: []node.ServiceRoom{{Service: "s", Slots: 4}}})
	if got := len(r.Plan().GrantRequests); got != 1 {
		t.Errorf("after a new summary: got: %d asks, want: 1 at once", got)
	}
}

func TestReturnedSlotsCountAsFreeAgain(t *testing.T) {
	r, c := newRouter(0)
	r.OnCapacity(&node.Room{Rack: "rack/r1/k", Zone: "near", Services: []node.ServiceRoom{{Service: "s", Slots: 1}}})
	for i := range 5 {
		done := startWaiting(t, r, leverdyke.ClassNormal)
		if got := len(r.Plan().GrantRequests); got != 1 {
			t.Fatalf("round %d: got: %d asks, want: 1", i, got)
		}
		r.OnGrant(newGrant(uint64(i+1), "near", 1))
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		c.Advance(3 * time.Second)
		if got := len(r.Plan().GrantReturns); got != 1 {
			t.Fatalf("round %d: got: %d grants given back, want: 1", i, got)
		}
	}
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	r, _ := newRouter(0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan *leverdyke.Error, 1)
	go func() {
		_, err := r.Acquire(ctx, "s", leverdyke.ClassNormal)
		done <- err
	}()
	<-r.PlanDue()
	cancel()
	if err := <-done; err == nil || err.Verdict != leverdyke.VerdictNotRun {
		t.Errorf("got: %v, want: not-run", err)
	}
	r.OnGrant(newGrant(1, "near", 1))
	acquire(t, r)
	if waiting, inUse, _ := r.Load(); waiting != 0 || inUse != 1 {
		t.Errorf("got: %d waiting, %d in use, want: 0, 1", waiting, inUse)
	}
}

func TestRacksThatMustPreemptBatchTasksAreQueriedLast(t *testing.T) {
	for class, want := range map[leverdyke.Class][]state.ShardID{
		leverdyke.ClassUrgent: {"rack/r1/free", "rack/r1/full"},
		leverdyke.ClassNormal: {"rack/r1/free", "rack/r1/full"},
		leverdyke.ClassBatch:  {"rack/r1/free"},
	} {
		r, _ := newRouter(0)
		r.OnCapacity(&node.Room{Rack: "rack/r1/full", Zone: "near", Services: []node.ServiceRoom{{Service: "s", Yield: 4}}})
		r.OnCapacity(&node.Room{Rack: "rack/r1/free", Zone: "far", Services: []node.ServiceRoom{{Service: "s", Slots: 1}}})
		startWaiting(t, r, class)
		startWaiting(t, r, class)
		got := []state.ShardID{}
		for _, a := range r.Plan().GrantRequests {
			got = append(got, a.Rack)
			if a.Class != class {
				t.Errorf("got: an ask of class %v, want: %v", a.Class, class)
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got: %v, want: %v", class, got, want)
		}
	}
}

// Requests spread over all grants: what even the busiest moment did not need is
// given back, and nothing that it did.
func TestGrantsBeyondPeakUsageAreReturned(t *testing.T) {
	r, c := newRouter(0)
	for i := range 8 {
		r.OnGrant(newGrant(uint64(i+1), "near", 4))
	}
	returned := 0
	for range 100 {
		slots := []*router.Slot{}
		for range 9 {
			slots = append(slots, acquire(t, r))
		}
		c.Advance(50 * time.Millisecond)
		for _, s := range slots {
			s.Release(false)
		}
		returned += len(r.Plan().GrantReturns)
	}
	// Nine at once, two on top and one: three grants of four.
	if returned != 5 {
		t.Errorf("got: %d of 8 grants given back in 5 s, want: 5", returned)
	}
	if _, _, slots := r.Load(); slots != 12 {
		t.Errorf("got: %d slots left, want: 12", slots)
	}
}
