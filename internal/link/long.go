// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/progress"
)

// A long frame is one that takes several reads or writes. While its bytes move, all
// calls that wait on the connection have more time (package progress): the call or
// the reply of each may be in it, or behind it.

const (
	// writeTimeout is how long writePiece may take to leave: a peer in the same
	// region reads within milliseconds, and 10 Mbit/s take 13 ms. A long frame takes
	// as long as its pieces do.
	writeTimeout = 2 * time.Second
	// writePiece is in bytes.
	writePiece = 16 << 10
	// shortFrameReads is how many reads of the socket suffice for a frame that has
	// come whole: one fills the buffer of runReads (8 KB), the other brings what is
	// beyond it. A further read means that the frame comes in parts: a long one.
	shortFrameReads = 2
)

// waiter is a call that waits for its reply.
type waiter struct {
	// ctx is the caller's; what moves for the call is noted in it.
	ctx   context.Context
	reply chan *message
}

// noteMoved gives all calls that wait more time.
func (c *Conn) noteMoved(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.waiting {
		progress.Report(w.ctx, bytes)
	}
}

// write sends bytes in pieces, for as long as they leave.
func (c *Conn) write(buf []byte) error {
	for piece := range slices.Chunk(buf, writePiece) {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(piece); err != nil {
			return err
		}
		if len(buf) > len(piece) {
			c.noteMoved(len(piece))
		}
	}
	return nil
}

// frameMeter reads a connection, and notes what comes of a long frame.
type frameMeter struct {
	conn *Conn
	// reads counts those of the frame that comes.
	reads int
}

// begin says that the next frame is read.
func (m *frameMeter) begin() { m.reads = 0 }

// Read reads, and notes that bytes of a long frame came.
func (m *frameMeter) Read(b []byte) (int, error) {
	n, err := m.conn.conn.Read(b)
	if m.reads++; m.reads > shortFrameReads && n > 0 {
		m.conn.noteMoved(n)
	}
	return n, err
}
