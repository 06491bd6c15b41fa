// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package draining

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// bufferBytes is the size of a connection's buffer.
	bufferBytes = 2 << 10
	// lingerTime bounds how long a closed connection waits for its client to close it too.
	lingerTime = 500 * time.Millisecond
)

// conn is a connection that knows whether its client has sent more than the request in progress. For that, it hands
// no byte of a request to the HTTP server before the server has read all of the request before: a read ends with a
// line, where headers and chunked bodies end too, or with the body.
type conn struct {
	net.Conn
	server *Server
	// buffer is used by Read only.
	buffer [bufferBytes]byte

	mu sync.Mutex
	// unread is the part of buffer that the HTTP server has not read.
	unread []byte
	// bodyLeft is how much of a body of known length the HTTP server has not read.
	bodyLeft int64
	// isBetween means that nothing of the next request has been read.
	isBetween bool
	// isHandling means that a request is being handled, hasArrived that its body has been read, and isAhead that the
	// next request has begun to arrive.
	isHandling, hasArrived, isAhead bool
	// isReading means that Read waits for the client, isInterrupted that it shall not.
	isReading, isInterrupted bool
	isClosed                 bool
	// hasBegun means that more of the next request has been read than empty lines.
	hasBegun     bool
	readDeadline time.Time
	// isAborted means that readDeadline is before openedAt, when the connection was accepted: it ends a read whatever has
	// arrived.
	isAborted bool
	openedAt  time.Time
	// changed signals that isReading, isInterrupted, isClosed or readDeadline has changed.
	changed *sync.Cond
}

func newConn(inner net.Conn, s *Server) *conn {
	c := &conn{Conn: inner, server: s, isBetween: true, openedAt: time.Now()}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read reads from the client. Between two requests, it reports the end of the connection if the server shuts down and
// nothing has arrived.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 {
		phase := c.server.current()
		if c.mayEnd(phase) {
			return 0, io.EOF
		}
		if phase >= phaseLast && c.isHandling && c.hasArrived {
			return 0, c.awaitDeadline()
		}
		if direct := min(c.bodyLeft, int64(len(p))); direct >= bufferBytes {
			n, err := c.receive(p[:direct])
			c.bodyLeft -= int64(n)
			return n, err
		}
		n, err := c.receive(c.buffer[:c.receivable(phase)])
		c.unread = c.buffer[:n]
		if n == 0 && err != nil {
			return 0, err
		}
	}
	c.isBetween = false
	if !c.isHandling || len(p) == 1 {
		c.hasBegun = c.hasBegun || len(bytes.Trim(c.unread[:c.readable()], "\r\n")) > 0
	}
	// While a request is handled, the HTTP server reads a single byte to notice that the client has gone. The byte
	// belongs to the next request.
	c.isAhead = c.isAhead || c.isHandling && len(p) == 1
	n := copy(p, c.unread[:c.readable()])
	c.unread = c.unread[n:]
	c.bodyLeft = max(c.bodyLeft-int64(n), 0)
	return n, nil
}

// mayEnd reports whether the connection ends instead of waiting for a request. One that has arrived is read in any phase:
// its client was not told that the connection would close. Some clients send an empty line behind a request.
func (c *conn) mayEnd(p phase) bool {
	isWaiting := c.isBetween && p >= phaseEnding || !c.isHandling && !c.hasBegun && p >= phaseLast
	return isWaiting && !c.canRead()
}

// receivable returns how many bytes may be received at once. In phaseLast none of a further request are.
func (c *conn) receivable(p phase) int64 {
	if p < phaseLast {
		return bufferBytes
	}
	return min(max(c.bodyLeft, 1), bufferBytes)
}

// awaitDeadline waits until the HTTP server ends a read, without reading.
func (c *conn) awaitDeadline() error {
	for !c.isClosed && (c.readDeadline.IsZero() || c.readDeadline.After(time.Now())) {
		c.changed.Wait()
	}
	return os.ErrDeadlineExceeded
}

// receive reads from the connection while it is not locked. A read that was interrupted returns nothing.
func (c *conn) receive(p []byte) (int, error) {
	c.isReading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.isReading = false
	c.changed.Broadcast()
	if c.isInterrupted {
		c.isInterrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
		// The next read may take these bytes before isLast looks.
		c.isAhead = c.isAhead || c.isHandling && c.hasMore()
	} else if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.isAborted {
		n, err = c.readArrived(p)
	}
	// The HTTP server expects the connection's own errors.
	return n, err
}

// readArrived reads bytes that have arrived although the deadline has passed: the process may have been paused. It does
// not wait for any, and returns the error of the deadline if there are none.
func (c *conn) readArrived(p []byte) (int, error) {
	n := 0
	withDescriptor(c.Conn, func(fd int) { n, _, _ = syscall.Recvfrom(fd, p, syscall.MSG_DONTWAIT) })
	if n <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// readable returns how many of the unread bytes may be read at once.
func (c *conn) readable() int {
	if c.bodyLeft > 0 {
		return int(min(c.bodyLeft, int64(len(c.unread))))
	}
	if i := bytes.IndexByte(c.unread, '\n'); i >= 0 {
		return i + 1
	}
	return len(c.unread)
}

// canRead reports whether bytes have arrived that were not read.
func (c *conn) canRead() bool {
	n := 0
	isOpen := withDescriptor(c.Conn, func(fd int) {
		n, _, _ = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return isOpen && n > 0
}

// HasArrived reports whether bytes have arrived that were not read.
func (c *conn) HasArrived() bool { return c.canRead() }

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.isAborted = t, !t.IsZero() && t.Before(c.openedAt)
	c.changed.Broadcast()
	if c.isInterrupted {
		return nil
	}
	// The HTTP server expects the connection's own errors.
	return c.Conn.SetReadDeadline(t)
}

// onPhase ends a read that may have to end, because the phase of the server has changed.
func (c *conn) onPhase() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBetween || c.isHandling && c.hasArrived || !c.isHandling && !c.hasBegun {
		c.interrupt()
	}
}

// interrupt makes Read look again whether it has to wait. The connection must be locked.
func (c *conn) interrupt() {
	if c.isReading && !c.isInterrupted {
		c.isInterrupted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginRequest records that the headers of a request have been read. length is that of its body; negative if it is
// not known.
func (c *conn) beginRequest(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = max(length, 0)
	c.isHandling, c.hasArrived, c.isAhead, c.hasBegun = true, length == 0, false, false
}

// bodyArrived records that the body of a request has been read.
func (c *conn) bodyArrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasArrived = true
}

// endRequest records that a request has been answered and its connection stays open.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHandling, c.isBetween, c.isAhead = false, !c.isAhead, false
}

// isLast reports whether the answer that is about to be sent shall close the connection.
func (c *conn) isLast() bool {
	if c.server.current() == phaseServing {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasArrived {
		return false
	}
	// A read in progress may have taken bytes that are not in unread yet.
	for c.interrupt(); c.isInterrupted; {
		c.changed.Wait()
	}
	c.isAhead = c.isAhead || len(c.unread) > 0 || c.hasMore()
	return !c.isAhead
}

// hasMore reports whether bytes have arrived that are still to be read.
func (c *conn) hasMore() bool { return c.server.current() < phaseLast && c.canRead() }

// CloseWrite closes the sending direction, which the HTTP server does so that a client that is still sending can read
// an answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		if err := w.CloseWrite(); err != nil {
			return fmt.Errorf("draining: %w", err)
		}
	}
	return nil
}

// Close closes the connection. While the server drains, the client can still read the last answer, even if it sends
// more.
func (c *conn) Close() error {
	c.mu.Lock()
	isFirst := !c.isClosed
	c.isClosed = true
	c.changed.Broadcast()
	isUnread := len(c.unread) > 0 || c.canRead()
	c.mu.Unlock()
	p := c.server.current()
	if isFirst && isUnread && p > phaseServing {
		c.server.unread.Add(1)
	}
	if isFirst && p > phaseServing && p < phaseClosed {
		go c.runLinger()
		return nil
	}
	return c.close()
}

// runLinger closes the sending direction and, when the client has done the same, the connection. A connection that is
// closed with bytes unread would be reset, and the client could lose the last answer.
func (c *conn) runLinger() {
	if c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.close()
}

func (c *conn) close() error {
	defer c.server.remove(c)
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("draining: %w", err)
	}
	return nil
}
