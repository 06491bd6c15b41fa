// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package link_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/progress"
)

// echoHandler answers a call of kind "echo" with its body and an exclamation mark, one
// of kind "long" with a long repetition of its body, and one of kind "fail" with an
// error. It blocks a call of kind "block" until the call is cancelled. It sends the
// bodies of notifications to notifications.
type echoHandler struct {
	notifications chan string
	// blocked is closed when a call blocks, released when it has been cancelled.
	blocked  chan struct{}
	released chan struct{}
}

func (h *echoHandler) HandleCall(ctx context.Context, _ *link.Conn, kind link.Kind, body []byte) (any, error) {
	text := ""
	if err := codec.Unmarshal(body, &text); err != nil {
		return nil, err
	}
	switch kind {
	case "long":
		return strings.Repeat(text, longReplyRepeats), nil
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

func (h *echoHandler) HandleNotification(_ *link.Conn, _ link.Kind, body []byte) {
	text := ""
	if codec.Unmarshal(body, &text) == nil {
		h.notifications <- text
	}
}

// longReplyRepeats is how often a reply to a call of kind "long" repeats its body.
const longReplyRepeats = 200 << 10

func newConnPair(t *testing.T) (*link.Conn, *link.Conn, *echoHandler) {
	t.Helper()
	a, b := net.Pipe()
	h := &echoHandler{notifications: make(chan string, 1), blocked: make(chan struct{}), released: make(chan struct{})}
	left, right := link.NewConn(a, h), link.NewConn(b, h)
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	return left, right, h
}

func TestCallsWorkInBothDirections(t *testing.T) {
	left, right, _ := newConnPair(t)
	for _, c := range []*link.Conn{left, right} {
		got := ""
		if err := c.Call(t.Context(), "echo", "hello", &got); err != nil || got != "hello!" {
			t.Errorf("got: %q, %v, want: hello!", got, err)
		}
	}
}

func TestFailedCallReturnsThePeersReason(t *testing.T) {
	left, _, _ := newConnPair(t)
	got := ""
	e := &link.CallError{}
	if err := left.Call(t.Context(), "fail", "bread", &got); !errors.As(err, &e) || e.Reason != "no bread" {
		t.Errorf("got: %v, want: the peer's reason", err)
	}
}

func TestNotificationIsDelivered(t *testing.T) {
	left, _, h := newConnPair(t)
	if !left.Notify("note", "x") {
		t.Fatal("got: dropped, want: sent")
	}
	if got := <-h.notifications; got != "x" {
		t.Errorf("got: %q, want: x", got)
	}
}

func TestClosingALinkFailsItsPendingCalls(t *testing.T) {
	left, right, h := newConnPair(t)
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
		t.Error("a notification on a closed link: got: sent, want: dropped")
	}
}

func TestInvalidFrameClosesTheLink(_ *testing.T) {
	a, b := net.Pipe()
	c := link.NewConn(a, &echoHandler{})
	go func() { _, _ = b.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3}) }()
	<-c.Done()
}

// Guards against a peer that goes on with a call after its caller has timed out. Such
// calls for the store occupied all store connections of the peers, which then could
// not read the configuration for eight seconds.
func TestPeerCancelsACallWhenItsCallerTimesOut(t *testing.T) {
	left, _, h := newConnPair(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	got := ""
	if err := left.Call(ctx, "block", "x", &got); err == nil {
		t.Errorf("got: %q, want: an error", got)
	}
	<-h.blocked
	<-h.released
}

// slowReader is a peer that handles a call by reading something large from elsewhere.
type slowReader struct {
	// firstByteReceived is closed when the peer has read the first byte,
	// callerTimedOut when the caller has timed out.
	firstByteReceived, callerTimedOut chan struct{}
	// timeLeft receives how much time the call has left after the peer has read the
	// next byte.
	timeLeft chan time.Duration
}

func (r *slowReader) HandleCall(ctx context.Context, _ *link.Conn, _ link.Kind, _ []byte) (any, error) {
	progress.Report(ctx, 1)
	close(r.firstByteReceived)
	<-r.callerTimedOut
	progress.Report(ctx, 1)
	left, _ := progress.TimeLeft(ctx)
	r.timeLeft <- left
	return nil, ctx.Err()
}

func (*slowReader) HandleNotification(*link.Conn, link.Kind, []byte) {}

// Guards against a peer whose read for a caller extends its own timeout after the caller
// has timed out. A peer that read 1 MB from the store for such a caller read it to the
// end, occupied a store connection meanwhile, and sent all of it over the link of the
// caller, which had already repeated the request to six other nodes.
func TestPeerCancelsAReadInProgressWhenItsCallerTimesOut(t *testing.T) {
	const firstTimeout = 50 * time.Millisecond
	near, far := net.Pipe()
	r := &slowReader{firstByteReceived: make(chan struct{}), callerTimedOut: make(chan struct{}), timeLeft: make(chan time.Duration, 1)}
	left, right := link.NewConn(near, &echoHandler{}), link.NewConn(far, r)
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, firstTimeout, progress.IdleTimeout)
	defer cancel()
	go func() {
		<-r.firstByteReceived
		c.Advance(firstTimeout + progress.IdleTimeout)
	}()
	got := ""
	if err := left.Call(ctx, "read", "x", &got); err == nil {
		t.Errorf("got: %q, want: an error", got)
	}
	close(r.callerTimedOut)
	if got := <-r.timeLeft; got > firstTimeout {
		t.Errorf("time left of the call at the peer: got: %v, want: %v at most", got, firstTimeout)
	}
}

// chunkedConn passes on what is written in chunks of chunkSize bytes, and calls afterChunk
// after each with the number of bytes of this write that have been passed on.
type chunkedConn struct {
	net.Conn
	chunkSize  int
	afterChunk func(n int)
}

func (c *chunkedConn) Write(b []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(b, c.chunkSize) {
		n, err := c.Conn.Write(chunk)
		if written += n; err != nil {
			return written, err
		}
		c.afterChunk(written)
	}
	return written, nil
}

// Guards against a call that times out although its reply is arriving. A page of 1 MB
// that a peer sent over a link of 10 Mbit/s took longer than the reader's timeout.
func TestLongReplyIsNotTimedOutWhileBytesArrive(t *testing.T) {
	const firstTimeout = time.Second
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, firstTimeout, progress.IdleTimeout)
	defer cancel()
	near, far := net.Pipe()
	moved := int64(0)
	slow := &chunkedConn{Conn: far, chunkSize: 4 << 10}
	slow.afterChunk = func(n int) {
		if n <= 4*slow.chunkSize {
			// The receiver does not yet count the frame as long.
			return
		}
		await.True(t, "bytes arrive", func() bool { return progress.Bytes(ctx) > moved })
		moved = progress.Bytes(ctx)
		c.Advance(progress.IdleTimeout - 1)
	}
	left, right := link.NewConn(near, &echoHandler{}), link.NewConn(slow, &echoHandler{})
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	got := ""
	if err := left.Call(ctx, "long", "x", &got); err != nil || len(got) != longReplyRepeats {
		t.Errorf("got: %d bytes, %v, want: %d", len(got), err, longReplyRepeats)
	}
}

// deadlineRecorder records the largest number of bytes that were written under one write
// deadline.
type deadlineRecorder struct {
	net.Conn
	mu                            sync.Mutex
	sinceDeadline, maxPerDeadline int
}

func (d *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	d.mu.Lock()
	d.sinceDeadline = 0
	d.mu.Unlock()
	return d.Conn.SetWriteDeadline(at)
}

func (d *deadlineRecorder) Write(b []byte) (int, error) {
	d.mu.Lock()
	d.sinceDeadline += len(b)
	d.maxPerDeadline = max(d.maxPerDeadline, d.sinceDeadline)
	d.mu.Unlock()
	return d.Conn.Write(b)
}

// Guards against a write deadline for a whole frame, whatever its size. Links over which
// 820 KB were sent to 27 nodes at once were closed, because each frame had to be
// written within 2 s.
func TestLongFrameGetsAWriteDeadlinePerChunk(t *testing.T) {
	near, far := net.Pipe()
	d := &deadlineRecorder{Conn: far}
	left, right := link.NewConn(near, &echoHandler{}), link.NewConn(d, &echoHandler{})
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	got := ""
	if err := left.Call(t.Context(), "long", "x", &got); err != nil {
		t.Fatal(err)
	}
	// A link of 10 Mbit/s carries 2.5 MB within the 2 s of one deadline. A hundredth of
	// that per deadline leaves enough margin when many links share the bandwidth.
	const want = 25 << 10
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.maxPerDeadline > want {
		t.Errorf("bytes under one deadline: got: %d, want: %d at most", d.maxPerDeadline, want)
	}
}
