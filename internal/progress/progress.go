// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package progress bounds exchanges by their progress, not by their total time:
// an answer may take as long as its size needs on a weak link, as long as bytes
// come (decision 0016).
//
// Who wants an answer bounds its context, and who reads or writes the bytes notes
// them in that context:
//
//	// The caller: 700 ms until the first byte, then Stall from byte to byte.
//	ctx, cancel := progress.With(ctx, 700*time.Millisecond)
//	defer cancel()
//	answer, err := ask(ctx)
//
//	// The transport below ask, after each read:
//	n, err := conn.Read(buf)
//	if n > 0 {
//		progress.Report(ctx, n)
//	}
//
// Who passes the request on to another node tells it TimeLeft.
package progress

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
)

// IdleTimeout is how long an exchange that has begun may stay without a byte. A link
// that is full still passes some of each connection's packets within tenths of a
// second, a lost packet is sent again after 0.2 s, then 0.4 s. A silent
// connection must be noticed, and its bytes read anew, within the 2 s in which a
// configuration must be in force.
const IdleTimeout = 900 * time.Millisecond

// Clock tells the time and calls back.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f in a goroutine of its own after d, and returns a function
	// that prevents it.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// boundedContext is a context that ends when nothing has moved for too long.
type timeoutContext struct {
	context.Context
	cancel    context.CancelCauseFunc
	clock     Clock
	startedAt time.Time
	// parent is the next such context outwards; what moves here moves there.
	outer *timeoutContext
	// first counts from began, stall from the last byte.
	firstByteTimeout, idleTimeout time.Duration
	// moved counts bytes; movedAt is when the last moved, in nanoseconds after
	// began, 0 before the first.
	transferred, lastTransfer atomic.Int64

	mu sync.Mutex
	// stop prevents the next check; nil when the context was over from the start.
	stopCheck func() bool
}

type contextKey struct{}

// Value returns the context itself under its own key.
func (b *timeoutContext) Value(key any) any {
	if key == (contextKey{}) {
		return b
	}
	return b.Context.Value(key)
}

// Err returns why the context is over: context.DeadlineExceeded when nothing
// moved in time.
func (b *timeoutContext) Err() error {
	err := b.Context.Err()
	if err != nil && errors.Is(context.Cause(b.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// WithTimeout returns a context that is over first after now, or Stall after the last
// call of Note with it or a context made of it, whichever is later. What else
// ends the parent ends it too.
func WithTimeout(parent context.Context, firstByteTimeout time.Duration) (context.Context, context.CancelFunc) {
	return WithClock(parent, clock.Real{}, firstByteTimeout, IdleTimeout)
}

// WithClock is With by another clock, and by another bound than Stall.
func WithClock(parent context.Context, c Clock, firstByteTimeout, idleTimeout time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	b := &timeoutContext{Context: inner, cancel: cancel, clock: c, startedAt: c.Now(), firstByteTimeout: firstByteTimeout, idleTimeout: idleTimeout, outer: innermost(parent)}
	b.scheduleCheck(firstByteTimeout)
	return b, b.release
}

// innermost returns the innermost context bounded by progress that ctx is made of,
// or nil.
func innermost(ctx context.Context) *timeoutContext {
	b, _ := ctx.Value(contextKey{}).(*timeoutContext)
	return b
}

func (b *timeoutContext) scheduleCheck(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Context.Err() == nil {
		b.stopCheck = b.clock.AfterFunc(d, b.cancelIfIdle)
	}
}

// check ends the context if nothing has moved, or looks again when that is due.
func (b *timeoutContext) cancelIfIdle() {
	if remaining := b.timeLeft(); remaining > 0 {
		b.scheduleCheck(remaining)
		return
	}
	b.cancel(context.DeadlineExceeded)
}

// left returns how long the context lasts if nothing moves any more.
func (b *timeoutContext) timeLeft() time.Duration {
	elapsed := b.clock.Now().Sub(b.startedAt)
	remaining := b.firstByteTimeout - elapsed
	if last := b.lastTransfer.Load(); last > 0 {
		remaining = max(remaining, time.Duration(last)+b.idleTimeout-elapsed)
	}
	return remaining
}

func (b *timeoutContext) release() {
	b.cancel(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopCheck != nil {
		b.stopCheck()
	}
}

// Note notes that so many bytes of an exchange came or went; 0 notes that its answer
// has begun, and gives more time too. It does nothing with a context that is not
// bounded by progress.
func Report(ctx context.Context, bytes int) {
	for b := innermost(ctx); b != nil; b = b.outer {
		// Never 0, which means that nothing has moved.
		b.lastTransfer.Store(max(int64(b.clock.Now().Sub(b.startedAt)), 1))
		b.transferred.Add(int64(bytes))
	}
}

// Bytes returns how many bytes have moved under the innermost bound of ctx.
func Bytes(ctx context.Context) int64 {
	if b := innermost(ctx); b != nil {
		return b.transferred.Load()
	}
	return 0
}

// TimeLeft returns how long ctx lasts if nothing moves any more, for a request that
// is passed on to another node. It reports false when it has no end.
func TimeLeft(ctx context.Context) (time.Duration, bool) {
	remaining, isBounded := time.Duration(0), false
	keepLeast := func(d time.Duration) {
		if !isBounded || d < remaining {
			remaining, isBounded = d, true
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		keepLeast(time.Until(deadline))
	}
	for b := innermost(ctx); b != nil; b = b.outer {
		keepLeast(b.timeLeft())
	}
	return remaining, isBounded
}
