// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"io"

	"github.com/leverdyke/leverdyke/internal/frame"
)

// ErrFrame means that the bytes on a link are no frame; the link is closed.
var ErrFrame = frame.ErrInvalid

// AppendFrame appends m to buf as one frame.
func AppendFrame(buf []byte, m *Message) ([]byte, error) { return frame.Append(buf, m) }

// ReadFrame reads one frame and returns its length on the wire. Errors other
// than the reader's own are ErrFrame.
func ReadFrame(r io.Reader) (*Message, int, error) {
	m := &Message{}
	n, err := frame.Read(r, m)
	if err != nil {
		return nil, 0, err
	}
	return m, n, nil
}
