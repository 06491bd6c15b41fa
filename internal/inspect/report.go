// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package inspect shows operators what the scheduler does now: what tasks wait for, which jobs were
// refused and until when, and how fast the workers are. The owner of the shard answers; other nodes
// name it.
package inspect

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Report is the state of the scheduler at one moment.
type Report struct {
	// Node is the owner of the shard, Epoch the number of its ownership.
	Node  string    `json:"node"`
	Epoch uint64    `json:"epoch"`
	At    time.Time `json:"at"`
	// Waiting is sorted by queue, customer and reason.
	Waiting []waits.Waiting `json:"waiting"`
	// Served is sorted by queue, the largest jobs first.
	Served []served.Count `json:"served"`
	// Refusals are the latest ones, in the order of time.
	Refusals []Refusal `json:"refusals"`
	// Workers are those whose speed is known, sorted by ID.
	Workers []Worker `json:"workers"`
}

// Refusal is a job that was not accepted. It has not run.
type Refusal struct {
	At       time.Time         `json:"at"`
	Job      work.JobID        `json:"job"`
	Queue    string            `json:"queue"`
	Customer work.CustomerName `json:"customer,omitempty"`
	Reason   string            `json:"reason"`
	// RetryAt is when the caller was asked to submit the job again; zero if it was not.
	RetryAt time.Time `json:"retryAt"`
}

// Worker is how fast a worker is.
type Worker struct {
	ID    order.WorkerID `json:"id"`
	Class string         `json:"class"`
	// Ratio is how long tasks take there compared with a typical worker; above 1 is slower.
	Ratio float64 `json:"ratio"`
	// Observations is the number of tasks from which it is known; old ones count less.
	Observations float64 `json:"observations"`
}

// maxRefusals bounds the refusals that are kept.
const maxRefusals = 200

// Refusals keeps the latest refusals. The zero value has none.
type Refusals struct{ latest []Refusal }

// Add adds a refusal and drops the oldest one if there are too many.
func (r *Refusals) Add(refusal Refusal) {
	if len(r.latest) >= maxRefusals {
		r.latest = append(r.latest[:0], r.latest[1:]...)
	}
	r.latest = append(r.latest, refusal)
}

// Latest returns a copy of the refusals, the oldest first.
func (r *Refusals) Latest() []Refusal { return append([]Refusal{}, r.latest...) }
