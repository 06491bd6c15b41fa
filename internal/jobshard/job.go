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

// phase is where a task is in the home's eyes.
type phase string

const (
	// phaseUncertain may have been started by an earlier owner of the home.
	phaseUncertain phase = "unsure"
	// phaseWaiting has no attempt that runs or may yet start.
	phaseWaiting phase = "waiting"
	// phaseIntending waits for its intent to be in the log.
	phaseIntending phase = "intending"
	// phaseRequested has been asked for; it may start at any moment.
	phaseRequested phase = "asked"
	// phaseRunning runs.
	phaseRunning phase = "running"
	// phaseFinal is over for good.
	phaseFinal phase = "final"
)

// task is one task of a job.
type task struct {
	phase phase
	// attempt, rack and rackEpoch say where the last attempt was asked for.
	attempt   uint64
	rack      state.ShardID
	rackEpoch worker.Epoch
	worker    worker.ID
	// sentAt is when the ask was last sent; notBefore when to try again.
	sentAt, notBefore time.Time
	failures          int
	// workerLosses counts the attempts that were lost with their worker.
	workerLosses  int
	reservationID uint64
	// isIntended means that the log has the intent to start it, which may be
	// acted on once, by the home that wrote it.
	isIntended bool
	// deferred is the newest end that was told while the phase is phaseUnsure; nil
	// for none.
	deferred   *deferredEnd
	finalState leverdyke.TaskState
}

// job is a job that has not ended.
type job struct {
	id string
	// number names the job in the log.
	number  uint64
	spec    leverdyke.JobSpec
	addedAt time.Time
	tasks   []task
	// requested counts the unanswered asks by rack, running the running tasks.
	requested, running map[state.ShardID]int
	waiting            int
	failures           int
	hasStarted         bool
	// isEnding means that no task starts any more.
	isEnding bool
	gang     gang
	// expectedUsage is the most that a rack has told its tasks to take; zero while
	// that is what they declare.
	expectedUsage leverdyke.Resources
	// blockedSince is since when there is no room for any of its tasks; zero
	// while there is. starvedRequestAt and starvedRack are the last ask of a starved
	// job, and the place of the rack in the order.
	blockedSince, starvedRequestAt time.Time
	starvedRackIndex               int
	// waitReason says waitReason the job's tasks wait, for an operator.
	waitReason string
	// lackingResource names what no worker has enough of; empty if the job can run.
	lackingResource string
}

// AddJob takes a job from the fold. isFresh means that it was accepted after
// this home's claim, so that no earlier owner can have started anything of it.
func (h *Shard) AddJob(now time.Time, id string, s *state.Job, isFresh bool) {
	if h.jobs[id] != nil || s.IsEnded {
		return
	}
	j := &job{
		id: id, number: s.Number, spec: s.Spec, addedAt: now, tasks: make([]task, len(s.Marks)),
		requested: map[state.ShardID]int{}, running: map[state.ShardID]int{}, failures: s.Failures,
	}
	h.jobs[id] = j
	h.jobList = append(h.jobList, j)
	for i, m := range s.Marks {
		t := &j.tasks[i]
		t.isIntended = m == state.MarkIntended
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

// EndJobs takes jobs out that the fold has ended: what runs of them is stopped,
// in one message a rack however many they are.
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

func (h *Shard) orderStops(stops map[state.ShardID][]worker.Key) {
	for _, rack := range h.rackOrder {
		if keys := stops[rack]; len(keys) > 0 {
			h.sendToRack(rack, node.Message{AttemptOrder: &node.AttemptOrder{JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: rack, Action: worker.DeedStop, Keys: keys}})
		}
	}
}

func (j *job) key(i int) worker.Key {
	return worker.Key{Task: leverdyke.TaskID{Job: j.id, Index: i}, Attempt: j.tasks[i].attempt}
}

// neededCapacity is what a rack must have for one more task.
func (j *job) neededCapacity() leverdyke.Resources { return j.spec.Each.Max(j.expectedUsage) }

// setPhase moves a task and keeps the counts that hang on it: what the team
// uses, what is asked for and runs by rack, how many tasks wait.
func (h *Shard) setPhase(j *job, i int, p phase) {
	t := &j.tasks[i]
	h.countPhase(j, t, -1)
	t.phase = p
	h.countPhase(j, t, +1)
}

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

// addCount keeps no zero counts, so that an empty map means none.
func addCount(counts map[state.ShardID]int, rack state.ShardID, by int) {
	counts[rack] += by
	if counts[rack] == 0 {
		delete(counts, rack)
	}
}

func (h *Shard) addUsage(j *job, by int) {
	h.usage[j.spec.Team] = h.usage[j.spec.Team].Add(j.spec.Each.Times(int64(by)))
}

// updateQueue brings the queue's entry up to the job's waiting tasks.
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

// backoff returns how long a task waits after its n-th failure: doubling, with
// a jitter that hangs on the task alone, so that the same input gives the same
// decision.
func backoff(id leverdyke.TaskID, n int) time.Duration {
	d := min(initialBackoff<<min(max(n-1, 0), 10), maxBackoff)
	jitter := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", id.Job, id.Index, n)) % 512
	return d/2 + time.Duration(jitter)*d/1024
}

// wakeDelayed makes the scan look again at tasks whose delay is over.
func (h *Shard) wakeDelayed(now time.Time) {
	if now.Sub(h.scannedAt) >= scanPeriod {
		h.isScanDue = true
	}
}

func (h *Shard) failMissedDeadlines(now time.Time) {
	for _, j := range h.jobList {
		if j.spec.Deadline > 0 && !j.hasStarted && !j.isEnding && now.Sub(j.addedAt) > j.spec.Deadline && j.waiting == len(j.tasks) {
			h.failJob(j, "it could not be started within its deadline")
		}
	}
}

// failJob ends a job for good: what waits never starts, what runs is stopped.
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

// TaskStatus is what an operator sees of a task.
type TaskStatus struct {
	Index   int                 `json:"index"`
	State   leverdyke.TaskState `json:"state"`
	Worker  worker.ID           `json:"worker,omitempty"`
	Attempt uint64              `json:"attempt,omitempty"`
}

// JobStatus is what an operator sees of a job that has not ended.
type JobStatus struct {
	ID       string       `json:"id"`
	Why      string       `json:"why"`
	Failures int          `json:"failures"`
	Tasks    []TaskStatus `json:"tasks"`
}

// Status returns what the home knows of a job, or nil.
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
