// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package firstread decides when a node that has just started reads the configuration from the store
// for the first time. It does no I/O and reads no clock; the caller passes the current time.
//
// It answers the load of all nodes starting at the same moment. What they read grows with their
// number, and the store's bandwidth is shared: the new owner, which can start no task before it has
// read the jobs and the list of workers, would wait behind the configurations of all others. These
// get the configuration from the owner, compressed, and read the store later, spread over time.
package firstread

import "time"

const (
	// ownerTimeout is how long a node waits for a configuration from an owner before it reads the
	// store itself.
	ownerTimeout = 400 * time.Millisecond
	// spreadTime is the time over which the first reads of nodes are spread that have got a
	// configuration from the owner. It is short enough that a node reads the store itself before
	// the deadline by which an acknowledged change has to be in force on a node that has started.
	spreadTime = time.Second
)

// Schedule is the time of a node's first read.
type Schedule struct {
	startedAt time.Time
	// fraction is drawn from 0 to 1: which part of a period of spreading the node waits.
	fraction     float64
	isCandidate  bool
	isConfigured bool
}

// NewSchedule returns the schedule of a node that starts now. fraction is a random number from 0 to
// 1.
func NewSchedule(now time.Time, fraction float64) *Schedule {
	return &Schedule{startedAt: now, fraction: fraction}
}

// SetCandidate records that the node tries to become the owner: it needs the configuration at once.
func (s *Schedule) SetCandidate() { s.isCandidate = true }

// SetConfigured records that the node has got a configuration from the owner.
func (s *Schedule) SetConfigured() { s.isConfigured = true }

// At returns the time of the first read.
func (s *Schedule) At() time.Time {
	switch {
	case s.isCandidate:
		return s.startedAt
	case s.isConfigured:
		return s.startedAt.Add(ownerTimeout + time.Duration(s.fraction*float64(spreadTime)))
	}
	return s.startedAt.Add(ownerTimeout)
}
