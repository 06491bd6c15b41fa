// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package connlimit_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/connlimit"
)

// server is an HTTP server with a limit, whose handler reads the body and then waits for release.
type server struct {
	t       *testing.T
	addr    string
	limiter *connlimit.Limiter
	closed  atomic.Int32
	// begun receives when a request to /wait begins, arrived when its body has arrived, and idle when a
	// connection becomes idle.
	begun, arrived, idle chan struct{}
	release              chan struct{}
}

func newServer(t *testing.T, limit int) *server {
	t.Helper()
	s := &server{t: t, begun: make(chan struct{}, 10), arrived: make(chan struct{}, 10), idle: make(chan struct{}, 10), release: make(chan struct{})}
	s.limiter = connlimit.NewLimiter(limit, func() { s.closed.Add(1) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = l.Addr().String()
	h := &http.Server{Handler: s.limiter.Handler(http.HandlerFunc(s.serve)), ConnState: s.connState, ConnContext: s.limiter.ConnContext}
	go func() { _ = h.Serve(s.limiter.Listen(l)) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.limiter.ConnState(c, state)
	if state == http.StateIdle {
		s.idle <- struct{}{}
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/wait" {
		return
	}
	s.begun <- struct{}{}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.arrived <- struct{}{}
	<-s.release
	w.WriteHeader(http.StatusAccepted)
}

// client is a connection to a server.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &client{c, s.t, bufio.NewReader(c)}
}

// send sends text and returns the client.
func (c *client) send(text string) *client {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// status returns the status of the next answer; 0 if the connection was closed.
func (c *client) status() int {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func (s *server) awaitOpen(want int) {
	s.t.Helper()
	await.True(s.t, "connections are open", func() bool { return s.limiter.Open() == want })
}

// Guards against clients that occupy all connections with requests that never end.
func TestUnfinishedRequestMakesRoom(t *testing.T) {
	s := newServer(t, 2)
	oldest := s.dial().send("POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123")
	<-s.begun
	s.dial().send("POST /wait HTTP/1.1\r\n")
	s.awaitOpen(2)
	if got, want := s.dial().send("GET / HTTP/1.1\r\nHost: x\r\n\r\n").status(), http.StatusOK; got != want {
		t.Errorf("new connection: got: %v, want: %v", got, want)
	}
	if got, want := oldest.status(), 0; got != want {
		t.Errorf("oldest connection: got: %v, want: %v", got, want)
	}
	if got := s.closed.Load(); got != 1 {
		t.Errorf("closed: got: %v, want: 1", got)
	}
}

// Guards against a request that has arrived and whose connection is closed before its answer.
func TestArrivedRequestIsAnswered(t *testing.T) {
	for name, text := range map[string]string{
		"without a body": "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n",
		"known length":   "POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n123",
		"chunked":        "POST /wait HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, 1)
			busy := s.dial().send(text)
			<-s.arrived
			if got, want := s.dial().status(), 0; got != want {
				t.Errorf("beyond the limit: got: %v, want: %v", got, want)
			}
			close(s.release)
			if got, want := busy.status(), http.StatusAccepted; got != want {
				t.Errorf("got: %v, want: %v", got, want)
			}
		})
	}
}

// Guards against idle connections, which may stay open, that keep new ones out, and against a
// connection that is closed although it has just been used.
func TestConnectionIdleForLongestMakesRoom(t *testing.T) {
	s := newServer(t, 2)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	first, second := s.dial(), s.dial()
	for _, c := range []*client{first, second, first} {
		if got := c.send(request).status(); got != http.StatusOK {
			t.Fatalf("got: %v, want: 200", got)
		}
		<-s.idle
	}
	if got := s.dial().send(request).status(); got != http.StatusOK {
		t.Errorf("new connection: got: %v, want: 200", got)
	}
	if got, want := second.status(), 0; got != want {
		t.Errorf("connection idle for the longest time: got: %v, want: %v", got, want)
	}
	if got, want := first.send(request).status(), http.StatusOK; got != want {
		t.Errorf("other connection: got: %v, want: %v", got, want)
	}
}

// pipes is a listener that accepts one end of each of its pipes.
type pipes struct{ net.Listener }

// Accept returns a connection of which nothing is read.
func (pipes) Accept() (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// Guards against a request that arrives while its connection is being closed, and is then answered as
// if it had been carried out.
func TestRequestOfClosedConnectionIsRefused(t *testing.T) {
	for name, text := range map[string]string{"without a body": "", "with a body": "x"} {
		t.Run(name, func(t *testing.T) {
			l := connlimit.NewLimiter(1, func() {})
			listener := l.Listen(pipes{})
			closed, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := listener.Accept(); err != nil {
				t.Fatal(err)
			}
			r := httptest.NewRequest(http.MethodDelete, "/", strings.NewReader(text))
			if text == "" {
				r.Body = http.NoBody
			}
			w := httptest.NewRecorder()
			l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); errors.Is(err, connlimit.ErrClosed) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})).ServeHTTP(w, r.WithContext(l.ConnContext(t.Context(), closed)))
			if got, want := w.Code, http.StatusServiceUnavailable; got != want {
				t.Errorf("got: %v, want: %v", got, want)
			}
		})
	}
}

// Guards against connections that are counted after their end.
func TestClosedConnectionsDoNotCount(t *testing.T) {
	s := newServer(t, 5)
	for range 3 {
		c := s.dial()
		if got := c.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").status(); got != http.StatusOK {
			t.Errorf("got: %v, want: 200", got)
		}
		if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("got: %v, want: EOF", err)
		}
	}
	s.awaitOpen(0)
	if got := s.closed.Load(); got != 0 {
		t.Errorf("closed: got: %v, want: 0", got)
	}
}

// Guards against an answer that waits for a body that its client sends only when it is told to.
func TestRequestWhoseExpectedBodyIsNotReadIsAnswered(t *testing.T) {
	s := newServer(t, 1)
	c := s.dial()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("answer: got: %v, want: a complete answer", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("got: %v, want: nil", err)
	}
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("got: %d, closes: %v, want: 200, closes: true", resp.StatusCode, resp.Close)
	}
	_ = c.Close()
}
