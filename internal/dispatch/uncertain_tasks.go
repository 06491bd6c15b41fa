// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"iter"
	"slices"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/work"
)

// uncertainTasks has, by worker, the tasks that a previous owner may have started there and whose
// state there is not known yet. The zero value has none.
type uncertainTasks struct {
	tasks ordered.Map[order.WorkerID, []work.TaskID]
	// incarnations has the keys of tasks by the name of the worker, so that a new owner need not look
	// through all workers for each first listing.
	incarnations map[string][]order.WorkerID
}

// add adds a task that may run on a worker.
func (u *uncertainTasks) add(worker order.WorkerID, id work.TaskID) {
	tasks, isKnown := u.tasks.Find(worker)
	if !isKnown {
		if u.incarnations == nil {
			u.incarnations = map[string][]order.WorkerID{}
		}
		name := worker.Name()
		u.incarnations[name] = append(u.incarnations[name], worker)
	}
	u.tasks.Set(worker, append(tasks, id))
}

// take removes a worker and returns its tasks; false if it has none.
func (u *uncertainTasks) take(worker order.WorkerID) ([]work.TaskID, bool) {
	tasks, isKnown := u.tasks.Find(worker)
	if !isKnown {
		return nil, false
	}
	u.tasks.Delete(worker)
	name := worker.Name()
	left := slices.DeleteFunc(u.incarnations[name], func(id order.WorkerID) bool { return id == worker })
	if u.incarnations[name] = left; len(left) == 0 {
		delete(u.incarnations, name)
	}
	return tasks, true
}

// has reports whether a worker has tasks.
func (u *uncertainTasks) has(worker order.WorkerID) bool {
	_, isKnown := u.tasks.Find(worker)
	return isKnown
}

// isEmpty reports whether no worker has tasks.
func (u *uncertainTasks) isEmpty() bool { return u.tasks.Len() == 0 }

// workers returns the workers with tasks, in the order in which they were added.
func (u *uncertainTasks) workers() iter.Seq[order.WorkerID] {
	return func(yield func(order.WorkerID) bool) {
		for id := range u.tasks.All() {
			if !yield(id) {
				return
			}
		}
	}
}

// incarnationsOf returns the incarnations of a worker that have tasks, in the order in which they
// were added.
func (u *uncertainTasks) incarnationsOf(worker order.WorkerID) []order.WorkerID {
	return slices.Clone(u.incarnations[worker.Name()])
}
