// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package progress bounds exchanges of data by idle timeouts instead of a total timeout: an answer
// may take as long as its size requires on a slow link, as long as bytes keep arriving (decision
// 0016).
//
// The code that waits for an answer bounds its context, and the code that reads or writes the bytes
// reports them to that context:
//
//	// The caller: 700 ms until the first byte, then IdleTimeout between two bytes.
//	ctx, cancel := progress.WithTimeout(ctx, 700*time.Millisecond)
//	defer cancel()
//	answer, err := ask(ctx)
//
//	// The transport below ask, after each read:
//	n, err := conn.Read(buf)
//	if n > 0 {
//		progress.Report(ctx, n)
//	}
//
// Code that forwards the request to another node sends TimeLeft with it, as the time that this node
// may take.
package progress

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
)

// IdleTimeout is how long an exchange that has begun may go without a byte. A saturated link still
// passes some packets of each connection within tenths of a second, and a lost packet is
// retransmitted after 0.2 s, then after 0.4 s. A silent connection must be noticed, and its bytes
// read again, within the 2 s in which a changed configuration must take effect.
const IdleTimeout = 900 * time.Millisecond

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f in a goroutine of its own after d. It returns a function that prevents the
	// call.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// timeoutContext is a context that ends when no byte has moved for too long.
type timeoutContext struct {
	context.Context
	cancel    context.CancelCauseFunc
	clock     Clock
	startedAt time.Time
	// outer is the closest timeoutContext among the parents, or nil. Bytes that move here count
	// there too.
	outer *timeoutContext
	// firstByteTimeout runs from startedAt, idleTimeout from the last byte.
	firstByteTimeout, idleTimeout time.Duration
	// transferred is the number of bytes moved. lastTransfer is when the last one moved, in
	// nanoseconds after startedAt; 0 means that none has.
	transferred, lastTransfer atomic.Int64

	mu sync.Mutex
	// stopCheck prevents the next check. It is nil when the parent had ended before this context
	// was made.
	stopCheck func() bool
}

type contextKey struct{}

// Value returns the context itself for its own key, and the parent's value for other keys.
func (b *timeoutContext) Value(key any) any {
	if key == (contextKey{}) {
		return b
	}
	return b.Context.Value(key)
}

// Err returns why the context ended: context.DeadlineExceeded when no byte moved in time.
func (b *timeoutContext) Err() error {
	err := b.Context.Err()
	if err != nil && errors.Is(context.Cause(b.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// WithTimeout returns a context that ends firstByteTimeout from now, or IdleTimeout after the last
// call of Report with it or a context derived from it, whichever is later. It also ends when its
// parent does.
func WithTimeout(parent context.Context, firstByteTimeout time.Duration) (context.Context, context.CancelFunc) {
	return WithClock(parent, clock.Real{}, firstByteTimeout, IdleTimeout)
}

// WithClock is WithTimeout with another clock and another idle timeout than IdleTimeout.
func WithClock(parent context.Context, c Clock, firstByteTimeout, idleTimeout time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	b := &timeoutContext{Context: inner, cancel: cancel, clock: c, startedAt: c.Now(), firstByteTimeout: firstByteTimeout, idleTimeout: idleTimeout, outer: innermost(parent)}
	b.scheduleCheck(firstByteTimeout)
	return b, b.release
}

// innermost returns the closest timeoutContext that ctx is or is derived from, or nil.
func innermost(ctx context.Context) *timeoutContext {
	b, _ := ctx.Value(contextKey{}).(*timeoutContext)
	return b
}

// scheduleCheck schedules the next check after d, unless the context has ended.
func (b *timeoutContext) scheduleCheck(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Context.Err() == nil {
		b.stopCheck = b.clock.AfterFunc(d, b.cancelIfIdle)
	}
}

// cancelIfIdle ends the context if no byte moved in time. Otherwise it schedules the next check.
func (b *timeoutContext) cancelIfIdle() {
	if remaining := b.timeLeft(); remaining > 0 {
		b.scheduleCheck(remaining)
		return
	}
	b.cancel(context.DeadlineExceeded)
}

// timeLeft returns how long the context lasts if no further byte moves.
func (b *timeoutContext) timeLeft() time.Duration {
	elapsed := b.clock.Now().Sub(b.startedAt)
	remaining := b.firstByteTimeout - elapsed
	if last := b.lastTransfer.Load(); last > 0 {
		remaining = max(remaining, time.Duration(last)+b.idleTimeout-elapsed)
	}
	return remaining
}

// release ends the context and stops its timer.
func (b *timeoutContext) release() {
	b.cancel(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopCheck != nil {
		b.stopCheck()
	}
}

// Report records that a number of bytes of an exchange were received or sent. 0 bytes record that the
// answer has begun, which also restarts the idle timeout. Report does nothing if ctx is not bounded
// by this package.
func Report(ctx context.Context, bytes int) {
	for b := innermost(ctx); b != nil; b = b.outer {
		// Never 0, which means that no byte has moved.
		b.lastTransfer.Store(max(int64(b.clock.Now().Sub(b.startedAt)), 1))
		b.transferred.Add(int64(bytes))
	}
}

// Bytes returns how many bytes have moved under the innermost context of this package in ctx.
func Bytes(ctx context.Context) int64 {
	if b := innermost(ctx); b != nil {
		return b.transferred.Load()
	}
	return 0
}

// TimeLeft returns how long ctx lasts if no further byte moves, for a request that is forwarded to
// another node. It returns false when ctx has no time limit.
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
