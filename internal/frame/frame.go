// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package frame carries values as msgpack with their length in front, the form
// in which nodes talk over TCP.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/leverdyke/leverdyke/internal/codec"
)

// MaxBytes is the longest frame that is sent or taken.
const MaxBytes = 8 << 20

const headerBytes = 4

// ErrInvalid means that the bytes on a link are no frame.
var ErrInvalid = errors.New("frame: bad frame")

// Append appends v to buf as one frame.
func Append(buf []byte, v any) ([]byte, error) {
	data, err := codec.MarshalCompact(v)
	if err != nil {
		return buf, fmt.Errorf("frame: cannot encode: %w", err)
	}
	if len(data) > MaxBytes {
		return buf, fmt.Errorf("%w: %d bytes are more than %d", ErrInvalid, len(data), MaxBytes)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...), nil
}

// Read reads one frame into v and returns its length on the wire. Errors other
// than the reader's own are ErrBad.
func Read(r io.Reader, v any) (int, error) {
	head := [headerBytes]byte{}
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, fmt.Errorf("frame: read: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MaxBytes {
		return 0, fmt.Errorf("%w: a length of %d bytes", ErrInvalid, n)
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
