// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/link"
)

// pausedCtx is a context that has ended by the time that a call looks at it; the reply has arrived by then too.
type pausedCtx struct {
	context.Context
	await func()
	ended chan struct{}
}

func (c *pausedCtx) Deadline() (time.Time, bool) { return time.Now().Add(time.Hour), true }
func (c *pausedCtx) Err() error                  { return context.DeadlineExceeded }
func (c *pausedCtx) Done() <-chan struct{} {
	c.await()
	return c.ended
}

// Guards against a reply that has arrived and is dropped because the time of its call passed in the same pause.
func TestReplyThatHasArrivedIsReturnedAfterAPause(t *testing.T) {
	left, _, _ := newConnPair(t)
	ended := make(chan struct{})
	close(ended)
	lost := 0
	for range 64 {
		got := ""
		ctx := &pausedCtx{t.Context(), func() {
			await.True(t, "the reply has arrived", func() bool { return link.HasReply(left) })
		}, ended}
		if err := left.Call(ctx, "echo", "hello", &got); err != nil {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("replies that had arrived and were dropped: got: %d of 64, want: 0", lost)
	}
}
