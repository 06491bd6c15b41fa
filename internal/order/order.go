// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package order has the data that the scheduling engine exchanges with the code that carries out
// its decisions: workers and their listings, orders to workers and the outcomes of these orders.
package order

import (
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Worker is the entry of a worker in the platform's list.
type Worker struct {
	ID      WorkerID
	Addr    netip.AddrPort
	Machine string
	Zone    string
	Rack    string
	Labels  []string
	// Service names the pool that the worker belongs to.
	Service  string
	Capacity leverdyke.Resources
	// IsDraining means that the worker is leaving: it finishes the tasks that it has and gets
	// no new ones.
	IsDraining bool
	// IsUncertain means that the worker's newest entry is invalid, so that it may come from
	// another writer: the worker gets no new tasks, and those that it runs go on. The other
	// fields are those of its last valid entry. Where there is none, all but ID and Addr are
	// empty, and Addr may be empty too.
	IsUncertain bool
	// HeartbeatAfter is a time after which the worker wrote its last heartbeat; zero when no such
	// time is known.
	HeartbeatAfter time.Time
	// IsRemoved means that the worker's entry has been removed since the list was last passed
	// to the engine.
	IsRemoved bool
}

// Queue is the policy of a queue, from the configuration.
type Queue struct {
	Name string
	// Service names the pool whose workers run the queue's tasks.
	Service string
	// Priority orders the queues; 0 is served first.
	Priority    int
	MaxAttempts int
	// Permission is set when only some workers may run a step; nil means that all may.
	Permission *PermissionPolicy
	// Stretch and TargetLatency make up the time within which a job should end: the duration of
	// its longest chain of steps times Stretch, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
}

// Equal reports whether both have the same policy.
func (q Queue) Equal(other Queue) bool {
	a, b := q, other
	a.Permission, b.Permission = nil, nil
	if a != b || (q.Permission == nil) != (other.Permission == nil) {
		return false
	}
	return q.Permission == nil || *q.Permission == *other.Permission
}

// PermissionPolicy describes the permission service, which answers which workers may run a step.
type PermissionPolicy struct {
	// A call takes BaseTime, plus TimePerWorker for each worker that it names.
	BaseTime      time.Duration
	TimePerWorker time.Duration
	// ValidFor is how long a permit is valid.
	ValidFor time.Duration
}

// WorkerTime is a time on a worker's own monotonic clock.
type WorkerTime time.Duration

// EndKind is how an attempt ended.
type EndKind string

// The kinds of end.
const (
	EndSucceeded EndKind = "done"
	EndFailed    EndKind = "failed"
	EndStopped   EndKind = "stopped"
	// EndLeaseExpired means that the worker ended the attempt because its lease was not renewed.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
)

// Running is an attempt that a worker reports as running.
type Running struct {
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	// Percent is the progress of the attempt. For a long-running task 100 means that it has
	// started up and is working.
	Percent int
	// LoadMetric is the tail latency in ms of a task that serves users. For other tasks it is
	// the CPU usage in thousandths.
	LoadMetric int
}

// End is an attempt that a worker reports as ended.
type End struct {
	// Number is a sequence number: it rises by one with each end of a worker's incarnation.
	Number     uint64
	Task       work.TaskID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// Listing is a worker's report of all that it runs and of the attempts that have ended.
type Listing struct {
	// At is the worker's clock when it answered.
	At WorkerTime
	// OtherIncarnation is the incarnation that sent the listing, where that is not the one that
	// the poll was addressed to; otherwise it is empty.
	OtherIncarnation WorkerID
	Running          []Running
	// Finished are the ends that the worker has not forgotten; with MayLackEnds only some of them,
	// the first ones where it is the first listing.
	Finished    []End
	MayLackEnds bool
}

// FirstEnd returns the lowest number of the listed ends; 0 if there are none.
func (l *Listing) FirstEnd() uint64 {
	first, _ := l.endNumbers()
	return first
}

// endNumbers returns the lowest and the highest number of the listed ends.
func (l *Listing) endNumbers() (first, last uint64) {
	for i := range l.Finished {
		n := l.Finished[i].Number
		if first == 0 || n < first {
			first = n
		}
		last = max(last, n)
	}
	return first, last
}

// HasAllEnds reports whether the listing has all ends that the worker has not forgotten. What it
// does not list has then ended with an end that was confirmed, or was never started.
func (l *Listing) HasAllEnds() bool {
	first, last := l.endNumbers()
	hasGap := len(l.Finished) > 0 && last-first+1 != uint64(len(l.Finished))
	return !l.MayLackEnds && !hasGap
}

// StartOutcome is the outcome of an order to start.
type StartOutcome string

// The outcomes.
const (
	// StartSucceeded means that the attempt runs.
	StartSucceeded StartOutcome = "started"
	// StartRefused means that the attempt does not run and that this order will never start it.
	StartRefused StartOutcome = "refused"
	// StartNoCapacity and StartNoPermit are refusals with these reasons.
	StartNoCapacity StartOutcome = "no-room"
	StartNoPermit   StartOutcome = "no-ticket"
	// StartUnhealthy means that the worker accepts no orders at present.
	StartUnhealthy StartOutcome = "unhealthy"
	// StartFenced means that the worker has seen the fencing token of a later owner and refuses
	// this one's.
	StartFenced StartOutcome = "fenced"
	// StartUnknown means that the order may have been carried out, or may still be.
	StartUnknown StartOutcome = "unknown"
	// StartIncarnationEnded means that this incarnation of the worker has ended.
	StartIncarnationEnded StartOutcome = "life-over"
)

// PollOutcome is the outcome of polling a worker for a listing.
type PollOutcome string

// The outcomes.
const (
	PollAnswered PollOutcome = "listed"
	// PollUnanswered means that no usable answer arrived.
	PollUnanswered PollOutcome = "silent"
	// PollIncarnationEnded means that this incarnation of the worker has ended.
	PollIncarnationEnded PollOutcome = "life-over"
)

// Permit allows a worker to run the tasks of one step. Text is sent to the worker with each order
// to start one of them.
type Permit struct {
	Worker WorkerID
	Text   string
}

// Action is something that the caller of the engine has to carry out.
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
	// Deadline is the end of the worker's lease: the worker ends all its attempts then, unless
	// the lease is renewed before.
	Deadline WorkerTime
	// Generation rises whenever the worker may have restarted, and whenever an order is
	// abandoned: orders of a lower generation are no longer valid. Token combines it with the
	// owner's epoch into the fencing token. Messages between nodes encode structs as arrays, so
	// the field has to stay the last one: it was added after the others.
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

// Pace sets the CPU share with which an attempt works.
type Pace struct {
	Worker  WorkerID
	Addr    netip.AddrPort
	Task    work.TaskID
	Run     uint64
	Percent int
	// Generation is as in Start.
	Generation uint64
}

// QueryPermission asks the permission service, through one channel, which of the workers may run
// a step.
type QueryPermission struct {
	Channel string
	Step    work.StepID
	Workers []WorkerID
	Timeout time.Duration
}

// Poll asks a worker for a listing and renews its lease. The engine expects one answer to each
// poll: either the listing or the report that the poll failed.
type Poll struct {
	Worker WorkerID
	Addr   netip.AddrPort
	// Deadline is the new end of the lease; 0 renews nothing.
	Deadline WorkerTime
	// Confirmed is the number of the last end that is stored: the worker may forget the ends up
	// to it.
	Confirmed uint64
	// Wait is how long the worker may wait for an attempt to end before it answers. The answer
	// may take Timeout longer than that.
	Wait, Timeout time.Duration
	// IsImmediate marks an immediate poll, which is sent beside the worker's long poll.
	IsImmediate bool
	// AskedAt is when the engine created the poll, by the engine's clock: the listing proves
	// nothing about an attempt that was confirmed later.
	AskedAt time.Time
	// Generation is as in Start.
	Generation uint64
}

func (Start) isAction()           {}
func (Stop) isAction()            {}
func (Pace) isAction()            {}
func (QueryPermission) isAction() {}
func (Poll) isAction()            {}
