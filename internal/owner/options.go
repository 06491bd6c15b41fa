// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package owner runs the engine that decides for a shard: it carries out its
// actions, keeps what must last in the platform's store, and stops as soon as
// this node may no longer be the owner.
package owner

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/carrier"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Workers gives orders to workers, as carriers do. Implementations are safe for concurrent
// use.
type Workers interface {
	carrier.Workers
	// Close ends the connections that are kept for later orders. It is called when
	// the ownership ends: a worker takes connections of a few nodes only.
	Close()
}

// List is the platform's list of workers. It is called by one goroutine.
type List interface {
	// Workers returns the whole list.
	Workers(ctx context.Context) ([]order.Worker, error)
}

// Lanes are the ways to the service that permits workers.
type Lanes interface {
	// Names returns the lanes that can be used now.
	Names() []string
	Ask(ctx context.Context, lane string, step work.StepID, workers []order.WorkerID) ([]order.Permit, time.Duration, error)
}

// Metrics takes the figures of an owner. Implementations are safe for concurrent
// use.
type Metrics interface {
	OrderAnswered(kind, outcome string, took time.Duration)
	Appended(outcome string, took time.Duration)
}

// Claim is what this node has won.
type Claim struct {
	// Record is what stands in the store.
	Record Record
	// Offset is where it stands; its epoch is one above.
	Offset uint64
	// Earlier is the record that it replaced; nil when there was none.
	Earlier *Record
	// IsExact means that the earlier owner is known to have kept the place of each
	// task before it ordered the start.
	IsExact bool
	// IsOver means that the earlier owner is known to have stopped: it renews no
	// lease any more.
	IsOver bool
}

// Options configures an Owner. All but Log, Carriers and OwnWorkers are required.
type Options struct {
	Claim   Claim
	Store   store.Log
	Workers Workers
	List    List
	Lanes   Lanes
	// Carriers are the nodes that can talk to workers for this one; nil means none.
	Carriers Carriers
	// OwnWorkers is how many workers this node talks to itself where others can carry; 0
	// means all.
	OwnWorkers int
	Clock      clock.Service
	Log        func(e events.Event, keysAndValues ...any)
	// Metrics takes figures.
	Metrics Metrics
	// Strongest returns the strength of the strongest node known.
	Strongest func() float64
	// HasOutage reports whether most nodes are linked to this one and none reaches
	// the store. Then no other node can become owner, and this one goes on.
	HasOutage func() bool
	NodeZone  string
	// StopTime is the longest that a worker takes to stop a task.
	StopTime time.Duration
	// Heartbeat is the time between two heartbeats of a worker; 0 when not known.
	Heartbeat time.Duration
}

// Durations.
const (
	// BeatPeriod is the time between two records in the store that this node is
	// the owner. Others claim when one is overdue, so that it bounds how long the
	// shard is without an owner; at an answer in 4 ms the calls cost little.
	BeatPeriod = 300 * time.Millisecond
	// TrustPeriod is how long after the last such record this node acts as owner.
	// It covers two beats at a slow store (0.4 s an answer) that are lost, and
	// what the outage of the store counts after its end.
	TrustPeriod = 3 * time.Second
	// leaseRest is the longest that a lease runs from its last renewal: 6 s, 4% and
	// the worker's own slack. leaseBound is the longest that a lease given by an
	// earlier owner may still run: it may renew leases while it trusts itself.
	leaseRest  = 6240*time.Millisecond + 300*time.Millisecond
	leaseBound = TrustPeriod + leaseRest
	// listPeriod is the time between two looks at the list of workers, well under
	// the time within which a leaving worker must get nothing new (2 s).
	listPeriod = 400 * time.Millisecond
	// listGrace is how long after the list could not be read it may lack workers
	// that live: they are back within about two seconds.
	listGrace = 2300 * time.Millisecond
	// tickPeriod is the granularity of what is due by time alone.
	tickPeriod = 20 * time.Millisecond
	// writeTimeout bounds one try to append or to read, as long as nothing moves: a
	// slow store takes 0.4 s.
	writeTimeout = 1500 * time.Millisecond
	// writeRetry is the pause before an append is tried again.
	writeRetry = 100 * time.Millisecond
	// handOverBound is how long a hand-over waits for orders and appends: longer
	// than any order takes.
	handOverBound = 500 * time.Millisecond
	// totalsPeriod is the time between two lines with the engine's totals.
	totalsPeriod = 10 * time.Second
	// customersPeriod is the time between two looks at what customers use of their limits, and
	// maxCustomersTold how many are told.
	customersPeriod  = time.Second
	maxCustomersTold = 50
	// retryAfter is when a refused caller should come back, in seconds; outRetry
	// while the store is out, which lasts for seconds: callers come back a few
	// times only.
	retryAfter = 1
	outRetry   = 3
	// eventsBound is how many events may wait for the loop.
	eventsBound = 8192
	// batchBytes is about how much one append carries; the store takes 2 MB.
	batchBytes = 1 << 20
)

// The topics in the store.
const (
	// TopicOwner has one record: who owns the shard.
	TopicOwner = "owner"
	// TopicJobs has the jobs and their progress.
	TopicJobs = "jobs"
	// KeyOwner is the key of the record in TopicOwner.
	KeyOwner = "0"
	// writerName is the identity under which the owner appends.
	writerName = "shard-0"
)
