// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package abandoned tracks orders to start that the owner has abandoned and that may still arrive
// at their worker. An order that was not answered may be delayed for seconds and reach whichever
// incarnation of the worker runs then. A newer incarnation knows neither the highest fencing
// token nor the runs that were stopped before it began, and would carry the order out. The
// package does no I/O and reads no clock; the caller passes the current time.
package abandoned

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/work"
)

// MaxDelay is how long an order that was not answered may be in flight to a worker.
const MaxDelay = 12 * time.Second

// Start is an order to start a task that was abandoned and may still arrive.
type Start struct {
	Task work.TaskID
	Run  uint64
	// Until is the last time at which it may arrive.
	Until time.Time
}

func (o *Start) mayArrive(now time.Time) bool { return !now.After(o.Until) }

// Starts has, for all workers, the abandoned starts that may still arrive, and the current
// generations. The zero value has none.
type Starts struct {
	// byName has the abandoned starts by the worker's name, as a start reaches whichever
	// incarnation runs when it arrives.
	byName ordered.Map[string, []Start]
	// generations has, by the worker's name, how often the messages in flight to it were
	// invalidated. None is ever lowered or dropped, as a worker rejects lower ones.
	generations map[string]uint64
}

// Generation returns the generation of what is sent to a worker now.
func (o *Starts) Generation(id order.WorkerID) uint64 { return o.generations[id.Name()] }

// NextGeneration invalidates all messages to a worker that are in flight: as soon as one that is
// sent after the call has reached the worker, it refuses the earlier ones that arrive later.
// These may be orders to start, or polls that confirm ends by the numbers of an earlier
// incarnation.
func (o *Starts) NextGeneration(id order.WorkerID) {
	if o.generations == nil {
		o.generations = map[string]uint64{}
	}
	o.generations[id.Name()]++
}

// Add records that an order to start which was sent at sentAt is abandoned.
func (o *Starts) Add(id order.WorkerID, task work.TaskID, run uint64, sentAt, now time.Time) {
	o.NextGeneration(id)
	start := Start{Task: task, Run: run, Until: sentAt.Add(MaxDelay)}
	if !start.mayArrive(now) {
		return
	}
	o.byName.Set(id.Name(), append(o.ForWorker(id, now), start))
}

// ForWorker returns the abandoned starts that may still arrive at a worker.
func (o *Starts) ForWorker(id order.WorkerID, now time.Time) []Start {
	return slices.DeleteFunc(slices.Clone(o.byName.Get(id.Name())), func(x Start) bool { return !x.mayArrive(now) })
}

// DropExpired drops the workers at which no abandoned start can arrive any more.
func (o *Starts) DropExpired(now time.Time) {
	for name, starts := range o.byName.All() {
		if !slices.ContainsFunc(starts, func(x Start) bool { return x.mayArrive(now) }) {
			o.byName.Delete(name)
		}
	}
}
