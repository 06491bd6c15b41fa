// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"container/heap"

	"github.com/leverdyke/leverdyke/internal/order"
)

// candidates are the workers that may be given tasks of a step now, the best on
// top. Many tasks of one step are placed by one look at all workers.
type candidates struct {
	workers []*worker
	scores  []float64
	// isTopPicked is the worker on top when it was given a task; its score has changed.
	isTopPicked bool
}

// newCandidates scores the workers for a task that may run on any of them.
func (e *Engine) newCandidates(s *step, q *order.Queue) *candidates {
	c := &candidates{}
	for _, w := range e.permittedWorkers(s, q) {
		if e.fitCount(w, s) > 0 {
			c.workers = append(c.workers, w)
			c.scores = append(c.scores, e.score(w, s, nil))
		}
	}
	heap.Init(c)
	return c
}

// pick returns the best worker for task i, or nil when none has room.
func (c *candidates) pick(e *Engine, s *step, i int, q *order.Queue) *worker {
	for c.Len() > 0 && e.fitCount(c.workers[0], s) <= 0 {
		heap.Pop(c)
	}
	if c.Len() == 0 {
		return nil
	}
	w := c.workers[0]
	t := &s.tasks[i]
	if t.avoid != w.ID && !isChoosy(t) && w.attempts.Get(s.taskID(i)) == nil {
		c.isTopPicked = true
		return w
	}
	// The best is one to avoid for this task, or not each worker suits it: all are looked
	// at for it alone.
	c.isTopPicked = false
	return e.chooseWorker(s, i, q, nil)
}

// rescoreTop scores the worker again that was given a task.
func (c *candidates) rescoreTop(e *Engine, s *step) {
	if c.isTopPicked && c.Len() > 0 {
		c.scores[0] = e.score(c.workers[0], s, nil)
		heap.Fix(c, 0)
	}
}

// Len, Less, Swap, Push and Pop make a heap of the candidates.
func (c *candidates) Len() int { return len(c.workers) }

// Less puts the better worker first, and of two that are alike the same one
// each time.
func (c *candidates) Less(i, j int) bool {
	if c.scores[i] != c.scores[j] {
		return c.scores[i] > c.scores[j]
	}
	return c.workers[i].ID < c.workers[j].ID
}

// Swap swaps two candidates.
func (c *candidates) Swap(i, j int) {
	c.workers[i], c.workers[j] = c.workers[j], c.workers[i]
	c.scores[i], c.scores[j] = c.scores[j], c.scores[i]
}

// Push is not used: candidates only become fewer.
func (*candidates) Push(any) { panic("dispatch: candidates only become fewer") }

// Pop takes the last candidate off.
func (c *candidates) Pop() any {
	last := len(c.workers) - 1
	c.workers, c.scores = c.workers[:last], c.scores[:last]
	return nil
}
