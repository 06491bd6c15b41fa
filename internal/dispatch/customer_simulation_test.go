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

// limitChangeGrace is how long after a change of the limits a start that was ordered under the
// previous limits may still arrive.
const limitChangeGrace = 20 * time.Millisecond

// limit puts customers with their limits in force.
func (w *sim) limit(customers ...order.Customer) {
	w.previousCustomers, w.customersChangedAt = w.customers, w.clock.Now()
	w.customers = customers
	w.engine.SetCustomers(customers)
}

// limitOf returns a customer whose limit admits n running tasks as newStep makes them.
func limitOf(name work.CustomerName, n int64) order.Customer {
	return order.Customer{Name: name, Weight: 1, Limit: leverdyke.Resources{MilliCPU: 1000 * n}}
}

// checkLimit checks at a start that the customer stays within its limit, or, within
// limitChangeGrace of a change, within its previous limit.
func (w *sim) checkLimit(m *modelWorker, id work.TaskID) {
	name := w.specs[id.Job].Customer
	limit, previous := limitIn(w.customers, name), limitIn(w.previousCustomers, name)
	if limit == 0 {
		return
	}
	used := w.capacityUsedBy(name)
	isRecent := w.clock.Now().Sub(w.customersChangedAt) <= limitChangeGrace
	isWithinPrevious := previous == 0 || used.MilliCPU <= previous
	if used.MilliCPU > limit && !(isRecent && isWithinPrevious) {
		w.reportViolation("start of %s on %s exceeds the limit of customer %s: %v in use", id, m.entry.ID, name, used)
	}
}

// limitIn returns how many processors a customer may use, in thousandths of a core; 0 if there is no
// limit.
func limitIn(customers []order.Customer, name work.CustomerName) int64 {
	i := slices.IndexFunc(customers, func(c order.Customer) bool { return c.Name == name })
	if i < 0 {
		return 0
	}
	return customers[i].Limit.MilliCPU
}

// capacityUsedBy returns the resources of all runs of a customer, including those on partitioned
// workers.
func (w *sim) capacityUsedBy(name work.CustomerName) leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, m := range w.allWorkers() {
		if m.isDead {
			continue
		}
		for task, r := range m.running {
			if w.specs[task.Job].Customer == name {
				sum = sum.Add(r.need)
			}
		}
	}
	return sum
}
