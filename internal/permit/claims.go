// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Claims keeps the room of workers that calls on their way are likely to use. Steps that ask at
// the same time about the same workers, those with the most room, find that room taken by the
// first of them, and have asked in vain. The zero value has none.
type Claims struct {
	byStep   map[work.StepID]claim
	byWorker map[order.WorkerID]leverdyke.Resources
}

// claim is what the call of a step is likely to use of each worker that it names.
type claim struct {
	workers   []order.WorkerID
	perWorker leverdyke.Resources
}

// Add notes a call of a step for so many tasks that take need each.
func (c *Claims) Add(id work.StepID, asked []order.WorkerID, tasks int, need leverdyke.Resources) {
	if c.byStep == nil {
		c.byStep, c.byWorker = map[work.StepID]claim{}, map[order.WorkerID]leverdyke.Resources{}
	}
	c.Drop(id)
	if len(asked) == 0 {
		return
	}
	perWorker := scale(need, tasks, len(asked))
	c.byStep[id] = claim{asked, perWorker}
	for _, w := range asked {
		c.byWorker[w] = c.byWorker[w].Add(perWorker)
	}
}

// part returns tasks/workers times need.
func scale(need leverdyke.Resources, tasks, workers int) leverdyke.Resources {
	n, d := int64(min(tasks, workers)), int64(workers)
	return leverdyke.Resources{MilliCPU: need.MilliCPU * n / d, MemoryMiB: need.MemoryMiB * n / d, Accelerators: need.Accelerators * n / d}
}

// Drop notes that the call of a step is over.
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

// OnWorker returns the room of a worker that is likely to be used.
func (c *Claims) OnWorker(id order.WorkerID) leverdyke.Resources { return c.byWorker[id] }
