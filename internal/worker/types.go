// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package worker is the adapter for backend servers: the commands that the owner of a
// rack sends to its workers, and the workers' reports.
//
// The adapter relies on four properties of a worker. It refuses a command whose epoch
// is lower than the highest that it has seen. It stops a task whose lease has expired
// by the worker's own clock. It starts an attempt only once, however often the command
// to start it arrives. It lists an ended task in its reports until a Sync names the
// task in Forget. Decision 0003 says what is lost if a real worker lacks one of these.
package worker

import (
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke"
)

// ID names a worker VM.
type ID string

// Epoch is the fencing token in the commands of a rack's owner. The epoch of the
// claim to the rack is in the upper bits and the deputy's number in the lowest 8 bits,
// so that a deputy supersedes the owner for which it steps in, and the next claim
// supersedes both. A worker obeys the highest epoch that it has seen.
type Epoch uint64

const deputyBits = 8

// NewEpoch returns the epoch for a claim's owner (deputy is 0) or for its n-th deputy
// (deputy is n, from 1 to 255).
func NewEpoch(claim uint64, deputy int) Epoch {
	return Epoch(claim<<deputyBits | uint64(deputy))
}

// Claim returns the epoch of the claim, without the deputy's number.
func (e Epoch) Claim() uint64 { return uint64(e) >> deputyBits }

// Key identifies an attempt of a task, or a grant of slots.
type Key struct {
	Task leverdyke.TaskID `json:"t"`
	// Attempt numbers the attempts of the task, from 1.
	Attempt uint64 `json:"a"`
}

// String returns the key in the form that logs use: job/index.attempt.
func (k Key) String() string { return fmt.Sprintf("%s/%d.%d", k.Task.Job, k.Task.Index, k.Attempt) }

// TaskState is the state of an attempt as the worker reports it.
type TaskState string

// The states of an attempt on a worker.
const (
	StateRunning      TaskState = "running"
	StateSucceeded    TaskState = "done"
	StateFailed       TaskState = "failed"
	StateStopped      TaskState = "stopped"
	StateCheckpointed TaskState = "checkpointed"
)

// Task is an attempt of a task, or a grant of slots, on a worker. Workers report it in
// full, so that a new owner of the rack learns from the reports all that it needs.
type Task struct {
	Key Key `json:"k"`
	// JobShard is the shard that owns the job; empty for a grant.
	JobShard string `json:"h,omitempty"`
	// Holder is the node to which the slots of a grant are granted; empty for a task.
	Holder string `json:"n,omitempty"`
	// Declared is the size that the job declares for the task; for a grant it is the
	// sum of its slots.
	Declared leverdyke.Resources `json:"e,omitzero"`
	// Usage is the last reported usage, which lags behind the real one; zero means
	// that none has been reported yet.
	Usage leverdyke.Resources `json:"u,omitzero"`
	Class leverdyke.Class     `json:"c,omitempty"`
	// IsOnce forbids preemption, because the task may not be started a second time.
	IsOnce  bool   `json:"o,omitempty"`
	Service string `json:"s,omitempty"`
	// Request is the resources that one request of the service needs.
	Request leverdyke.Resources `json:"q,omitzero"`
	// IsRequestOnce means that requests of the service that change something may not
	// be repeated.
	IsRequestOnce bool          `json:"qo,omitempty"`
	RunTime       time.Duration `json:"d,omitempty"`
	State         TaskState     `json:"st"`
	IsThrottled   bool          `json:"th,omitempty"`
}

// Sync renews the leases of all tasks of a worker and asks for changes of its task
// list.
type Sync struct {
	Epoch Epoch `json:"e"`
	// Incarnation and AsOf are Incarnation and Now of the worker's last report. The
	// leases are renewed until AsOf plus TTL by the worker's own clock, so that a
	// message that was delayed for long renews nothing. An empty Incarnation renews
	// nothing.
	Incarnation string        `json:"b"`
	AsOf        int64         `json:"n"`
	TTL         time.Duration `json:"l"`
	// SinceRevision is the revision of the last report; 0 asks for the full list.
	SinceRevision uint64 `json:"r"`
	// Wait is how long the worker may delay its answer while nothing changes (a long
	// poll).
	Wait time.Duration `json:"w"`
	// Forget names ended tasks that the worker may remove from its list, because their
	// end has been processed.
	Forget []Key `json:"f,omitempty"`
}

// Report is a worker's answer to a Sync.
type Report struct {
	// Incarnation changes when the worker restarts, which ends all its tasks.
	Incarnation string `json:"b"`
	// Now is the time by the worker's own clock in nanoseconds.
	Now int64 `json:"n"`
	// Revision grows with each change of the task list.
	Revision uint64 `json:"r"`
	// IsFullList means that Tasks is the full list. Otherwise Tasks has the changes
	// since Sync.SinceRevision, with only Key, State, Usage and IsThrottled set.
	IsFullList bool `json:"w,omitempty"`
	// IsLeaving means that the platform is about to remove the VM.
	IsLeaving   bool                `json:"x,omitempty"`
	Capacity    leverdyke.Resources `json:"c"`
	Connections int                 `json:"cn,omitempty"`
	Tasks       []Task              `json:"t,omitempty"`
}

// Start makes a worker start new attempts. As in Sync, their leases last until AsOf
// plus TTL by the worker's own clock.
type Start struct {
	Epoch       Epoch         `json:"e"`
	Incarnation string        `json:"b"`
	AsOf        int64         `json:"n"`
	TTL         time.Duration `json:"l"`
	Tasks       []Task        `json:"t"`
}

// StartResult is the result of a Start for one attempt.
type StartResult struct {
	Key Key `json:"k"`
	// Refused is the reason why this command has not started the attempt and will not;
	// empty means that the attempt runs, or has run before.
	Refused string `json:"x,omitempty"`
}

// Action is an action of a worker on a running task.
type Action string

// The actions, the least disruptive first.
const (
	ActionThrottle   Action = "throttle"
	ActionUnthrottle Action = "unthrottle"
	ActionCheckpoint Action = "checkpoint"
	ActionStop       Action = "stop"
)

// Act makes a worker carry out an action on some of its tasks.
type Act struct {
	Epoch  Epoch  `json:"e"`
	Action Action `json:"d"`
	Keys   []Key  `json:"k"`
}

// FencedError means that the worker refused a command because it obeys a higher epoch.
type FencedError struct {
	// Seen is the epoch that the worker obeys.
	Seen Epoch
}

// Error implements the error interface.
func (e *FencedError) Error() string {
	return fmt.Sprintf("worker: command refused as fenced: the worker obeys epoch %d", e.Seen)
}

// ThrottleDivisor is the factor by which throttling reduces the processors of a task.
const ThrottleDivisor = 4

// Charge returns the resources that the task occupies on its worker: for processors
// and memory the larger of declared size and reported usage, since declared sizes are
// often wrong; for slots and accelerators the declared size. A throttled task is
// charged for a quarter of its processors.
func (t *Task) Charge() leverdyke.Resources {
	r := t.Declared.Max(t.Usage)
	r.Slots = t.Declared.Slots
	r.Accelerators = t.Declared.Accelerators
	if t.IsThrottled {
		r.MilliCPU /= ThrottleDivisor
	}
	return r
}
