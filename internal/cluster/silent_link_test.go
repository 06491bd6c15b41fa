// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/cluster"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// gatedHandler handles each notification once the gate is open, and counts calls.
type gatedHandler struct {
	gate  chan struct{}
	calls atomic.Int64
}

func (h *gatedHandler) HandleCall(context.Context, *link.Conn, link.Kind, []byte) (any, error) {
	h.calls.Add(1)
	return struct{}{}, nil
}

func (h *gatedHandler) HandleNotification(*link.Conn, link.Kind, []byte) { <-h.gate }

// Links were closed although their followers were heard: all of them at once when the owner's inbox was
// full, so that the messages of followers waited to be handled.
func TestOnlySilentLinksAreClosed(t *testing.T) {
	for name, tc := range map[string]struct {
		// isSending means that the follower sends a notification, isStuck that it is not handled.
		isSending, isStuck bool
		want               int
	}{
		"nothing arrives":               {false, false, 1},
		"messages arrive":               {true, false, 0},
		"a message waits to be handled": {true, true, 0},
	} {
		h := &gatedHandler{gate: make(chan struct{})}
		if !tc.isStuck {
			close(h.gate)
		}
		near, far := net.Pipe()
		conn, follower := link.NewConn(near, h), link.NewConn(far, h)
		peers := cluster.NewPeers(clock.NewFake())
		peers.Add("n1", conn)
		closed := 0
		for i := range 2 * cluster.MaxSilentHeartbeats {
			if before := conn.ReceivedBytes(); tc.isSending && (i == 0 || !tc.isStuck) {
				follower.Notify("x", i)
				await.True(t, "it arrives", func() bool { return conn.ReceivedBytes() > before && (!tc.isStuck || conn.IsHandling()) })
			}
			closed += len(peers.CloseSilent())
		}
		if closed != tc.want {
			t.Errorf("%s: got: %d links closed, want: %d", name, closed, tc.want)
		}
		if tc.isStuck {
			close(h.gate)
		}
		conn.Close()
		follower.Close()
	}
}

// A request that arrived while the owner was silent waited for the whole request timeout, and was
// refused then, although the owner was heard again at once.
func TestRequestsGoOnWhenTheOwnerIsHeardAgain(t *testing.T) {
	log := fakestore.NewLog()
	// The node cannot become the owner itself.
	log.SetDown(true)
	r := owner.Record{Node: "a", Incarnation: "1", Epoch: 1}
	clk := &requestTimers{}
	n := newNodeWith(t, log, "n0", "1", clk)
	near, far := net.Pipe()
	h := &gatedHandler{gate: make(chan struct{})}
	close(h.gate)
	remote := link.NewConn(far, h)
	t.Cleanup(remote.Close)
	go n.FollowOverLink(link.NewConn(near, n), &r)
	await.True(t, "the follower has a link", n.IsFollowing)
	// Longer than ownerSilenceTimeout, shorter than maxLinkSilence.
	clk.offset.Store(int64(800 * time.Millisecond))
	go func() { _, _, _ = n.State(t.Context(), work.JobID("a"), work.Caller{}) }()
	await.True(t, "a query waits for the owner", func() bool { return clk.count() > 0 })
	n.HandleOwnerHeartbeat()
	await.True(t, "the query is sent to the owner", func() bool { return h.calls.Load() > 0 })
}
