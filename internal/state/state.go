// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state

import (
	"net/netip"

	"github.com/leverdyke/leverdyke"
)

const (
	// KeyWindowMillis is how long an idempotency key is valid. A request with
	// an older key is refused, because the state no longer shows whether it has
	// run (decision 0004).
	KeyWindowMillis = 2 * 60 * 60 * 1000
	// KeyClockSkewMillis is how much longer than KeyWindowMillis the state keeps
	// a key. It covers the clock skew between nodes and callers.
	KeyClockSkewMillis = 10 * 60 * 1000
	// MaxIdempotencyKeys bounds the memory for keys: BenchmarkMemory reports
	// 109 bytes for each.
	MaxIdempotencyKeys = 64 << 10
	maxEndedJobs       = 2000
	// maxTasksPerJob bounds the memory that applying a Submit can allocate.
	maxTasksPerJob = 1 << 20
	// memberCleanupThreshold is the number of members from which on a Join
	// removes members that have left.
	memberCleanupThreshold = 64
	maxDocHistory          = 8
)

// State is the result of applying all records up to the offset Applied. It is
// not safe for concurrent use.
type State struct {
	// Applied is the offset of the last applied batch, or -1; it never
	// decreases.
	Applied int64 `msgpack:"a"`
	// Millis is the largest Batch.Millis so far; it never decreases.
	Millis int64 `msgpack:"t"`
	// Members has the latest incarnation of every node that joined. Some of
	// those that have left are removed.
	Members map[NodeID]*Member `msgpack:"m"`
	// Shards has the latest effective claim of each shard; epochs only grow.
	Shards map[ShardID]*Shard `msgpack:"s"`
	// Docs has the current version of each document; versions only grow.
	Docs map[string]*Doc `msgpack:"d"`
	// Jobs has every job that has not ended, and the maxEndedJobs that ended
	// last.
	Jobs map[string]*Job `msgpack:"j"`
	// LastJobNumber is the Number of the last accepted job; it only grows.
	LastJobNumber uint64 `msgpack:"n"`
	// jobsByNumber has the ID of each job in Jobs, by its Number.
	jobsByNumber map[uint64]string
	// EndedJobs lists the IDs of the ended jobs in Jobs, oldest first.
	EndedJobs []string `msgpack:"e"`
	// IdempotencyKeys has the process that recorded each key, until the key
	// expires.
	IdempotencyKeys map[[16]byte]Process `msgpack:"k"`
	// KeyQueue lists the keys in log order, so that expired ones are found at
	// its front.
	KeyQueue []SeenKey `msgpack:"q"`
}

// Member is what the log says about a node: the Join of its latest incarnation,
// and whether that has ended.
type Member struct {
	Incarnation uint64         `msgpack:"i"`
	Link        netip.AddrPort `msgpack:"l"`
	Operators   netip.AddrPort `msgpack:"o"`
	Zone        string         `msgpack:"z"`
	Region      string         `msgpack:"r"`
	HasLeft     bool           `msgpack:"x,omitempty"`
	// Seq is the sequence number of the last batch of this incarnation that was
	// applied; Offset is the offset of that batch.
	Seq    uint64 `msgpack:"s"`
	Offset int64  `msgpack:"f"`
}

// Process identifies one process: an incarnation of a node.
type Process struct {
	Node        NodeID `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// SeenKey is an idempotency key and the value of State.Millis when it was
// recorded.
type SeenKey struct {
	Key    [16]byte `msgpack:"k"`
	Millis int64    `msgpack:"t"`
}

// Shard is the latest effective claim of a shard.
type Shard struct {
	Epoch    uint64   `msgpack:"e"`
	Owner    Process  `msgpack:"o"`
	Deputies []NodeID `msgpack:"d"`
	// PreviousOwners lists the previous owners that the log had not proved to
	// have ended when the claim was applied. Until each of them has ended or has
	// reported that it applied this claim, it may still renew leases.
	PreviousOwners []Process `msgpack:"p"`
	// Offset is the offset of the claim in the log.
	Offset int64 `msgpack:"f"`
}

// Doc is the current version of a document, with the log offset, the author and
// the time of the Publish record that wrote it.
type Doc struct {
	Version uint64       `msgpack:"v"`
	Offset  int64        `msgpack:"o"`
	Author  string       `msgpack:"a"`
	Millis  int64        `msgpack:"t"`
	Body    []byte       `msgpack:"b"`
	History []DocVersion `msgpack:"h"`
}

// DocVersion describes an earlier version of a document, without its body.
// Offset is the log offset of the Publish record that wrote the version, and
// Millis is the wall clock of its writer then, in Unix milliseconds.
type DocVersion struct {
	Version uint64 `msgpack:"v"`
	Offset  int64  `msgpack:"o"`
	Author  string `msgpack:"a"`
	Millis  int64  `msgpack:"t"`
}

// Job is a job whose Submit record took effect.
type Job struct {
	Spec leverdyke.JobSpec `msgpack:"s"`
	// Number counts the accepted jobs, from 1.
	Number      uint64 `msgpack:"u"`
	Offset      int64  `msgpack:"o"`
	Millis      int64  `msgpack:"t"`
	IsCancelled bool   `msgpack:"x,omitempty"`
	IsEnded     bool   `msgpack:"e,omitempty"`
	// TaskStates has one entry for each task; it is nil once the job has ended.
	TaskStates []RecordedState `msgpack:"m"`
	// FinalCounts is the number of tasks that ended in each final state.
	FinalCounts map[leverdyke.TaskState]int `msgpack:"f"`
	// Failures is the number of failed attempts.
	Failures int `msgpack:"n"`
	// Reason says why the job failed; it is empty if the job has not failed.
	Reason string `msgpack:"r"`
}

// RecordedState is what the log says about a task. It takes one byte, since a
// job has up to maxTasksPerJob tasks.
type RecordedState byte

// The recorded states of a task. Those from RecordedSucceeded on are final.
const (
	RecordedNothing RecordedState = iota
	RecordedIntent
	RecordedSucceeded
	RecordedFailed
	RecordedUnknown
)

// IsFinal reports whether the task will not run again.
func (m RecordedState) IsFinal() bool { return m >= RecordedSucceeded }

// NewState returns the empty state before the first record of the log.
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

// IsLive reports whether o is the current incarnation of a member and has not
// left.
func (s *State) IsLive(o Process) bool {
	m := s.Members[o.Node]
	return m != nil && !m.HasLeft && m.Incarnation == o.Incarnation
}

// IsEnded reports whether the log proves that the process o has ended: there is
// a Leave record for it, or a later incarnation of its node has joined.
func (s *State) IsEnded(o Process) bool {
	m := s.Members[o.Node]
	if m == nil {
		return o.Node == ""
	}
	return m.Incarnation > o.Incarnation || (m.Incarnation == o.Incarnation && m.HasLeft)
}
