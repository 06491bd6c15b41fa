// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package link has calls between nodes over one TCP connection, in both
// directions, with typed bodies.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/boundedqueue"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/frame"
	"github.com/leverdyke/leverdyke/internal/progress"
)

// Kind names a message; its body has one type.
type Kind string

// message is what a frame carries.
type message struct {
	// ID joins a reply to its call; 0 marks a notification.
	ID      uint64
	Kind    Kind
	IsReply bool
	Body    []byte
	// Failure is set in a reply to a call that failed.
	Failure string
	// Timeout is how long the caller waits for the reply; 0 means for as long as
	// the connection lasts.
	Timeout time.Duration
}

// Bounds of a connection.
const (
	// maxQueuedFrames is how many frames may wait; a peer that does not read is cut.
	maxQueuedFrames = 4096
	// maxCalls is how many calls of a peer may be in progress.
	maxCalls = 2048
	// keepAlive finds a machine that lost its power, besides the beats.
	keepAlive = time.Second
)

// ErrClosed means that the connection is closed. A call that had been sent may
// have been carried out.
var ErrClosed = errors.New("link: closed")

// CallError is the failure that a peer told.
type CallError struct{ Reason string }

// Error returns the text of the error.
func (e *CallError) Error() string { return "link: the peer says: " + e.Reason }

// Handler takes what a peer sends. Calls come on goroutines of their own,
// notifications one after the other.
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

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]pendingCall
}

// NewConn takes over an open connection.
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

// Close closes the connection. Calls in progress end with ErrClosed.
func (c *Conn) Close() {
	c.cancel()
	_ = c.conn.Close()
}

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Notify sends a notification. It reports false when it was dropped.
func (c *Conn) Notify(kind Kind, v any) bool {
	body, err := codec.MarshalCompact(v)
	return err == nil && c.send(&message{Kind: kind, Body: body})
}

// Call sends a call and waits for its reply, which it reads into reply. The
// peer works on it no longer than ctx lasts. Any error but *CallError leaves
// open whether the peer carried it out.
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
		if m.Failure != "" {
			return &CallError{m.Failure}
		}
		return codec.Unmarshal(m.Body, reply)
	case <-c.ctx.Done():
		return ErrClosed
	case <-ctx.Done():
		return fmt.Errorf("link: %s: %w", kind, ctx.Err())
	}
}

// timeoutOf returns how long ctx still lasts; 0 when it has no end.
func timeoutOf(ctx context.Context) time.Duration {
	left, ok := progress.TimeLeft(ctx)
	if !ok {
		return 0
	}
	return max(left, time.Nanosecond)
}

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

// writeLoop sends what is queued until the connection is closed.
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

// batchBytes is about how much one write carries.
const batchBytes = 64 << 10

// appendQueued appends a frame and what else waits.
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

// readLoop takes what comes until the connection is closed.
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
		c.handler.HandleNotification(c, m.Kind, m.Body)
	default:
		select {
		case c.callSlots <- struct{}{}:
			go c.serveCall(m)
		default:
			c.send(&message{ID: m.ID, Kind: m.Kind, IsReply: true, Failure: "too many calls are in progress"})
		}
	}
}

func (c *Conn) serveCall(m *message) {
	defer func() { <-c.callSlots }()
	ctx := c.ctx
	if m.Timeout > 0 {
		// Not by progress: the caller does not hear of it before the reply begins.
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
