// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package connbudget bounds the connections that lost nodes leave open at a worker. A worker
// accepts a limited number of connections and does not notice that a peer has lost power: a
// connection on which the worker owes no response stays open for good. Nodes keep such idle
// connections because opening one for each order is expensive. The bound must therefore hold for all
// nodes that ever talked to workers, not for each of them.
package connbudget

const (
	// MaxOpen bounds the connections that a running node opens to one worker.
	MaxOpen = 12
	// MaxSingle bounds those of them that are closed after one request.
	MaxSingle = MaxOpen - maxKept
	// minAccepted is the least number of connections that a worker accepts.
	minAccepted = 64
	// maxLeft bounds Left. Two running nodes may talk to a worker at a time: an owner that has been
	// replaced and does not know it yet, and its successor.
	maxLeft = minAccepted - 2*MaxOpen
	// maxKept bounds the connections to one worker that a node keeps open: one for its long poll
	// and three for orders.
	maxKept = 4
	// keptFraction is the part of the connections not yet left behind that one node may keep.
	keptFraction = 8
)

// Left is how many connections to any one worker lost nodes may have left open. It only grows, and
// never exceeds maxLeft: each node keeps no more than a fraction of what remains.
type Left int

// Kept returns how many connections to each worker the next node may keep open between requests. At
// 0 it closes each connection after one request.
func (l Left) Kept() int {
	remaining := int(maxLeft - l)
	return min((remaining+keptFraction-1)/keptFraction, maxKept)
}

// AfterLoss returns the number after the loss of a node that kept up to kept connections to each
// worker.
func (l Left) AfterLoss(kept int) Left { return min(l+Left(kept), maxLeft) }
