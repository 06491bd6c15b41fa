// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package draining_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/draining"
)

// Guards against requests that do not fit the buffer of a connection, or whose parts do not end with lines.
func TestPipelinedRequestsOfAnySizeAreAnswered(t *testing.T) {
	header := strings.Repeat("a", 5000)
	chunk := strings.Repeat("x", 10_000)
	for _, c := range []struct {
		name, request string
		want          answer
	}{
		{"header line beyond the buffer", "GET / HTTP/1.1\r\nHost: x\r\nA: " + header + "\r\n\r\n", kept},
		{"request line beyond the buffer", "GET /?" + header + " HTTP/1.1\r\nHost: x\r\n\r\n", kept},
		{"chunk without lines", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(chunk), chunk), answer{http.StatusOK, "10000", false}},
		{"unread chunks", fmt.Sprintf("POST /unread HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(chunk), chunk), answer{http.StatusOK, "", false}},
		{"empty chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", kept},
		{"body as large as the buffer", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2048\r\n\r\n%s", chunk[:2048]), answer{http.StatusOK, "2048", false}},
		{"body as large as the server's buffer", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4096\r\n\r\n%s", chunk[:4096]), answer{http.StatusOK, "4096", false}},
		{"expected body", "POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nExpect: 100-continue\r\n\r\n", answer{http.StatusOK, "", false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			client := s.dial().send(wait + c.request + c.request + get)
			<-s.begun
			s.Begin()
			s.release <- struct{}{}
			client.want(waited)
			client.want(c.want)
			client.want(c.want)
			client.want(last)
			client.wantEnd()
			wantNil(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against reads that wait for a line, or hold bytes back, when requests arrive byte by byte.
func TestRequestsThatArriveByteByByteAreAnswered(t *testing.T) {
	s := newServer(t)
	client := s.dial()
	if err := client.SetNoDelay(true); err != nil {
		t.Fatal(err)
	}
	chunked := "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	go func() {
		for _, b := range []byte(chunked + get + chunked + get) {
			if _, err := client.Write([]byte{b}); err != nil {
				return
			}
		}
	}()
	for range 2 {
		client.want(answer{http.StatusOK, "3", false})
		client.want(kept)
	}
	s.Begin()
	client.send(get).want(last)
	client.wantEnd()
	wantNil(t, s.Shutdown(t.Context()))
}

// Guards against bodies that are held back until a line or their end arrives: the handler must see each part.
func TestPartsOfABodyAreReadAsTheyArrive(t *testing.T) {
	for name, c := range map[string]struct{ header, part, end string }{
		"length": {"Content-Length: 6", "abc", ""},
		"chunks": {"Transfer-Encoding: chunked", "3\r\nabc\r\n", "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan string)
			s := newServerOf(t, &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				for range 2 {
					p := make([]byte, 3)
					if _, err := io.ReadFull(r.Body, p); err != nil {
						t.Error(err)
					}
					read <- string(p)
				}
			})})
			client := s.dial().send("POST / HTTP/1.1\r\nHost: x\r\n" + c.header + "\r\n\r\n")
			for range 2 {
				client.send(c.part)
				if got, want := <-read, "abc"; got != want {
					t.Errorf("got: %v, want: %v", got, want)
				}
			}
			client.send(c.end).want(answer{http.StatusOK, "", false})
		})
	}
}

// Guards against a client whose end goes unnoticed while its request is handled, before and during a stop.
func TestContextEndsWithConnection(t *testing.T) {
	for name, isDraining := range map[string]bool{"serving": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan struct{})
			s := newServerOf(t, &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(begun)
				<-r.Context().Done()
				close(ended)
			})})
			if isDraining {
				s.Begin()
			}
			client := s.dial().send(get)
			<-begun
			_ = client.Close()
			<-ended
			wantNil(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against connections without an end: the timeouts of the HTTP server hold before a stop and during it.
func TestTimeoutsEndConnections(t *testing.T) {
	const half = "GET / HTTP/1.1\r\nHost"
	refused := answer{http.StatusBadRequest, "400 Bad Request", true}
	for name, isDraining := range map[string]bool{"serving": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			begun, release := make(chan struct{}), make(chan struct{})
			s := newServerOf(t, &http.Server{IdleTimeout: 50 * time.Millisecond, ReadHeaderTimeout: 50 * time.Millisecond, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/wait" {
					begun <- struct{}{}
					<-release
				}
			})})
			s.dial().wantEnd()
			partial := s.dial().send(half)
			partial.want(refused)
			partial.wantEnd()
			idle := s.dial().send(get)
			idle.want(answer{http.StatusOK, "", false})
			ahead := s.dial().send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
			<-begun
			if isDraining {
				s.Begin()
			}
			idle.wantEnd()
			ahead.send(half)
			release <- struct{}{}
			ahead.want(answer{http.StatusOK, "", false})
			ahead.want(refused)
			ahead.wantEnd()
			wantNil(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against idle connections that are not closed to make room for others, before a stop and during it.
func TestIdleConnectionMakesRoom(t *testing.T) {
	for name, isDraining := range map[string]bool{"serving": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			clients := []*client{}
			for range maxConns {
				c := s.dial().send(get)
				c.want(kept)
				<-s.idle
				clients = append(clients, c)
			}
			if isDraining {
				s.Begin()
			}
			added := s.dial()
			clients[0].wantEnd()
			added.send(get).want(answer{http.StatusOK, "0", isDraining})
			clients[1].send(get).want(answer{http.StatusOK, "0", isDraining})
			wantNil(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against connections that keep the server from stopping although no request is in progress or arriving on them.
func TestShutdownEndsBesideConnectionsThatHaveNoRequest(t *testing.T) {
	for name, text := range map[string]string{
		"empty line after a request":      wait + "\r\n",
		"request that no handler answers": wait + "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			client := s.dial().send(text)
			<-s.begun
			s.release <- struct{}{}
			client.want(waited)
			if strings.Contains(text, "OPTIONS") {
				client.want(answer{http.StatusOK, "", false})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			wantNil(t, s.Shutdown(ctx))
		})
	}
}

// Guards against an answer that waits for a body that its client sends only when it is told to.
func TestRequestWhoseExpectedBodyIsNotReadIsAnswered(t *testing.T) {
	for name, isDraining := range map[string]bool{"serving": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			if isDraining {
				s.Begin()
			}
			client := s.dial().send("POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
			client.want(answer{http.StatusOK, "", true})
			_ = client.Close()
			wantNil(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against requests that have arrived on an open connection and are dropped when the last phase of a stop begins.
func TestRequestThatArrivesBeforeTheLastPhaseIsAnswered(t *testing.T) {
	held, release, isFirst := make(chan struct{}), make(chan struct{}), atomic.Bool{}
	isFirst.Store(true)
	s := &server{t: t, begun: make(chan struct{}, 10), release: make(chan struct{}), onIdle: func() {
		if isFirst.Swap(false) {
			close(held)
			<-release
		}
	}}
	s.open(&http.Server{Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
	client := s.dial().send(get)
	client.want(kept)
	<-held
	client.send(get)
	endless := s.dial().send(wait)
	done := s.shutdown(pastDeadline{t.Context()})
	s.sendUntilLast(endless)
	close(release)
	client.want(last)
	client.wantEnd()
	wantNil(t, <-done)
}

// pastDeadline is a context that is not done although its deadline has passed.
type pastDeadline struct{ context.Context }

// Deadline returns a time in the past.
func (pastDeadline) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }

// Guards against connections that are reset with a request because the time to accept them passes while the process is
// paused.
func TestConnectionsAreAcceptedAfterAPauseAtShutdown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t}
	s.openOn(&pausedListener{TCPListener: l.(*net.TCPListener), resumed: make(chan struct{})}, &http.Server{Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
	clients := []*client{}
	for range 3 {
		clients = append(clients, s.dial().send(get))
	}
	done := s.shutdown(t.Context())
	for _, c := range clients {
		c.want(last)
		c.wantEnd()
	}
	wantNil(t, <-done)
}

// pausedListener accepts nothing before its first deadline, which has passed by then.
type pausedListener struct {
	*net.TCPListener
	once    sync.Once
	resumed chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	<-l.resumed
	return l.TCPListener.Accept()
}

func (l *pausedListener) SetDeadline(deadline time.Time) error {
	isFirst := false
	l.once.Do(func() { isFirst = true })
	if !isFirst {
		return l.TCPListener.SetDeadline(deadline)
	}
	defer close(l.resumed)
	return l.TCPListener.SetDeadline(time.Unix(1, 0))
}

// Guards against connections that are reset with a request because a timeout passes while the process is paused.
func TestRequestThatHasArrivedIsAnsweredAfterATimeoutPassedInAPause(t *testing.T) {
	for name, isDraining := range map[string]bool{"serving": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s, resumed := &server{t: t}, make(chan struct{})
			s.openOn(&pausedConns{l, resumed}, &http.Server{ReadHeaderTimeout: time.Hour, Handler: http.HandlerFunc(s.serve)}, draining.NewServerOptions{})
			if isDraining {
				s.Begin()
			}
			client := s.dial().send(get)
			close(resumed)
			client.want(answer{http.StatusOK, "0", isDraining})
			_ = client.Close()
			wantNil(t, s.Shutdown(t.Context()))
		})
	}
}

// pausedConns accepts connections from which nothing is read before the first timeout, which has passed by then.
type pausedConns struct {
	net.Listener
	resumed chan struct{}
}

func (l *pausedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{TCPConn: c.(*net.TCPConn), resumed: l.resumed}, nil
}

type pausedConn struct {
	*net.TCPConn
	once    sync.Once
	resumed chan struct{}
}

func (c *pausedConn) Read(p []byte) (int, error) {
	<-c.resumed
	return c.TCPConn.Read(p)
}

func (c *pausedConn) SetReadDeadline(t time.Time) error {
	if t.After(time.Now()) {
		c.once.Do(func() { t = time.Unix(1, 0) })
	}
	return c.TCPConn.SetReadDeadline(t)
}
