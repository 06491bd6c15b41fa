// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"container/heap"

	"github.com/leverdyke/leverdyke/internal/order"
)

// candidates is a heap of the workers that may be given tasks of a step now, the best one on top.
// With it many tasks of a step are placed after scoring the workers once.
type candidates struct {
	workers []*worker
	scores  []float64
	// isTopPicked means that the worker on top was given the last task, so that its score has
	// changed.
	isTopPicked bool
}

// newCandidates scores the workers for a task of the step that may run on any of them.
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

// pick returns the best worker for task i, or nil if none can take it.
func (c *candidates) pick(e *Engine, s *step, i int, q *order.Queue) *worker {
	for c.Len() > 0 && e.fitCount(c.workers[0], s) <= 0 {
		heap.Pop(c)
	}
	if c.Len() == 0 {
		return nil
	}
	w := c.workers[0]
	t := &s.tasks[i]
	if t.avoidWorker != w.ID && !needsIndividualPlacement(t) && w.attempts.Get(s.taskID(i)) == nil {
		c.isTopPicked = true
		return w
	}
	// The task should avoid the best worker, or not every worker suits it: all workers are scored
	// for this task alone.
	c.isTopPicked = false
	return e.chooseWorker(s, i, q, nil)
}

// rescoreTop updates the score of the worker on top after it was given a task.
func (c *candidates) rescoreTop(e *Engine, s *step) {
	if c.isTopPicked && c.Len() > 0 {
		c.scores[0] = e.score(c.workers[0], s, nil)
		heap.Fix(c, 0)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *candidates) Len() int { return len(c.workers) }

// Less puts the better worker first. Between equal scores the lower ID decides, so that the order
// is always the same.
func (c *candidates) Less(i, j int) bool {
	if c.scores[i] != c.scores[j] {
		return c.scores[i] > c.scores[j]
	}
	return c.workers[i].ID < c.workers[j].ID
}

// Swap exchanges two candidates.
func (c *candidates) Swap(i, j int) {
	c.workers[i], c.workers[j] = c.workers[j], c.workers[i]
	c.scores[i], c.scores[j] = c.scores[j], c.scores[i]
}

// Push must not be called: candidates are only removed.
func (*candidates) Push(any) {
	panic("dispatch: Push called on candidates, from which workers are only removed")
}

// Pop removes the last candidate. Its result is not used.
func (c *candidates) Pop() any {
	last := len(c.workers) - 1
	c.workers, c.scores = c.workers[:last], c.scores[:last]
	return nil
}
