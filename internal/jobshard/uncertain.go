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

// deferredEnd is the end of an attempt that another one, on another rack, may have
// followed.
type deferredEnd struct {
	rack  state.ShardID
	epoch worker.Epoch
	item  node.AttemptStatus
}

// mayHaveSuccessor reports whether an earlier home may have started the task again
// after this end. A worker lists an ended attempt until it is told to forget it,
// and that word may have been lost.
func mayHaveSuccessor(j *job, item *node.AttemptStatus) bool {
	if j.spec.IsOnce {
		return false
	}
	return item.State != worker.StateDone || j.spec.Kind == leverdyke.KindService
}

// deferEnd keeps the end of the newest attempt until every rack has told what
// runs. It reports whether the rack may forget the one that was told.
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

// ackDeferredEnd lets the rack forget a kept end that a later attempt has followed.
func (h *Shard) ackDeferredEnd(t *task) {
	if t.deferred == nil {
		return
	}
	h.ackAttempts(t.deferred.rack, []worker.Key{t.deferred.item.Key})
	t.deferred = nil
}

// applyDeferredEnd makes the kept end the task's own: no rack has a later attempt.
func (h *Shard) applyDeferredEnd(now time.Time, j *job, i int) {
	end := j.tasks[i].deferred
	j.tasks[i].deferred = nil
	h.adoptAttempt(j, i, end.rack, end.epoch, &end.item)
	if h.onAttemptEnd(now, j, i, &end.item) {
		h.ackAttempts(end.rack, []worker.Key{end.item.Key})
	}
}

// resolveUncertainTasks lets tasks start that no rack knows, once every rack has told.
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
			// An earlier home meant to start it, and nobody knows whether it did.
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
