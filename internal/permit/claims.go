// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Claims tracks the capacity of workers that is likely to be used by the steps whose calls are
// in flight. Without it, steps that query at the same time would all name the workers with the
// most free capacity. The first of them would use that up, and the calls of the others would be
// wasted. The zero value has no claims.
type Claims struct {
	byStep   map[work.StepID]claim
	byWorker map[order.WorkerID][]claimed
}

// claimed is what steps of queues of one priority are likely to use of a worker.
type claimed struct {
	priority int
	capacity leverdyke.Resources
}

// claim is what a step is likely to use of each worker that its call names.
type claim struct {
	workers   []order.WorkerID
	priority  int
	perWorker leverdyke.Resources
}

// Add records a call of a step of a queue with the priority. The call names the queried workers, for a
// number of tasks that use need each. It replaces the step's former claim.
func (c *Claims) Add(id work.StepID, priority int, queried []order.WorkerID, tasks int, need leverdyke.Resources) {
	if c.byStep == nil {
		c.byStep, c.byWorker = map[work.StepID]claim{}, map[order.WorkerID][]claimed{}
	}
	c.Drop(id)
	if len(queried) == 0 {
		return
	}
	perWorker := scale(need, tasks, len(queried))
	c.byStep[id] = claim{queried, priority, perWorker}
	for _, w := range queried {
		c.add(w, priority, perWorker)
	}
}

// add adds capacity to what steps of the priority claim of a worker.
func (c *Claims) add(id order.WorkerID, priority int, capacity leverdyke.Resources) {
	claims := c.byWorker[id]
	i := slices.IndexFunc(claims, func(c claimed) bool { return c.priority == priority })
	if i < 0 {
		c.byWorker[id] = append(claims, claimed{priority, capacity})
		return
	}
	claims[i].capacity = claims[i].capacity.Add(capacity)
}

// scale returns tasks/workers times need, and need at most.
func scale(need leverdyke.Resources, tasks, workers int) leverdyke.Resources {
	n, d := int64(min(tasks, workers)), int64(workers)
	return leverdyke.Resources{MilliCPU: need.MilliCPU * n / d, MemoryMiB: need.MemoryMiB * n / d, Accelerators: need.Accelerators * n / d}
}

// Drop removes the claim of a step whose call has ended.
func (c *Claims) Drop(id work.StepID) {
	old, ok := c.byStep[id]
	if !ok {
		return
	}
	delete(c.byStep, id)
	for _, w := range old.workers {
		c.add(w, old.priority, leverdyke.Resources{}.Sub(old.perWorker))
		c.byWorker[w] = slices.DeleteFunc(c.byWorker[w], func(c claimed) bool { return c.capacity == (leverdyke.Resources{}) })
		if len(c.byWorker[w]) == 0 {
			delete(c.byWorker, w)
		}
	}
}

// OnWorker returns the capacity of a worker that steps of the priority or of more urgent ones are likely
// to use. Those of less urgent queues go after them.
func (c *Claims) OnWorker(id order.WorkerID, priority int) leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, claim := range c.byWorker[id] {
		if claim.priority <= priority {
			sum = sum.Add(claim.capacity)
		}
	}
	return sum
}
