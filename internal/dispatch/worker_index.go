// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// workerIndex finds workers that exclude each other: of the workers on one machine, and of the
// incarnations of one worker, at most one is alive. A new owner looks them up with the first answer
// of each worker.
type workerIndex struct {
	// byName has the workers by the platform's name for them, byMachine by machine where that is
	// known.
	byName, byMachine map[string][]*worker
}

func newWorkerIndex() workerIndex {
	return workerIndex{byName: map[string][]*worker{}, byMachine: map[string][]*worker{}}
}

func (x *workerIndex) add(w *worker) {
	name := w.ID.Name()
	x.byName[name] = append(x.byName[name], w)
	if w.Machine != "" {
		x.byMachine[w.Machine] = append(x.byMachine[w.Machine], w)
	}
}

func (x *workerIndex) remove(w *worker) {
	removeFrom(x.byName, w.ID.Name(), w)
	removeFrom(x.byMachine, w.Machine, w)
}

func removeFrom(index map[string][]*worker, key string, w *worker) {
	remaining := slices.DeleteFunc(index[key], func(other *worker) bool { return other == w })
	if len(remaining) == 0 {
		delete(index, key)
		return
	}
	index[key] = remaining
}

// replacedBy returns the workers that must have ended since w has answered: the others on its
// machine, and the other incarnations of the same worker.
func (x *workerIndex) replacedBy(w *worker) []*worker {
	found := []*worker{}
	for _, other := range x.byMachine[w.Machine] {
		if other != w {
			found = append(found, other)
		}
	}
	for _, other := range x.byName[w.ID.Name()] {
		if w.ID.IsOtherIncarnation(other.ID) && !slices.Contains(found, other) {
			found = append(found, other)
		}
	}
	return found
}
