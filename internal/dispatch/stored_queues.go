// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
)

// storedQueues are the policies of queues that the store has beside the jobs, so that an accepted job
// keeps its queue's last policy when the queue leaves the configuration and the owner changes. The zero
// value has none.
type storedQueues struct {
	// policies are those that the store has or that a batch for it contains.
	policies ordered.Map[string, order.Queue]
	// hasNew means that the policy of a queue with active jobs may have to be written.
	hasNew bool
}

// RestoreQueues takes over the policies that the store has beside the jobs. They come into force with the
// next configuration, for the queues that it lacks.
func (e *Engine) RestoreQueues(queues []order.Queue) {
	for _, q := range queues {
		e.storedQueues.policies.Set(q.Name, q)
	}
}

// queuesConfigured puts the stored policies in force of the queues that the configuration lacks, and has
// the others written that have changed.
func (e *Engine) queuesConfigured() {
	e.storedQueues.hasNew = true
	for name, stored := range e.storedQueues.policies.All() {
		q, isKnown := e.queues[name]
		switch {
		case !isKnown:
			e.queues[name] = stored
		case !q.Equal(&stored):
			e.currentBatch()
		}
	}
}

// changedQueues returns the policies that are to be written with a batch: those of the queues of its new
// jobs and of all active ones, where the store has another one.
func (e *Engine) changedQueues(b *Batch) []order.Queue {
	changed := []order.Queue{}
	add := func(name string) {
		q, isKnown := e.queues[name]
		if stored, isStored := e.storedQueues.policies.Find(name); !isKnown || isStored && stored.Equal(&q) {
			return
		}
		e.storedQueues.policies.Set(name, q)
		changed = append(changed, q)
	}
	for _, spec := range b.NewJobs {
		add(spec.Queue)
	}
	if e.storedQueues.hasNew {
		e.storedQueues.hasNew = false
		for _, j := range e.activeJobs {
			add(j.spec.Queue)
		}
	}
	return changed
}

// forgetQueues records that the policies of a batch are not in the store.
func (e *Engine) forgetQueues(b *Batch) {
	for i := range b.Queues {
		e.storedQueues.policies.Delete(b.Queues[i].Name)
		e.storedQueues.hasNew = true
	}
}
