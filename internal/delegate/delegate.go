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
	Poll(ctx context.Context, fence uint64, h *order.Hold) (*order.Listing, order.HoldOutcome)
	Pace(ctx context.Context, fence uint64, p *order.Pace) error
}

const (
	// StartTimeout bounds an order to start, from before it waits for a connection. It must
	// not leave a node long after the engine doubts it (0.2 s).
	StartTimeout = 400 * time.Millisecond
	// StopTimeout bounds an order to stop or to pace. A stop is sent again.
	StopTimeout = 500 * time.Millisecond
	// outcomeBatchDelay is how long an outcome waits for others to go with it: each message
	// costs the owner a wake-up, and starts and ends come many at a time.
	outcomeBatchDelay = 2 * time.Millisecond
	// tickStallThreshold is the time between two ticks from which this node was kept from
	// running: a start that it was told before is not ordered any more. The owner has
	// given it up by then, and may have cancelled its job. A listing confirms nothing: the worker
	// may have started again, and would forget ends by the numbers of its earlier start. Without
	// that eight tasks ran twice in TestSiteWorkersStartAgainWhileCarriersEnd.
	tickStallThreshold = 600 * time.Millisecond
	// staleOrderWindow is how long after such a time what comes may have waited.
	staleOrderWindow = 300 * time.Millisecond
)

// Delegate talks to workers for the owner of the shard. It is safe for concurrent use.
type Delegate struct {
	workers Workers
	clock   clock.Service

	mu sync.Mutex
	// fence is the highest that was seen: an earlier owner is not served.
	highestFence uint64
	lastTickAt   time.Time
	// staleUntil is until when orders may be old.
	staleUntil time.Time
}

// New returns a Carrier that has seen no owner.
func New(workers Workers, c clock.Service) *Delegate {
	return &Delegate{workers: workers, clock: c, lastTickAt: c.Now()}
}

// Tick is called several times within staleAfter: that it was not tells that this node
// was kept from running.
func (c *Delegate) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectStall(c.clock.Now())
	c.lastTickAt = c.clock.Now()
}

// detectStall finds out whether this node was kept from running. The caller holds mu.
func (c *Delegate) detectStall(now time.Time) {
	if now.Sub(c.lastTickAt) > tickStallThreshold {
		c.staleUntil = now.Add(staleOrderWindow)
	}
}

// admit takes the fence of a batch. It reports whether a later owner was seen, and
// whether what is in the batch may be old.
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

// Session is a link to an owner, over which the outcomes go back. It is safe for
// concurrent use.
type Session struct {
	delegate *Delegate
	reply    func([]Outcome)

	mu sync.Mutex
	// payloads are those that the owner has sent over this link.
	payloads *fifoCache[string]
	// ready are the outcomes that wait; isWaiting means that they are about to be sent.
	ready            []Outcome
	isFlushScheduled bool
}

// NewSession returns a session whose outcomes reply gets, some at a time.
func (c *Delegate) NewSession(reply func([]Outcome)) *Session {
	return &Session{delegate: c, reply: reply, payloads: newFIFOCache[string](cachedPayloads)}
}

// Execute carries out a batch. It returns at once; ctx bounds all of it.
func (s *Session) Execute(ctx context.Context, b *Batch) {
	isFenced, isStale := s.delegate.admit(b.Fence)
	s.storePayloads(b)
	for i := range b.Orders {
		o := &b.Orders[i]
		switch {
		case isFenced:
			s.add(fencedOutcome(o))
		case !s.fillPayload(o):
			// It must not start with another payload. It was not ordered.
			s.add(Outcome{ID: o.ID, Start: order.StartUnhealthy})
		case o.Start != nil && isStale:
			// No outcome: the owner has stopped waiting for it.
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

// fencedOutcome is the outcome of an order of an owner that was replaced.
func fencedOutcome(o *Order) Outcome {
	out := Outcome{ID: o.ID}
	switch {
	case o.Start != nil:
		out.Start = order.StartFenced
	case o.Poll != nil:
		out.Poll = order.HoldSilent
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

// runFlush sends what has gathered.
func (s *Session) runFlush() {
	<-s.delegate.clock.After(outcomeBatchDelay)
	s.mu.Lock()
	ready := s.ready
	s.ready, s.isFlushScheduled = nil, false
	s.mu.Unlock()
	s.reply(ready)
}

// runOrder carries out one order.
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
		// A pace is set again when the worker's figures ask for it.
		_ = w.Pace(ctx, fence, o.Pace)
	}
	s.add(out)
}

// timeoutOf is how long an order may take.
func timeoutOf(o *Order) time.Duration {
	switch {
	case o.Start != nil:
		return StartTimeout
	case o.Poll != nil:
		return o.Poll.Wait + o.Poll.Patience
	}
	return StopTimeout
}
