// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package connlimit bounds the connections to an HTTP server. At the limit, a new connection
// replaces the one that has been waiting for its client for the longest time: an idle one, or one
// whose request has not completely arrived.
package connlimit

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Limiter bounds the connections of one HTTP server, whose ConnContext and ConnState it provides. It
// is safe for concurrent use.
type Limiter struct {
	limit    int
	onClosed func()

	mu   sync.Mutex
	open int
	// waiting has the connections that wait for their client, as *conn. The one that has waited for
	// the longest time is first.
	waiting *list.List
}

// NewLimiter returns a Limiter for at most limit connections. onClosed is called after each
// connection that was closed because of the limit.
func NewLimiter(limit int, onClosed func()) *Limiter {
	return &Limiter{limit: limit, onClosed: onClosed, waiting: list.New()}
}

// Open returns how many connections are open.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// conn is a connection that the limiter counts.
type conn struct {
	net.Conn
	limiter *Limiter
	// element is the connection's element of waiting; nil while a request is handled.
	element  *list.Element
	isClosed bool
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending direction, which the server does so that a client that is still
// sending can read an answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		if err := w.CloseWrite(); err != nil {
			return fmt.Errorf("connlimit: %w", err)
		}
	}
	return nil
}

// Close closes the connection, which then counts no more.
func (c *conn) Close() error {
	c.limiter.remove(c)
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("connlimit: %w", err)
	}
	return nil
}

// Listen returns a listener that accepts the connections of another one within the limit.
func (l *Limiter) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection for which there is room, and closes the others.
func (a *listener) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		if err != nil {
			// The server expects the listener's own errors.
			return nil, err
		}
		if admitted := a.limiter.admit(c); admitted != nil {
			return admitted, nil
		}
	}
}

// admit counts a new connection. At the limit it closes the connection that has waited for the longest
// time; if none waits, it closes the new one and returns nil.
func (l *Limiter) admit(inner net.Conn) *conn {
	l.mu.Lock()
	c := &conn{Conn: inner, limiter: l}
	l.open++
	c.element = l.waiting.PushBack(c)
	var closed *conn
	if l.open > l.limit {
		closed = l.longestWaiting()
		l.drop(closed)
	}
	l.mu.Unlock()
	if closed == nil {
		return c
	}
	_ = closed.Conn.Close()
	l.onClosed()
	if closed == c {
		return nil
	}
	return c
}

// maxLooks is at how many connections longestWaiting looks.
const maxLooks = 16

// longestWaiting returns the connection that has waited for its client for the longest time. One on which something has
// arrived that was not read yet is none, unless there are many.
func (l *Limiter) longestWaiting() *conn {
	e := l.waiting.Front()
	for range maxLooks {
		if e == nil {
			break
		}
		c := e.Value.(*conn)
		if a, ok := c.Conn.(interface{ HasArrived() bool }); !ok || !a.HasArrived() {
			return c
		}
		e = e.Next()
	}
	return l.waiting.Front().Value.(*conn)
}

// remove forgets a connection that is being closed.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.isClosed {
		l.drop(c)
	}
}

// drop removes a connection from the count. The limiter must be locked.
func (l *Limiter) drop(c *conn) {
	c.isClosed = true
	l.open--
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// setWaiting records that a connection waits for its client from now on.
func (l *Limiter) setWaiting(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.isClosed:
	case c.element == nil:
		c.element = l.waiting.PushBack(c)
	default:
		l.waiting.MoveToBack(c.element)
	}
}

// setBusy records that a request has completely arrived: its connection is not closed any more. It
// reports false if the connection is already closed.
func (l *Limiter) setBusy(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
	return !c.isClosed
}

// ConnState is for the server's field of that name.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok && (state == http.StateActive || state == http.StateIdle) {
		l.setWaiting(own)
	}
}

// contextKey is the key of a request's *conn.
type contextKey struct{}

// ConnContext is for the server's field of that name.
func (l *Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Handler returns a handler that records when requests have arrived and passes them to h. A request
// whose connection was closed before it had arrived is not passed on.
func (l *Limiter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*conn)
		switch {
		case !ok:
		case r.Body != http.NoBody:
			// The HTTP server looks at the type of the body in its own request, to see whether the client waits to be
			// told to send it.
			r = r.WithContext(r.Context())
			r.Body = &body{r.Body, c}
		case !l.setBusy(c):
			// The answer may still be sent before the connection closes. Without one it would be a 200.
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// ErrClosed is the error at the end of a body that arrived after its connection was closed.
var ErrClosed = errors.New("connlimit: connection closed to make room for others")

// body is the body of a request, which records that it has arrived.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body. At its end it fails if the connection is closed, so that a request whose
// client cannot get an answer does not run.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.limiter.setBusy(b.conn) {
		return n, ErrClosed
	}
	return n, err
}
