// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// recorder are workers that do all they are told and remember it.
type recorder struct {
	mu     sync.Mutex
	starts []order.Start
	holds  []order.Hold
	fences []uint64
}

func (r *recorder) Start(_ context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts, r.fences = append(r.starts, *s), append(r.fences, fence)
	return order.StartDone, 5
}

func (*recorder) Stop(context.Context, uint64, *order.Stop) (order.WorkerTime, bool) { return 6, true }

func (r *recorder) Hold(_ context.Context, _ uint64, h *order.Hold) (*order.Listing, order.HoldOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = append(r.holds, *h)
	return &order.Listing{At: 7}, order.HoldListed
}

func (*recorder) Pace(context.Context, uint64, *order.Pace) error { return nil }

// side is a carrier with one link to an owner.
type side struct {
	*delegate.Session
	carrier *delegate.Carrier
	workers *recorder
	clock   *clock.Fake

	mu       sync.Mutex
	outcomes map[uint64]delegate.Outcome
	messages int
}

func newSide() *side {
	s := &side{workers: &recorder{}, clock: clock.NewFake(), outcomes: map[uint64]delegate.Outcome{}}
	s.carrier = delegate.New(s.workers, s.clock)
	s.Session = s.carrier.NewSession(func(outcomes []delegate.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.messages++
		for _, o := range outcomes {
			s.outcomes[o.ID] = o
		}
	})
	return s
}

// await lets time pass until there are so many outcomes.
func (s *side) await(t *testing.T, n int) map[uint64]delegate.Outcome {
	t.Helper()
	await.True(t, "outcomes come", func() bool {
		s.clock.Advance(ms)
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.outcomes) >= n
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes
}

func startOf(id uint64, job work.JobID) delegate.Order {
	return delegate.Order{ID: id, Start: &order.Start{Worker: "w", Task: work.TaskID{Job: job}, Run: 1}}
}

func TestACarrierCarriesOut(t *testing.T) {
	s := newSide()
	s.Take(t.Context(), &delegate.Batch{Fence: 3, Orders: []delegate.Order{
		startOf(1, "j"),
		{ID: 2, Stop: &order.Stop{Worker: "w"}},
		{ID: 3, Hold: &order.Hold{Worker: "w", Patience: time.Second}},
		{ID: 4, Pace: &order.Pace{Worker: "w"}},
	}})
	got := s.await(t, 4)
	if got[1].Start != order.StartDone || got[1].At != 5 || !got[2].IsStopKnown || got[3].Hold != order.HoldListed || got[3].Listing.At != 7 {
		t.Errorf("got: %+v, want: each done", got)
	}
	if s.workers.fences[0] != 3 {
		t.Errorf("fence: got: %d, want: 3", s.workers.fences[0])
	}
}

// An owner that was replaced is not served by a node that knows the next one.
func TestAnEarlierOwnerIsNotServed(t *testing.T) {
	s := newSide()
	s.Take(t.Context(), &delegate.Batch{Fence: 9})
	s.Take(t.Context(), &delegate.Batch{Fence: 8, Orders: []delegate.Order{startOf(1, "j"), {ID: 2, Hold: &order.Hold{}}}})
	got := s.await(t, 2)
	if got[1].Start != order.StartFenced || got[2].Hold != order.HoldSilent || len(s.workers.starts) != 0 {
		t.Errorf("got: %+v, %d started, want: fenced", got, len(s.workers.starts))
	}
}

// What a node was told before it was frozen has been given up by the owner, and its job
// may be cancelled: it is not started when the node wakes.
func TestANodeThatWakesStartsNothingOld(t *testing.T) {
	for name, wake := range map[string]func(s *side, b *delegate.Batch){
		"told first": func(s *side, b *delegate.Batch) { s.Take(context.Background(), b) },
		"a tick first": func(s *side, b *delegate.Batch) {
			s.carrier.Tick()
			s.Take(context.Background(), b)
		},
	} {
		s := newSide()
		s.carrier.Tick()
		s.clock.Advance(4 * time.Second)
		wake(s, &delegate.Batch{Fence: 1, Orders: []delegate.Order{startOf(1, "old"), {ID: 2, Stop: &order.Stop{Worker: "w"}}}})
		if got := s.await(t, 1); !got[2].IsStopKnown || len(s.workers.starts) != 0 {
			t.Errorf("%s: got: %+v, %d started, want: only the stop", name, got, len(s.workers.starts))
		}
		s.carrier.Tick()
		s.clock.Advance(400 * ms)
		s.carrier.Tick()
		s.Take(t.Context(), &delegate.Batch{Fence: 1, Orders: []delegate.Order{startOf(3, "new")}})
		if got := s.await(t, 2); got[3].Start != order.StartDone {
			t.Errorf("%s: later: got: %+v, want: started", name, got)
		}
	}
}

// A start without its payload must not be ordered: the task would run with another.
// The worker may have started again while the carrier was frozen: the numbers of its earlier
// start would make it forget ends that it has not told.
func TestANodeThatWakesConfirmsNothingOld(t *testing.T) {
	s := newSide()
	s.carrier.Tick()
	hold := func(id uint64) *delegate.Batch {
		return &delegate.Batch{Fence: 1, Orders: []delegate.Order{{ID: id, Hold: &order.Hold{Worker: "w", Confirmed: 37, Deadline: 9}}}}
	}
	s.Take(t.Context(), hold(1))
	s.await(t, 1)
	s.clock.Advance(4 * time.Second)
	s.Take(t.Context(), hold(2))
	s.await(t, 2)
	for i, want := range []uint64{37, 0} {
		if got := s.workers.holds[i]; got.Confirmed != want || got.Deadline != 9 {
			t.Errorf("listing %d: got: %+v, want: it confirms %d", i, got, want)
		}
	}
}

func TestAStartWithoutItsPayloadIsNotOrdered(t *testing.T) {
	s := newSide()
	o := startOf(1, "j")
	o.PayloadKey = 77
	s.Take(t.Context(), &delegate.Batch{Fence: 1, Orders: []delegate.Order{o}})
	if got := s.await(t, 1); got[1].Start != order.StartUnhealthy || len(s.workers.starts) != 0 {
		t.Errorf("got: %+v, %d started, want: not ordered", got, len(s.workers.starts))
	}
}

// What a router sends, a carrier hands to the worker whole, also a payload that came
// with an earlier batch.
func TestAPayloadReachesTheWorkerWithEachTask(t *testing.T) {
	s := newSide()
	r := carried(t, nodesOf("n", 1, 10, "a")...)
	for i := range 3 {
		r.Add(order.Start{Worker: "w0000", Task: work.TaskID{Job: "j", Index: i}, Run: 1, Payload: "the text"}, "w0000", time.Second, begin)
		s.Take(t.Context(), r.Batches()["n000"])
	}
	s.await(t, 3)
	for _, start := range s.workers.starts {
		if start.Payload != "the text" {
			t.Errorf("payload: got: %q, want: the text", start.Payload)
		}
	}
}
