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

// newRouter returns a router in zone near that knows a service s. maxWaiting bounds its
// queue; 0 means the default.
func newRouter(maxWaiting int) (*router.Router, *clock.Fake) {
	c := clock.NewFake()
	r := router.NewRouter(router.NewRouterOptions{Zone: "near", MaxWaiting: maxWaiting, Clock: c})
	r.SetServices(map[string]router.Info{"s": {}})
	return r, c
}

// newGrant returns a grant of slots of service s on a worker named like its zone.
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

// Requests go to the grant with the smallest used share of its slots, and among equals to
// the one in the router's own zone.
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

// startWaiting starts a request and returns once it is queued or has ended. The channel
// receives the request's result.
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
	// Acquire signals PlanDue when it has queued the request.
	select {
	case err := <-done:
		done <- err
	case <-r.PlanDue():
	}
	return done
}

// In a full queue a more urgent request displaces the least urgent one, whose caller receives
// an error that says when to retry. A request that is not more urgent than any in the queue
// is refused.
func TestFullQueueShedsLeastUrgentRequest(t *testing.T) {
	r, _ := newRouter(2)
	first := startWaiting(t, r, leverdyke.ClassNormal)
	batch := startWaiting(t, r, leverdyke.ClassBatch)
	urgent := startWaiting(t, r, leverdyke.ClassUrgent)
	if err := <-batch; err == nil || err.Verdict != leverdyke.VerdictNotRun || err.RetryAfterSeconds == 0 {
		t.Errorf("the batch request: got: %v, want: not-run with a retry time", err)
	}
	if _, err := r.Acquire(context.Background(), "s", leverdyke.ClassBatch); err == nil || err.Verdict != leverdyke.VerdictNotRun {
		t.Errorf("another batch request: got: %v, want: not-run", err)
	}
	r.OnGrant(newGrant(1, "near", 1))
	for name, done := range map[string]chan *leverdyke.Error{"first": first, "urgent": urgent} {
		if err := <-done; err != nil {
			t.Errorf("%s: got: %v, want: nil", name, err)
		}
	}
}

// Guards against requests that wait in the queue although their deadline will certainly
// pass before a slot becomes free.
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
		t.Errorf("got: %v, want: not-run at once, with a retry time of the queue's length", err)
	}
}

// Guards against the return of a grant while a request uses it, and against grants that are
// never returned.
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
		t.Errorf("just used: got: %v, want: none", got)
	}
	c.Advance(3 * time.Second)
	if got := r.Plan().GrantReturns; len(got) != 1 {
		t.Errorf("idle: got: %v, want: one", got)
	}
}

// A rack in the router's own zone comes before one with more free slots elsewhere. A rack
// that has refused or not answered is queried again after its backoff.
func TestGrantsAreRequestedFromNearRacksFirst(t *testing.T) {
	r, c := newRouter(0)
	for _, capacity := range []node.RackSummary{
		{Rack: "rack/r1/a", Zone: "far", Services: []node.ServiceCapacity{{Service: "s", Slots: 50}}},
		{Rack: "rack/r1/b", Zone: "near", Services: []node.ServiceCapacity{{Service: "s", Slots: 1}}},
	} {
		r.OnCapacity(&capacity)
	}
	startWaiting(t, r, leverdyke.ClassNormal)
	startWaiting(t, r, leverdyke.ClassNormal)
	requests := r.Plan().GrantRequests
	if len(requests) != 2 || requests[0].Rack != "rack/r1/b" || requests[1].Rack != "rack/r1/a" {
		t.Fatalf("requests: got: %+v, want: the near rack, then the far one", requests)
	}
	if again := r.Plan().GrantRequests; len(again) != 0 {
		t.Errorf("requests while two are unanswered: got: %+v, want: none", again)
	}
	r.OnGrant(&node.Grant{Rack: "rack/r1/b", Service: "s", RefusalReason: "no room"})
	c.Advance(2 * time.Second)
	if again := r.Plan().GrantRequests; len(again) != 1 || again[0].Rack != "rack/r1/b" {
		t.Errorf("after a refusal and a timeout: got: %+v, want: the near rack, whose backoff has ended", again)
	}
	c.Advance(200 * time.Millisecond)
	if again := r.Plan().GrantRequests; len(again) != 1 || again[0].Rack != "rack/r1/a" {
		t.Errorf("200 ms later: got: %+v, want: the far rack, which had not answered, as well", again)
	}
}

// Guards against more slots being requested than requests wait: while one rack may still
// answer, no second one is queried for the same request.
func TestOneWaitingRequestQueriesOneRackAtATime(t *testing.T) {
	r, c := newRouter(0)
	for _, rack := range []state.ShardID{"rack/r1/a", "rack/r1/b", "rack/r1/c"} {
		r.OnCapacity(&node.RackSummary{Rack: rack, Zone: "near", Services: []node.ServiceCapacity{{Service: "s", Slots: 4}}})
	}
	startWaiting(t, r, leverdyke.ClassNormal)
	if got := len(r.Plan().GrantRequests) + len(r.Plan().GrantRequests); got != 1 {
		t.Errorf("got: %d grant requests, want: 1", got)
	}
	c.Advance(60 * time.Millisecond)
	if got := len(r.Plan().GrantRequests); got != 1 {
		t.Errorf("without an answer: got: %d more grant requests, want: 1", got)
	}
}

// Guards against a rack that is never queried again after a refusal. A rack reports its
// capacity only when it changes: one that was full for a moment and then is as before sends
// no report, so its last report must count again after a backoff.
func TestRackIsQueriedAgainAfterBackoffFollowingARefusal(t *testing.T) {
	r, c := newRouter(0)
	r.OnCapacity(&node.RackSummary{Rack: "rack/r1/a", Zone: "near", Services: []node.ServiceCapacity{{Service: "s", Slots: 4}}})
	startWaiting(t, r, leverdyke.ClassNormal)
	began := c.Now()
	queriedAt := []time.Duration{}
	for range 100 {
		if requests := r.Plan().GrantRequests; len(requests) > 0 {
			queriedAt = append(queriedAt, c.Now().Sub(began))
			r.OnGrant(&node.Grant{Rack: "rack/r1/a", Service: "s", RefusalReason: "no room"})
		}
		c.Advance(100 * time.Millisecond)
	}
	if n := len(queriedAt); n < 6 || n > 9 {
		t.Errorf("got: queried at %v, want: 6 to 9 times in 10 s, at growing intervals", queriedAt)
	}
	r.OnCapacity(&node.RackSummary{Rack: "rack/r1/a", Zone: "near", Services: []node.ServiceCapacity{{Service: "s", Slots: 4}}})
	if got := len(r.Plan().GrantRequests); got != 1 {
		t.Errorf("after a new capacity report: got: %d grant requests, want: 1 at once", got)
	}
}

// Guards against slots that are not counted as free when their grant is returned: the rack
// would appear to be full after the first round.
func TestReturnedSlotsCountAsFreeAgain(t *testing.T) {
	r, c := newRouter(0)
	r.OnCapacity(&node.RackSummary{Rack: "rack/r1/k", Zone: "near", Services: []node.ServiceCapacity{{Service: "s", Slots: 1}}})
	for i := range 5 {
		done := startWaiting(t, r, leverdyke.ClassNormal)
		if got := len(r.Plan().GrantRequests); got != 1 {
			t.Fatalf("round %d: got: %d grant requests, want: 1", i, got)
		}
		r.OnGrant(newGrant(uint64(i+1), "near", 1))
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		c.Advance(3 * time.Second)
		if got := len(r.Plan().GrantReturns); got != 1 {
			t.Fatalf("round %d: got: %d grants returned, want: 1", i, got)
		}
	}
}

// Guards against a cancelled request that stays in the queue, or keeps a slot that was
// assigned to it while it was being cancelled.
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

// A rack that would have to preempt batch tasks is queried only after racks with free slots,
// and not at all for a request of class batch.
func TestRacksThatMustPreemptBatchTasksAreQueriedLast(t *testing.T) {
	for class, want := range map[leverdyke.Class][]state.ShardID{
		leverdyke.ClassUrgent: {"rack/r1/free", "rack/r1/full"},
		leverdyke.ClassNormal: {"rack/r1/free", "rack/r1/full"},
		leverdyke.ClassBatch:  {"rack/r1/free"},
	} {
		r, _ := newRouter(0)
		r.OnCapacity(&node.RackSummary{Rack: "rack/r1/full", Zone: "near", Services: []node.ServiceCapacity{{Service: "s", PreemptibleSlots: 4}}})
		r.OnCapacity(&node.RackSummary{Rack: "rack/r1/free", Zone: "far", Services: []node.ServiceCapacity{{Service: "s", Slots: 1}}})
		startWaiting(t, r, class)
		startWaiting(t, r, class)
		got := []state.ShardID{}
		for _, a := range r.Plan().GrantRequests {
			got = append(got, a.Rack)
			if a.Class != class {
				t.Errorf("got: a grant request of class %v, want: %v", a.Class, class)
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got: %v, want: %v", class, got, want)
		}
	}
}

// Guards against surplus grants that are never returned. Requests spread over all grants, so
// that none becomes idle: those beyond the peak usage with its headroom must be returned,
// and no others.
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
	// The peak of 9 plus a quarter of it (2) plus 1 is 12 slots: three grants of four.
	if returned != 5 {
		t.Errorf("got: %d of 8 grants returned in 5 s, want: 5", returned)
	}
	if _, _, slots := r.Load(); slots != 12 {
		t.Errorf("got: %d slots left, want: 12", slots)
	}
}
