// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package link_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/link"
)

// handler answers a call with what it got, or fails, and passes notices on.
type handler struct {
	notices  chan string
	blocked  chan struct{}
	released chan struct{}
}

func (h *handler) HandleCall(ctx context.Context, _ *link.Conn, kind link.Kind, body []byte) (any, error) {
	text := ""
	if err := codec.Unmarshal(body, &text); err != nil {
		return nil, err
	}
	switch kind {
	case "fail":
		return nil, errors.New("no " + text)
	case "block":
		close(h.blocked)
		<-ctx.Done()
		close(h.released)
		return nil, ctx.Err()
	}
	return text + "!", nil
}

func (h *handler) HandleNotice(_ *link.Conn, _ link.Kind, body []byte) {
	text := ""
	if codec.Unmarshal(body, &text) == nil {
		h.notices <- text
	}
}

func newPair(t *testing.T) (*link.Conn, *link.Conn, *handler) {
	t.Helper()
	a, b := net.Pipe()
	h := &handler{notices: make(chan string, 1), blocked: make(chan struct{}), released: make(chan struct{})}
	left, right := link.NewConn(a, h), link.NewConn(b, h)
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	return left, right, h
}

func TestCallsGoBothWays(t *testing.T) {
	left, right, _ := newPair(t)
	for _, c := range []*link.Conn{left, right} {
		got := ""
		if err := c.Call(t.Context(), "echo", "hello", &got); err != nil || got != "hello!" {
			t.Errorf("got: %q, %v, want: hello!", got, err)
		}
	}
}

func TestAFailedCallTellsThePeersReason(t *testing.T) {
	left, _, _ := newPair(t)
	got := ""
	e := &link.CallError{}
	if err := left.Call(t.Context(), "fail", "bread", &got); !errors.As(err, &e) || e.Reason != "no bread" {
		t.Errorf("got: %v, want: the peer's reason", err)
	}
}

func TestNoticesArrive(t *testing.T) {
	left, _, h := newPair(t)
	if !left.Notify("note", "x") {
		t.Fatal("got: dropped, want: sent")
	}
	if got := <-h.notices; got != "x" {
		t.Errorf("got: %q, want: x", got)
	}
}

func TestAClosedLinkEndsItsCalls(t *testing.T) {
	left, right, h := newPair(t)
	failed := make(chan error, 1)
	go func() {
		got := ""
		failed <- left.Call(t.Context(), "block", "x", &got)
	}()
	<-h.blocked
	right.Close()
	if err := <-failed; !errors.Is(err, link.ErrClosed) {
		t.Errorf("got: %v, want: %v", err, link.ErrClosed)
	}
	<-left.Done()
	if left.Notify("note", "x") {
		t.Error("a notice on a closed link: got: sent, want: dropped")
	}
}

func TestForeignBytesCloseTheLink(_ *testing.T) {
	a, b := net.Pipe()
	c := link.NewConn(a, &handler{})
	go func() { _, _ = b.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3}) }()
	<-c.Done()
}

// Calls for the store that nobody waited for any more held all connections of
// the peers, which then read no configuration for eight seconds.
func TestAPeerGivesUpWithItsCaller(t *testing.T) {
	left, _, h := newPair(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	got := ""
	if err := left.Call(ctx, "block", "x", &got); err == nil {
		t.Errorf("got: %q, want: an error", got)
	}
	<-h.blocked
	<-h.released
}
