// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package bodybudget

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// firstBytes is the size of the first buffer of a body whose length is not known to be smaller.
const firstBytes = 2 << 10

// firstSize returns the size of the first buffer: one byte more than the body, so that its end is
// read without growing, but at most firstBytes.
func firstSize(longest int64) int {
	if longest < 0 || longest >= firstBytes {
		return firstBytes
	}
	return int(longest) + 1
}

// ReadAll reads a body to its end. Its buffer grows as bytes arrive, whatever length the sender has
// announced, and the lease is resized before the buffer grows. longest is the length that the body
// has at most; negative if that is not known.
func ReadAll(ctx context.Context, r io.Reader, longest int64, l *Lease) ([]byte, error) {
	buf := make([]byte, 0, firstSize(longest))
	for {
		if len(buf) == cap(buf) {
			var err error
			if buf, err = grow(ctx, buf, longest, l); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, l.Arrived()
		}
		if err != nil {
			if l.wasAborted() {
				return nil, ErrAborted
			}
			return nil, fmt.Errorf("bodybudget: %w", err)
		}
	}
}

// grow returns a copy of buf with a larger capacity. While it is copied, both take memory.
func grow(ctx context.Context, buf []byte, longest int64, l *Lease) ([]byte, error) {
	size := 2 * cap(buf)
	if longest >= int64(cap(buf)) && longest < int64(size) {
		// One byte more, so that the end is read without growing again.
		size = int(longest) + 1
	}
	if err := l.Resize(ctx, int64(size+cap(buf))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	return grown, l.Resize(ctx, int64(size))
}

func (l *Lease) wasAborted() bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.isAborted
}
