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

// Workers sends orders to workers. fence is the epoch of the owner: a worker rejects an order with
// a lower one than it has seen. Implementations are safe for concurrent use.
type Workers interface {
	Start(ctx context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime)
	// Stop returns the worker's clock, and false when no answer arrived.
	Stop(ctx context.Context, fence uint64, s *order.Stop) (order.WorkerTime, bool)
	Poll(ctx context.Context, fence uint64, h *order.Poll) (*order.Listing, order.PollOutcome)
	Pace(ctx context.Context, fence uint64, p *order.Pace) error
	// SetKeptConns sets how many connections to each worker may stay open between orders; at first
	// none. See package connbudget.
	SetKeptConns(n int)
}

const (
	// StartTimeout bounds an order to start, including the wait for a connection. The order must
	// not leave a node long after the engine considers it unacknowledged (0.2 s).
	StartTimeout = 400 * time.Millisecond
	// StopTimeout bounds an order to stop or to pace. A stop without an answer is sent again.
	StopTimeout = 500 * time.Millisecond
	// outcomeBatchDelay is how long an outcome waits to be sent with others. Each message costs the
	// owner a wake-up, and starts and ends occur many at a time.
	outcomeBatchDelay = 2 * time.Millisecond
	// tickStallThreshold is the time between two ticks from which this node counts as stalled, that
	// is, kept from running. Orders that arrived during the stall may be stale. A stale start is
	// not executed: the owner has abandoned it, and may have cancelled its job. A stale poll
	// confirms no ends: the worker may have restarted, and the numbers of its previous incarnation
	// would make it discard ends that it has not reported. Without that rule eight tasks ran twice
	// in TestSiteWorkersStartAgainWhileDelegatesEnd.
	tickStallThreshold = 600 * time.Millisecond
	// staleOrderWindow is how long after a stall the orders that arrive may be stale.
	staleOrderWindow = 300 * time.Millisecond
)

// Delegate talks to workers on behalf of the owner of the shard. It is safe for concurrent use.
type Delegate struct {
	workers Workers
	clock   clock.Service

	mu sync.Mutex
	// highestFence is the highest fencing token seen. Orders of previous owners are rejected.
	highestFence uint64
	lastTickAt   time.Time
	// staleUntil is the time until which arriving orders may be stale.
	staleUntil time.Time
}

// New returns a Delegate that has seen no owner.
func New(workers Workers, c clock.Service) *Delegate {
	return &Delegate{workers: workers, clock: c, lastTickAt: c.Now()}
}

// Tick must be called several times within each tickStallThreshold. A longer gap shows that this
// node was kept from running.
func (c *Delegate) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectStall(c.clock.Now())
	c.lastTickAt = c.clock.Now()
}

// detectStall checks whether this node was kept from running since the last tick. The caller holds
// mu.
func (c *Delegate) detectStall(now time.Time) {
	if now.Sub(c.lastTickAt) > tickStallThreshold {
		c.staleUntil = now.Add(staleOrderWindow)
	}
}

// admit records the fencing token of a batch. isFenced reports that a later owner was seen, and
// isStale that orders in the batch may be stale.
func (c *Delegate) admit(fence uint64) (isFenced, isStale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.detectStall(now)
	if fence < c.highestFence {
		return true, false
	}
	c.highestFence = fence
	return false, now.Before(c.staleUntil)
}

// Session is the link to an owner over which orders arrive and outcomes are returned. It is safe
// for concurrent use.
type Session struct {
	delegate *Delegate
	reply    func([]Outcome)

	mu sync.Mutex
	// payloads are those that the owner sent over this link.
	payloads *fifoCache[string]
	// ready are the outcomes not yet sent. isFlushScheduled means that a goroutine is about to send
	// them.
	ready            []Outcome
	isFlushScheduled bool
}

// NewSession returns a session that passes outcomes to reply in batches.
func (c *Delegate) NewSession(reply func([]Outcome)) *Session {
	return &Session{delegate: c, reply: reply, payloads: newFIFOCache[string](cachedPayloads)}
}

// Execute starts to execute a batch and returns at once. ctx bounds the execution.
func (s *Session) Execute(ctx context.Context, b *Batch) {
	isFenced, isStale := s.delegate.admit(b.Fence)
	s.storePayloads(b)
	if !isFenced {
		s.delegate.workers.SetKeptConns(b.KeptConns)
	}
	for i := range b.Orders {
		o := &b.Orders[i]
		switch {
		case isFenced:
			s.add(fencedOutcome(o))
		case !s.fillPayload(o):
			// The payload was evicted or never arrived. The task must not run with another payload,
			// so the start is not sent to the worker and the outcome says so.
			s.add(Outcome{ID: o.ID, Start: order.StartUnhealthy})
		case o.Start != nil && isStale:
			// No outcome is returned: the owner no longer waits for it.
		case o.Poll != nil && isStale:
			o.Poll.Confirmed = 0
			go s.runOrder(ctx, b.Fence, o)
		default:
			go s.runOrder(ctx, b.Fence, o)
		}
	}
}

func (s *Session) storePayloads(b *Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range b.Payloads {
		s.payloads.put(payloadKeyOf(p), p)
	}
}

// fillPayload inserts the payload into an order to start. It returns false when the payload is not
// cached.
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

// fencedOutcome is the outcome of an order of a previous owner.
func fencedOutcome(o *Order) Outcome {
	out := Outcome{ID: o.ID}
	switch {
	case o.Start != nil:
		out.Start = order.StartFenced
	case o.Poll != nil:
		out.Poll = order.PollUnanswered
	}
	return out
}

func (s *Session) add(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = append(s.ready, o)
	if !s.isFlushScheduled {
		s.isFlushScheduled = true
		go s.runFlush()
	}
}

// runFlush sends the outcomes that were collected within outcomeBatchDelay.
func (s *Session) runFlush() {
	<-s.delegate.clock.After(outcomeBatchDelay)
	s.mu.Lock()
	ready := s.ready
	s.ready, s.isFlushScheduled = nil, false
	s.mu.Unlock()
	s.reply(ready)
}

// runOrder executes one order.
func (s *Session) runOrder(ctx context.Context, fence uint64, o *Order) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(o))
	defer cancel()
	out := Outcome{ID: o.ID}
	w := s.delegate.workers
	switch {
	case o.Start != nil:
		out.Start, out.At = w.Start(ctx, fence, o.Start)
	case o.Stop != nil:
		out.At, out.IsStopKnown = w.Stop(ctx, fence, o.Stop)
	case o.Poll != nil:
		out.Listing, out.Poll = w.Poll(ctx, fence, o.Poll)
	case o.Pace != nil:
		out.IsPaced = w.Pace(ctx, fence, o.Pace) == nil
	}
	s.add(out)
}

// timeoutOf returns the time-out of an order.
func timeoutOf(o *Order) time.Duration {
	switch {
	case o.Start != nil:
		return StartTimeout
	case o.Poll != nil:
		return o.Poll.Wait + o.Poll.Timeout
	}
	return StopTimeout
}
