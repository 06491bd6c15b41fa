// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package draining_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/draining"
)

// endlessListener has a connection that waits to be accepted whenever it is looked at, from the end of the time to accept.
type endlessListener struct {
	*net.TCPListener
	t        *testing.T
	waiting  *net.TCPConn
	accepted int
}

func (l *endlessListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	switch {
	case err == nil && l.waiting != nil:
		l.accepted++
		l.dial()
	case errors.Is(err, os.ErrDeadlineExceeded) && l.waiting == nil:
		l.dial()
	}
	return c, err
}

func (l *endlessListener) dial() {
	if l.waiting != nil {
		_ = l.waiting.SetLinger(0)
		_ = l.waiting.Close()
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		l.t.Error(err)
		return
	}
	l.waiting = c.(*net.TCPConn)
}

// Guards against a listener that accepts until the stop's time has passed, because there is always a connection that
// waits: the request in progress is cut.
func TestEndlessConnectionsTakeNoTimeFromRequests(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, begun: make(chan struct{}, 10), active: make(chan struct{}, 1), release: make(chan struct{})}
	l := &endlessListener{TCPListener: inner.(*net.TCPListener), t: t}
	s.openOn(l, &http.Server{Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
	c := s.dial().send(wait)
	<-s.begun
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := s.shutdown(ctx)
	s.awaitShutdown()
	t.Logf("accepted after the time to accept: %d, the stop's context: %v", l.accepted, ctx.Err())
	close(s.release)
	if err := <-done; err != nil {
		t.Errorf("got: %v, want: nil", err)
	}
	c.want(answer{http.StatusOK, "3", true})
}

// gatedListener accepts nothing before it is open.
type gatedListener struct {
	net.Listener
	open chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.open
	return l.Listener.Accept()
}

// Guards against requests that have arrived and are reset because the process pauses between the HTTP server's look at
// the time and its SetReadDeadline: such a deadline has passed when it is set, and is no order to end the read. A
// timeout of 1 ns stands for the pause.
func TestRequestIsAnsweredIfItsTimeoutPassesBeforeItIsSet(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &gatedListener{inner, make(chan struct{})}
	s := &server{t: t}
	s.openOn(l, &http.Server{ReadHeaderTimeout: time.Nanosecond, Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
	c := s.dial().send(get)
	close(l.open)
	c.want(kept)
}

// racedConn is a connection whose bytes another reader (runLinger) takes between the look at the socket and the read
// of what has arrived.
type racedConn struct {
	*net.TCPConn
	once    sync.Once
	expired chan struct{}
}

func (c *racedConn) Read(p []byte) (int, error) {
	isFirst := false
	c.once.Do(func() { isFirst = true })
	if isFirst {
		<-c.expired
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(p)
}

// SyscallConn gives the descriptor to canRead; the byte that it sees is then taken.
func (c *racedConn) SyscallConn() (syscall.RawConn, error) { return c.TCPConn.SyscallConn() }

// SetReadDeadline takes what has arrived when the deadline is removed, which readArrived does after its look.
func (c *racedConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	select {
	case <-c.expired:
		if t.IsZero() {
			b := make([]byte, 4096)
			_, _ = c.TCPConn.Read(b)
		}
	default:
	}
	return err
}

type racedListener struct {
	net.Listener
	expired chan struct{}
	conns   chan *racedConn
}

func (l *racedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	r := &racedConn{TCPConn: c.(*net.TCPConn), expired: l.expired}
	l.conns <- r
	return r, nil
}

// Guards against a read that waits while its connection is locked: nothing bounds it, and the end of the stop waits for
// the lock.
func TestReadOfWhatHasArrivedDoesNotHoldUpTheStop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &racedListener{inner, make(chan struct{}), make(chan *racedConn, 1)}
	s := &server{t: t}
	s.openOn(l, &http.Server{ReadHeaderTimeout: time.Hour, Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
	c := s.dial().send("GET ")
	r := <-l.conns
	close(l.expired)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	done := s.shutdown(ctx)
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Error("the stop has not ended 2.7 s after its context")
		_ = r.TCPConn.Close()
		<-done
	}
	_ = c.Close()
}

// scarceListener fails once with a lack of descriptors when the time to accept begins.
type scarceListener struct {
	*net.TCPListener
	once  sync.Once
	begun chan struct{}
	fails bool
}

func (l *scarceListener) Accept() (net.Conn, error) {
	<-l.begun
	if !l.fails {
		l.fails = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.TCPListener.Accept()
}

func (l *scarceListener) SetDeadline(t time.Time) error {
	defer l.once.Do(func() { close(l.begun) })
	return l.TCPListener.SetDeadline(t)
}

// Guards against waiting connections that are reset because of one error of accept that passes: the HTTP server itself
// tries again after such an error.
func TestConnectionsAreAcceptedAfterALackOfDescriptorsAtShutdown(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t}
	s.openOn(&scarceListener{TCPListener: inner.(*net.TCPListener), begun: make(chan struct{})}, &http.Server{Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
	c := s.dial().send(get)
	done := s.shutdown(t.Context())
	c.want(last)
	wantNil(t, <-done)
}

// gatedConns reads nothing from the connections that it accepts before it is open, as in a pause.
type gatedConns struct {
	net.Listener
	open     chan struct{}
	accepted chan struct{}
}

func (l *gatedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- struct{}{}
	return &gatedConn{c.(*net.TCPConn), l.open}, nil
}

type gatedConn struct {
	*net.TCPConn
	open chan struct{}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.open
	return c.TCPConn.Read(p)
}

// Guards against a connection that is closed to make room although its request has arrived and was not read yet, when
// there is another one on which nothing has arrived.
func TestConnectionWithARequestIsNotClosedToMakeRoom(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &gatedConns{inner, make(chan struct{}), make(chan struct{}, maxConns+2)}
	s := &server{t: t}
	s.openOn(l, &http.Server{Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
	c := s.dial().send(get)
	for range maxConns + 1 {
		_ = s.dial()
	}
	// The last one is accepted after the one before it has been given room.
	for range maxConns + 2 {
		<-l.accepted
	}
	close(l.open)
	c.want(kept)
}
