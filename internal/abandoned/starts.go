// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package abandoned keeps what may still be on its way to a worker and is not wanted any more. An
// order without an answer may be held up for seconds and reach whichever start of the worker is
// there then; a newer one knows no token and no run that was stopped, and carries it out. It is
// pure.
package abandoned

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/work"
)

// MaxDelay is how long an order without an answer may be held up on its way to a worker.
const MaxDelay = 12 * time.Second

// Start is an order to start a task that was given up and may still come.
type Start struct {
	Task work.TaskID
	Run  uint64
	// Until is when it cannot come any more.
	Until time.Time
}

func (o *Start) mayArrive(now time.Time) bool { return !now.After(o.Until) }

// Starts has, for all workers, the orders that may come and the generations of what is sent. The
// zero value has none.
type Starts struct {
	// byName has the orders by the worker's name: one reaches whichever start is there.
	byName ordered.Map[string, []Start]
	// generations has, by the worker's name, how often all that is on its way was given up. None
	// is ever lowered or forgotten: a worker obeys no lower one.
	generations map[string]uint64
}

// Generation returns the generation of what is sent to a worker now.
func (o *Starts) Generation(id order.WorkerID) uint64 { return o.generations[id.Name()] }

// NextGeneration makes a worker refuse all that was sent to it before and comes late, once
// anything that is sent from now on has reached it: an order to start, or a question that
// confirms ends by the numbers of an earlier start.
func (o *Starts) NextGeneration(id order.WorkerID) {
	if o.generations == nil {
		o.generations = map[string]uint64{}
	}
	o.generations[id.Name()]++
}

// Add takes that an order which was sent at sentAt is given up.
func (o *Starts) Add(id order.WorkerID, task work.TaskID, run uint64, sentAt, now time.Time) {
	o.NextGeneration(id)
	start := Start{Task: task, Run: run, Until: sentAt.Add(MaxDelay)}
	if !start.mayArrive(now) {
		return
	}
	o.byName.Set(id.Name(), append(o.ForWorker(id, now), start))
}

// ForWorker returns the orders that may come to a worker.
func (o *Starts) ForWorker(id order.WorkerID, now time.Time) []Start {
	return slices.DeleteFunc(slices.Clone(o.byName.Get(id.Name())), func(x Start) bool { return !x.mayArrive(now) })
}

// DropExpired forgets orders that cannot come any more.
func (o *Starts) DropExpired(now time.Time) {
	for name, starts := range o.byName.All() {
		if !slices.ContainsFunc(starts, func(x Start) bool { return x.mayArrive(now) }) {
			o.byName.Delete(name)
		}
	}
}
