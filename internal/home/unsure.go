// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package home

import (
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// keptEnd is the end of an attempt that another one, on another rack, may have
// followed.
type keptEnd struct {
	rack  state.ShardID
	epoch worker.Epoch
	item  node.NewsItem
}

// mayBeFollowed reports whether an earlier home may have started the task again
// after this end. A worker lists an ended attempt until it is told to forget it,
// and that word may have been lost.
func mayBeFollowed(j *job, item *node.NewsItem) bool {
	if j.spec.IsOnce {
		return false
	}
	return item.State != worker.StateSucceeded || j.spec.Kind == leverdyke.KindService
}

// keepEnd keeps the end of the newest attempt until every rack has told what
// runs. It reports whether the rack may forget the one that was told.
func (h *Home) keepEnd(t *task, n *node.News, item *node.NewsItem) bool {
	if t.kept != nil && t.kept.item.Key.Attempt > item.Key.Attempt {
		return true
	}
	if t.kept != nil && t.kept.item.Key != item.Key {
		h.ackKept(t)
	}
	t.kept = &keptEnd{n.Rack, n.RackEpoch, *item}
	return false
}

// ackKept lets the rack forget a kept end that a later attempt has followed.
func (h *Home) ackKept(t *task) {
	if t.kept == nil {
		return
	}
	h.ack(t.kept.rack, []worker.Key{t.kept.item.Key})
	t.kept = nil
}

// takeKept makes the kept end the task's own: no rack has a later attempt.
func (h *Home) takeKept(now time.Time, j *job, i int) {
	k := j.tasks[i].kept
	j.tasks[i].kept = nil
	h.take(j, i, k.rack, k.epoch, &k.item)
	if h.onEnd(now, j, i, &k.item) {
		h.ack(k.rack, []worker.Key{k.item.Key})
	}
}

// resolveUnsure lets tasks start that no rack knows, once every rack has told.
func (h *Home) resolveUnsure(now time.Time) {
	if !h.isAllSynced() {
		return
	}
	if h.unsure > 0 {
		h.event(EventSynced, "", fmt.Sprintf("%d tasks run nowhere", h.unsure))
	}
	for _, j := range h.list {
		if h.unsure == 0 {
			break
		}
		h.resolveJob(now, j)
	}
	h.isDirty = true
}

func (h *Home) resolveJob(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phaseUnsure {
			continue
		}
		h.unsure--
		if t.kept != nil {
			h.takeKept(now, j, i)
			continue
		}
		if t.isIntended {
			// An earlier home meant to start it, and nobody knows whether it did.
			h.setPhase(j, i, phaseFinal)
			h.event(EventUnknownFate, j.id, fmt.Sprintf("task %d", i))
			h.final(j, i, leverdyke.TaskUnknown, nil, 0, "")
			continue
		}
		t.notBefore = now
		h.setPhase(j, i, phaseWaiting)
	}
	h.requeue(j)
	if j.gang.isStarted && j.waiting > 0 {
		h.breakGang(j, "a part of it was lost with its home")
	}
}
