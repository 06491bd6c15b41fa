// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state

import (
	"fmt"

	"github.com/leverdyke/leverdyke/internal/codec"
)

const maxChunkBytes = 48 * 1024

// Snapshot returns the state as the records of a snapshot, in order.
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

// Marshal returns the state as bytes.
func (s *State) Marshal() ([]byte, error) {
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: cannot encode a snapshot: %w", err)
	}
	return data, nil
}

// Unmarshal reads what Marshal wrote; it never panics on foreign bytes.
func Unmarshal(data []byte) (*State, error) {
	s := NewState()
	if err := codec.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("state: cannot decode a snapshot: %w", err)
	}
	for id, j := range s.Jobs {
		if j == nil {
			return nil, fmt.Errorf("state: the snapshot has no job %q", id)
		}
		s.jobsByNumber[j.Number] = id
	}
	return s, nil
}

// Assembler collects the chunks of snapshots until one is whole. Its zero
// value works.
type Assembler struct {
	partials map[snapshotKey]*partialSnapshot
}

type snapshotKey struct {
	writer Process
	base   int64
	parts  int
}

type partialSnapshot struct {
	data     [][]byte
	received int
}

// Add takes a chunk and returns the snapshot that it completes, or nil.
func (a *Assembler) Add(writer Process, c *Chunk) (*State, error) {
	if c.Parts < 1 || c.Parts > 4096 || c.Part < 0 || c.Part >= c.Parts {
		return nil, fmt.Errorf("state: a snapshot has no part %d of %d", c.Part, c.Parts)
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
