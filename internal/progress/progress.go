// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package progress bounds exchanges by their progress, not by their total time:
// an answer may take as long as its size needs on a weak link, as long as bytes
// come.
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

// bound is a context that ends when nothing has moved for too long.
type bound struct {
	context.Context
	cancel context.CancelCauseFunc
	clock  Clock
	began  time.Time
	// parent is the next bound outwards; what moves here moves there.
	parent *bound
	// first counts from began, stall from the last byte.
	first, stall time.Duration
	// moved counts bytes; movedAt is when the last moved, in nanoseconds after
	// began, 0 before the first.
	moved, movedAt atomic.Int64

	mu sync.Mutex
	// stop prevents the next check; nil when the context was over from the start.
	stop func() bool
}

type boundKey struct{}

// Value returns the bound itself under its own key.
func (b *bound) Value(key any) any {
	if key == (boundKey{}) {
		return b
	}
	return b.Context.Value(key)
}

// Err returns why the context is over: context.DeadlineExceeded when nothing
// moved in time.
func (b *bound) Err() error {
	err := b.Context.Err()
	if err != nil && errors.Is(context.Cause(b.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// With returns a context that is over first after now, or Stall after the last
// call of Moved with it or a context made of it, whichever is later. What else
// ends the parent ends it too.
func With(parent context.Context, first time.Duration) (context.Context, context.CancelFunc) {
	return WithClock(parent, clock.Real{}, first, Stall)
}

// WithStall is With by another bound than Stall, for what has stalled before.
func WithStall(parent context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	return WithClock(parent, clock.Real{}, first, stall)
}

// WithClock is WithStall by another clock.
func WithClock(parent context.Context, c Clock, first, stall time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	b := &bound{Context: inner, cancel: cancel, clock: c, began: c.Now(), first: first, stall: stall, parent: of(parent)}
	b.arm(first)
	return b, b.end
}

func of(ctx context.Context) *bound {
	b, _ := ctx.Value(boundKey{}).(*bound)
	return b
}

func (b *bound) arm(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Context.Err() == nil {
		b.stop = b.clock.AfterFunc(d, b.check)
	}
}

// check ends the context if nothing has moved, or looks again when that is due.
func (b *bound) check() {
	if left := b.left(); left > 0 {
		b.arm(left)
		return
	}
	b.cancel(context.DeadlineExceeded)
}

// left returns how long the context lasts if nothing moves any more.
func (b *bound) left() time.Duration {
	passed := b.clock.Now().Sub(b.began)
	left := b.first - passed
	if at := b.movedAt.Load(); at > 0 {
		left = max(left, time.Duration(at)+b.stall-passed)
	}
	return left
}

func (b *bound) end() {
	b.cancel(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stop != nil {
		b.stop()
	}
}

// Moved notes that so many bytes of an exchange came or went. It does nothing
// with a context that is not bounded by progress.
func Moved(ctx context.Context, bytes int) {
	for b := of(ctx); b != nil; b = b.parent {
		// Never 0, which means that nothing has moved.
		b.movedAt.Store(max(int64(b.clock.Now().Sub(b.began)), 1))
		b.moved.Add(int64(bytes))
	}
}

// Bytes returns how many bytes have moved under the innermost bound of ctx.
func Bytes(ctx context.Context) int64 {
	if b := of(ctx); b != nil {
		return b.moved.Load()
	}
	return 0
}

// Left returns how long ctx lasts if nothing moves any more, for a request that
// is passed on to another node. It reports false when it has no end.
func Left(ctx context.Context) (time.Duration, bool) {
	left, isBounded := time.Duration(0), false
	note := func(d time.Duration) {
		if !isBounded || d < left {
			left, isBounded = d, true
		}
	}
	if end, ok := ctx.Deadline(); ok {
		note(time.Until(end))
	}
	for b := of(ctx); b != nil; b = b.parent {
		note(b.left())
	}
	return left, isBounded
}
