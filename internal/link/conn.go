// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package link multiplexes remote procedure calls and notifications between two nodes
// over one TCP connection, in both directions.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke/internal/boundedqueue"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/frame"
	"github.com/leverdyke/leverdyke/internal/progress"
)

// Kind is the kind of a message, which determines the type of its body.
type Kind string

// message is the content of one frame. It is encoded as an array, so that the order of
// its fields is part of the protocol and their names are not.
type message struct {
	// ID matches a reply to its call; 0 marks a notification.
	ID      uint64
	Kind    Kind
	IsReply bool
	Body    []byte
	// Failure is the error text in a reply to a call that failed; otherwise it is
	// empty.
	Failure string
	// Timeout is how long the caller waits for the reply; 0 means as long as the
	// connection is open.
	Timeout time.Duration
}

// Bounds of a connection.
const (
	// maxQueuedFrames is how many frames may wait to be sent. The connection is closed
	// when the queue overflows, because then the peer does not read.
	maxQueuedFrames = 4096
	// maxCalls is how many calls from the peer may be in progress at once.
	maxCalls = 2048
	// keepAlive is the period of the TCP keep-alive probes. In addition to the nodes'
	// heartbeats, they detect a machine that has lost power.
	keepAlive = time.Second
)

// ErrClosed means that the connection is closed. The peer may nevertheless have carried
// out a call that was sent before.
var ErrClosed = errors.New("link: connection closed")

// CallError means that the peer answered a call with a failure. Reason is the peer's
// error text.
type CallError struct{ Reason string }

// Error implements the error interface.
func (e *CallError) Error() string { return "link: peer reported failure: " + e.Reason }

// Handler handles the messages of a peer. Each call is handled in a goroutine of its
// own. Notifications are handled one after the other in the goroutine that reads the
// connection: while HandleNotification blocks, no other message is read.
type Handler interface {
	// HandleCall returns the body of the reply.
	HandleCall(ctx context.Context, from *Conn, kind Kind, body []byte) (any, error)
	HandleNotification(from *Conn, kind Kind, body []byte)
}

// Conn is a connection to a peer. It is safe for concurrent use.
type Conn struct {
	conn      net.Conn
	handler   Handler
	outbound  *boundedqueue.Queue[*message]
	ctx       context.Context
	cancel    context.CancelFunc
	callSlots chan struct{}
	// receivedBytes counts what was read. isHandling is set while a notification is handled, as
	// nothing is read then.
	receivedBytes atomic.Int64
	isHandling    atomic.Bool

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]pendingCall
}

// NewConn starts the protocol on an open connection, which the Conn then owns.
func NewConn(c net.Conn, h Handler) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	conn := &Conn{
		conn: c, handler: h, outbound: boundedqueue.NewQueue[*message](maxQueuedFrames), ctx: ctx, cancel: cancel,
		callSlots: make(chan struct{}, maxCalls), pending: map[uint64]pendingCall{},
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 3})
	}
	go conn.readLoop()
	go conn.writeLoop()
	return conn
}

// Dial connects to a peer.
func Dial(ctx context.Context, addr netip.AddrPort, h Handler) (*Conn, error) {
	d := net.Dialer{}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return NewConn(c, h), nil
}

// Close closes the connection. Calls in progress return ErrClosed.
func (c *Conn) Close() {
	c.cancel()
	_ = c.conn.Close()
}

// ReceivedBytes returns how many bytes have arrived over the connection.
func (c *Conn) ReceivedBytes() int64 { return c.receivedBytes.Load() }

// IsHandling reports whether a notification of the peer is being handled, so that nothing more is
// read from the connection until that is done.
func (c *Conn) IsHandling() bool { return c.isHandling.Load() }

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Notify queues a notification. It reports false if the notification was dropped,
// because it could not be encoded, the connection is closed, or the queue is full.
func (c *Conn) Notify(kind Kind, v any) bool {
	body, err := codec.MarshalCompact(v)
	return err == nil && c.send(&message{Kind: kind, Body: body})
}

// Call sends a call, waits for its reply and decodes it into reply. The peer learns how
// much time ctx has left and cancels the call after that. After any error other than
// *CallError it is unknown whether the peer has carried out the call.
func (c *Conn) Call(ctx context.Context, kind Kind, v, reply any) error {
	body, err := codec.MarshalCompact(v)
	if err != nil {
		return err
	}
	id, replies := c.registerCall(ctx)
	defer c.unregisterCall(id)
	if !c.send(&message{ID: id, Kind: kind, Body: body, Timeout: timeoutOf(ctx)}) {
		return ErrClosed
	}
	select {
	case m := <-replies:
		return m.decode(reply)
	case <-c.ctx.Done():
		err = ErrClosed
	case <-ctx.Done():
		err = fmt.Errorf("link: %s: %w", kind, ctx.Err())
	}
	select {
	case m := <-replies:
		// It arrived while the process was paused.
		return m.decode(reply)
	default:
		return err
	}
}

// decode decodes a reply.
func (m *message) decode(reply any) error {
	if m.Failure != "" {
		return &CallError{m.Failure}
	}
	return codec.Unmarshal(m.Body, reply)
}

// timeoutOf returns how much time ctx has left, at least 1 ns, or 0 if it has no
// deadline.
func timeoutOf(ctx context.Context) time.Duration {
	left, ok := progress.TimeLeft(ctx)
	if !ok {
		return 0
	}
	return max(left, time.Nanosecond)
}

// registerCall returns a new ID and the channel that receives the reply with this ID.
func (c *Conn) registerCall(ctx context.Context) (uint64, chan *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	replies := make(chan *message, 1)
	c.pending[c.nextID] = pendingCall{ctx, replies}
	return c.nextID, replies
}

func (c *Conn) unregisterCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// send queues a message. It reports false if the connection is closed; if the queue is
// full, it closes the connection.
func (c *Conn) send(m *message) bool {
	if c.ctx.Err() != nil {
		return false
	}
	if c.outbound.TryPut(m) {
		return true
	}
	c.Close()
	return false
}

// writeLoop sends the queued frames until the connection is closed.
func (c *Conn) writeLoop() {
	defer c.Close()
	buf := []byte{}
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-c.outbound.Items():
			var err error
			if buf, err = c.appendQueued(buf[:0], m); err != nil {
				return
			}
			if err := c.write(buf); err != nil {
				return
			}
		}
	}
}

// batchBytes is the size at which a batch of frames for one call of write is full. The
// last frame of a batch may exceed it.
const batchBytes = 64 << 10

// appendQueued encodes m and further queued messages into buf, until the queue is empty
// or the batch is full.
func (c *Conn) appendQueued(buf []byte, m *message) ([]byte, error) {
	buf, err := frame.Append(buf, m)
	for err == nil && len(buf) < batchBytes {
		select {
		case next := <-c.outbound.Items():
			buf, err = frame.Append(buf, next)
		default:
			return buf, nil
		}
	}
	return buf, err
}

// readLoop reads and dispatches messages until the connection is closed.
func (c *Conn) readLoop() {
	defer c.Close()
	source := &progressReader{conn: c}
	r := bufio.NewReaderSize(source, 8<<10)
	for {
		source.beginFrame()
		m := &message{}
		if _, err := frame.Read(r, m); err != nil {
			return
		}
		c.dispatch(m)
	}
}

// dispatch passes a reply to its pending call, a notification to the handler, and a call
// to a goroutine of its own. It refuses a call beyond maxCalls.
func (c *Conn) dispatch(m *message) {
	switch {
	case m.IsReply:
		c.mu.Lock()
		call, ok := c.pending[m.ID]
		c.mu.Unlock()
		if ok {
			call.reply <- m
		}
	case m.ID == 0:
		c.isHandling.Store(true)
		c.handler.HandleNotification(c, m.Kind, m.Body)
		c.isHandling.Store(false)
	default:
		select {
		case c.callSlots <- struct{}{}:
			go c.serveCall(m)
		default:
			c.send(&message{ID: m.ID, Kind: m.Kind, IsReply: true, Failure: "call refused: too many calls of this peer are in progress"})
		}
	}
}

// serveCall runs the handler for a call and queues the reply.
func (c *Conn) serveCall(m *message) {
	defer func() { <-c.callSlots }()
	ctx := c.ctx
	if m.Timeout > 0 {
		// The time is not extended while the call makes progress, because the caller
		// sees no progress before the reply begins, and times out regardless.
		bounded, cancel := context.WithTimeout(ctx, m.Timeout)
		defer cancel()
		ctx = bounded
	}
	reply := &message{ID: m.ID, Kind: m.Kind, IsReply: true}
	v, err := c.handler.HandleCall(ctx, c, m.Kind, m.Body)
	if err == nil {
		reply.Body, err = codec.MarshalCompact(v)
	}
	if err != nil {
		reply.Failure = err.Error()
	}
	c.send(reply)
}
