// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package order has what the engine and those who carry out its decisions tell
// each other: workers and their words, orders and what became of them.
package order

import (
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Worker is what the platform's list says of a worker.
type Worker struct {
	ID      WorkerID
	Addr    netip.AddrPort
	Machine string
	Zone    string
	Rack    string
	Labels  []string
	// Service names the pool that it serves.
	Service  string
	Capacity leverdyke.Resources
	// IsDraining means that it is leaving: it finishes what it has.
	IsDraining bool
	// IsUncertain means that its newest entry may come from another writer: it gets
	// nothing new, and what it runs goes on. The other fields are those of its last good
	// entry; where there is none, all but ID and Addr are empty, Addr perhaps too.
	IsUncertain bool
	// HeartbeatAt is when a heartbeat of it was seen last; zero when none was.
	HeartbeatAt time.Time
	// IsRemoved means that its entry has been taken out of the list since the list
	// was told last.
	IsRemoved bool
}

// Queue is the policy of a queue, from the configuration.
type Queue struct {
	Name string
	// Service names the pool whose workers run its tasks.
	Service string
	// Priority 0 goes first.
	Priority    int
	MaxAttempts int
	// Permission is set when only some workers may run a step; nil means all may.
	Permission *PermissionPolicy
	// Stretch and Latency make the time that a job should take: its longest
	// chain times Stretch, and Latency.
	Stretch       float64
	TargetLatency time.Duration
}

// PermissionPolicy says what it costs to ask which workers may run a step.
type PermissionPolicy struct {
	// BaseTime and Each are the time of a call: BaseTime and Each for every worker named.
	BaseTime      time.Duration
	TimePerWorker time.Duration
	// ValidFor is how long a permission holds.
	ValidFor time.Duration
}

// WorkerTime is a time on a worker's own steady clock.
type WorkerTime time.Duration

// EndKind is how an attempt ended.
type EndKind string

// The kinds of end.
const (
	EndSucceeded    EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not come.
	EndGangIncomplete EndKind = "alone"
)

// Running is an attempt that a worker says it runs.
type Running struct {
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	// Percent is how far it is; for a lasting task 100 means at work.
	Percent int
	// LoadMetric is the tail latency in ms of a task that serves users, else its use
	// of processors in thousandths.
	LoadMetric int
}

// End is an attempt that a worker says has ended.
type End struct {
	// Number rises by one with each end of a worker's life.
	Number     uint64
	Task       work.TaskID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// Listing is a worker's word on all that it runs.
type Listing struct {
	// At is the worker's clock when it answered.
	At WorkerTime
	// OtherIncarnation is the start that tells it, where that is another one than was asked; else empty.
	OtherIncarnation WorkerID
	Running          []Running
	Finished         []End
}

// StartOutcome is what became of an order to start.
type StartOutcome string

// The outcomes.
const (
	// StartSucceeded means that the attempt runs.
	StartSucceeded StartOutcome = "started"
	// StartRefused means that it does not run and never will by this order.
	StartRefused StartOutcome = "refused"
	// StartNoCapacity and StartNoTicket are refusals with these reasons.
	StartNoCapacity StartOutcome = "no-room"
	StartNoPermit   StartOutcome = "no-ticket"
	// StartUnhealthy means that the worker takes nothing now.
	StartUnhealthy StartOutcome = "unhealthy"
	// StartFenced means that the worker obeys a later owner.
	StartFenced StartOutcome = "fenced"
	// StartUnknown means that the order may be carried out, also later.
	StartUnknown StartOutcome = "unknown"
	// StartIncarnationEnded means that this life of the worker is over.
	StartIncarnationEnded StartOutcome = "life-over"
)

// PollOutcome is what became of asking a worker for a listing.
type PollOutcome string

// The outcomes.
const (
	PollAnswered PollOutcome = "listed"
	// PollUnanswered means that no usable answer came.
	PollUnanswered PollOutcome = "silent"
	// PollIncarnationEnded means that this life of the worker is over.
	PollIncarnationEnded PollOutcome = "life-over"
)

// Permit permits a worker to run the tasks of one step.
type Permit struct {
	Worker WorkerID
	Text   string
}

// Action is something that the caller of the engine has to do.
type Action interface{ isAction() }

// Start orders a worker to start an attempt.
type Start struct {
	Worker     WorkerID
	Addr       netip.AddrPort
	Task       work.TaskID
	Run        uint64
	Payload    string
	Checkpoint string
	Permit     string
	// Deadline is when everything on the worker ends unless it is renewed.
	Deadline WorkerTime
	// Generation rises when the worker may have started again: what was sent before does not
	// count any more. Token makes the fencing token of it and the owner's epoch. In messages
	// between nodes it is the last field, as it came later than the others.
	Generation uint64
}

// Stop orders a worker to stop an attempt.
type Stop struct {
	Worker WorkerID
	Addr   netip.AddrPort
	Task   work.TaskID
	Run    uint64
	// Generation is as in Start.
	Generation uint64
}

// Pace sets the share at which an attempt works.
type Pace struct {
	Worker  WorkerID
	Addr    netip.AddrPort
	Task    work.TaskID
	Run     uint64
	Percent int
	// Generation is as in Start.
	Generation uint64
}

// QueryPermission asks which of the workers may run a step, by one lane.
type QueryPermission struct {
	Channel string
	Step    work.StepID
	Workers []WorkerID
	// Timeout is how long the answer may take.
	Timeout time.Duration
}

// Poll asks a worker for a listing and renews its lease. Each is answered by a
// call of Listed or HoldFailed.
type Poll struct {
	Worker WorkerID
	Addr   netip.AddrPort
	// Deadline is the new end of the lease; 0 renews nothing.
	Deadline WorkerTime
	// Confirmed is the number up to which the worker may forget ends.
	Confirmed uint64
	// Wait is how long the worker may wait for an end before it answers, Timeout
	// how much longer the answer may take.
	Wait, Timeout time.Duration
	// IsImmediate marks a listing at once, beside the one that waits.
	IsImmediate bool
	// AskedAt is when the engine asked, by its time: a listing tells nothing of an
	// attempt that was confirmed later.
	AskedAt time.Time
	// Generation is as in Start.
	Generation uint64
}

func (Start) isAction()           {}
func (Stop) isAction()            {}
func (Pace) isAction()            {}
func (QueryPermission) isAction() {}
func (Poll) isAction()            {}
