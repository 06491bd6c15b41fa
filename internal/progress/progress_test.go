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

const first = 2 * time.Second

// wantEndAfter lets d pass, and checks that the context ends then and not before.
func wantEndAfter(ctx context.Context, t *testing.T, c *clock.Fake, d time.Duration) {
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

func TestNothingMovesForTheFirstTime(t *testing.T) {
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, first, progress.Stall)
	defer cancel()
	wantEndAfter(ctx, t, c, first)
}

func TestWhatMovesGoesOn(t *testing.T) {
	c := clock.NewFake()
	outer, cancelOuter := progress.WithClock(t.Context(), c, first, progress.Stall)
	defer cancelOuter()
	middle, cancelMiddle := context.WithCancel(outer)
	defer cancelMiddle()
	inner, cancelInner := progress.WithClock(middle, c, first, progress.Stall)
	defer cancelInner()
	for range 100 {
		progress.Note(inner, 10)
		c.Advance(progress.Stall - 1)
	}
	if inner.Err() != nil || outer.Err() != nil {
		t.Errorf("got: %v and %v, want: neither over", inner.Err(), outer.Err())
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

func TestACancellationEndsWhatMoves(t *testing.T) {
	c := clock.NewFake()
	parent, cancelParent := context.WithCancel(t.Context())
	ctx, cancel := progress.WithClock(parent, c, first, progress.Stall)
	defer cancel()
	progress.Note(ctx, 1)
	cancelParent()
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		t.Errorf("got: %v, want: %v", err, context.Canceled)
	}
}

func TestTimeLeftIsTheLeast(t *testing.T) {
	c := clock.NewFake()
	if _, ok := progress.TimeLeft(t.Context()); ok {
		t.Error("unbounded: got: an end, want: none")
	}
	outer, cancelOuter := progress.WithClock(t.Context(), c, first, progress.Stall)
	defer cancelOuter()
	inner, cancelInner := progress.WithClock(outer, c, time.Hour, progress.Stall)
	defer cancelInner()
	c.Advance(time.Second)
	if got, ok := progress.TimeLeft(inner); !ok || got != time.Second {
		t.Errorf("got: %v, %v, want: %v", got, ok, time.Second)
	}
	c.Advance(time.Second - 1)
	progress.Note(inner, 1)
	if got, _ := progress.TimeLeft(inner); got != progress.Stall {
		t.Errorf("after a byte: got: %v, want: %v", got, progress.Stall)
	}
}

// A node ended by itself when a link closed as a call came.
func TestAParentMayBeOver(t *testing.T) {
	parent, cancelParent := context.WithCancel(t.Context())
	cancelParent()
	ctx, cancel := progress.WithClock(parent, clock.NewFake(), first, progress.Stall)
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		t.Errorf("got: %v, want: %v", err, context.Canceled)
	}
	cancel()
}

func TestAStallMayBeLonger(t *testing.T) {
	const stall = 4 * progress.Stall
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, first, stall)
	defer cancel()
	c.Advance(first / 2)
	progress.Note(ctx, 1)
	wantEndAfter(ctx, t, c, stall)
}
