// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package progress_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/progress"
)

const firstByteTimeout = 2 * time.Second

// expectTimeoutAfter advances the clock by d, and checks that the context ends then and not before.
func expectTimeoutAfter(ctx context.Context, t *testing.T, c *clock.Fake, d time.Duration) {
	t.Helper()
	c.Advance(d - 1)
	if err := ctx.Err(); err != nil {
		t.Errorf("just before: got: %v, want: none", err)
	}
	c.Advance(1)
	if err := ctx.Err(); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("just after: got: %v, want: %v", err, context.DeadlineExceeded)
	}
}

func TestContextEndsWithoutAFirstByte(t *testing.T) {
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, firstByteTimeout, progress.IdleTimeout)
	defer cancel()
	expectTimeoutAfter(ctx, t, c, firstByteTimeout)
}

func TestContextLastsWhileBytesMove(t *testing.T) {
	c := clock.NewFake()
	outer, cancelOuter := progress.WithClock(t.Context(), c, firstByteTimeout, progress.IdleTimeout)
	defer cancelOuter()
	middle, cancelMiddle := context.WithCancel(outer)
	defer cancelMiddle()
	inner, cancelInner := progress.WithClock(middle, c, firstByteTimeout, progress.IdleTimeout)
	defer cancelInner()
	for range 100 {
		progress.Report(inner, 10)
		c.Advance(progress.IdleTimeout - 1)
	}
	if inner.Err() != nil || outer.Err() != nil {
		t.Errorf("got: %v and %v, want: neither ended", inner.Err(), outer.Err())
	}
	if got := progress.Bytes(outer); got != 1000 {
		t.Errorf("bytes: got: %d, want: 1000", got)
	}
	c.Advance(1)
	c.Advance(1)
	for name, ctx := range map[string]context.Context{"inner": inner, "middle": middle, "outer": outer} {
		if err := context.Cause(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: got: %v, want: %v", name, err, context.DeadlineExceeded)
		}
	}
}

func TestCancellationEndsAMovingExchange(t *testing.T) {
	c := clock.NewFake()
	parent, cancelParent := context.WithCancel(t.Context())
	ctx, cancel := progress.WithClock(parent, c, firstByteTimeout, progress.IdleTimeout)
	defer cancel()
	progress.Report(ctx, 1)
	cancelParent()
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		t.Errorf("got: %v, want: %v", err, context.Canceled)
	}
}

func TestTimeLeftIsTheLeastOfAllTimeouts(t *testing.T) {
	c := clock.NewFake()
	if _, ok := progress.TimeLeft(t.Context()); ok {
		t.Error("unbounded: got: a time limit, want: none")
	}
	outer, cancelOuter := progress.WithClock(t.Context(), c, firstByteTimeout, progress.IdleTimeout)
	defer cancelOuter()
	inner, cancelInner := progress.WithClock(outer, c, time.Hour, progress.IdleTimeout)
	defer cancelInner()
	c.Advance(time.Second)
	if got, ok := progress.TimeLeft(inner); !ok || got != time.Second {
		t.Errorf("got: %v, %v, want: %v", got, ok, time.Second)
	}
	c.Advance(time.Second - 1)
	progress.Report(inner, 1)
	if got, _ := progress.TimeLeft(inner); got != progress.IdleTimeout {
		t.Errorf("after a byte: got: %v, want: %v", got, progress.IdleTimeout)
	}
}

// A node crashed when a link closed at the moment a call arrived: the parent had ended, so no check
// was scheduled, and cancel called a nil function.
func TestParentThatHasEndedIsAccepted(t *testing.T) {
	parent, cancelParent := context.WithCancel(t.Context())
	cancelParent()
	ctx, cancel := progress.WithClock(parent, clock.NewFake(), firstByteTimeout, progress.IdleTimeout)
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		t.Errorf("got: %v, want: %v", err, context.Canceled)
	}
	cancel()
}

func TestIdleTimeoutOfTheCallerIsKept(t *testing.T) {
	const idleTimeout = 4 * progress.IdleTimeout
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, firstByteTimeout, idleTimeout)
	defer cancel()
	c.Advance(firstByteTimeout / 2)
	progress.Report(ctx, 1)
	expectTimeoutAfter(ctx, t, c, idleTimeout)
}
