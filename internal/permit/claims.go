// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
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
	byWorker map[order.WorkerID]leverdyke.Resources
}

// claim is what a step is likely to use of each worker that its call names.
type claim struct {
	workers   []order.WorkerID
	perWorker leverdyke.Resources
}

// Add records a call of a step that names the queried workers, for a number of tasks that use need
// each. It replaces the step's former claim.
func (c *Claims) Add(id work.StepID, queried []order.WorkerID, tasks int, need leverdyke.Resources) {
	if c.byStep == nil {
		c.byStep, c.byWorker = map[work.StepID]claim{}, map[order.WorkerID]leverdyke.Resources{}
	}
	c.Drop(id)
	if len(queried) == 0 {
		return
	}
	perWorker := scale(need, tasks, len(queried))
	c.byStep[id] = claim{queried, perWorker}
	for _, w := range queried {
		c.byWorker[w] = c.byWorker[w].Add(perWorker)
	}
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
		if left := c.byWorker[w].Sub(old.perWorker); left != (leverdyke.Resources{}) {
			c.byWorker[w] = left
		} else {
			delete(c.byWorker, w)
		}
	}
}

// OnWorker returns the capacity of a worker that is likely to be used.
func (c *Claims) OnWorker(id order.WorkerID) leverdyke.Resources { return c.byWorker[id] }
