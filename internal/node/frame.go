// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"io"

	"github.com/leverdyke/leverdyke/internal/frame"
)

// ErrFrame means that a peer sent a malformed frame. The link is closed, since the
// start of the next frame is unknown.
var ErrFrame = frame.ErrInvalid

// AppendFrame appends m to buf, encoded as one frame.
func AppendFrame(buf []byte, m *Message) ([]byte, error) { return frame.Append(buf, m) }

// ReadFrame reads one frame and returns its message and its length on the wire. An
// error wraps either the reader's own or ErrFrame.
func ReadFrame(r io.Reader) (*Message, int, error) {
	m := &Message{}
	n, err := frame.Read(r, m)
	if err != nil {
		return nil, 0, err
	}
	return m, n, nil
}
