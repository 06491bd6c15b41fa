// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package logbuffer keeps the newest batches of the log in memory, so that a
// node can serve them to peers that lag behind and cannot read the log
// themselves.
package logbuffer

import "github.com/leverdyke/leverdyke/internal/node"

// maxBytes bounds the total size of the buffered batches.
const maxBytes = 256 << 10

// Buffer holds all batches after an offset, without gaps. It is not safe for
// concurrent use.
type Buffer struct {
	entries []node.LogBatch
	// after is the offset of the newest batch that is no longer buffered.
	after int64
	bytes int
}

// NewBuffer returns an empty buffer whose first batch will be the one that
// follows offset after; -1 means that it begins with the log's first batch.
func NewBuffer(after int64) *Buffer { return &Buffer{after: after} }

// Add appends the next batch and drops the oldest ones while the buffer exceeds
// maxBytes. The newest batch is always kept, even if it alone exceeds maxBytes.
func (b *Buffer) Add(offset int64, data []byte) {
	b.entries = append(b.entries, node.LogBatch{Offset: offset, Data: data})
	b.bytes += len(data)
	for b.bytes > maxBytes && len(b.entries) > 1 {
		b.bytes -= len(b.entries[0].Data)
		b.after = b.entries[0].Offset
		// Cleared because the slice's backing array would otherwise keep the
		// data reachable.
		b.entries[0] = node.LogBatch{}
		b.entries = b.entries[1:]
	}
}

// After returns all batches that follow an offset. It returns nil if some of
// them have been dropped, and an empty list if there are none.
func (b *Buffer) After(offset int64) []node.LogBatch {
	if offset < b.after {
		return nil
	}
	batches := []node.LogBatch{}
	for _, e := range b.entries {
		if e.Offset > offset {
			batches = append(batches, e)
		}
	}
	return batches
}
