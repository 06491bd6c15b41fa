// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/leverdyke/leverdyke/internal/codec"
)

// MaxFrameBytes is the longest frame that is sent or taken.
const MaxFrameBytes = 8 << 20

const frameHeaderBytes = 4

// ErrFrame means that the bytes on a link are no frame; the link is closed.
var ErrFrame = errors.New("node: bad frame")

// AppendFrame appends m to buf as one frame.
func AppendFrame(buf []byte, m *Message) ([]byte, error) {
	data, err := codec.MarshalCompact(m)
	if err != nil {
		return buf, fmt.Errorf("node: cannot encode: %w", err)
	}
	if len(data) > MaxFrameBytes {
		return buf, fmt.Errorf("%w: %d bytes are more than %d", ErrFrame, len(data), MaxFrameBytes)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...), nil
}

// ReadFrame reads one frame and returns its length on the wire. Errors other
// than the reader's own are ErrFrame.
func ReadFrame(r io.Reader) (*Message, int, error) {
	head := [frameHeaderBytes]byte{}
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, fmt.Errorf("node: read: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MaxFrameBytes {
		return nil, 0, fmt.Errorf("%w: a length of %d bytes", ErrFrame, n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, 0, fmt.Errorf("node: read: %w", err)
	}
	m := &Message{}
	if err := codec.Unmarshal(data, m); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return m, int(n) + frameHeaderBytes, nil
}
