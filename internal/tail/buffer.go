// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package tail keeps the last batches of the log, for peers who lag behind and
// do not reach the log.
package tail

import "github.com/leverdyke/leverdyke/internal/node"

// maxBytes bounds the batches that are kept.
const maxBytes = 256 << 10

// Buffer has the batches after an offset, without gaps. It belongs to one
// goroutine.
type Buffer struct {
	entries []node.LogBatch
	// after is the offset before the first entry.
	after int64
	bytes int
}

// NewBuffer returns an empty buffer that begins after an offset; -1 means with
// the log's first batch.
func NewBuffer(after int64) *Buffer { return &Buffer{after: after} }

// Add appends the next batch, and drops the oldest beyond the bound. The last
// one is always kept.
func (b *Buffer) Add(offset int64, data []byte) {
	b.entries = append(b.entries, node.LogBatch{Offset: offset, Data: data})
	b.bytes += len(data)
	for b.bytes > maxBytes && len(b.entries) > 1 {
		b.bytes -= len(b.entries[0].Data)
		b.after = b.entries[0].Offset
		// The array behind the slice would keep the bytes.
		b.entries[0] = node.LogBatch{}
		b.entries = b.entries[1:]
	}
}

// After returns the batches after an offset; nil when there are none, or when
// some that follow the offset have been dropped.
func (b *Buffer) After(offset int64) []node.LogBatch {
	if offset < b.after {
		return nil
	}
	list := []node.LogBatch{}
	for _, e := range b.entries {
		if e.Offset > offset {
			list = append(list, e)
		}
	}
	return list
}
