// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// limitGrace is how long an order that left under the limits before may be on its way.
const limitChangeGrace = 20 * time.Millisecond

// limit puts limits of customers in force.
func (w *sim) limit(customers ...order.Customer) {
	w.previousCustomers, w.customersChangedAt = w.customers, w.clock.Now()
	w.customers = customers
	w.engine.SetCustomers(customers)
}

// limitOf is a customer that may have n tasks of step running.
func limitOf(name work.CustomerName, n int64) order.Customer {
	return order.Customer{Name: name, Weight: 1, Limit: leverdyke.Resources{MilliCPU: 1000 * n}}
}

// checkLimit checks a start against the limits that may be in force.
func (w *sim) checkLimit(m *modelWorker, id work.TaskID) {
	name := w.specs[id.Job].Customer
	used := w.capacityUsedBy(name)
	isWithin := func(customers []order.Customer) bool {
		i := slices.IndexFunc(customers, func(c order.Customer) bool { return c.Name == name })
		return i < 0 || customers[i].Limit.MilliCPU == 0 || used.MilliCPU <= customers[i].Limit.MilliCPU
	}
	isRecent := w.clock.Now().Sub(w.customersChangedAt) <= limitChangeGrace
	if !isWithin(w.customers) && !(isRecent && isWithin(w.previousCustomers)) {
		w.reportViolation("%s on %s brings customer %s over its limit: %v", id, m.entry.ID, name, used)
	}
}

// usedBy returns what a customer has running on all workers, those that are cut off among them.
func (w *sim) capacityUsedBy(name work.CustomerName) leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, m := range w.allWorkers() {
		for task, r := range m.sortedRuns() {
			if !m.isDead && w.specs[task.Job].Customer == name {
				sum = sum.Add(r.need)
			}
		}
	}
	return sum
}
