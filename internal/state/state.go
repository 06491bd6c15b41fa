// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state

import (
	"net/netip"

	"github.com/leverdyke/leverdyke"
)

const (
	// KeyWindowMillis is how long a key is remembered. An older key is
	// refused, since nobody can say whether it ran (decision 0004).
	KeyWindowMillis = 2 * 60 * 60 * 1000
	// KeyClockSkewMillis is for how much longer than the window the fold keeps a
	// key: it covers how far apart the clocks of nodes and callers may be.
	KeyClockSkewMillis = 10 * 60 * 1000
	// MaxIdempotencyKeys bounds the remembered keys: 109 bytes each, by BenchmarkMemory.
	MaxIdempotencyKeys = 64 << 10
	maxEndedJobs       = 2000
	// maxTasksPerJob bounds what one record of the log can make the fold allocate.
	maxTasksPerJob = 1 << 20
	// memberCleanupThreshold is from how many members on those who left are forgotten.
	memberCleanupThreshold = 64
	maxDocHistory          = 8
)

// State is the fold of all records up to Applied. It belongs to one goroutine.
type State struct {
	// Applied is the offset of the last folded batch; it never goes back.
	Applied int64 `msgpack:"a"`
	// Millis is the largest writer's clock seen; it never goes back.
	Millis int64 `msgpack:"t"`
	// Members has every node that joined and has not been forgotten.
	Members map[NodeID]*Member `msgpack:"m"`
	// Shards has the winning claim of each shard; epochs only grow.
	Shards map[ShardID]*Shard `msgpack:"s"`
	// Docs has the current version of each document; versions only grow.
	Docs map[string]*Doc `msgpack:"d"`
	// Jobs has every job that has not ended, and the last that have.
	Jobs map[string]*Job `msgpack:"j"`
	// LastJobNumber is the number of the last accepted job; it only grows.
	LastJobNumber uint64 `msgpack:"n"`
	// jobsByNumber has the remembered jobs.
	jobsByNumber map[uint64]string
	// EndedJobs lists the ended jobs that are still remembered, oldest first.
	EndedJobs []string `msgpack:"e"`
	// IdempotencyKeys has the once-only keys of the window.
	IdempotencyKeys map[[16]byte]Process `msgpack:"k"`
	// KeyQueue lists the keys in log order, so that ageing costs one pass.
	KeyQueue []SeenKey `msgpack:"q"`
}

// Member is a node as the log knows it.
type Member struct {
	Incarnation uint64         `msgpack:"i"`
	Link        netip.AddrPort `msgpack:"l"`
	Operators   netip.AddrPort `msgpack:"o"`
	Zone        string         `msgpack:"z"`
	Region      string         `msgpack:"r"`
	HasLeft     bool           `msgpack:"x,omitempty"`
	// Seq is the last batch of this incarnation that was folded, Offset where
	// it stands in the log.
	Seq    uint64 `msgpack:"s"`
	Offset int64  `msgpack:"f"`
}

// Process is a process.
type Process struct {
	Node        NodeID `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// SeenKey is when a key was seen.
type SeenKey struct {
	Key    [16]byte `msgpack:"k"`
	Millis int64    `msgpack:"t"`
}

// Shard is the winning claim of a shard.
type Shard struct {
	Epoch    uint64   `msgpack:"e"`
	Owner    Process  `msgpack:"o"`
	Deputies []NodeID `msgpack:"d"`
	// PreviousOwners has the earlier owners that the log had not proved to have ended
	// when the claim was folded. Until each has ended or has said that it
	// folded this claim, one of them may still renew leases.
	PreviousOwners []Process `msgpack:"p"`
	// Offset is where the claim stands in the log.
	Offset int64 `msgpack:"f"`
}

// Doc is a document in force.
type Doc struct {
	Version uint64       `msgpack:"v"`
	Offset  int64        `msgpack:"o"`
	Author  string       `msgpack:"a"`
	Millis  int64        `msgpack:"t"`
	Body    []byte       `msgpack:"b"`
	History []DocVersion `msgpack:"h"`
}

// DocVersion is an earlier version of a document.
type DocVersion struct {
	Version uint64 `msgpack:"v"`
	Offset  int64  `msgpack:"o"`
	Author  string `msgpack:"a"`
	Millis  int64  `msgpack:"t"`
}

// Job is an accepted job.
type Job struct {
	Spec leverdyke.JobSpec `msgpack:"s"`
	// Number counts the accepted jobs, from 1.
	Number      uint64 `msgpack:"u"`
	Offset      int64  `msgpack:"o"`
	Millis      int64  `msgpack:"t"`
	IsCancelled bool   `msgpack:"x,omitempty"`
	IsEnded     bool   `msgpack:"e,omitempty"`
	// TaskStates has one byte a task; nil once the job has ended.
	TaskStates []RecordedState `msgpack:"m"`
	// FinalCounts counts tasks by final state.
	FinalCounts map[leverdyke.TaskState]int `msgpack:"f"`
	// Failures counts the failed attempts.
	Failures int `msgpack:"n"`
	// Reason says why the job failed; empty otherwise.
	Reason string `msgpack:"r"`
}

// RecordedState is what the log knows of a task, in one byte.
type RecordedState byte

// The marks of a task, from nothing to final.
const (
	RecordedNothing RecordedState = iota
	RecordedIntent
	RecordedSucceeded
	RecordedFailed
	RecordedUnknown
)

// IsFinal reports whether the task will not run again.
func (m RecordedState) IsFinal() bool { return m >= RecordedSucceeded }

// NewState returns an empty state that precedes the first record.
func NewState() *State {
	return &State{
		Applied:         -1,
		Members:         map[NodeID]*Member{},
		Shards:          map[ShardID]*Shard{},
		Docs:            map[string]*Doc{},
		Jobs:            map[string]*Job{},
		IdempotencyKeys: map[[16]byte]Process{},

		jobsByNumber: map[uint64]string{},
	}
}

// IsLive reports whether o is a member's current incarnation that has not left.
func (s *State) IsLive(o Process) bool {
	m := s.Members[o.Node]
	return m != nil && !m.HasLeft && m.Incarnation == o.Incarnation
}

// IsEnded reports whether the log proves that the process o has ended: it said
// so, its VM was seen gone, or its address has a later incarnation.
func (s *State) IsEnded(o Process) bool {
	m := s.Members[o.Node]
	if m == nil {
		return o.Node == ""
	}
	return m.Incarnation > o.Incarnation || (m.Incarnation == o.Incarnation && m.HasLeft)
}
