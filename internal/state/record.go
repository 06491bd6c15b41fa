// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package state folds the log's records into the table that every node shares:
// members, owners, documents, jobs and once-only keys. The fold is pure: the
// same records in the same order give the same state on every node.
package state

import (
	"fmt"
	"net/netip"

	"github.com/leverdyke/leverdyke/internal/codec"

	"github.com/leverdyke/leverdyke"
)

// NodeID names a node; it is the node's own link address as text.
type NodeID string

// ShardID names what a node can own: a rack, or a bucket of teams in a region.
type ShardID string

// Batch is the unit that is appended to the log.
type Batch struct {
	// Node and Incarnation say which process wrote the batch.
	Node        NodeID `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	// Seq grows by one with each batch of an incarnation, from 1; a copy that
	// was appended twice has the same Seq.
	Seq uint64 `msgpack:"s"`
	// Millis is the writer's wall clock in Unix milliseconds; it only ages
	// entries out and never decides a race.
	Millis  int64    `msgpack:"t"`
	Records []Record `msgpack:"r"`
}

// Record is one change. Exactly one field is set.
type Record struct {
	Join           *Join           `msgpack:"j,omitempty"`
	Leave          *Leave          `msgpack:"l,omitempty"`
	Claim          *Claim          `msgpack:"c,omitempty"`
	Submit         *Submit         `msgpack:"s,omitempty"`
	Cancel         *Cancel         `msgpack:"x,omitempty"`
	Publish        *Publish        `msgpack:"p,omitempty"`
	Intent         *Intent         `msgpack:"i,omitempty"`
	TaskResults    *TaskResults    `msgpack:"f,omitempty"`
	IdempotencyKey *IdempotencyKey `msgpack:"o,omitempty"`
	Chunk          *Chunk          `msgpack:"k,omitempty"`
	LivenessQuery  *LivenessQuery  `msgpack:"d,omitempty"`
	LivenessReply  *LivenessReply  `msgpack:"h,omitempty"`
}

// Join makes a node a member under a new incarnation.
type Join struct {
	Node        NodeID         `msgpack:"n"`
	Incarnation uint64         `msgpack:"i"`
	Link        netip.AddrPort `msgpack:"l"`
	Operators   netip.AddrPort `msgpack:"o"`
	Zone        string         `msgpack:"z"`
	Region      string         `msgpack:"r"`
}

// Leave ends a member's incarnation. Whoever writes it knows that the process
// has ended: the process itself, or a node that saw its VM gone.
type Leave struct {
	Node        NodeID `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// Claim makes Owner the owner of a shard. The first claim of an epoch wins.
type Claim struct {
	Shard       ShardID `msgpack:"s"`
	Epoch       uint64  `msgpack:"e"`
	Owner       NodeID  `msgpack:"o"`
	Incarnation uint64  `msgpack:"i"`
	// Deputies may keep a rack's work alive, in this order, when the owner
	// dies while the log is out.
	Deputies []NodeID `msgpack:"d,omitempty"`
}

// LivenessQuery asks nodes whether they live: its writer hears neither them nor most
// others. It changes nothing.
type LivenessQuery struct {
	Nodes []NodeID `msgpack:"o"`
}

// LivenessReply answers a Doubt. Its batch says all: its writer lives and reaches the
// log.
type LivenessReply struct{}

// Submit accepts a job.
type Submit struct {
	Spec leverdyke.JobSpec `msgpack:"s"`
}

// Cancel ends a job.
type Cancel struct {
	Job string `msgpack:"j"`
}

// Publish replaces a document, if Base is still its version.
type Publish struct {
	Doc    string `msgpack:"d"`
	Base   uint64 `msgpack:"b"`
	Body   []byte `msgpack:"y"`
	Author string `msgpack:"a"`
}

// Intent says that tasks that may not be repeated are about to start.
type Intent struct {
	Job   string `msgpack:"j"`
	Tasks []int  `msgpack:"t"`
}

// TaskResults says how tasks ended, and how many attempts failed on the way. It is
// by far the most frequent record, so that it names its job by number.
type TaskResults struct {
	// Job is set by the fold from Number; a writer sets either.
	Job      string              `msgpack:"j,omitempty"`
	Number   uint64              `msgpack:"n,omitempty"`
	Tasks    []int               `msgpack:"t"`
	State    leverdyke.TaskState `msgpack:"s"`
	Failures int                 `msgpack:"f,omitempty"`
	// Reason says why the job failed; empty otherwise.
	Reason string `msgpack:"r,omitempty"`
}

// IdempotencyKey says that Node is about to send the request with Key, which may not be
// repeated. The first record of a key wins.
type IdempotencyKey struct {
	Key [16]byte `msgpack:"k"`
}

// Chunk is a part of a snapshot.
type Chunk struct {
	// Base is the last offset that the snapshot contains.
	Base  int64  `msgpack:"b"`
	Part  int    `msgpack:"p"`
	Parts int    `msgpack:"n"`
	Data  []byte `msgpack:"d"`
}

// Encode returns the batch as bytes for the log.
func (b *Batch) Encode() ([]byte, error) {
	data, err := codec.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("state: cannot encode a batch: %w", err)
	}
	return data, nil
}

// DecodeBatch reads what Encode wrote; it never panics on foreign bytes.
func DecodeBatch(data []byte) (*Batch, error) {
	b := &Batch{}
	if err := codec.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("state: cannot decode a batch: %w", err)
	}
	return b, nil
}
