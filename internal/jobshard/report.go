// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import (
	"fmt"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// OnStartReply handles a rack owner's reply to start requests.
func (h *Shard) OnStartReply(now time.Time, reply *node.StartReply) {
	v := h.racks[reply.Rack]
	if v == nil || reply.JobShard != h.ID {
		return
	}
	for _, r := range reply.Results {
		h.onStartResult(now, v, reply, &r)
	}
	if reply.Summary != nil {
		h.OnRackSummary(reply.Summary)
	}
}

// onStartResult handles the reply for one attempt: it runs, or the rack refused
// it.
func (h *Shard) onStartResult(now time.Time, v *rackView, reply *node.StartReply, r *node.StartResult) {
	j := h.jobs[r.Key.Task.Job]
	isCurrent := j != nil && r.Key.Task.Index >= 0 && r.Key.Task.Index < len(j.tasks) && j.tasks[r.Key.Task.Index].attempt == r.Key.Attempt
	if !isCurrent {
		if r.Worker != "" {
			// The job has ended, or the task has another current attempt.
			h.orderStop(reply.Rack, r.Key)
		}
		return
	}
	t := &j.tasks[r.Key.Task.Index]
	if t.phase != phaseRequested || t.rack != reply.Rack || t.rackEpoch != reply.RackEpoch {
		return
	}
	if r.Worker != "" {
		h.markRunning(now, j, r.Key.Task.Index, r.Worker)
		return
	}
	// Each shard goes through the racks in the same order but starts at another
	// one, and continues after the rack that refused. This keeps the shards from
	// requesting the same racks at the same time (docs/MEASUREMENTS.md).
	switch {
	case r.ExpectedUsage != nil:
		// The rack has capacity for what the task declares, but not for what it will
		// use.
		j.expectedUsage = j.expectedUsage.Max(*r.ExpectedUsage)
	case !h.isStarved(j):
		h.rackOffset = slices.Index(h.rackOrder, reply.Rack) + 1
		v.backoffUntil = now.Add(refusalBackoff)
	}
	v.pending = v.pending.Sub(j.spec.Each)
	h.setPhase(j, r.Key.Task.Index, phaseWaiting)
	j.waitReason = "a rack refused it: " + r.RefusalReason
	h.updateQueue(j)
	if j.spec.Kind == leverdyke.KindGang {
		h.restartGang(j, "a held place was refused")
	}
}

// markRunning handles that the requested attempt of a task has started.
func (h *Shard) markRunning(now time.Time, j *job, i int, w worker.ID) {
	t := &j.tasks[i]
	h.setPhase(j, i, phaseRunning)
	t.worker = w
	j.hasStarted = true
	h.endStarvation(j)
	h.output.Starts = append(h.output.Starts, TaskStart{j.key(i), j.spec.Class, now.Sub(later(j.addedAt, t.notBefore)), w})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OnAttemptReport handles a rack owner's report on the attempts of the shard.
// The first full report of an epoch with a complete inventory also ends the
// attempts that the rack's owner does not know.
func (h *Shard) OnAttemptReport(now time.Time, report *node.AttemptReport) {
	v := h.racks[report.Rack]
	if v == nil || report.JobShard != h.ID || report.RackEpoch != v.epoch {
		return
	}
	listed := map[worker.Key]bool{}
	ended := []worker.Key{}
	for i := range report.Items {
		item := &report.Items[i]
		listed[item.Key] = true
		if h.onAttemptStatus(now, report, item) {
			ended = append(ended, item.Key)
		}
	}
	h.ackAttempts(report.Rack, ended)
	if report.IsFullReport && report.IsInventoryComplete && !v.isSynced {
		v.isSynced = true
		h.endMissingAttempts(now, report.Rack, listed)
		h.resolveUncertainTasks(now)
	}
}

// ackAttempts allows a rack's owner to forget ended attempts.
func (h *Shard) ackAttempts(rack state.ShardID, keys []worker.Key) {
	if len(keys) > 0 {
		h.sendToRack(rack, node.Message{AttemptReportAck: &node.AttemptReportAck{JobShard: h.ID, Rack: rack, Keys: keys}})
	}
}

// onAttemptStatus handles the reported state of one attempt. It reports whether
// the rack may forget the attempt at once.
func (h *Shard) onAttemptStatus(now time.Time, report *node.AttemptReport, item *node.AttemptStatus) bool {
	hasEnded := item.State != worker.StateRunning
	j := h.jobs[item.Key.Task.Job]
	i := item.Key.Task.Index
	if j == nil || i < 0 || i >= len(j.tasks) || j.tasks[i].phase == phaseFinal {
		if !hasEnded {
			h.orderStop(report.Rack, item.Key)
		}
		// An end that waits to be recorded is acknowledged only after that.
		return hasEnded && !h.isEndUnrecorded(item.Key)
	}
	t := &j.tasks[i]
	switch {
	case t.phase == phaseUncertain && hasEnded && mayHaveSuccessor(j, item):
		return h.deferEnd(t, report, item)
	case t.phase == phaseUncertain:
		h.uncertainTasks--
		h.ackDeferredEnd(t)
		h.adoptAttempt(j, i, report.Rack, report.RackEpoch, item)
	case t.attempt == item.Key.Attempt && t.rack == report.Rack:
		if t.rackEpoch != report.RackEpoch {
			h.adoptAttempt(j, i, report.Rack, report.RackEpoch, item)
		}
	default:
		if !hasEnded {
			h.emitEvent(EventDuplicateAttempt, j.id, item.Key.String())
			h.orderStop(report.Rack, item.Key)
		}
		return hasEnded
	}
	if !hasEnded {
		if t.phase == phaseRequested {
			h.markRunning(now, j, i, item.Worker)
		}
		return false
	}
	return h.onAttemptEnd(now, j, i, item)
}

// adoptAttempt makes a reported attempt the current attempt of its task.
func (h *Shard) adoptAttempt(j *job, i int, rack state.ShardID, epoch worker.Epoch, item *node.AttemptStatus) {
	t := &j.tasks[i]
	// Take the task out of the counts first: they depend on the fields that change.
	h.countPhase(j, t, -1)
	t.phase = phaseRunning
	t.attempt, t.rack, t.rackEpoch, t.worker = item.Key.Attempt, rack, epoch, item.Worker
	h.countPhase(j, t, +1)
	j.hasStarted = true
	if j.spec.Kind == leverdyke.KindGang {
		j.gang.isStarted = true
	}
}

// orderStop sends a rack the order to stop one attempt.
func (h *Shard) orderStop(rack state.ShardID, k worker.Key) {
	h.sendToRack(rack, node.Message{AttemptOrder: &node.AttemptOrder{
		JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: rack, Action: worker.ActionStop, Keys: []worker.Key{k},
	}})
}

// onAttemptEnd decides what follows the end of an attempt. It reports whether
// the rack may forget the attempt at once; the rack keeps a final end until the
// log has it.
func (h *Shard) onAttemptEnd(now time.Time, j *job, i int, item *node.AttemptStatus) bool {
	t := &j.tasks[i]
	h.addFreedCapacity(j, t.rack)
	isService := j.spec.Kind == leverdyke.KindService
	switch {
	case item.State == worker.StateSucceeded && !isService:
		h.setPhase(j, i, phaseFinal)
		h.queueFinal(j, i, leverdyke.TaskDone, &item.Key, 0, "")
		return false
	case item.State == worker.StateSucceeded || item.State == worker.StateFailed:
		return h.onFailure(now, j, i, item)
	case j.spec.IsOnce:
		h.setPhase(j, i, phaseFinal)
		h.emitEvent(EventUnknownOutcome, j.id, item.Key.String())
		h.queueFinal(j, i, leverdyke.TaskUnknown, &item.Key, 0, "")
		return false
	}
	if item.IsLost && item.Worker != "" {
		return h.onWorkerLoss(now, j, i, item)
	}
	// The attempt was stopped or checkpointed, which is no failure: the task runs
	// again.
	t.notBefore = now
	h.setPhase(j, i, phaseWaiting)
	h.updateQueue(j)
	h.restartIfGang(j, item.Key)
	return true
}

// addFreedCapacity corrects the summary of a rack in which a task has ended,
// since racks report small changes with a delay.
func (h *Shard) addFreedCapacity(j *job, rack state.ShardID) {
	v := h.racks[rack]
	if v == nil || !v.hasSummary {
		return
	}
	v.pending = v.pending.Sub(j.spec.Each)
	v.summary.Largest = v.summary.Largest.Max(j.spec.Each)
	h.isScanDue = true
}

// onFailure handles a failed attempt: the task starts again after a delay,
// unless it may not be repeated or the job's failure budget is used up.
func (h *Shard) onFailure(now time.Time, j *job, i int, item *node.AttemptStatus) bool {
	t := &j.tasks[i]
	if j.spec.IsOnce {
		h.setPhase(j, i, phaseFinal)
		h.queueFinal(j, i, leverdyke.TaskFailed, &item.Key, 1, "")
		return false
	}
	if !item.IsWorkerAtFault {
		t.failures++
		j.failures++
	}
	t.notBefore = now.Add(backoff(item.Key.Task, max(t.failures, 1)))
	h.setPhase(j, i, phaseWaiting)
	if j.failures >= h.failureBudget(j) && j.spec.Kind != leverdyke.KindService {
		h.failJob(j, fmt.Sprintf("%d attempts failed, which is its budget", j.failures))
		return true
	}
	h.updateQueue(j)
	h.restartIfGang(j, item.Key)
	return true
}

// lossesWithoutBackoff is how many times a task that was lost with its worker
// starts again without a delay.
const lossesWithoutBackoff = 2

// onWorkerLoss handles an attempt that was lost with its worker. The task
// itself may have crashed the worker, which cannot report a failure; without a
// limit such a task would crash one worker after the other without end. The
// failure budget is applied to the losses of each task alone, since most losses
// have another cause.
func (h *Shard) onWorkerLoss(now time.Time, j *job, i int, item *node.AttemptStatus) bool {
	t := &j.tasks[i]
	t.workerLosses++
	t.notBefore = now
	if t.workerLosses > lossesWithoutBackoff {
		t.notBefore = now.Add(backoff(item.Key.Task, t.workerLosses-lossesWithoutBackoff))
	}
	h.setPhase(j, i, phaseWaiting)
	if t.workerLosses >= h.failureBudget(j) && j.spec.Kind != leverdyke.KindService {
		h.failJob(j, fmt.Sprintf("a task was lost with its worker %d times, which is its budget", t.workerLosses))
		return true
	}
	h.updateQueue(j)
	h.restartIfGang(j, item.Key)
	return true
}

// failureBudget returns after how many failures the job fails.
func (h *Shard) failureBudget(j *job) int {
	if j.spec.MaxFailures > 0 {
		return j.spec.MaxFailures
	}
	return h.options.MaxFailures
}

// endMissingAttempts ends the attempts that the new owner of a rack does not
// know: they have ended, or were never started and never will be.
func (h *Shard) endMissingAttempts(now time.Time, rack state.ShardID, listed map[worker.Key]bool) {
	for _, j := range h.jobList {
		for i := range j.tasks {
			t := &j.tasks[i]
			isOnRack := t.rack == rack && (t.phase == phaseRequested || t.phase == phaseRunning)
			if !isOnRack || listed[j.key(i)] || t.rackEpoch == h.racks[rack].epoch {
				continue
			}
			key := j.key(i)
			h.onAttemptEnd(now, j, i, &node.AttemptStatus{Key: key, State: worker.StateStopped, IsLost: true})
		}
	}
}
