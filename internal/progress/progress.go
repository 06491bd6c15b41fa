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
//		progress.Note(ctx, n)
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

// Stall is how long an exchange that has begun may stay without a byte. A link
// that is full still passes some of each connection's packets within tenths of a
// second, a lost packet is sent again after 0.2 s, then 0.4 s. A silent
// connection must be noticed, and its bytes read anew, within the 2 s in which a
// configuration must be in force.
const Stall = 900 * time.Millisecond

// Clock tells the time and calls back.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f in a goroutine of its own after d, and returns a function
	// that prevents it.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// boundedContext is a context that ends when nothing has moved for too long.
type boundedContext struct {
	context.Context
	cancel context.CancelCauseFunc
	clock  Clock
	began  time.Time
	// parent is the next such context outwards; what moves here moves there.
	parent *boundedContext
	// first counts from began, stall from the last byte.
	first, stall time.Duration
	// moved counts bytes; movedAt is when the last moved, in nanoseconds after
	// began, 0 before the first.
	moved, movedAt atomic.Int64

	mu sync.Mutex
	// stop prevents the next check; nil when the context was over from the start.
	stop func() bool
}

type contextKey struct{}

// Value returns the context itself under its own key.
func (b *boundedContext) Value(key any) any {
	if key == (contextKey{}) {
		return b
	}
	return b.Context.Value(key)
}

// Err returns why the context is over: context.DeadlineExceeded when nothing
// moved in time.
func (b *boundedContext) Err() error {
	err := b.Context.Err()
	if err != nil && errors.Is(context.Cause(b.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// With returns a context that is over first after now, or Stall after the last
// call of Note with it or a context made of it, whichever is later. What else
// ends the parent ends it too.
func With(parent context.Context, first time.Duration) (context.Context, context.CancelFunc) {
	return WithClock(parent, clock.Real{}, first, Stall)
}

// WithClock is With by another clock, and by another bound than Stall.
func WithClock(parent context.Context, c Clock, first, stall time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	b := &boundedContext{Context: inner, cancel: cancel, clock: c, began: c.Now(), first: first, stall: stall, parent: innermost(parent)}
	b.arm(first)
	return b, b.end
}

// innermost returns the innermost context bounded by progress that ctx is made of,
// or nil.
func innermost(ctx context.Context) *boundedContext {
	b, _ := ctx.Value(contextKey{}).(*boundedContext)
	return b
}

func (b *boundedContext) arm(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Context.Err() == nil {
		b.stop = b.clock.AfterFunc(d, b.check)
	}
}

// check ends the context if nothing has moved, or looks again when that is due.
func (b *boundedContext) check() {
	if left := b.left(); left > 0 {
		b.arm(left)
		return
	}
	b.cancel(context.DeadlineExceeded)
}

// left returns how long the context lasts if nothing moves any more.
func (b *boundedContext) left() time.Duration {
	passed := b.clock.Now().Sub(b.began)
	left := b.first - passed
	if at := b.movedAt.Load(); at > 0 {
		left = max(left, time.Duration(at)+b.stall-passed)
	}
	return left
}

func (b *boundedContext) end() {
	b.cancel(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stop != nil {
		b.stop()
	}
}

// Note notes that so many bytes of an exchange came or went; 0 notes that its answer
// has begun, and gives more time too. It does nothing with a context that is not
// bounded by progress.
func Note(ctx context.Context, bytes int) {
	for b := innermost(ctx); b != nil; b = b.parent {
		// Never 0, which means that nothing has moved.
		b.movedAt.Store(max(int64(b.clock.Now().Sub(b.began)), 1))
		b.moved.Add(int64(bytes))
	}
}

// Bytes returns how many bytes have moved under the innermost bound of ctx.
func Bytes(ctx context.Context) int64 {
	if b := innermost(ctx); b != nil {
		return b.moved.Load()
	}
	return 0
}

// TimeLeft returns how long ctx lasts if nothing moves any more, for a request that
// is passed on to another node. It reports false when it has no end.
func TimeLeft(ctx context.Context) (time.Duration, bool) {
	left, isBounded := time.Duration(0), false
	note := func(d time.Duration) {
		if !isBounded || d < left {
			left, isBounded = d, true
		}
	}
	if end, ok := ctx.Deadline(); ok {
		note(time.Until(end))
	}
	for b := innermost(ctx); b != nil; b = b.parent {
		note(b.left())
	}
	return left, isBounded
}
