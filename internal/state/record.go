// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package state is the replicated state machine of the nodes. Every node reads
// the same log and applies its records in order to a State: members, shard
// owners, documents, jobs and idempotency keys. Applying a record does no I/O
// and reads no clock, so that all nodes reach the same state.
package state

import (
	"fmt"
	"net/netip"

	"github.com/leverdyke/leverdyke/internal/codec"

	"github.com/leverdyke/leverdyke"
)

// NodeID identifies a node: it is the address, as text, at which other nodes
// reach it.
type NodeID string

// ShardID identifies a shard, the unit of ownership: either a rack, or the jobs
// of a group of teams in a region.
type ShardID string

// Batch is the group of records that one append writes to the log.
type Batch struct {
	// Node and Incarnation identify the process that wrote the batch.
	Node        NodeID `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	// Seq numbers the batches of an incarnation from 1. A batch that was
	// appended again after a lost reply has the same Seq, so that the second
	// copy can be ignored.
	Seq uint64 `msgpack:"s"`
	// Millis is the writer's wall clock in Unix milliseconds. It is used to
	// expire entries; which of several records takes effect depends only on
	// their order in the log.
	Millis  int64    `msgpack:"t"`
	Records []Record `msgpack:"r"`
}

// Record is one change to the state. Exactly one field is set.
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

// Join makes a node a member under a new incarnation. It is the first record
// of the first batch that a process writes.
type Join struct {
	Node        NodeID         `msgpack:"n"`
	Incarnation uint64         `msgpack:"i"`
	Link        netip.AddrPort `msgpack:"l"`
	Operators   netip.AddrPort `msgpack:"o"`
	Zone        string         `msgpack:"z"`
	Region      string         `msgpack:"r"`
}

// Leave ends a member's incarnation. It is written only when the process is
// known to have ended: by the process itself when it shuts down, or by a node
// that found the VM missing from the platform's list.
type Leave struct {
	Node        NodeID `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// Claim makes Owner the owner of a shard. The first claim of an epoch in the
// log takes effect; later claims of the same epoch fail with ErrNotFirst.
type Claim struct {
	Shard       ShardID `msgpack:"s"`
	Epoch       uint64  `msgpack:"e"`
	Owner       NodeID  `msgpack:"o"`
	Incarnation uint64  `msgpack:"i"`
	// Deputies are the nodes that may take over a rack, in this order, when its
	// owner fails while the log is unavailable and no claim can be written.
	Deputies []NodeID `msgpack:"d,omitempty"`
}

// LivenessQuery asks Nodes to show through the log that they are running. A
// node writes it when it receives heartbeats from less than half of its region:
// it cannot know then whether those nodes have failed or it is partitioned
// itself. The record does not change the state.
type LivenessQuery struct {
	Nodes []NodeID `msgpack:"o"`
}

// LivenessReply answers a LivenessQuery. It has no fields, because the batch
// that contains it shows that its writer runs and reaches the log.
type LivenessReply struct{}

// Submit accepts a job.
type Submit struct {
	Spec leverdyke.JobSpec `msgpack:"s"`
}

// Cancel ends a job; its tasks that have not ended count as cancelled.
type Cancel struct {
	Job string `msgpack:"j"`
}

// Publish replaces a document if Base is still its version; otherwise it fails
// with ErrConflict.
type Publish struct {
	Doc    string `msgpack:"d"`
	Base   uint64 `msgpack:"b"`
	Body   []byte `msgpack:"y"`
	Author string `msgpack:"a"`
}

// Intent is written before tasks are started that may run at most once. It
// fails with ErrNotFirst if one of them already has an intent or has ended.
type Intent struct {
	Job   string `msgpack:"j"`
	Tasks []int  `msgpack:"t"`
}

// TaskResults records the final state of tasks and how many of their attempts
// failed. It is by far the most frequent record, so writers identify the job by
// Number, which is shorter than Job.
type TaskResults struct {
	// Job or Number is set by the writer. If only Number is, State.Apply sets
	// Job.
	Job      string              `msgpack:"j,omitempty"`
	Number   uint64              `msgpack:"n,omitempty"`
	Tasks    []int               `msgpack:"t"`
	State    leverdyke.TaskState `msgpack:"s"`
	Failures int                 `msgpack:"f,omitempty"`
	// Reason says why the job failed; it is empty if the job has not failed.
	Reason string `msgpack:"r,omitempty"`
}

// IdempotencyKey is written before a request is sent that may run at most once:
// the writer of the batch is about to send the request with Key. The first
// record of a key takes effect; later ones fail with ErrNotFirst.
type IdempotencyKey struct {
	Key [16]byte `msgpack:"k"`
}

// Chunk is a part of a snapshot, which is too large for one record.
type Chunk struct {
	// Base is the offset of the last batch that the snapshot includes.
	Base int64 `msgpack:"b"`
	// Part is the index of this chunk, from 0, among Parts chunks.
	Part  int    `msgpack:"p"`
	Parts int    `msgpack:"n"`
	Data  []byte `msgpack:"d"`
}

// Encode returns the batch in the form in which the log stores it.
func (b *Batch) Encode() ([]byte, error) {
	data, err := codec.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("state: cannot encode a batch: %w", err)
	}
	return data, nil
}

// DecodeBatch is the inverse of Encode. It returns an error, and never panics,
// on malformed input.
func DecodeBatch(data []byte) (*Batch, error) {
	b := &Batch{}
	if err := codec.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("state: cannot decode a batch: %w", err)
	}
	return b, nil
}
