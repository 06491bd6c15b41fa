// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"context"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/order"
)

// Workers gives orders to workers. fence is the epoch of the owner: a worker does nothing
// for a lower one than it has seen. Implementations are safe for concurrent use.
type Workers interface {
	Start(ctx context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime)
	// Stop returns the worker's clock, and false when no answer came.
	Stop(ctx context.Context, fence uint64, s *order.Stop) (order.WorkerTime, bool)
	Hold(ctx context.Context, fence uint64, h *order.Hold) (*order.Listing, order.HoldOutcome)
	Pace(ctx context.Context, fence uint64, p *order.Pace) error
}

const (
	// StartTimeout bounds an order to start, from before it waits for a connection. It must
	// not leave a node long after the engine doubts it (0.2 s).
	StartTimeout = 400 * time.Millisecond
	// StopTimeout bounds an order to stop or to pace. A stop is sent again.
	StopTimeout = 500 * time.Millisecond
	// gatherTime is how long an outcome waits for others to go with it: each message
	// costs the owner a wake-up, and starts and ends come many at a time.
	gatherTime = 2 * time.Millisecond
	// staleAfter is the time between two ticks from which this node was kept from
	// running: a start that it was told before is not ordered any more. The owner has
	// given it up by then, and may have cancelled its job. A listing confirms nothing: the worker
	// may have started again, and would forget ends by the numbers of its earlier start. Without
	// that eight tasks ran twice in TestSiteWorkersStartAgainWhileCarriersEnd.
	staleAfter = 600 * time.Millisecond
	// staleTime is how long after such a time what comes may have waited.
	staleTime = 300 * time.Millisecond
)

// Carrier talks to workers for the owner of the shard. It is safe for concurrent use.
type Carrier struct {
	workers Workers
	clock   clock.Service

	mu sync.Mutex
	// fence is the highest that was seen: an earlier owner is not served.
	fence    uint64
	tickedAt time.Time
	// staleUntil is until when orders may be old.
	staleUntil time.Time
}

// New returns a Carrier that has seen no owner.
func New(workers Workers, c clock.Service) *Carrier {
	return &Carrier{workers: workers, clock: c, tickedAt: c.Now()}
}

// Tick is called several times within staleAfter: that it was not tells that this node
// was kept from running.
func (c *Carrier) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteStall(c.clock.Now())
	c.tickedAt = c.clock.Now()
}

// noteStall finds out whether this node was kept from running. The caller holds mu.
func (c *Carrier) noteStall(now time.Time) {
	if now.Sub(c.tickedAt) > staleAfter {
		c.staleUntil = now.Add(staleTime)
	}
}

// admit takes the fence of a batch. It reports whether a later owner was seen, and
// whether what is in the batch may be old.
func (c *Carrier) admit(fence uint64) (isFenced, isStale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.noteStall(now)
	if fence < c.fence {
		return true, false
	}
	c.fence = fence
	return false, now.Before(c.staleUntil)
}

// Session is a link to an owner, over which the outcomes go back. It is safe for
// concurrent use.
type Session struct {
	carrier *Carrier
	reply   func([]Outcome)

	mu sync.Mutex
	// payloads are those that the owner has sent over this link.
	payloads *recent[string]
	// ready are the outcomes that wait; isWaiting means that they are about to be sent.
	ready     []Outcome
	isWaiting bool
}

// NewSession returns a session whose outcomes reply gets, some at a time.
func (c *Carrier) NewSession(reply func([]Outcome)) *Session {
	return &Session{carrier: c, reply: reply, payloads: newRecent[string](keptPayloads)}
}

// Take carries out a batch. It returns at once; ctx bounds all of it.
func (s *Session) Take(ctx context.Context, b *Batch) {
	isFenced, isStale := s.carrier.admit(b.Fence)
	s.takePayloads(b)
	for i := range b.Orders {
		o := &b.Orders[i]
		switch {
		case isFenced:
			s.add(fenced(o))
		case !s.fillPayload(o):
			// It must not start with another payload. It was not ordered.
			s.add(Outcome{ID: o.ID, Start: order.StartUnhealthy})
		case o.Start != nil && isStale:
			// No outcome: the owner has stopped waiting for it.
		case o.Hold != nil && isStale:
			o.Hold.Confirmed = 0
			go s.runOrder(ctx, b.Fence, o)
		default:
			go s.runOrder(ctx, b.Fence, o)
		}
	}
}

func (s *Session) takePayloads(b *Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range b.Payloads {
		s.payloads.put(keyOf(p), p)
	}
}

// fillPayload puts the payload into an order, and reports false when it is not there.
func (s *Session) fillPayload(o *Order) bool {
	if o.Start == nil || o.PayloadKey == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	payload, ok := s.payloads.get(o.PayloadKey)
	o.Start.Payload = payload
	return ok
}

// fenced is the outcome of an order of an owner that was replaced.
func fenced(o *Order) Outcome {
	out := Outcome{ID: o.ID}
	switch {
	case o.Start != nil:
		out.Start = order.StartFenced
	case o.Hold != nil:
		out.Hold = order.HoldSilent
	}
	return out
}

func (s *Session) add(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = append(s.ready, o)
	if !s.isWaiting {
		s.isWaiting = true
		go s.runFlush()
	}
}

// runFlush sends what has gathered.
func (s *Session) runFlush() {
	<-s.carrier.clock.After(gatherTime)
	s.mu.Lock()
	ready := s.ready
	s.ready, s.isWaiting = nil, false
	s.mu.Unlock()
	s.reply(ready)
}

// runOrder carries out one order.
func (s *Session) runOrder(ctx context.Context, fence uint64, o *Order) {
	ctx, cancel := context.WithTimeout(ctx, bound(o))
	defer cancel()
	out := Outcome{ID: o.ID}
	w := s.carrier.workers
	switch {
	case o.Start != nil:
		out.Start, out.At = w.Start(ctx, fence, o.Start)
	case o.Stop != nil:
		out.At, out.IsStopKnown = w.Stop(ctx, fence, o.Stop)
	case o.Hold != nil:
		out.Listing, out.Hold = w.Hold(ctx, fence, o.Hold)
	case o.Pace != nil:
		// A pace is set again when the worker's figures ask for it.
		_ = w.Pace(ctx, fence, o.Pace)
	}
	s.add(out)
}

// bound is how long an order may take.
func bound(o *Order) time.Duration {
	switch {
	case o.Start != nil:
		return StartTimeout
	case o.Hold != nil:
		return o.Hold.Wait + o.Hold.Patience
	}
	return StopTimeout
}
