// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package home

import (
	"fmt"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// OnAnswer takes a rack owner's word on asked attempts.
func (h *Home) OnAnswer(now time.Time, a *node.Answer) {
	v := h.racks[a.Rack]
	if v == nil || a.Home != h.ID {
		return
	}
	for _, r := range a.Results {
		h.onResult(now, v, a, &r)
	}
	if a.Room != nil {
		h.OnRoom(a.Room)
	}
}

func (h *Home) onResult(now time.Time, v *rackView, a *node.Answer, r *node.AnswerResult) {
	j := h.jobs[r.Key.Task.Job]
	isOurs := j != nil && r.Key.Task.Index >= 0 && r.Key.Task.Index < len(j.tasks) && j.tasks[r.Key.Task.Index].attempt == r.Key.Attempt
	if !isOurs {
		if r.Worker != "" {
			// Its job has ended, or another attempt is the task's current one.
			h.stop(a.Rack, r.Key)
		}
		return
	}
	t := &j.tasks[r.Key.Task.Index]
	if t.phase != phaseAsked || t.rack != a.Rack || t.rackEpoch != a.RackEpoch {
		return
	}
	if r.Worker != "" {
		h.markRunning(now, j, r.Key.Task.Index, r.Worker)
		return
	}
	// The home keeps to its own order of racks, so that homes keep out of each
	// other's way, and goes on in it after a refusal (docs/MEASUREMENTS.md).
	switch {
	case r.Expected != nil:
		// The rack has room, but not for what the task will take.
		j.expected = j.expected.Max(*r.Expected)
	case !h.isStarvedAsk(j):
		h.offset = slices.Index(h.order, a.Rack) + 1
		v.shutUntil = now.Add(refusedShut)
	}
	v.pending = v.pending.Sub(j.spec.Each)
	h.setPhase(j, r.Key.Task.Index, phaseWaiting)
	j.why = "a rack refused it: " + r.Refused
	h.requeue(j)
	if j.spec.Kind == leverdyke.KindGang {
		h.breakGang(j, "a held place was refused")
	}
}

func (h *Home) markRunning(now time.Time, j *job, i int, w worker.ID) {
	t := &j.tasks[i]
	h.setPhase(j, i, phaseRunning)
	t.worker = w
	j.hasStarted = true
	h.endStarved(j)
	h.out.Starts = append(h.out.Starts, StartNote{j.key(i), j.spec.Class, now.Sub(later(j.since, t.notBefore)), w})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OnNews takes a rack owner's word on the home's attempts.
func (h *Home) OnNews(now time.Time, n *node.News) {
	v := h.racks[n.Rack]
	if v == nil || n.Home != h.ID || n.RackEpoch != v.epoch {
		return
	}
	listed := map[worker.Key]bool{}
	acks := []worker.Key{}
	for i := range n.Items {
		item := &n.Items[i]
		listed[item.Key] = true
		if h.onItem(now, n, item) {
			acks = append(acks, item.Key)
		}
	}
	h.ack(n.Rack, acks)
	if n.IsWhole && n.IsComplete && !v.isSynced {
		v.isSynced = true
		h.dropMissing(now, n.Rack, listed)
		h.resolveUnsure(now)
	}
}

func (h *Home) ack(rack state.ShardID, keys []worker.Key) {
	if len(keys) > 0 {
		h.toRack(rack, node.Message{NewsAck: &node.NewsAck{Home: h.ID, Rack: rack, Keys: keys}})
	}
}

// onItem takes the state of one attempt. It reports whether the rack may
// forget it at once.
func (h *Home) onItem(now time.Time, n *node.News, item *node.NewsItem) bool {
	isOver := item.State != worker.StateRunning
	j := h.jobs[item.Key.Task.Job]
	i := item.Key.Task.Index
	if j == nil || i < 0 || i >= len(j.tasks) || j.tasks[i].phase == phaseFinal {
		if !isOver {
			h.stop(n.Rack, item.Key)
		}
		// An end that is waiting to be recorded is acknowledged after that.
		return isOver && !h.isRecording(item.Key)
	}
	t := &j.tasks[i]
	switch {
	case t.phase == phaseUnsure && isOver && mayBeFollowed(j, item):
		return h.keepEnd(t, n, item)
	case t.phase == phaseUnsure:
		h.unsure--
		h.ackKept(t)
		h.take(j, i, n.Rack, n.RackEpoch, item)
	case t.attempt == item.Key.Attempt && t.rack == n.Rack:
		if t.rackEpoch != n.RackEpoch {
			h.take(j, i, n.Rack, n.RackEpoch, item)
		}
	default:
		if !isOver {
			h.event(EventTwoAttempts, j.id, item.Key.String())
			h.stop(n.Rack, item.Key)
		}
		return isOver
	}
	if !isOver {
		if t.phase == phaseAsked {
			h.markRunning(now, j, i, item.Worker)
		}
		return false
	}
	return h.onEnd(now, j, i, item)
}

// take makes an attempt that a rack tells of the task's current one.
func (h *Home) take(j *job, i int, rack state.ShardID, epoch worker.Epoch, item *node.NewsItem) {
	t := &j.tasks[i]
	// Out of all counts while the fields change on which they hang.
	h.count(j, t, -1)
	t.phase = phaseRunning
	t.attempt, t.rack, t.rackEpoch, t.worker = item.Key.Attempt, rack, epoch, item.Worker
	h.count(j, t, +1)
	j.hasStarted = true
	if j.spec.Kind == leverdyke.KindGang {
		j.gang.isStarted = true
	}
}

func (h *Home) stop(rack state.ShardID, k worker.Key) {
	h.toRack(rack, node.Message{Deed: &node.Deed{
		Home: h.ID, HomeEpoch: h.Epoch, Rack: rack, Deed: worker.ActionStop, Keys: []worker.Key{k},
	}})
}

// onEnd decides what follows the end of an attempt. It reports whether the
// rack may forget it at once; a final end is kept there until it is recorded.
func (h *Home) onEnd(now time.Time, j *job, i int, item *node.NewsItem) bool {
	t := &j.tasks[i]
	h.noteFreed(j, t.rack)
	isService := j.spec.Kind == leverdyke.KindService
	switch {
	case item.State == worker.StateSucceeded && !isService:
		h.setPhase(j, i, phaseFinal)
		h.final(j, i, leverdyke.TaskDone, &item.Key, 0, "")
		return false
	case item.State == worker.StateSucceeded || item.State == worker.StateFailed:
		return h.onFailure(now, j, i, item)
	case j.spec.IsOnce:
		h.setPhase(j, i, phaseFinal)
		h.event(EventUnknownFate, j.id, item.Key.String())
		h.final(j, i, leverdyke.TaskUnknown, &item.Key, 0, "")
		return false
	}
	if item.IsLost && item.Worker != "" {
		return h.onLoss(now, j, i, item)
	}
	// Stopped or checkpointed: it runs again, and nobody is to blame.
	t.notBefore = now
	h.setPhase(j, i, phaseWaiting)
	h.requeue(j)
	h.brokenBy(j, item.Key)
	return true
}

// noteFreed corrects the summary of a rack in which a task has ended: the rack
// tells small changes late.
func (h *Home) noteFreed(j *job, rack state.ShardID) {
	v := h.racks[rack]
	if v == nil || !v.hasRoom {
		return
	}
	v.pending = v.pending.Sub(j.spec.Each)
	v.room.Largest = v.room.Largest.Max(j.spec.Each)
	h.isDirty = true
}

func (h *Home) onFailure(now time.Time, j *job, i int, item *node.NewsItem) bool {
	t := &j.tasks[i]
	if j.spec.IsOnce {
		h.setPhase(j, i, phaseFinal)
		h.final(j, i, leverdyke.TaskFailed, &item.Key, 1, "")
		return false
	}
	if !item.IsBlamed {
		t.failures++
		j.failures++
	}
	t.notBefore = now.Add(backoff(item.Key.Task, max(t.failures, 1)))
	h.setPhase(j, i, phaseWaiting)
	if j.failures >= h.budget(j) && j.spec.Kind != leverdyke.KindService {
		h.failJob(j, fmt.Sprintf("%d attempts failed, which is its budget", j.failures))
		return true
	}
	h.requeue(j)
	h.brokenBy(j, item.Key)
	return true
}

// freeLosses is how many times a task that was lost with its worker starts again at once.
const freeLosses = 2

// onLoss takes that an attempt was lost with its worker. It may be what crashed the worker,
// which tells no end: without a bound such a task takes one worker after the other, for
// ever. The budget is that of failures, for each task: most losses have another cause.
func (h *Home) onLoss(now time.Time, j *job, i int, item *node.NewsItem) bool {
	t := &j.tasks[i]
	t.losses++
	t.notBefore = now
	if t.losses > freeLosses {
		t.notBefore = now.Add(backoff(item.Key.Task, t.losses-freeLosses))
	}
	h.setPhase(j, i, phaseWaiting)
	if t.losses >= h.budget(j) && j.spec.Kind != leverdyke.KindService {
		h.failJob(j, fmt.Sprintf("a task was lost with its worker %d times, which is its budget", t.losses))
		return true
	}
	h.requeue(j)
	h.brokenBy(j, item.Key)
	return true
}

func (h *Home) budget(j *job) int {
	if j.spec.MaxFailures > 0 {
		return j.spec.MaxFailures
	}
	return h.options.MaxFailures
}

// dropMissing takes the attempts that a rack's new owner does not know: they
// have ended, or were never started and never will be.
func (h *Home) dropMissing(now time.Time, rack state.ShardID, listed map[worker.Key]bool) {
	for _, j := range h.list {
		for i := range j.tasks {
			t := &j.tasks[i]
			isHere := t.rack == rack && (t.phase == phaseAsked || t.phase == phaseRunning)
			if !isHere || listed[j.key(i)] || t.rackEpoch == h.racks[rack].epoch {
				continue
			}
			key := j.key(i)
			h.onEnd(now, j, i, &node.NewsItem{Key: key, State: worker.StateStopped, IsLost: true})
		}
	}
}
