// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package delegate lets other nodes, the delegates, talk to workers on behalf of the owner of the
// shard. Only the owner makes decisions. A delegate keeps no state of jobs: it executes each order
// as the owner would, with the owner's fencing token, and returns the outcome. An order whose
// outcome does not arrive counts as unacknowledged, and the owner's engine resolves it with the
// worker as it resolves any order without an answer.
//
// Delegates are needed where there are more workers than one node can talk to: a listing that a
// delegate requests costs the owner a fifth of the time of a listing that it requests itself
// (BenchmarkPoll of package platform against BenchmarkDelegatedPoll).
package delegate

import (
	"github.com/leverdyke/leverdyke/internal/order"
)

// Order is an order to a worker that a delegate executes for the owner. Exactly one of Start, Stop,
// Poll and Pace is set.
type Order struct {
	// ID matches the outcome to the order. It is unique over all orders of all owners.
	ID uint64
	// Start comes without its payload when PayloadKey is not 0. The payload is then in
	// Batch.Payloads, or the delegate received it with an earlier batch.
	Start      *order.Start
	PayloadKey payloadKey
	Stop       *order.Stop
	Poll       *order.Poll
	Pace       *order.Pace
}

// Batch holds the orders that are sent to one delegate in one message.
type Batch struct {
	// Fence is the owner's epoch, which serves as the fencing token.
	Fence uint64
	// Payloads are those of the orders that were not yet sent to the delegate over this link.
	Payloads []string
	Orders   []Order
	// KeptConns is how many connections to each worker the delegate may keep open between orders.
	// Owners of earlier versions do not set it.
	KeptConns int
}

// Outcome is the result of an order.
type Outcome struct {
	ID uint64
	// Start is set for an order to start.
	Start order.StartOutcome
	// At is the worker's clock in its answer to a start or a stop. It is 0 when the worker sent
	// none.
	At order.WorkerTime
	// IsStopKnown reports that the worker answered a stop.
	IsStopKnown bool
	// Poll is set for a poll. Listing is set in addition when the worker's listing arrived.
	Poll    order.PollOutcome
	Listing *order.Listing
	// IsPaced reports that the worker carried out an order to pace. Delegates of earlier versions do not
	// set it.
	IsPaced bool
}
