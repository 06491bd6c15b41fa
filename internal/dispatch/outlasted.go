// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"

	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// maxOutlastedRuns bounds the runs that an owner hands on: some 10 kB of its record. A crash under any
// other run counts as if the task had just been started.
const maxOutlastedRuns = 128

// InheritOutlasted takes over the runs that previous owners handed on.
func (e *Engine) InheritOutlasted(runs []crash.OutlastedRun) {
	for i := range runs {
		e.inheritedOutlasted.Set(runs[i], true)
	}
}

// OutlastedRuns returns the runs to hand on to the next owner, those of suspects first.
func (e *Engine) OutlastedRuns() []crash.OutlastedRun {
	suspects, others := []crash.OutlastedRun{}, []crash.OutlastedRun{}
	for id, w := range e.workers.All() {
		for task, a := range w.attempts.All() {
			r := crash.OutlastedRun{Task: task, Run: a.run, Worker: string(id)}
			switch {
			case !e.isHandedOnAsOutlasted(a):
			case crash.IsSuspect(a.step.tasks[task.Index].crashes):
				suspects = append(suspects, r)
			default:
				others = append(others, r)
			}
		}
	}
	runs := slices.Concat(suspects, e.unreportedOutlasted(), others)
	return runs[:min(len(runs), maxOutlastedRuns)]
}

// isHandedOnAsOutlasted reports whether the attempt has outlasted crash.WeakWindow, of a task against which there
// is evidence.
func (e *Engine) isHandedOnAsOutlasted(a *attempt) bool {
	return a.step != nil && a.mayHaveRun() && crash.HasEvidence(a.step.tasks[a.id.Index].crashes) && e.runTimeOf(a) >= crash.WeakWindow
}

// unreportedOutlasted returns the runs that were handed on to this owner, and that may go on but are not
// reported yet. It drops those that have ended.
func (e *Engine) unreportedOutlasted() []crash.OutlastedRun {
	runs := []crash.OutlastedRun{}
	for r := range e.inheritedOutlasted.All() {
		id := order.WorkerID(r.Worker)
		_, t := e.findTask(r.Task)
		switch {
		case t == nil || t.run != r.Run || t.state == taskDone:
			e.inheritedOutlasted.Delete(r)
		case slices.Contains(t.mayRunOn, id):
			runs = append(runs, r)
		case t.attempt == nil || t.attempt.worker.ID != id:
			e.inheritedOutlasted.Delete(r)
		}
	}
	return runs
}

// hasOutlasted reports whether a previous owner handed the run on.
func (e *Engine) hasOutlasted(task work.TaskID, run uint64, id order.WorkerID) bool {
	return e.inheritedOutlasted.Get(crash.OutlastedRun{Task: task, Run: run, Worker: string(id)})
}
