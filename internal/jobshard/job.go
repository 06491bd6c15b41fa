// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/queue"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// phase is the state of a task as the shard knows it.
type phase string

const (
	// phaseUncertain: a previous owner of the shard may have started the task, and
	// not every rack has reported yet.
	phaseUncertain phase = "unsure"
	// phaseWaiting: no attempt runs or may still start.
	phaseWaiting phase = "waiting"
	// phaseIntending: the task may not be repeated, and the record that it is about
	// to start is being written to the log.
	phaseIntending phase = "intending"
	// phaseRequested: a rack was asked to start an attempt and has not replied; the
	// attempt may start at any moment.
	phaseRequested phase = "asked"
	// phaseRunning: an attempt runs.
	phaseRunning phase = "running"
	// phaseFinal: the task has ended and never starts again.
	phaseFinal phase = "final"
)

type task struct {
	phase phase
	// attempt is the number of the last attempt; rack and rackEpoch are where its
	// start was requested, worker is where it runs.
	attempt   uint64
	rack      state.ShardID
	rackEpoch worker.Epoch
	worker    worker.ID
	// sentAt is when the start request was last sent; notBefore is the earliest time
	// of the next attempt.
	sentAt, notBefore time.Time
	failures          int
	// workerLosses counts the attempts that were lost with their worker.
	workerLosses  int
	reservationID uint64
	// isIntended means that the log has a record that the task is about to start.
	// Only the owner that wrote the record may start the task, and only once.
	isIntended bool
	// deferred is the newest reported end of an attempt while the task is in
	// phaseUncertain; nil if none.
	deferred   *deferredEnd
	finalState leverdyke.TaskState
}

// job is a job that has not ended.
type job struct {
	id string
	// number identifies the job in log records.
	number  uint64
	spec    leverdyke.JobSpec
	addedAt time.Time
	tasks   []task
	// requested counts the unanswered start requests by rack, running the running
	// tasks.
	requested, running map[state.ShardID]int
	waiting            int
	failures           int
	hasStarted         bool
	// isEnding means that the job has failed and its tasks are being ended: none
	// starts any more.
	isEnding bool
	gang     gang
	// expectedUsage is the largest usage of a task that a rack has reported as to be
	// expected; zero as long as no rack has reported more than the tasks declare.
	expectedUsage leverdyke.Resources
	// blockedSince is since when no rack has had free capacity for any task of the
	// job; zero if one has. starvedRequestAt is when a rack was last asked to keep a
	// VM free for the job, starvedRackIndex that rack's index in the order of racks.
	blockedSince, starvedRequestAt time.Time
	starvedRackIndex               int
	// waitReason says why the job's tasks wait, for operators.
	waitReason string
	// lackingResource names the resource that no worker has enough of for a task;
	// empty if the job can run.
	lackingResource string
}

// AddJob adds a job from the replicated state. isFresh means that the job was
// accepted after this owner's claim to the shard, so that no previous owner can
// have started any of its tasks.
func (h *Shard) AddJob(now time.Time, id string, s *state.Job, isFresh bool) {
	if h.jobs[id] != nil || s.IsEnded {
		return
	}
	j := &job{
		id: id, number: s.Number, spec: s.Spec, addedAt: now, tasks: make([]task, len(s.TaskStates)),
		requested: map[state.ShardID]int{}, running: map[state.ShardID]int{}, failures: s.Failures,
	}
	h.jobs[id] = j
	h.jobList = append(h.jobList, j)
	for i, m := range s.TaskStates {
		t := &j.tasks[i]
		t.isIntended = m == state.RecordedIntent
		switch {
		case m.IsFinal():
			t.phase = phaseFinal
		case isFresh:
			t.phase = phaseWaiting
			j.waiting++
		default:
			t.phase = phaseUncertain
			h.uncertainTasks++
		}
	}
	h.updateQueue(j)
}

// EndJobs removes jobs that have ended in the replicated state and stops their
// attempts, with one message to each rack however many jobs there are.
func (h *Shard) EndJobs(ids []string) {
	stops := map[state.ShardID][]worker.Key{}
	for _, id := range ids {
		j := h.jobs[id]
		if j == nil {
			continue
		}
		for i := range j.tasks {
			h.collectStop(j, i, stops)
		}
		h.releaseReservation(j)
		h.endStarvation(j)
		delete(h.jobs, id)
	}
	h.jobList = slices.DeleteFunc(h.jobList, func(j *job) bool { return h.jobs[j.id] != j })
	h.queue.RemoveAll(ids)
	h.orderStops(stops)
	h.isScanDue = true
}

// collectStop adds the task's attempt to stops, by rack, if it runs or may
// start.
func (h *Shard) collectStop(j *job, i int, stops map[state.ShardID][]worker.Key) {
	t := &j.tasks[i]
	switch t.phase {
	case phaseUncertain:
		h.uncertainTasks--
	case phaseRequested, phaseRunning:
		stops[t.rack] = append(stops[t.rack], j.key(i))
		h.setPhase(j, i, phaseFinal)
	}
}

// orderStops sends each rack the order to stop its attempts.
func (h *Shard) orderStops(stops map[state.ShardID][]worker.Key) {
	for _, rack := range h.rackOrder {
		if keys := stops[rack]; len(keys) > 0 {
			h.sendToRack(rack, node.Message{AttemptOrder: &node.AttemptOrder{JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: rack, Action: worker.ActionStop, Keys: keys}})
		}
	}
}

func (j *job) key(i int) worker.Key {
	return worker.Key{Task: leverdyke.TaskID{Job: j.id, Index: i}, Attempt: j.tasks[i].attempt}
}

// neededCapacity is the capacity that a rack must have free for one more task.
func (j *job) neededCapacity() leverdyke.Resources { return j.spec.Each.Max(j.expectedUsage) }

// setPhase changes the phase of a task together with the counts that depend on
// it: the team's usage, the requested and running tasks by rack, and the number
// of waiting tasks.
func (h *Shard) setPhase(j *job, i int, p phase) {
	t := &j.tasks[i]
	h.countPhase(j, t, -1)
	t.phase = p
	h.countPhase(j, t, +1)
}

// countPhase adds by to the counts to which the task's phase belongs.
func (h *Shard) countPhase(j *job, t *task, by int) {
	switch t.phase {
	case phaseWaiting:
		j.waiting += by
	case phaseIntending:
		h.addUsage(j, by)
	case phaseRequested:
		addCount(j.requested, t.rack, by)
		h.addUsage(j, by)
	case phaseRunning:
		addCount(j.running, t.rack, by)
		h.addUsage(j, by)
	}
}

// addCount deletes counts that become 0, so that an empty map means that there
// are none.
func addCount(counts map[state.ShardID]int, rack state.ShardID, by int) {
	counts[rack] += by
	if counts[rack] == 0 {
		delete(counts, rack)
	}
}

// addUsage adds the capacity of by tasks to the usage of the job's team.
func (h *Shard) addUsage(j *job, by int) {
	h.usage[j.spec.Team] = h.usage[j.spec.Team].Add(j.spec.Each.Times(int64(by)))
}

// updateQueue updates the job's queue entry to its number of waiting tasks.
func (h *Shard) updateQueue(j *job) {
	h.isScanDue = true
	if j.waiting == 0 || j.isEnding {
		h.queue.Remove(j.id)
		return
	}
	h.queue.Put(queue.Entry{
		Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Need: j.spec.Each, Waiting: j.waiting, Since: j.addedAt,
	})
}

// backoff returns the delay before a task starts again after its n-th failure.
// It doubles with each failure. The jitter is a hash of the task and n, so that
// the same input always gives the same decision.
func backoff(id leverdyke.TaskID, n int) time.Duration {
	d := min(initialBackoff<<min(max(n-1, 0), 10), maxBackoff)
	jitter := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", id.Job, id.Index, n)) % 512
	return d/2 + time.Duration(jitter)*d/1024
}

// wakeDelayed makes a scan due every scanPeriod, which finds the tasks whose
// delay has ended.
func (h *Shard) wakeDelayed(now time.Time) {
	if now.Sub(h.scannedAt) >= scanPeriod {
		h.isScanDue = true
	}
}

// failMissedDeadlines fails the jobs of which no task has started within the
// deadline.
func (h *Shard) failMissedDeadlines(now time.Time) {
	for _, j := range h.jobList {
		if j.spec.Deadline > 0 && !j.hasStarted && !j.isEnding && now.Sub(j.addedAt) > j.spec.Deadline && j.waiting == len(j.tasks) {
			h.failJob(j, "it could not be started within its deadline")
		}
	}
}

// failJob ends a job: waiting tasks never start, and running ones are stopped.
// Tasks whose intent is being written stay until the log has answered.
func (h *Shard) failJob(j *job, reason string) {
	if j.isEnding {
		return
	}
	j.isEnding = true
	h.endStarvation(j)
	j.waitReason = reason
	h.emitEvent(EventJobFailed, j.id, reason)
	stops := map[state.ShardID][]worker.Key{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseRequested || t.phase == phaseRunning {
			stops[t.rack] = append(stops[t.rack], j.key(i))
		}
		if t.phase != phaseFinal && t.phase != phaseIntending {
			if t.phase == phaseUncertain {
				h.uncertainTasks--
			}
			h.setPhase(j, i, phaseFinal)
			h.queueFinal(j, i, leverdyke.TaskFailed, nil, 0, reason)
		}
	}
	h.releaseReservation(j)
	h.orderStops(stops)
	h.updateQueue(j)
}

// TaskStatus is a task as shown to operators.
type TaskStatus struct {
	Index   int                 `json:"index"`
	State   leverdyke.TaskState `json:"state"`
	Worker  worker.ID           `json:"worker,omitempty"`
	Attempt uint64              `json:"attempt,omitempty"`
}

// JobStatus is a job that has not ended, as shown to operators.
type JobStatus struct {
	ID       string       `json:"id"`
	Why      string       `json:"why"`
	Failures int          `json:"failures"`
	Tasks    []TaskStatus `json:"tasks"`
}

// Status returns what the shard knows about a job, or nil if it does not have
// the job.
func (h *Shard) Status(id string) *JobStatus {
	j := h.jobs[id]
	if j == nil {
		return nil
	}
	s := &JobStatus{ID: id, Why: h.explain(j), Failures: j.failures}
	for i := range j.tasks {
		t := &j.tasks[i]
		s.Tasks = append(s.Tasks, TaskStatus{Index: i, State: t.publicState(), Worker: t.worker, Attempt: t.attempt})
	}
	return s
}

// publicState returns the state of the task in the terms of the API.
func (t *task) publicState() leverdyke.TaskState {
	switch t.phase {
	case phaseRunning:
		return leverdyke.TaskRunning
	case phaseRequested, phaseIntending:
		return leverdyke.TaskAsked
	case phaseFinal:
		if t.finalState != "" {
			return t.finalState
		}
		return leverdyke.TaskDone
	}
	return leverdyke.TaskWaiting
}

// explain returns why tasks of the job do not run, or an empty string.
func (h *Shard) explain(j *job) string {
	switch {
	case j.lackingResource != "":
		return "it can never run: no worker of the region has enough " + j.lackingResource
	case j.waiting == 0 && h.hasUncertainTasks(j):
		return "its home has moved, and not every rack has said yet whether tasks of it run"
	case j.waiting == 0:
		return ""
	}
	return j.waitReason
}

func (h *Shard) hasUncertainTasks(j *job) bool {
	for i := range j.tasks {
		if j.tasks[i].phase == phaseUncertain {
			return true
		}
	}
	return false
}
