// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state

import (
	"fmt"

	"github.com/leverdyke/leverdyke/internal/codec"
)

const maxChunkBytes = 48 * 1024

// Snapshot returns the state as a sequence of Chunk records. The chunks may be
// appended in several batches.
func (s *State) Snapshot() ([]Record, error) {
	data, err := s.Marshal()
	if err != nil {
		return nil, err
	}
	parts := max((len(data)+maxChunkBytes-1)/maxChunkBytes, 1)
	records := make([]Record, 0, parts)
	for i := range parts {
		end := min((i+1)*maxChunkBytes, len(data))
		records = append(records, Record{Chunk: &Chunk{Base: s.Applied, Part: i, Parts: parts, Data: data[i*maxChunkBytes : end]}})
	}
	return records, nil
}

// Marshal encodes the whole state.
func (s *State) Marshal() ([]byte, error) {
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: cannot encode a snapshot: %w", err)
	}
	return data, nil
}

// Unmarshal is the inverse of Marshal. It returns an error, and never panics, on
// malformed input.
func Unmarshal(data []byte) (*State, error) {
	s := NewState()
	if err := codec.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("state: cannot decode a snapshot: %w", err)
	}
	for id, j := range s.Jobs {
		if j == nil {
			return nil, fmt.Errorf("state: the snapshot has a null entry for job %q", id)
		}
		s.jobsByNumber[j.Number] = id
	}
	return s, nil
}

// Assembler collects the chunks of snapshots until all chunks of one have
// arrived. The zero value is ready to use.
type Assembler struct {
	partials map[snapshotKey]*partialSnapshot
}

// snapshotKey identifies a snapshot: several nodes may write one of the same
// base.
type snapshotKey struct {
	writer Process
	base   int64
	parts  int
}

// partialSnapshot has the data of the chunks that have arrived, by Chunk.Part;
// data has nil for a missing one.
type partialSnapshot struct {
	data     [][]byte
	received int
}

// Add stores a chunk that writer appended. It returns the state of the snapshot
// if this chunk completes it, and nil otherwise. Chunks may arrive in any order
// and more than once.
func (a *Assembler) Add(writer Process, c *Chunk) (*State, error) {
	if c.Parts < 1 || c.Parts > 4096 || c.Part < 0 || c.Part >= c.Parts {
		return nil, fmt.Errorf("state: a snapshot chunk is invalid: part %d of %d, want 0 to parts-1 of at most 4096", c.Part, c.Parts)
	}
	if a.partials == nil {
		a.partials = map[snapshotKey]*partialSnapshot{}
	}
	key := snapshotKey{writer, c.Base, c.Parts}
	p := a.partials[key]
	if p == nil {
		p = &partialSnapshot{data: make([][]byte, c.Parts)}
		a.partials[key] = p
	}
	if p.data[c.Part] == nil {
		p.data[c.Part] = c.Data
		p.received++
	}
	if p.received < c.Parts {
		return nil, nil
	}
	delete(a.partials, key)
	data := []byte{}
	for _, d := range p.data {
		data = append(data, d...)
	}
	return Unmarshal(data)
}
