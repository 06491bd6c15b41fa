// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package draining_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/connlimit"
	"github.com/leverdyke/leverdyke/internal/draining"
)

// server is a draining server. A request to /wait waits for release; one to /unread does not read its body. The
// answer has the length of the body, except for /none with status 204.
type server struct {
	*draining.Server
	t       *testing.T
	addr    string
	limiter *connlimit.Limiter
	// begun receives when a request to /wait begins, active when the headers of one have been read, and idle when a
	// connection becomes idle.
	begun, active, idle chan struct{}
	release             chan struct{}
	served              chan error
	// closed receives when a connection has been closed.
	closed chan struct{}
	// onIdle is called when a connection becomes idle, unless it is nil.
	onIdle func()
}

func newServer(t *testing.T) *server { return newServerWith(t, draining.NewServerOptions{}) }

func newServerWith(t *testing.T, o draining.NewServerOptions) *server {
	t.Helper()
	s := &server{t: t, begun: make(chan struct{}, 10), active: make(chan struct{}, 1), release: make(chan struct{})}
	s.open(&http.Server{Handler: http.HandlerFunc(s.serve)}, o)
	return s
}

// newServerOf returns a server with the handler and the timeouts of h.
func newServerOf(t *testing.T, h *http.Server) *server {
	t.Helper()
	s := &server{t: t}
	s.open(h, draining.NewServerOptions{})
	return s
}

// maxConns is how many connections a server has at a time.
const maxConns = 10

func (s *server) open(h *http.Server, o draining.NewServerOptions) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.openOn(l, h, o)
}

func (s *server) openOn(l net.Listener, h *http.Server, o draining.NewServerOptions) {
	s.t.Helper()
	s.served, s.idle, s.limiter = make(chan error, 1), make(chan struct{}, 100), connlimit.NewLimiter(maxConns, func() {})
	s.closed = make(chan struct{}, 100)
	h.Handler, h.ConnState, h.ConnContext = s.limiter.Handler(h.Handler), s.connState, s.limiter.ConnContext
	s.Server = draining.NewServer(h, o)
	s.addr = l.Addr().String()
	l = s.limiter.Listen(s.Listen(l))
	go func() { s.served <- h.Serve(l) }()
	s.t.Cleanup(func() { _ = h.Close() })
}

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.limiter.ConnState(c, state)
	if state == http.StateClosed {
		s.closed <- struct{}{}
	}
	if state != http.StateIdle {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
	if s.onIdle != nil {
		s.onIdle()
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case s.active <- struct{}{}:
	default:
	}
	if r.URL.Path == "/unread" {
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/wait":
		s.begun <- struct{}{}
		<-s.release
	case "/none":
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
}

// shutdown shuts the server down in the background and returns its result.
func (s *server) shutdown(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	return done
}

// awaitShutdown waits until the listener is closed, after which connections that are idle are closed.
func (s *server) awaitShutdown() {
	s.t.Helper()
	if err := <-s.served; !errors.Is(err, http.ErrServerClosed) {
		s.t.Errorf("serve: got: %v, want: %v", err, http.ErrServerClosed)
	}
}

// client is a connection to a server.
type client struct {
	*net.TCPConn
	t       *testing.T
	answers *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &client{c.(*net.TCPConn), s.t, bufio.NewReader(c)}
}

// send sends text and returns the client.
func (c *client) send(text string) *client {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// answer is what a client has got for a request.
type answer struct {
	status  int
	text    string
	isClose bool
}

// answer returns the next answer, to a request with the method.
func (c *client) answer(method string) answer {
	c.t.Helper()
	r, err := http.ReadResponse(c.answers, &http.Request{Method: method})
	if err != nil {
		c.t.Fatalf("answer: got: %v, want: a complete answer", err)
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatalf("answer: got: %v, want: a complete answer", err)
	}
	return answer{r.StatusCode, string(text), r.Close}
}

// want checks the next answer to a request with method GET or POST.
func (c *client) want(want answer) {
	c.t.Helper()
	if got := c.answer(http.MethodPost); got != want {
		c.t.Errorf("answer: got: %v, want: %v", got, want)
	}
}

// wantEnd checks that the server has closed the connection.
func (c *client) wantEnd() {
	c.t.Helper()
	if b, err := c.answers.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("connection: got: %v, %v, want: EOF", b, err)
	}
	_ = c.Close()
}

func wantNil(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("got: %v, want: nil", err)
	}
}

const (
	wait = "POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n123"
	get  = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
)

var (
	kept   = answer{http.StatusOK, "0", false}
	last   = answer{http.StatusOK, "0", true}
	waited = answer{http.StatusOK, "3", false}
)

// Guards against requests that the answer before them drops, whatever their form and that of the request before.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	long := strings.Repeat("{\n}", 5000)
	for _, c := range []struct {
		name, request, method string
		want                  answer
	}{
		{"no body", get, "GET", kept},
		{"lines that end in LF", "GET / HTTP/1.1\nHost: x\n\n", "GET", kept},
		{"HEAD", "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n", "HEAD", answer{http.StatusOK, "", false}},
		{"no content", "GET /none HTTP/1.1\r\nHost: x\r\n\r\n", "GET", answer{http.StatusNoContent, "", false}},
		{"body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n{\n\n}", "POST", answer{http.StatusOK, "4", false}},
		{"long body", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long), "POST", answer{http.StatusOK, "15000", false}},
		{"unread body", "POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n{\n\n}", "POST", answer{http.StatusOK, "", false}},
		{"unread long body", fmt.Sprintf("POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long), "POST", answer{http.StatusOK, "", false}},
		{"chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n2\r\ncd\r\n0\r\n\r\n", "POST", answer{http.StatusOK, "5", false}},
		{"trailers", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\na\r\n0\r\nA: 1\r\n\r\n", "POST", answer{http.StatusOK, "1", false}},
		{"HTTP/1.0", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET", kept},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			client := s.dial().send(wait + c.request + c.request + get)
			<-s.begun
			s.Begin()
			s.release <- struct{}{}
			client.want(waited)
			for range 2 {
				if got := client.answer(c.method); got != c.want {
					t.Errorf("got: %v, want: %v", got, c.want)
				}
			}
			client.want(last)
			client.wantEnd()
			wantNil(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against a request that arrives while the one before is handled and is dropped by its answer.
func TestRequestThatArrivesBeforeAnAnswerIsAnswered(t *testing.T) {
	s := newServer(t)
	client := s.dial().send(wait)
	<-s.begun
	s.Begin()
	client.send(wait)
	s.release <- struct{}{}
	client.want(waited)
	<-s.begun
	done := s.shutdown(t.Context())
	s.awaitShutdown()
	client.send(get)
	s.release <- struct{}{}
	client.want(waited)
	client.want(last)
	client.wantEnd()
	wantNil(t, <-done)
}

// Guards against idle connections that are closed before the end, when a client may just be sending a request.
func TestIdleConnectionStaysOpenUntilItsNextAnswer(t *testing.T) {
	s := newServer(t)
	used, unused := s.dial().send(get), s.dial()
	used.want(kept)
	s.Begin()
	for _, c := range []*client{used, unused, s.dial()} {
		c.send(get).want(last)
		c.wantEnd()
	}
	wantNil(t, s.Shutdown(t.Context()))
}

// Guards against a shutdown that waits for connections without a request.
func TestShutdownClosesIdleConnections(t *testing.T) {
	s := newServer(t)
	used, unused := s.dial().send(get), s.dial()
	used.want(kept)
	await.True(t, "both connections are open", func() bool { return s.limiter.Open() == 2 })
	done := s.shutdown(t.Context())
	used.wantEnd()
	unused.wantEnd()
	wantNil(t, <-done)
}

// Guards against new connections that are closed before their clients have had the time to send a request.
func TestNewConnectionMaySendOneRequestAtShutdown(t *testing.T) {
	s := newServerWith(t, draining.NewServerOptions{FirstRequestTime: time.Hour})
	client := s.dial()
	await.True(t, "the connection is open", func() bool { return s.limiter.Open() == 1 })
	done := s.shutdown(t.Context())
	s.awaitShutdown()
	client.send(get).want(last)
	client.wantEnd()
	wantNil(t, <-done)
}

// Guards against requests that were read and are dropped because their client never stops sending.
func TestEndlessRequestsEndWithAnAnswer(t *testing.T) {
	s := newServer(t)
	client := s.dial().send(wait)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	done := s.shutdown(ctx)
	s.sendUntilLast(client)
	wantNil(t, <-done)
	if got, want := s.Unread(), int64(1); got != want {
		t.Errorf("connections closed with unread bytes: got: %v, want: %v", got, want)
	}
}

// sendUntilLast always sends a further request before the client, which has sent one, is answered, until an answer
// closes the connection.
func (s *server) sendUntilLast(client *client) {
	s.t.Helper()
	for isLast := false; !isLast; {
		select {
		case <-s.begun:
		case <-s.closed:
			s.t.Fatal("connection: got: closed, want: the next request is handled")
		}
		client.send(wait)
		s.release <- struct{}{}
		got := client.answer(http.MethodPost)
		if got.status != http.StatusOK {
			s.t.Fatalf("got: %v, want: status 200", got)
		}
		isLast = got.isClose
	}
	client.wantEnd()
}

// Guards against a request that is dropped because it has not arrived completely when the server shuts down.
func TestRequestThatIsArrivingAtShutdownIsAnswered(t *testing.T) {
	s := newServer(t)
	half := len(wait) - 2
	client := s.dial().send(wait[:half])
	<-s.active
	done := s.shutdown(t.Context())
	s.awaitShutdown()
	client.send(wait[half:])
	<-s.begun
	s.release <- struct{}{}
	client.want(answer{http.StatusOK, "3", true})
	client.wantEnd()
	wantNil(t, <-done)
}

// Guards against a body that is read before its client was told to send it.
func TestExpectedBodyIsRead(t *testing.T) {
	s := newServer(t)
	s.Begin()
	client := s.dial().send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	if got, want := client.answer(http.MethodPost).status, http.StatusContinue; got != want {
		t.Errorf("got: %v, want: %v", got, want)
	}
	client.send("123").want(answer{http.StatusOK, "3", true})
	client.wantEnd()
	wantNil(t, s.Shutdown(t.Context()))
}

// Guards against a malformed request that takes the answers before it along.
func TestMalformedRequestIsRefused(t *testing.T) {
	s := newServer(t)
	client := s.dial().send(wait + "NO REQUEST\r\n\r\n")
	<-s.begun
	s.Begin()
	s.release <- struct{}{}
	client.want(waited)
	if got := client.answer(http.MethodGet); got.status != http.StatusBadRequest || !got.isClose {
		t.Errorf("got: %v, want: status 400 that closes", got)
	}
	client.wantEnd()
	wantNil(t, s.Shutdown(t.Context()))
}

// Guards against clients that keep the server from stopping: one that does not finish a request, and one whose request
// does not end.
func TestShutdownEndsWithItsContext(t *testing.T) {
	s := newServer(t)
	s.dial().send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n")
	s.dial().send(wait)
	<-s.active
	<-s.begun
	ctx, cancel := context.WithCancel(t.Context())
	done := s.shutdown(ctx)
	s.awaitShutdown()
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got: %v, want: %v", err, context.Canceled)
	}
	close(s.release)
	await.True(t, "no connection is open", func() bool { return s.limiter.Open() == 0 })
}

// Guards against requests in progress that are cut, and not answered, when a stop has no time left for them.
func TestRequestInProgressIsAnsweredBeforeTheEndOfAStop(t *testing.T) {
	begun := make(chan struct{})
	s := newServerOf(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	})})
	client := s.dial().send(get)
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := s.shutdown(pastDeadline{ctx})
	client.want(answer{http.StatusGatewayTimeout, "", true})
	client.wantEnd()
	wantNil(t, <-done)
}

// Guards against a last answer that is lost because its client continues to send.
func TestLastAnswerReachesClientThatSends(t *testing.T) {
	s := newServer(t)
	s.Begin()
	client := s.dial().send("POST /unread HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 1000000\r\n\r\n")
	<-s.active
	go func() { _, _ = io.WriteString(client, strings.Repeat("x", 1000000)) }()
	client.want(answer{http.StatusOK, "", true})
	_ = client.Close()
	wantNil(t, s.Shutdown(t.Context()))
}

// Guards against a server that changes anything before it drains.
func TestServingConnectionsStayOpen(t *testing.T) {
	s := newServer(t)
	client := s.dial()
	for range 3 {
		client.send(get).want(kept)
	}
	client.send(get + get)
	client.want(kept)
	client.want(kept)
}

// Guards against a shutdown that fails because nothing was opened.
func TestShutdownWithoutListener(t *testing.T) {
	wantNil(t, draining.NewServer(&http.Server{}, draining.NewServerOptions{}).Shutdown(t.Context()))
}
