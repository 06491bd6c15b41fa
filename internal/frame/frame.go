// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package frame encodes the messages between nodes for TCP: each frame is a 4-byte
// big-endian length followed by a value in msgpack.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/leverdyke/leverdyke/internal/codec"
)

// MaxBytes is the length of the longest value that is sent or accepted in a frame.
const MaxBytes = 8 << 20

const headerBytes = 4

// ErrInvalid means that a value does not fit into a frame, or that received bytes are
// no valid frame.
var ErrInvalid = errors.New("frame: invalid frame")

// Append encodes v as one frame and appends it to buf.
func Append(buf []byte, v any) ([]byte, error) {
	data, err := codec.MarshalCompact(v)
	if err != nil {
		return buf, fmt.Errorf("frame: cannot encode: %w", err)
	}
	if len(data) > MaxBytes {
		return buf, fmt.Errorf("%w: the value has %d bytes, the limit is %d", ErrInvalid, len(data), MaxBytes)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...), nil
}

// Read reads one frame into v and returns the number of bytes that the frame took on
// the wire. It wraps and returns the errors of r; bytes that are no valid frame give
// ErrInvalid.
func Read(r io.Reader, v any) (int, error) {
	header := [headerBytes]byte{}
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, fmt.Errorf("frame: read: %w", err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > MaxBytes {
		return 0, fmt.Errorf("%w: length field is %d bytes", ErrInvalid, n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return 0, fmt.Errorf("frame: read: %w", err)
	}
	if err := codec.Unmarshal(data, v); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return int(n) + headerBytes, nil
}
