// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state

import (
	"net/netip"

	"github.com/leverdyke/leverdyke"
)

const (
	// OnceWindowMillis is how long a key is remembered. An older key is
	// refused, since nobody can say whether it ran (decision 0004).
	OnceWindowMillis = 2 * 60 * 60 * 1000
	// OnceSlackMillis is for how much longer than the window the fold keeps a
	// key: it covers how far apart the clocks of nodes and callers may be.
	OnceSlackMillis = 10 * 60 * 1000
	// MaxKeys bounds the remembered keys: 109 bytes each, by BenchmarkMemory.
	MaxKeys      = 64 << 10
	maxEndedJobs = 2000
	// maxTasks bounds what one record of the log can make the fold allocate.
	maxTasks = 1 << 20
	// manyMembers is from how many members on those who left are forgotten.
	manyMembers   = 64
	maxDocHistory = 8
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
	// Numbers is the number of the last accepted job; it only grows.
	Numbers uint64 `msgpack:"n"`
	// byNumber has the remembered jobs.
	byNumber map[uint64]string
	// Ended lists the ended jobs that are still remembered, oldest first.
	Ended []string `msgpack:"e"`
	// Keys has the once-only keys of the window.
	Keys map[[16]byte]Owner `msgpack:"k"`
	// KeyQueue lists the keys in log order, so that ageing costs one pass.
	KeyQueue []KeyAge `msgpack:"q"`
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

// Owner is a process.
type Owner struct {
	Node        NodeID `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// KeyAge is when a key was seen.
type KeyAge struct {
	Key    [16]byte `msgpack:"k"`
	Millis int64    `msgpack:"t"`
}

// Shard is the winning claim of a shard.
type Shard struct {
	Epoch    uint64   `msgpack:"e"`
	Owner    Owner    `msgpack:"o"`
	Deputies []NodeID `msgpack:"d"`
	// Past has the earlier owners that the log had not proved to have ended
	// when the claim was folded. Until each has ended or has said that it
	// folded this claim, one of them may still renew leases.
	Past []Owner `msgpack:"p"`
	// Offset is where the claim stands in the log.
	Offset int64 `msgpack:"f"`
}

// Doc is a document in force.
type Doc struct {
	Version uint64   `msgpack:"v"`
	Offset  int64    `msgpack:"o"`
	Author  string   `msgpack:"a"`
	Millis  int64    `msgpack:"t"`
	Body    []byte   `msgpack:"b"`
	History []Change `msgpack:"h"`
}

// Change is an earlier version of a document.
type Change struct {
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
	// Marks has one byte a task; nil once the job has ended.
	Marks []Mark `msgpack:"m"`
	// Final counts tasks by final state.
	Final map[leverdyke.TaskState]int `msgpack:"f"`
	// Failures counts the failed attempts.
	Failures int `msgpack:"n"`
	// Reason says why the job failed; empty otherwise.
	Reason string `msgpack:"r"`
}

// Mark is what the log knows of a task, in one byte.
type Mark byte

// The marks of a task, from nothing to final.
const (
	MarkNone Mark = iota
	MarkIntended
	MarkDone
	MarkFailed
	MarkUnknown
)

// IsFinal reports whether the task will not run again.
func (m Mark) IsFinal() bool { return m >= MarkDone }

// NewState returns an empty state that precedes the first record.
func NewState() *State {
	return &State{
		Applied: -1,
		Members: map[NodeID]*Member{},
		Shards:  map[ShardID]*Shard{},
		Docs:    map[string]*Doc{},
		Jobs:    map[string]*Job{},
		Keys:    map[[16]byte]Owner{},

		byNumber: map[uint64]string{},
	}
}

// IsLive reports whether o is a member's current incarnation that has not left.
func (s *State) IsLive(o Owner) bool {
	m := s.Members[o.Node]
	return m != nil && !m.HasLeft && m.Incarnation == o.Incarnation
}

// IsEnded reports whether the log proves that the process o has ended: it said
// so, its VM was seen gone, or its address has a later incarnation.
func (s *State) IsEnded(o Owner) bool {
	m := s.Members[o.Node]
	if m == nil {
		return o.Node == ""
	}
	return m.Incarnation > o.Incarnation || (m.Incarnation == o.Incarnation && m.HasLeft)
}
