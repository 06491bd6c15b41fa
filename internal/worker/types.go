// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package worker is the adapter for backend servers: the commands that an
// owner gives and the reports that it gets.
//
// What the adapter assumes of a worker: it refuses commands of a lower epoch
// than it has seen; it ends a task whose lease has run out on its own clock; it
// starts an attempt once, however often it is told; it keeps an ended task in
// its list until it is told to forget it. Decision 0003 says what is lost if a
// real worker lacks one of these.
package worker

import (
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke"
)

// ID names a worker VM.
type ID string

// Epoch orders the owners of a rack: the claim's epoch, then the deputy's
// place. A worker obeys the highest that it has seen.
type Epoch uint64

const deputyBits = 8

// NewEpoch returns the epoch of a claim for its owner (deputy 0) or for its
// n-th deputy (from 1 to 255).
func NewEpoch(claim uint64, deputy int) Epoch {
	return Epoch(claim<<deputyBits | uint64(deputy))
}

// Claim returns the claim's part of the epoch.
func (e Epoch) Claim() uint64 { return uint64(e) >> deputyBits }

// Key names an attempt of a task, or a grant of slots.
type Key struct {
	Task leverdyke.TaskID `json:"t"`
	// Attempt grows with each attempt of the task, from 1.
	Attempt uint64 `json:"a"`
}

// String returns the key as logs show it.
func (k Key) String() string { return fmt.Sprintf("%s/%d.%d", k.Task.Job, k.Task.Index, k.Attempt) }

// TaskState is what the worker says of an attempt.
type TaskState string

// The states of an attempt on a worker.
const (
	StateRunning      TaskState = "running"
	StateSucceeded    TaskState = "done"
	StateFailed       TaskState = "failed"
	StateStopped      TaskState = "stopped"
	StateCheckpointed TaskState = "checkpointed"
)

// Task is an attempt, with all that a new owner must know of it.
type Task struct {
	Key Key `json:"k"`
	// JobShard is the shard that decides about the job; empty for a grant.
	JobShard string `json:"h,omitempty"`
	// Holder is the node that uses a grant; empty for a task.
	Holder string `json:"n,omitempty"`
	// Declared is the declared size; a grant's is the sum of its slots.
	Declared leverdyke.Resources `json:"e,omitzero"`
	// Usage is the last reported use, which lags; zero means none yet.
	Usage leverdyke.Resources `json:"u,omitzero"`
	Class leverdyke.Class     `json:"c,omitempty"`
	// IsOnce forbids preemption: the task may not start again.
	IsOnce  bool   `json:"o,omitempty"`
	Service string `json:"s,omitempty"`
	// Request is what one request of the service needs.
	Request       leverdyke.Resources `json:"q,omitzero"`
	IsRequestOnce bool                `json:"qo,omitempty"`
	RunTime       time.Duration       `json:"d,omitempty"`
	State         TaskState           `json:"st"`
	IsThrottled   bool                `json:"th,omitempty"`
}

// Sync renews the leases of all of a worker's tasks and asks for news.
type Sync struct {
	Epoch Epoch `json:"e"`
	// Incarnation and AsOf repeat the last report's. Leases are renewed to AsOf plus
	// TTL on the worker's own clock, so that a message that was under way for
	// long renews nothing. An empty Incarnation renews nothing.
	Incarnation string        `json:"b"`
	AsOf        int64         `json:"n"`
	TTL         time.Duration `json:"l"`
	// SinceRevision is the last revision known; 0 asks for the whole list.
	SinceRevision uint64 `json:"r"`
	// Wait is how long the worker may hold the answer when nothing changed.
	Wait   time.Duration `json:"w"`
	Forget []Key         `json:"f,omitempty"`
}

// Report is a worker's answer to a Sync.
type Report struct {
	// Incarnation changes when the worker restarts, which ends all its tasks.
	Incarnation string `json:"b"`
	// Now is the worker's clock in nanoseconds.
	Now int64 `json:"n"`
	// Revision grows with each change of the list.
	Revision uint64 `json:"r"`
	// IsFullList says that Tasks is the whole list, not the changes since Seen, of
	// which only Key, State, Usage and IsThrottled are set.
	IsFullList  bool                `json:"w,omitempty"`
	IsLeaving   bool                `json:"x,omitempty"`
	Capacity    leverdyke.Resources `json:"c"`
	Connections int                 `json:"cn,omitempty"`
	Tasks       []Task              `json:"t,omitempty"`
}

// Start gives new attempts to a worker, under the lease that AsOf and TTL say.
type Start struct {
	Epoch       Epoch         `json:"e"`
	Incarnation string        `json:"b"`
	AsOf        int64         `json:"n"`
	TTL         time.Duration `json:"l"`
	Tasks       []Task        `json:"t"`
}

// StartResult says what became of one attempt.
type StartResult struct {
	Key Key `json:"k"`
	// Refused is why it was not and will not be started by this command; empty
	// means that it runs, or ran before.
	Refused string `json:"x,omitempty"`
}

// Action is something that a worker does to a running task.
type Action string

// The deeds, gentlest first.
const (
	ActionThrottle   Action = "throttle"
	ActionUnthrottle Action = "unthrottle"
	ActionCheckpoint Action = "checkpoint"
	ActionStop       Action = "stop"
)

// Act tells a worker to do something to its tasks.
type Act struct {
	Epoch  Epoch  `json:"e"`
	Action Action `json:"d"`
	Keys   []Key  `json:"k"`
}

// FencedError says that the worker obeys a higher epoch.
type FencedError struct {
	// Seen is the epoch that the worker obeys.
	Seen Epoch
}

// Error returns the text of the error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("worker: fenced: the worker obeys epoch %d", e.Seen)
}

// ThrottleDivisor is by how much a throttled task's processors shrink.
const ThrottleDivisor = 4

// Charge is what the task counts for on its worker: the larger of what was
// declared and what was reported, since declared sizes are often wrong. A
// throttled task's processors count by the quarter.
func (t *Task) Charge() leverdyke.Resources {
	r := t.Declared.Max(t.Usage)
	r.Slots = t.Declared.Slots
	r.Accelerators = t.Declared.Accelerators
	if t.IsThrottled {
		r.MilliCPU /= ThrottleDivisor
	}
	return r
}
