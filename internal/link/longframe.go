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
	// writeChunk is in bytes.
	writeChunk = 16 << 10
	// shortFrameReads is how many reads of the socket suffice for a frame that has
	// come whole: one fills the buffer of runReads (8 KB), the other brings what is
	// beyond it. A further read means that the frame comes in parts: a long one.
	shortFrameReads = 2
)

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	// ctx is the caller's; what moves for the call is noted in it.
	ctx   context.Context
	reply chan *message
}

// recordProgress gives all calls that wait more time.
func (c *Conn) recordProgress(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.pending {
		progress.Note(call.ctx, bytes)
	}
}

// write sends bytes in pieces, for as long as they leave.
func (c *Conn) write(buf []byte) error {
	for chunk := range slices.Chunk(buf, writeChunk) {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(chunk); err != nil {
			return err
		}
		if len(buf) > len(chunk) {
			c.recordProgress(len(chunk))
		}
	}
	return nil
}

// progressReader reads a connection, and notes what comes of a long frame.
type progressReader struct {
	conn *Conn
	// reads counts those of the frame that comes.
	reads int
}

// beginFrame says that the next frame is read.
func (m *progressReader) beginFrame() { m.reads = 0 }

// Read reads, and notes that bytes of a long frame came.
func (m *progressReader) Read(b []byte) (int, error) {
	n, err := m.conn.conn.Read(b)
	if m.reads++; m.reads > shortFrameReads && n > 0 {
		m.conn.recordProgress(n)
	}
	return n, err
}
