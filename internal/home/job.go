// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package home

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
	// phaseUnsure may have been started by an earlier owner of the home.
	phaseUnsure phase = "unsure"
	// phaseWaiting has no attempt that runs or may yet start.
	phaseWaiting phase = "waiting"
	// phaseIntending waits for its intent to be in the log.
	phaseIntending phase = "intending"
	// phaseAsked has been asked for; it may start at any moment.
	phaseAsked phase = "asked"
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
	// losses counts the attempts that were lost with their worker.
	losses int
	holdID uint64
	// isIntended means that the log has the intent to start it, which may be
	// acted on once, by the home that wrote it.
	isIntended bool
	// kept is the newest end that was told while the phase is phaseUnsure; nil
	// for none.
	kept  *keptEnd
	final leverdyke.TaskState
}

// job is a job that has not ended.
type job struct {
	id string
	// number names the job in the log.
	number uint64
	spec   leverdyke.JobSpec
	since  time.Time
	tasks  []task
	// asked counts the unanswered asks by rack, running the running tasks.
	asked, running map[state.ShardID]int
	waiting        int
	failures       int
	hasStarted     bool
	// isEnding means that no task starts any more.
	isEnding bool
	gang     gang
	// expected is the most that a rack has told its tasks to take; zero while
	// that is what they declare.
	expected leverdyke.Resources
	// blockedSince is since when there is no room for any of its tasks; zero
	// while there is. starvedAt and starvedRack are the last ask of a starved
	// job, and the place of the rack in the order.
	blockedSince, starvedAt time.Time
	starvedRack             int
	// why says why the job's tasks wait, for an operator.
	why string
	// never names what no worker has enough of; empty if the job can run.
	never string
}

// AddJob takes a job from the fold. isFresh means that it was accepted after
// this home's claim, so that no earlier owner can have started anything of it.
func (h *Home) AddJob(now time.Time, id string, s *state.Job, isFresh bool) {
	if h.jobs[id] != nil || s.IsEnded {
		return
	}
	j := &job{
		id: id, number: s.Number, spec: s.Spec, since: now, tasks: make([]task, len(s.Marks)),
		asked: map[state.ShardID]int{}, running: map[state.ShardID]int{}, failures: s.Failures,
	}
	h.jobs[id] = j
	h.list = append(h.list, j)
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
			t.phase = phaseUnsure
			h.unsure++
		}
	}
	h.requeue(j)
}

// EndJobs takes jobs out that the fold has ended: what runs of them is stopped,
// in one message a rack however many they are.
func (h *Home) EndJobs(ids []string) {
	stops := map[state.ShardID][]worker.Key{}
	for _, id := range ids {
		j := h.jobs[id]
		if j == nil {
			continue
		}
		for i := range j.tasks {
			h.collectStop(j, i, stops)
		}
		h.releaseGang(j)
		h.endStarved(j)
		delete(h.jobs, id)
	}
	h.list = slices.DeleteFunc(h.list, func(j *job) bool { return h.jobs[j.id] != j })
	h.queue.RemoveAll(ids)
	h.sendStops(stops)
	h.isDirty = true
}

func (h *Home) collectStop(j *job, i int, stops map[state.ShardID][]worker.Key) {
	t := &j.tasks[i]
	switch t.phase {
	case phaseUnsure:
		h.unsure--
	case phaseAsked, phaseRunning:
		stops[t.rack] = append(stops[t.rack], j.key(i))
		h.setPhase(j, i, phaseFinal)
	}
}

func (h *Home) sendStops(stops map[state.ShardID][]worker.Key) {
	for _, rack := range h.order {
		if keys := stops[rack]; len(keys) > 0 {
			h.toRack(rack, node.Message{Deed: &node.Deed{Home: h.ID, HomeEpoch: h.Epoch, Rack: rack, Deed: worker.ActionStop, Keys: keys}})
		}
	}
}

func (j *job) key(i int) worker.Key {
	return worker.Key{Task: leverdyke.TaskID{Job: j.id, Index: i}, Attempt: j.tasks[i].attempt}
}

// need is what a rack must have for one more task.
func (j *job) need() leverdyke.Resources { return j.spec.Each.Max(j.expected) }

// setPhase moves a task and keeps the counts that hang on it: what the team
// uses, what is asked for and runs by rack, how many tasks wait.
func (h *Home) setPhase(j *job, i int, p phase) {
	t := &j.tasks[i]
	h.count(j, t, -1)
	t.phase = p
	h.count(j, t, +1)
}

func (h *Home) count(j *job, t *task, by int) {
	switch t.phase {
	case phaseWaiting:
		j.waiting += by
	case phaseIntending:
		h.use(j, by)
	case phaseAsked:
		addTo(j.asked, t.rack, by)
		h.use(j, by)
	case phaseRunning:
		addTo(j.running, t.rack, by)
		h.use(j, by)
	}
}

// addTo keeps no zero counts, so that an empty map means none.
func addTo(counts map[state.ShardID]int, rack state.ShardID, by int) {
	counts[rack] += by
	if counts[rack] == 0 {
		delete(counts, rack)
	}
}

func (h *Home) use(j *job, by int) {
	h.used[j.spec.Team] = h.used[j.spec.Team].Add(j.spec.Each.Times(int64(by)))
}

// requeue brings the queue's entry up to the job's waiting tasks.
func (h *Home) requeue(j *job) {
	h.isDirty = true
	if j.waiting == 0 || j.isEnding {
		h.queue.Remove(j.id)
		return
	}
	h.queue.Put(queue.Entry{
		Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Need: j.spec.Each, Waiting: j.waiting, Since: j.since,
	})
}

// backoff returns how long a task waits after its n-th failure: doubling, with
// a jitter that hangs on the task alone, so that the same input gives the same
// decision.
func backoff(id leverdyke.TaskID, n int) time.Duration {
	d := min(firstBackoff<<min(max(n-1, 0), 10), maxBackoff)
	jitter := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", id.Job, id.Index, n)) % 512
	return d/2 + time.Duration(jitter)*d/1024
}

// wakeDelayed makes the scan look again at tasks whose delay is over.
func (h *Home) wakeDelayed(now time.Time) {
	if now.Sub(h.scanned) >= scanPeriod {
		h.isDirty = true
	}
}

func (h *Home) missDeadlines(now time.Time) {
	for _, j := range h.list {
		if j.spec.Deadline > 0 && !j.hasStarted && !j.isEnding && now.Sub(j.since) > j.spec.Deadline && j.waiting == len(j.tasks) {
			h.failJob(j, "it could not be started within its deadline")
		}
	}
}

// failJob ends a job for good: what waits never starts, what runs is stopped.
func (h *Home) failJob(j *job, reason string) {
	if j.isEnding {
		return
	}
	j.isEnding = true
	h.endStarved(j)
	j.why = reason
	h.event(EventJobFailed, j.id, reason)
	stops := map[state.ShardID][]worker.Key{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseAsked || t.phase == phaseRunning {
			stops[t.rack] = append(stops[t.rack], j.key(i))
		}
		if t.phase != phaseFinal && t.phase != phaseIntending {
			if t.phase == phaseUnsure {
				h.unsure--
			}
			h.setPhase(j, i, phaseFinal)
			h.final(j, i, leverdyke.TaskFailed, nil, 0, reason)
		}
	}
	h.releaseGang(j)
	h.sendStops(stops)
	h.requeue(j)
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
func (h *Home) Status(id string) *JobStatus {
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
	case phaseAsked, phaseIntending:
		return leverdyke.TaskAsked
	case phaseFinal:
		if t.final != "" {
			return t.final
		}
		return leverdyke.TaskDone
	}
	return leverdyke.TaskWaiting
}

func (h *Home) explain(j *job) string {
	switch {
	case j.never != "":
		return "it can never run: no worker of the region has enough " + j.never
	case j.waiting == 0 && h.hasUnsure(j):
		return "its home has moved, and not every rack has said yet whether tasks of it run"
	case j.waiting == 0:
		return ""
	}
	return j.why
}

func (h *Home) hasUnsure(j *job) bool {
	for i := range j.tasks {
		if j.tasks[i].phase == phaseUnsure {
			return true
		}
	}
	return false
}
