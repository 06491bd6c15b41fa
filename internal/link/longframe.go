// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/progress"
)

// A long frame is one that takes several reads or writes of the socket. Bytes of a long
// frame that are read or written count as progress (see package progress) of all calls
// that wait for a reply on the connection, and so extend their timeouts: the call or
// the reply of any of them may be in this frame, or queued behind it.

const (
	// writeTimeout bounds the write of one chunk, not of a whole frame, so that a long
	// frame gets the time that its size needs. It is ample: a peer in the same region
	// reads within milliseconds, and a link of 10 Mbit/s carries a chunk in 13 ms.
	writeTimeout = 2 * time.Second
	// writeChunk is the size in bytes of the chunks in which data is written.
	writeChunk = 16 << 10
	// shortFrameReads is how many reads of the socket suffice for a frame that has
	// arrived completely: one fills the buffer of readLoop (8 KB), the second gets the
	// rest. A frame that needs a third read is arriving in parts and counts as long.
	shortFrameReads = 2
)

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	// ctx is the caller's context, in which the progress of the call is recorded.
	ctx   context.Context
	reply chan *message
}

// recordProgress records the transfer of bytes as progress of all pending calls, which
// extends their timeouts.
func (c *Conn) recordProgress(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.pending {
		progress.Report(call.ctx, bytes)
	}
}

// write sends buf in chunks, each with a deadline of its own. It fails when a chunk
// does not leave within writeTimeout.
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

// progressReader reads from a connection and records the bytes of long frames as
// progress.
type progressReader struct {
	conn *Conn
	// reads counts the reads for the current frame.
	reads int
}

// beginFrame marks the start of a new frame.
func (m *progressReader) beginFrame() { m.reads = 0 }

// Read implements io.Reader.
func (m *progressReader) Read(b []byte) (int, error) {
	n, err := m.conn.conn.Read(b)
	m.conn.receivedBytes.Add(int64(n))
	if m.reads++; m.reads > shortFrameReads && n > 0 {
		m.conn.recordProgress(n)
	}
	return n, err
}
