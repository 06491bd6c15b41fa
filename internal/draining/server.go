// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package draining stops HTTP servers without dropping requests that have arrived. The standard library closes
// connections on which it has read requests, but not handled them: those that it holds for idle, and those whose
// client pipelines requests.
package draining

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptTime is how long a server that shuts down accepts the connections that the system has already opened.
	acceptTime = 10 * time.Millisecond
	// defaultFirstRequestTime is the FirstRequestTime if the options have none.
	defaultFirstRequestTime = 200 * time.Millisecond
	// answerTime is how long before its deadline a shutdown ends the contexts of requests, so that their answers are
	// still sent. It is at most answerShare of the time until the deadline.
	answerTime  = 500 * time.Millisecond
	answerShare = 4
)

// NewServerOptions configures a Server. The zero value works.
type NewServerOptions struct {
	// FirstRequestTime is how long a server that shuts down waits for the first requests of the connections that it has
	// just accepted; 0 means 200 ms.
	FirstRequestTime time.Duration
}

// phase is how far a server has stopped. Phases only advance.
type phase int

const (
	phaseServing phase = iota
	// phaseDraining means that a connection is closed by the answer after which no further request has arrived.
	phaseDraining
	// phaseRefusing means that no connection is accepted.
	phaseRefusing
	// phaseEnding means that a connection is also closed when nothing has arrived since the last answer.
	phaseEnding
	// phaseLast means that a connection is closed by the answer to the last request that has been read from it, even
	// if others have arrived. Clients that never stop sending are served until then.
	phaseLast
	// phaseClosed means that connections are closed at once.
	phaseClosed
)

// Server is an HTTP server that can be drained. It is safe for concurrent use.
type Server struct {
	server  *http.Server
	options NewServerOptions
	// unread is the number of connections that were closed with unread bytes since the server began to drain.
	unread atomic.Int64
	// ending is done when the requests in progress have to be answered; end ends it.
	ending context.Context
	end    context.CancelFunc

	mu        sync.Mutex
	phase     phase
	conns     map[*conn]struct{}
	listeners map[*listener]struct{}
	// isEmpty is closed when no connection is open any more and none will be accepted.
	isEmpty chan struct{}
}

// NewServer returns a Server that drains s, whose Handler, ConnState and ConnContext it wraps. They must be set, if
// at all, before. s must accept its connections from a listener that Listen has returned; wrappers of these
// connections must have the method NetConn of tls.Conn.
func NewServer(s *http.Server, o NewServerOptions) *Server {
	if o.FirstRequestTime == 0 {
		o.FirstRequestTime = defaultFirstRequestTime
	}
	d := &Server{server: s, options: o, conns: map[*conn]struct{}{}, listeners: map[*listener]struct{}{}, isEmpty: make(chan struct{})}
	d.ending, d.end = context.WithCancel(context.Background())
	s.Handler = &handler{s.Handler}
	innerState, innerContext := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if innerState != nil {
			innerState(c, state)
		}
		if own := unwrap(c); own != nil && state == http.StateIdle {
			own.endRequest()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if innerContext != nil {
			ctx = innerContext(ctx, c)
		}
		return context.WithValue(ctx, contextKey{}, unwrap(c))
	}
	return d
}

// contextKey is the key of a request's *conn.
type contextKey struct{}

// unwrap returns the connection of this package that c wraps; nil if there is none.
func unwrap(c net.Conn) *conn {
	for {
		switch w := c.(type) {
		case *conn:
			return w
		case interface{ NetConn() net.Conn }:
			c = w.NetConn()
		default:
			return nil
		}
	}
}

// Begin makes answers close their connections, so that clients go elsewhere. The server still accepts connections and
// requests.
func (d *Server) Begin() { d.advance(phaseDraining) }

// Shutdown closes the listeners, answers the requests that have arrived and closes the connections. Clients that never
// stop sending are served for half of the time until the deadline of ctx. Shortly before the deadline the contexts of
// requests end. If ctx ends before all connections have closed, Shutdown closes them at once and returns an error.
func (d *Server) Shutdown(ctx context.Context) error {
	defer d.end()
	d.advance(phaseRefusing)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		defer time.AfterFunc(left-min(answerTime, left/answerShare), d.end).Stop()
	}
	d.closeListeners(ctx)
	d.awaitEmpty(ctx, d.options.FirstRequestTime)
	d.advance(phaseEnding)
	d.interrupt()
	if deadline, ok := ctx.Deadline(); ok && !d.awaitEmpty(ctx, time.Until(deadline)/2) {
		d.advance(phaseLast)
		d.interrupt()
	}
	var err error
	select {
	case <-d.isEmpty:
	case <-ctx.Done():
		err = fmt.Errorf("draining: %d connections are still in use: %w", d.open(), ctx.Err())
	}
	d.advance(phaseClosed)
	if closeErr := d.server.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("draining: %w", closeErr)
	}
	return err
}

// Unread returns how many connections were closed since Begin or Shutdown although their clients had sent more than was
// read.
func (d *Server) Unread() int64 { return d.unread.Load() }

// awaitEmpty waits until no connection is open, for at most the given time. It reports whether that is so.
func (d *Server) awaitEmpty(ctx context.Context, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-d.isEmpty:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (d *Server) advance(to phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase = max(d.phase, to)
}

func (d *Server) current() phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

func (d *Server) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// closeListeners closes the listeners once they have accepted the connections that wait.
func (d *Server) closeListeners(ctx context.Context) {
	d.mu.Lock()
	listeners := slices.Collect(maps.Keys(d.listeners))
	d.reportEmpty()
	d.mu.Unlock()
	for _, l := range listeners {
		l.end(ctx)
	}
}

// interrupt makes the reads of all connections look at the phase again.
func (d *Server) interrupt() {
	d.mu.Lock()
	conns := slices.Collect(maps.Keys(d.conns))
	d.mu.Unlock()
	for _, c := range conns {
		c.onPhase()
	}
}

// reportEmpty closes isEmpty when the last connection has closed. The server must be locked.
func (d *Server) reportEmpty() {
	if d.phase < phaseRefusing || len(d.conns) > 0 || len(d.listeners) > 0 {
		return
	}
	select {
	case <-d.isEmpty:
	default:
		close(d.isEmpty)
	}
}

func (d *Server) add(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
}

func (d *Server) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
	d.reportEmpty()
}

// Listen returns a listener that accepts the connections of another one until the server shuts down.
func (d *Server) Listen(inner net.Listener) net.Listener {
	l := &listener{Listener: inner, server: d, ended: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners[l] = struct{}{}
	return l
}

// listener accepts connections for a server.
type listener struct {
	net.Listener
	server *Server
	once   sync.Once
	ended  chan struct{}
	// isOver means that the time to accept has passed. waiting is how many connections, of those that waited then, are still
	// to be accepted. Both are used by Accept only.
	isOver  bool
	waiting int
}

// Accept returns the next connection, or http.ErrServerClosed once the server shuts down. Only one goroutine may call it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.isOver && l.waiting == 0 {
			_ = l.Close()
			return nil, http.ErrServerClosed
		}
		inner, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.waiting = max(l.waiting-1, 0)
			c := newConn(inner, l.server)
			l.server.add(c)
			return c, nil
		case l.server.current() < phaseRefusing, !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed):
			// The server expects the listener's own errors, and tries again after those that pass.
			return nil, err
		}
		// The deadline may have passed while the process was paused.
		waiting := l.queued()
		if !l.isOver {
			l.waiting = waiting
		}
		l.isOver = true
		if waiting == 0 || !l.setDeadline() {
			l.waiting = 0
		}
	}
}

// queued returns how many connections wait to be accepted.
func (l *listener) queued() int {
	n := 0
	withDescriptor(l.Listener, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// Of a listening socket, this is the length of its queue.
			n = int(info.Unacked)
		}
	})
	return n
}

// setDeadline bounds the time to accept. It reports whether the listener has deadlines.
func (l *listener) setDeadline() bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(acceptTime)) == nil
}

// end makes Accept close the listener soon, and waits until that has happened.
func (l *listener) end(ctx context.Context) {
	if l.setDeadline() {
		select {
		case <-l.ended:
		case <-ctx.Done():
		}
	}
	_ = l.Close()
}

// Close closes the listener.
func (l *listener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		err = l.Listener.Close()
		l.server.mu.Lock()
		delete(l.server.listeners, l)
		l.server.reportEmpty()
		l.server.mu.Unlock()
		close(l.ended)
	})
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("draining: %w", err)
	}
	return nil
}
