// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package owner runs the scheduling engine of a shard: it executes the engine's actions, persists
// its state in the platform's store, and stops as soon as this node may no longer be the owner.
package owner

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Workers sends orders to workers, as delegates do. Implementations are safe for concurrent use.
type Workers interface {
	delegate.Workers
	// Close closes the connections that are kept open for later orders. It is called when the
	// ownership ends, because a worker accepts connections from a few nodes only.
	Close()
}

// List is the platform's list of workers. One goroutine calls Workers, another one DrainedZones.
type List interface {
	// Workers returns the complete list.
	Workers(ctx context.Context) ([]order.Worker, error)
	// DrainedZones returns the names of all availability zones that operators drain, sorted.
	DrainedZones(ctx context.Context) ([]string, error)
}

// PermissionChannels are the nodes through which the permission service can be queried, each with
// one query at a time.
type PermissionChannels interface {
	// Names returns the channels that are usable now.
	Names() []string
	// Query asks through a channel which of the workers may run a step. It returns their permits
	// and for how long these are valid.
	Query(ctx context.Context, channel string, step work.StepID, workers []order.WorkerID) ([]order.Permit, time.Duration, error)
}

// Witnesses are the processes that consent to write-behind. Implementations are safe for concurrent use.
type Witnesses interface {
	// Candidates returns the processes to name as witnesses now: as many as witness.CountOf tells of those that can be. It is
	// not nil.
	Candidates() []string
	// SendConsentRequests asks processes to consent to write-behind in an epoch, without waiting, and calls given for each
	// one that does.
	SendConsentRequests(processes []string, epoch, round uint64, given func(process string))
	// SendConsentWithdrawal tells all processes that the consent of a round is not needed any more.
	SendConsentWithdrawal(epoch, round uint64)
}

// Metrics receives the measurements of an owner. Implementations are safe for concurrent use.
type Metrics interface {
	// OrderAnswered records the outcome of an order to a worker and how long its answer took.
	OrderAnswered(kind, outcome string, took time.Duration)
	// Appended records the outcome of an append to the store and how long it took.
	Appended(outcome string, took time.Duration)
}

// Claim describes an ownership that this node has claimed successfully.
type Claim struct {
	// Record is the record of the claim in the store.
	Record Record
	// Offset is the offset of that record; the record's epoch is one higher.
	Offset uint64
	// Previous is the record that the claim replaced; nil when there was none.
	Previous *Record
	// HasAllPlacements means that the previous owner is known to have persisted the placement of
	// each task before it ordered the start.
	HasAllPlacements bool
	// HasPreviousEnded means that the previous owner is known to have stopped, so that it renews no
	// more leases. Owners before that one may still do so; see areAllPreviousEnded.
	HasPreviousEnded bool
	// ConfirmedAt is when the call of the store was sent that showed this node as the owner, by the
	// node's clock. Zero stands for when the owner runs.
	ConfirmedAt time.Time
}

// areAllPreviousEnded reports whether the previous owner and all owners before it are known to have
// stopped.
func (c *Claim) areAllPreviousEnded() bool {
	return c.Previous == nil || c.HasPreviousEnded && c.Previous.IsOnlyOwner
}

// Options configures an Owner. All fields but Log, Delegates, DirectWorkers, KnownNodes, LinkedNodes,
// MajorityAnsweredAt, LargeJobMemory, RoundMemory, StoreLimits and Witnesses are required.
type Options struct {
	Claim              Claim
	Store              store.Log
	Workers            Workers
	List               List
	PermissionChannels PermissionChannels
	// Delegates are the nodes that can talk to workers on behalf of this one; nil means none.
	Delegates Delegates
	// DirectWorkers is how many workers this node talks to itself while delegates are available; 0
	// means all.
	DirectWorkers int
	// Witnesses are the processes that consent to write-behind; nil means none.
	Witnesses Witnesses
	Clock     clock.Service
	Log       func(e events.Event, keysAndValues ...any)
	// Metrics receives measurements.
	Metrics Metrics
	// MaxStrength returns the strength of the strongest known node.
	MaxStrength func() float64
	// HasStoreOutage reports whether most nodes are linked to this one and none reaches the store.
	// asOf is when the store last confirmed this owner, minNodes at least how many nodes there are.
	// Only a node that is not linked to this one can become the owner then, so this one continues.
	HasStoreOutage func(asOf time.Time, minNodes int) bool
	// MajorityAnsweredAt returns a time at which most nodes still followed this one: that of the last
	// probes that most of them, as HasStoreOutage counts them, have answered; zero if there were none.
	// nil if that is not needed. Probes are sent while NeedsProbes returns true.
	MajorityAnsweredAt func(asOf time.Time, minNodes int) time.Time
	// KnownNodes returns how many nodes this one has known since asOf; nil if that is not needed.
	KnownNodes func(asOf time.Time) int
	// LinkedNodes returns how many nodes are linked to this one, itself included. A node is linked to
	// one owner at a time, and counts for maxFollowerSilence after it was heard from. nil if that is not
	// needed.
	LinkedNodes func() int
	NodeZone    string
	// StopTime is the longest time that a worker takes to stop a task.
	StopTime time.Duration
	// Heartbeat is the time between two heartbeats of a worker; 0 when it is unknown.
	Heartbeat time.Duration
	// LargeJobMemory is how many bytes the jobs may take beyond the ordinary size of each; 0 means
	// without limit.
	LargeJobMemory int64
	// RoundMemory is how many bytes the open rounds of jobs may take beyond one of each job; 0 means a default.
	RoundMemory int64
	// StoreLimits are the bounds of the store.
	StoreLimits StoreLimits
	// Disabled lists mechanisms that are switched off.
	Disabled []dispatch.Mechanism
}

// Timeouts, periods and limits.
const (
	// HeartbeatPeriod is the time between two records in the store that name this node as the
	// owner. Other nodes claim the shard when one is overdue, so the period bounds how long the
	// shard is without an owner. At 4 ms per answer the calls cost little.
	HeartbeatPeriod = 300 * time.Millisecond
	// ConfirmationTimeout is how long this node acts as the owner after the last such record that
	// the store confirmed. It covers the loss of two heartbeats at a slow store (0.4 s per answer),
	// and the time for which an outage of the store still counts after its end.
	ConfirmationTimeout = 3 * time.Second
	// maxOutageOwnership is how long this node acts as the owner after that record while the store
	// has an outage. A successor waits for that long while most nodes may be linked to this one.
	maxOutageOwnership = time.Minute
	// maxFollowerSilence is how long a node that follows another owner now may still count as linked to
	// the previous one.
	maxFollowerSilence = 1500 * time.Millisecond
	// linkingTime is how long after a claim the other nodes may take to link to the new owner.
	linkingTime = 8 * time.Second
	// witnessLinkTime is how long after a claim the other nodes may take to link to the new owner before it goes without
	// them.
	witnessLinkTime = time.Second
	// workerListPeriod is the time between two reads of the worker list, well below the time within
	// which a leaving worker must stop receiving new tasks (2 s).
	workerListPeriod = 400 * time.Millisecond
	// zoneDrainPeriod is the time between two reads of the drained zones. Nothing may be started in a
	// zone some seconds after its drain was acknowledged to the operator.
	zoneDrainPeriod = time.Second
	// workerListGrace is how long after a failed read the list may lack live workers: they are
	// listed again within about two seconds.
	workerListGrace = 2300 * time.Millisecond
	// tickPeriod is the granularity of everything that is due by time alone.
	tickPeriod = 20 * time.Millisecond
	// storeTimeout bounds one append or read while no bytes are transferred: a slow store takes 0.4
	// s to answer.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryDelay is the pause before a failed call of the store is repeated.
	storeRetryDelay = 100 * time.Millisecond
	// maxHoldTime is how long a new job may be held while a call of the store is tried again, instead
	// of being refused because an earlier one failed. Callers do not notice so short a delay.
	maxHoldTime = 50 * time.Millisecond
	// handOverTimeout is how long a hand-over waits for orders and appends: longer than any order
	// takes.
	handOverTimeout = 500 * time.Millisecond
	// totalsPeriod is the time between two log lines with the engine's totals.
	totalsPeriod = 10 * time.Second
	// samplePeriod is the time between two samples of what customers use of their limits and of what
	// was served. maxCustomersReported and maxQueuesReported are how many customers and queues a
	// sample contains.
	samplePeriod         = time.Second
	maxCustomersReported = 50
	maxQueuesReported    = 16
	// retryAfterSeconds is when a refused caller should retry. storeDownRetrySeconds applies while
	// the store is down: an outage lasts for seconds, and the longer delay keeps the number of
	// retries low.
	retryAfterSeconds     = 1
	storeDownRetrySeconds = 3
	// heldCheckInterval is the least time between two checks of held queries. It is short compared
	// with the time that a job's end takes to be persisted.
	heldCheckInterval = 2 * time.Millisecond
	// inboxSize is how many events may wait for the loop.
	inboxSize = 8192
)

// The topics, keys and writers in the store.
const (
	// TopicOwner has one record, which names the owner of the shard.
	TopicOwner = "owner"
	// TopicJobs has the jobs and their progress.
	TopicJobs = "jobs"
	// KeyOwner is the key of the record in TopicOwner.
	KeyOwner = "0"
	// writerName is the name under which every owner appends jobs.
	writerName = "shard-0"
)
