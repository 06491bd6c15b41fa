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

// Time is how long an order without an answer may be held up on its way to a worker.
const Time = 12 * time.Second

// Order is an order to start a task that was given up and may still come.
type Order struct {
	Task work.TaskID
	Run  uint64
	// Until is when it cannot come any more.
	Until time.Time
}

func (o *Order) mayCome(now time.Time) bool { return !now.After(o.Until) }

// Orders has, for all workers, the orders that may come and the generations of what is sent. The
// zero value has none.
type Orders struct {
	// byName has the orders by the worker's name: one reaches whichever start is there.
	byName ordered.Map[string, []Order]
	// generations has, by the worker's name, how often all that is on its way was given up. None
	// is ever lowered or forgotten: a worker obeys no lower one.
	generations map[string]uint64
}

// Generation returns the generation of what is sent to a worker now.
func (o *Orders) Generation(id order.WorkerID) uint64 { return o.generations[id.Name()] }

// NextGeneration makes a worker refuse all that was sent to it before and comes late, once
// anything that is sent from now on has reached it: an order to start, or a question that
// confirms ends by the numbers of an earlier start.
func (o *Orders) NextGeneration(id order.WorkerID) {
	if o.generations == nil {
		o.generations = map[string]uint64{}
	}
	o.generations[id.Name()]++
}

// Note takes that an order which was sent at sentAt is given up.
func (o *Orders) Note(id order.WorkerID, task work.TaskID, run uint64, sentAt, now time.Time) {
	o.NextGeneration(id)
	given := Order{Task: task, Run: run, Until: sentAt.Add(Time)}
	if !given.mayCome(now) {
		return
	}
	o.byName.Set(id.Name(), append(o.Of(id, now), given))
}

// Of returns the orders that may come to a worker.
func (o *Orders) Of(id order.WorkerID, now time.Time) []Order {
	return slices.DeleteFunc(slices.Clone(o.byName.Get(id.Name())), func(x Order) bool { return !x.mayCome(now) })
}

// Forget forgets orders that cannot come any more.
func (o *Orders) Forget(now time.Time) {
	for name, orders := range o.byName.All() {
		if !slices.ContainsFunc(orders, func(x Order) bool { return x.mayCome(now) }) {
			o.byName.Delete(name)
		}
	}
}
