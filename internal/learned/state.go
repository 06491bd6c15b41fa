// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package learned has the digest of what an owner has learned about queues and workers. The owner
// stores it beside the jobs, so that the next owner does not begin with nothing. The digest is an
// aid only: nothing depends on its being there.
package learned

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Version is the version of the digest that this program writes and reads.
const Version = 1

// MaxAge is the age up to which a digest is used. What is learned changes with the load and with
// the other users of the machines, within minutes.
const MaxAge = 5 * time.Minute

// restoredFraction is how much less an observation of an earlier owner counts than one of this
// owner.
const restoredFraction = 0.5

// State is what an owner has learned.
type State struct {
	// TakenAt is the time of day at which the state was taken, in milliseconds.
	TakenAt time.Time
	// RunTimes and Shares are sorted by queue, and Speeds by worker.
	RunTimes []QueueRunTimes
	Speeds   []WorkerSpeed
	Shares   []QueueShare
}

// QueueRunTimes is how the run times of a queue's tasks compare with the callers' estimates.
type QueueRunTimes struct {
	Queue string
	// Samples is the number of observed tasks.
	Samples int
	// Bias is the mean logarithm of the ratio of run time to estimate, Error the mean absolute
	// deviation from it.
	Bias, Error float64
}

// WorkerSpeed is how long tasks take on a worker compared with a typical one.
type WorkerSpeed struct {
	Worker order.WorkerID
	// Ratio is above 1 on a slow worker. Weight is the number of observations that it comes from.
	Ratio, Weight float64
}

// QueueShare is the share of the workers that are permitted to run the steps of a queue.
type QueueShare struct {
	Queue string
	// Share is from 0 to 1. Weight is the number of workers asked about that it comes from.
	Share, Weight float64
}

// IsEmpty reports whether nothing was learned.
func (s *State) IsEmpty() bool {
	return len(s.RunTimes) == 0 && len(s.Speeds) == 0 && len(s.Shares) == 0
}

// IsCurrent reports whether the state may still be used at that time of day. The clocks of nodes
// may differ, so a state may seem to come from the future by a little.
func (s *State) IsCurrent(timeOfDay time.Time) bool {
	age := timeOfDay.Round(0).Sub(s.TakenAt)
	return -MaxAge <= age && age <= MaxAge
}

// Discounted returns the state with lower weights, so that it counts less than what the next owner
// observes itself.
func (s *State) Discounted() State {
	out := State{TakenAt: s.TakenAt}
	for _, r := range s.RunTimes {
		r.Samples = int(restoredFraction * float64(r.Samples))
		out.RunTimes = append(out.RunTimes, r)
	}
	for _, w := range s.Speeds {
		w.Weight *= restoredFraction
		out.Speeds = append(out.Speeds, w)
	}
	for _, q := range s.Shares {
		q.Weight *= restoredFraction
		out.Shares = append(out.Shares, q)
	}
	return out
}
