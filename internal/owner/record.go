// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Record says who owns the shard.
type Record struct {
	Node string         `msgpack:"n"`
	Addr netip.AddrPort `msgpack:"a"`
	// Life tells the processes of one node apart.
	Life string `msgpack:"l"`
	// Epoch is the number of the ownership; it rises with each change.
	Epoch uint64 `msgpack:"e"`
	// Beat counts the records of one ownership.
	Beat uint64 `msgpack:"b"`
	// SentAt is when it was sent, by the owner's time of day, which may differ from
	// that of other nodes.
	SentAt time.Time `msgpack:"t"`
	// Strongest is the strength of the strongest node that the owner knows.
	Strongest float64 `msgpack:"s"`
	// IsUnlogged means that tasks may run in places that are not kept.
	IsUnlogged bool `msgpack:"u"`
	// Listed is how many workers the owner's list had; 0 when it had none yet.
	Listed int `msgpack:"w"`
}

// Age returns how old the record is at that time of day.
func (r *Record) Age(timeOfDay time.Time) time.Duration { return timeOfDay.Round(0).Sub(r.SentAt) }

// ParseRecord reads a Record.
func ParseRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := codec.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("owner: record of the owner: %w", err)
	}
	return r, nil
}

// keys of TopicJobs.
const (
	specPrefix     = "j/"
	progressPrefix = "p/"
)

// encodeBatch returns the records of a batch in parts that fit one append each.
func encodeBatch(b *dispatch.Batch) ([][]store.Record, error) {
	parts := [][]store.Record{{}}
	size := 0
	add := func(key string, value []byte) {
		if size += len(key) + len(value); size > batchBytes && len(parts[len(parts)-1]) > 0 {
			parts = append(parts, nil)
			size = len(key) + len(value)
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], store.Record{Key: key, Value: value})
	}
	// First, as a job that is forgotten may be handed in again in the same batch.
	for _, id := range b.ExpiredJobs {
		add(specPrefix+string(id), nil)
		add(progressPrefix+string(id), nil)
	}
	for _, spec := range b.NewJobs {
		data, err := codec.Marshal(spec)
		if err != nil {
			return nil, err
		}
		add(specPrefix+string(spec.ID), data)
	}
	for id, p := range b.Progress {
		data, err := codec.Marshal(p)
		if err != nil {
			return nil, err
		}
		add(progressPrefix+string(id), data)
		if p.State.IsFinal() {
			// Of a job that is over only the state is asked for.
			add(specPrefix+string(id), nil)
		}
	}
	return parts, nil
}

// kept is a job as the store has it.
type kept struct {
	// spec has only the ID and the customer when the job is over.
	spec     *work.Spec
	progress *work.Progress
	offset   uint64
}

// parseJobs returns the jobs in the order in which they were kept. A record that
// cannot be read is told to bad and left out.
func parseJobs(records []store.Record, bad func(key string, err error)) []*kept {
	byID := map[string]*kept{}
	jobs := []*kept{}
	for i := range records {
		r := &records[i]
		id, ok := strings.CutPrefix(r.Key, specPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		spec := &work.Spec{}
		if err := codec.Unmarshal(r.Value, spec); err != nil {
			bad(r.Key, err)
			continue
		}
		k := &kept{spec: spec, offset: r.Offset}
		byID[id] = k
		jobs = append(jobs, k)
	}
	for i := range records {
		r := &records[i]
		id, ok := strings.CutPrefix(r.Key, progressPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		p := &work.Progress{}
		if err := codec.Unmarshal(r.Value, p); err != nil {
			bad(r.Key, err)
			continue
		}
		if byID[id] == nil && p.State.IsFinal() {
			byID[id] = &kept{spec: &work.Spec{ID: work.JobID(id), Customer: p.Customer}, offset: r.Offset}
			jobs = append(jobs, byID[id])
		}
		if k := byID[id]; k != nil {
			k.progress = p
		}
	}
	return jobs
}
