// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state

import (
	"fmt"

	"github.com/leverdyke/leverdyke/internal/codec"
)

const chunkBytes = 48 * 1024

// Snapshot returns the state as the records of a snapshot, in order.
func (s *State) Snapshot() ([]Record, error) {
	data, err := s.Marshal()
	if err != nil {
		return nil, err
	}
	parts := max((len(data)+chunkBytes-1)/chunkBytes, 1)
	records := make([]Record, 0, parts)
	for i := range parts {
		end := min((i+1)*chunkBytes, len(data))
		records = append(records, Record{Chunk: &Chunk{Base: s.Applied, Part: i, Parts: parts, Data: data[i*chunkBytes : end]}})
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
		s.byNumber[j.Number] = id
	}
	return s, nil
}

// Assembler collects the chunks of snapshots until one is whole. Its zero
// value works.
type Assembler struct {
	sets map[chunkSet]*partial
}

type chunkSet struct {
	writer Owner
	base   int64
	parts  int
}

type partial struct {
	data [][]byte
	got  int
}

// Add takes a chunk and returns the snapshot that it completes, or nil.
func (a *Assembler) Add(writer Owner, c *Chunk) (*State, error) {
	if c.Parts < 1 || c.Parts > 4096 || c.Part < 0 || c.Part >= c.Parts {
		return nil, fmt.Errorf("state: a snapshot has no part %d of %d", c.Part, c.Parts)
	}
	if a.sets == nil {
		a.sets = map[chunkSet]*partial{}
	}
	key := chunkSet{writer, c.Base, c.Parts}
	p := a.sets[key]
	if p == nil {
		p = &partial{data: make([][]byte, c.Parts)}
		a.sets[key] = p
	}
	if p.data[c.Part] == nil {
		p.data[c.Part] = c.Data
		p.got++
	}
	if p.got < c.Parts {
		return nil, nil
	}
	delete(a.sets, key)
	whole := []byte{}
	for _, d := range p.data {
		whole = append(whole, d...)
	}
	return Unmarshal(whole)
}
