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
	case "long":
		return strings.Repeat(text, longText), nil
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

// longText is how often a long reply repeats what was asked.
const longText = 200 << 10

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

// reader is a peer that reads something large for its caller.
type reader struct {
	// moved is closed once the first byte has come, gone once the caller has given up.
	moved, gone chan struct{}
	// left is how long the peer would go on after the next byte.
	left chan time.Duration
}

func (r *reader) HandleCall(ctx context.Context, _ *link.Conn, _ link.Kind, _ []byte) (any, error) {
	progress.Report(ctx, 1)
	close(r.moved)
	<-r.gone
	progress.Report(ctx, 1)
	left, _ := progress.TimeLeft(ctx)
	r.left <- left
	return nil, ctx.Err()
}

func (*reader) HandleNotice(*link.Conn, link.Kind, []byte) {}

// A peer that read 1 MB from the store for a node that had given up went on to the
// end, held a connection to the store meanwhile, and sent the whole over the link of
// that node, which had asked six others for it again.
func TestAPeerThatReadsGivesUpWithItsCaller(t *testing.T) {
	const first = 50 * time.Millisecond
	near, far := net.Pipe()
	r := &reader{moved: make(chan struct{}), gone: make(chan struct{}), left: make(chan time.Duration, 1)}
	left, right := link.NewConn(near, &handler{}), link.NewConn(far, r)
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, first, progress.IdleTimeout)
	defer cancel()
	go func() {
		<-r.moved
		c.Advance(first + progress.IdleTimeout)
	}()
	got := ""
	if err := left.Call(ctx, "read", "x", &got); err == nil {
		t.Errorf("got: %q, want: an error", got)
	}
	close(r.gone)
	if got := <-r.left; got > first {
		t.Errorf("the peer goes on: got: %v, want: %v at most", got, first)
	}
}

// piecewise lets what is written pass in pieces, each followed by a word.
type piecewise struct {
	net.Conn
	size  int
	after func(n int)
}

func (p *piecewise) Write(b []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(b, p.size) {
		n, err := p.Conn.Write(piece)
		if written += n; err != nil {
			return written, err
		}
		p.after(written)
	}
	return written, nil
}

// A page of 1 MB that came through a peer over a link of 10 Mbit/s took longer
// than its reader waited.
func TestALongReplyGoesOnWhileBytesCome(t *testing.T) {
	const first = time.Second
	c := clock.NewFake()
	ctx, cancel := progress.WithClock(t.Context(), c, first, progress.IdleTimeout)
	defer cancel()
	near, far := net.Pipe()
	moved := int64(0)
	slow := &piecewise{Conn: far, size: 4 << 10}
	slow.after = func(n int) {
		if n <= 4*slow.size {
			// A frame counts as long from here on.
			return
		}
		await.True(t, "bytes come", func() bool { return progress.Bytes(ctx) > moved })
		moved = progress.Bytes(ctx)
		c.Advance(progress.IdleTimeout - 1)
	}
	left, right := link.NewConn(near, &handler{}), link.NewConn(slow, &handler{})
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	got := ""
	if err := left.Call(ctx, "long", "x", &got); err != nil || len(got) != longText {
		t.Errorf("got: %d bytes, %v, want: %d", len(got), err, longText)
	}
}

// deadlines notes the most bytes that were written under one deadline.
type deadlines struct {
	net.Conn
	mu          sync.Mutex
	since, most int
}

func (d *deadlines) SetWriteDeadline(at time.Time) error {
	d.mu.Lock()
	d.since = 0
	d.mu.Unlock()
	return d.Conn.SetWriteDeadline(at)
}

func (d *deadlines) Write(b []byte) (int, error) {
	d.mu.Lock()
	d.since += len(b)
	d.most = max(d.most, d.since)
	d.mu.Unlock()
	return d.Conn.Write(b)
}

// Links on which 820 KB went to 27 nodes at once were closed: no frame was allowed
// more than 2 s, whatever its size.
func TestALongFrameHasTheTimeThatItsPiecesNeed(t *testing.T) {
	near, far := net.Pipe()
	d := &deadlines{Conn: far}
	left, right := link.NewConn(near, &handler{}), link.NewConn(d, &handler{})
	t.Cleanup(left.Close)
	t.Cleanup(right.Close)
	got := ""
	if err := left.Call(t.Context(), "long", "x", &got); err != nil {
		t.Fatal(err)
	}
	// 10 Mbit/s carry 2.5 MB in the 2 s of a deadline; a hundredth must suffice.
	const want = 25 << 10
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.most > want {
		t.Errorf("bytes under one deadline: got: %d, want: %d at most", d.most, want)
	}
}
