// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// recordingWorkers are workers that accept each order and record it.
type recordingWorkers struct {
	mu     sync.Mutex
	starts []order.Start
	polls  []order.Poll
	fences []uint64
	// keptConns is how many connections may be kept open.
	keptConns atomic.Int64
}

func (r *recordingWorkers) Start(_ context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts, r.fences = append(r.starts, *s), append(r.fences, fence)
	return order.StartSucceeded, 5
}

func (*recordingWorkers) Stop(context.Context, uint64, *order.Stop) (order.WorkerTime, bool) {
	return 6, true
}

func (r *recordingWorkers) Poll(_ context.Context, _ uint64, h *order.Poll) (*order.Listing, order.PollOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls = append(r.polls, *h)
	return &order.Listing{At: 7}, order.PollAnswered
}

func (*recordingWorkers) Pace(context.Context, uint64, *order.Pace) error { return nil }

func (r *recordingWorkers) SetKeptConns(n int) { r.keptConns.Store(int64(n)) }

// testDelegate is a delegate with one session, whose outcomes it collects.
type testDelegate struct {
	*delegate.Session
	delegate *delegate.Delegate
	workers  *recordingWorkers
	clock    *clock.Fake

	mu       sync.Mutex
	outcomes map[uint64]delegate.Outcome
	messages int
}

func newTestDelegate() *testDelegate {
	s := &testDelegate{workers: &recordingWorkers{}, clock: clock.NewFake(), outcomes: map[uint64]delegate.Outcome{}}
	s.delegate = delegate.New(s.workers, s.clock)
	s.Session = s.delegate.NewSession(func(outcomes []delegate.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.messages++
		for _, o := range outcomes {
			s.outcomes[o.ID] = o
		}
	})
	return s
}

// awaitOutcomes advances the clock until there are n outcomes, and returns them.
func (s *testDelegate) awaitOutcomes(t *testing.T, n int) map[uint64]delegate.Outcome {
	t.Helper()
	await.True(t, "outcomes arrive", func() bool {
		s.clock.Advance(ms)
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.outcomes) >= n
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes
}

func startOrder(id uint64, job work.JobID) delegate.Order {
	return delegate.Order{ID: id, Start: &order.Start{Worker: "w", Task: work.TaskID{Job: job}, Run: 1}}
}

func TestDelegateReturnsTheOutcomeOfEachOrder(t *testing.T) {
	s := newTestDelegate()
	s.Execute(t.Context(), &delegate.Batch{Fence: 3, Orders: []delegate.Order{
		startOrder(1, "j"),
		{ID: 2, Stop: &order.Stop{Worker: "w"}},
		{ID: 3, Poll: &order.Poll{Worker: "w", Timeout: time.Second}},
		{ID: 4, Pace: &order.Pace{Worker: "w"}},
	}})
	got := s.awaitOutcomes(t, 4)
	if got[1].Start != order.StartSucceeded || got[1].At != 5 || !got[2].IsStopKnown || got[3].Poll != order.PollAnswered || got[3].Listing.At != 7 {
		t.Errorf("got: %+v, want: each executed", got)
	}
	if s.workers.fences[0] != 3 {
		t.Errorf("fence: got: %d, want: 3", s.workers.fences[0])
	}
}

// A node that has seen a later owner must reject the orders of the previous one.
func TestPreviousOwnerIsFenced(t *testing.T) {
	s := newTestDelegate()
	s.Execute(t.Context(), &delegate.Batch{Fence: 9})
	s.Execute(t.Context(), &delegate.Batch{Fence: 8, Orders: []delegate.Order{startOrder(1, "j"), {ID: 2, Poll: &order.Poll{}}}})
	got := s.awaitOutcomes(t, 2)
	if got[1].Start != order.StartFenced || got[2].Poll != order.PollUnanswered || len(s.workers.starts) != 0 {
		t.Errorf("got: %+v, %d started, want: fenced", got, len(s.workers.starts))
	}
}

// By the time a stalled node runs again, the owner has abandoned the starts that it sent before,
// and may have cancelled their jobs. Executing them would start cancelled tasks.
func TestStalledNodeExecutesNoStaleStart(t *testing.T) {
	for name, wake := range map[string]func(s *testDelegate, b *delegate.Batch){
		"batch first": func(s *testDelegate, b *delegate.Batch) { s.Execute(context.Background(), b) },
		"tick first": func(s *testDelegate, b *delegate.Batch) {
			s.delegate.Tick()
			s.Execute(context.Background(), b)
		},
	} {
		s := newTestDelegate()
		s.delegate.Tick()
		s.clock.Advance(4 * time.Second)
		wake(s, &delegate.Batch{Fence: 1, Orders: []delegate.Order{startOrder(1, "old"), {ID: 2, Stop: &order.Stop{Worker: "w"}}}})
		if got := s.awaitOutcomes(t, 1); !got[2].IsStopKnown || len(s.workers.starts) != 0 {
			t.Errorf("%s: got: %+v, %d started, want: only the stop", name, got, len(s.workers.starts))
		}
		s.delegate.Tick()
		s.clock.Advance(400 * ms)
		s.delegate.Tick()
		s.Execute(t.Context(), &delegate.Batch{Fence: 1, Orders: []delegate.Order{startOrder(3, "new")}})
		if got := s.awaitOutcomes(t, 2); got[3].Start != order.StartSucceeded {
			t.Errorf("%s: later: got: %+v, want: started", name, got)
		}
	}
}

// The worker may have restarted while the delegate was stalled. The confirmed number of its
// previous incarnation would make it discard ends that it has not reported.
func TestStalledNodeConfirmsNoStaleEnds(t *testing.T) {
	s := newTestDelegate()
	s.delegate.Tick()
	pollBatch := func(id uint64) *delegate.Batch {
		return &delegate.Batch{Fence: 1, Orders: []delegate.Order{{ID: id, Poll: &order.Poll{Worker: "w", Confirmed: 37, Deadline: 9}}}}
	}
	s.Execute(t.Context(), pollBatch(1))
	s.awaitOutcomes(t, 1)
	s.clock.Advance(4 * time.Second)
	s.Execute(t.Context(), pollBatch(2))
	s.awaitOutcomes(t, 2)
	for i, want := range []uint64{37, 0} {
		if got := s.workers.polls[i]; got.Confirmed != want || got.Deadline != 9 {
			t.Errorf("listing %d: got: %+v, want: confirmed %d", i, got, want)
		}
	}
}

// A start whose payload is missing must not be executed: the task would run with another payload.
func TestStartWithMissingPayloadIsNotSentToTheWorker(t *testing.T) {
	s := newTestDelegate()
	o := startOrder(1, "j")
	o.PayloadKey = 77
	s.Execute(t.Context(), &delegate.Batch{Fence: 1, Orders: []delegate.Order{o}})
	if got := s.awaitOutcomes(t, 1); got[1].Start != order.StartUnhealthy || len(s.workers.starts) != 0 {
		t.Errorf("got: %+v, %d started, want: not sent to the worker", got, len(s.workers.starts))
	}
}

// The router sends a payload only once; the delegate must insert it into the later starts too.
func TestEachTaskIsStartedWithItsPayload(t *testing.T) {
	s := newTestDelegate()
	r := newDelegatingRouter(t, nodesOf("n", 1, 10, "a")...)
	for i := range 3 {
		r.Add(order.Start{Worker: "w0000", Task: work.TaskID{Job: "j", Index: i}, Run: 1, Payload: "the text"}, "w0000", time.Second, begin)
		s.Execute(t.Context(), r.Batches()["n000"])
	}
	s.awaitOutcomes(t, 3)
	for _, start := range s.workers.starts {
		if start.Payload != "the text" {
			t.Errorf("payload: got: %q, want: the text", start.Payload)
		}
	}
}
