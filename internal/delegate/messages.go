// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package delegate lets other nodes talk to workers for the owner of the shard, which
// alone decides. A carrier keeps nothing: it carries out each order as the owner would,
// with the owner's fence, and tells what became of it. An order whose outcome does not
// come back counts as one without an answer, which the owner's engine settles with the
// worker in any case.
//
// It answers the load of more workers than one node can talk to: a listing that a carrier asks
// for takes a fifth of the owner's time (BenchmarkHold of platform, BenchmarkCarriedHold).
package delegate

import (
	"github.com/leverdyke/leverdyke/internal/order"
)

// Order is what a carrier does for the owner; one of the actions is set.
type Order struct {
	// ID joins the outcome to the order. No two orders have the same, of whichever owner.
	ID uint64
	// Start has no payload when PayloadKey is not 0: then the carrier has had it before,
	// or it is in Batch.Payloads.
	Start      *order.Start
	PayloadKey payloadKey
	Stop       *order.Stop
	Poll       *order.Hold
	Pace       *order.Pace
}

// Batch is what one carrier is to do.
type Batch struct {
	// Fence is the owner's epoch.
	Fence uint64
	// Payloads are those that the carrier has not had.
	Payloads []string
	Orders   []Order
}

// Outcome is what became of an order.
type Outcome struct {
	ID uint64
	// Start is set for an order to start.
	Start order.StartOutcome
	// At is the worker's clock in its answer to a start or a stop, 0 when it told none.
	At order.WorkerTime
	// IsStopKnown means that a stop was answered.
	IsStopKnown bool
	// Poll is set for a listing, Listing when that came.
	Poll    order.HoldOutcome
	Listing *order.Listing
}
