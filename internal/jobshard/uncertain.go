// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import (
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// deferredEnd is the reported end of an attempt while a later attempt may exist
// on another rack.
type deferredEnd struct {
	rack  state.ShardID
	epoch worker.Epoch
	item  node.AttemptStatus
}

// mayHaveSuccessor reports whether a previous owner of the shard may have
// started another attempt of the task after this end. A worker lists an ended
// attempt until it receives the order to forget it, and that order may have
// been lost.
func mayHaveSuccessor(j *job, item *node.AttemptStatus) bool {
	if j.spec.IsOnce {
		return false
	}
	return item.State != worker.StateSucceeded || j.spec.Kind == leverdyke.KindService
}

// deferEnd keeps the end of the newest attempt until every rack has reported
// its attempts. It reports whether the rack may forget the end in item.
func (h *Shard) deferEnd(t *task, report *node.AttemptReport, item *node.AttemptStatus) bool {
	if t.deferred != nil && t.deferred.item.Key.Attempt > item.Key.Attempt {
		return true
	}
	if t.deferred != nil && t.deferred.item.Key != item.Key {
		h.ackDeferredEnd(t)
	}
	t.deferred = &deferredEnd{report.Rack, report.RackEpoch, *item}
	return false
}

// ackDeferredEnd allows the rack to forget a deferred end after which a later
// attempt was started.
func (h *Shard) ackDeferredEnd(t *task) {
	if t.deferred == nil {
		return
	}
	h.ackAttempts(t.deferred.rack, []worker.Key{t.deferred.item.Key})
	t.deferred = nil
}

// applyDeferredEnd handles a deferred end as that of the task's current
// attempt: no rack has a later one.
func (h *Shard) applyDeferredEnd(now time.Time, j *job, i int) {
	end := j.tasks[i].deferred
	j.tasks[i].deferred = nil
	h.adoptAttempt(j, i, end.rack, end.epoch, &end.item)
	if h.onAttemptEnd(now, j, i, &end.item) {
		h.ackAttempts(end.rack, []worker.Key{end.item.Key})
	}
}

// resolveUncertainTasks resolves the uncertain tasks once every rack has
// reported its attempts: tasks that no rack knows may start.
func (h *Shard) resolveUncertainTasks(now time.Time) {
	if !h.isAllSynced() {
		return
	}
	if h.uncertainTasks > 0 {
		h.emitEvent(EventSynced, "", fmt.Sprintf("%d tasks run nowhere", h.uncertainTasks))
	}
	for _, j := range h.jobList {
		if h.uncertainTasks == 0 {
			break
		}
		h.resolveJob(now, j)
	}
	h.isScanDue = true
}

// resolveJob resolves the uncertain tasks of one job.
func (h *Shard) resolveJob(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phaseUncertain {
			continue
		}
		h.uncertainTasks--
		if t.deferred != nil {
			h.applyDeferredEnd(now, j, i)
			continue
		}
		if t.isIntended {
			// A previous owner was about to start the task, and it is not known whether it
			// did.
			h.setPhase(j, i, phaseFinal)
			h.emitEvent(EventUnknownOutcome, j.id, fmt.Sprintf("task %d", i))
			h.queueFinal(j, i, leverdyke.TaskUnknown, nil, 0, "")
			continue
		}
		t.notBefore = now
		h.setPhase(j, i, phaseWaiting)
	}
	h.updateQueue(j)
	if j.gang.isStarted && j.waiting > 0 {
		h.restartGang(j, "a part of it was lost with its home")
	}
}
