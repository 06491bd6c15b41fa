// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// maxWaitingRounds is how many rounds of a job may have waiting tasks until further ones that are due are opened. Each of
// their steps is looked at in each scheduling pass.
const maxWaitingRounds = 128

// round is one repetition of a job's steps. A job that is not periodic has a single one.
type round struct {
	number    int
	dueAt     time.Time
	steps     []*step
	stepsLeft int
}

// openRounds opens the rounds that are due, as far as mayOpenRound allows: what is held of a job grows with what may run soon,
// not with what is due.
func (e *Engine) openRounds(j *job) {
	if j.spec.Rounds == 0 {
		if j.rounds[0] == nil && j.roundsLeft > 0 {
			e.openRound(j, 0)
		}
		e.openSteps(j.rounds[0])
		return
	}
	for j.nextRound < j.spec.Rounds {
		due := j.dueAt(j.nextRound)
		if e.now.Add(e.wallClockOffset).Before(due) {
			return
		}
		k := j.nextRound
		if j.roundsDone.IsDone(k) || j.rounds[k] != nil {
			j.nextRound++
			continue
		}
		if !e.mayOpenRound(j) {
			return
		}
		j.nextRound++
		e.openSteps(e.openRound(j, k))
	}
}

func (j *job) dueAt(k int) time.Time {
	if j.spec.Rounds == 0 {
		return j.acceptedAt
	}
	return j.spec.StartAt.Add(time.Duration(k) * j.spec.Interval)
}

func (e *Engine) openRound(j *job, k int) *round {
	r := &round{number: k, dueAt: j.dueAt(k), stepsLeft: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{
			job: j, round: r, id: work.StepID{Job: j.spec.ID, Round: k, Step: i}, spec: spec,
			tasks: make([]task, spec.Count), tasksLeft: spec.Count, waiting: spec.Count,
		}
		for t := range s.tasks {
			s.tasks[t].state = taskWaiting
		}
		r.steps = append(r.steps, s)
	}
	j.rounds[k] = r
	if len(j.rounds) > 1 {
		e.furtherRoundBytes += j.furtherBytes
	}
	return r
}

// findReportedTask is findTask for a task that a worker reports. A previous owner may have opened other rounds than this one, so
// the round of the task is opened if it is due and not done.
func (e *Engine) findReportedTask(id work.TaskID) (*step, *task) {
	j := e.jobs[id.Job]
	if j == nil || j.rounds[id.Round] != nil || j.state.IsFinal() || !j.isPersisted || id.Round < 0 || id.Round >= j.spec.Rounds ||
		j.roundsDone.IsDone(id.Round) || e.now.Add(e.wallClockOffset).Before(j.dueAt(id.Round)) {
		return e.findTask(id)
	}
	e.openSteps(e.openRound(j, id.Round))
	return e.findTask(id)
}

// mayOpenRound reports whether another round of a job may be opened. The first one always may. Further ones of a job take at most
// as much memory as they leave free, so that there is some for other jobs, too.
func (e *Engine) mayOpenRound(j *job) bool {
	if len(j.rounds) == 0 {
		return true
	}
	bytes := int64(len(j.rounds)) * j.furtherBytes
	return bytes <= e.maxFurtherRoundBytes()-e.furtherRoundBytes-j.furtherBytes && j.waitingRounds() < maxWaitingRounds
}

// waitingRounds counts the open rounds that have waiting tasks.
func (j *job) waitingRounds() int {
	n := 0
	for _, r := range j.rounds {
		if r.hasWaiting() {
			n++
		}
	}
	return n
}

func (r *round) hasWaiting() bool {
	for _, s := range r.steps {
		if s.waiting > 0 {
			return true
		}
	}
	return false
}

// dropRounds drops the rounds of a job that are done, or all of one that has ended, once nothing of them may run any more.
func (e *Engine) dropRounds(j *job) {
	for k, r := range j.rounds {
		if r.stepsLeft > 0 && !j.state.IsFinal() || !r.isIdle() {
			continue
		}
		if len(j.rounds) > 1 {
			e.furtherRoundBytes -= j.furtherBytes
		}
		delete(j.rounds, k)
	}
	if j.state.IsFinal() && len(j.rounds) == 0 {
		e.setLargeBytes(j, largeSpecBytes(j.spec))
	}
}

// isIdle reports whether no task of the round has an attempt, or may have one by a previous owner's order.
func (r *round) isIdle() bool {
	for _, s := range r.steps {
		for i := range s.tasks {
			if t := &s.tasks[i]; t.attempt != nil || t.copy != nil || len(t.unwanted) > 0 || len(t.mayRunOn) > 0 {
				return false
			}
		}
	}
	return true
}

// hasProgress reports whether anything of a step has been recorded.
func hasProgress(p work.StepProgress) bool {
	return p.Run > 0 || len(p.Done) > 0 || len(p.Failures) > 0 || len(p.Crashes) > 0 || len(p.Placements) > 0 || len(p.Checkpoints) > 0
}

// openSteps opens the steps of which all dependencies are done.
func (e *Engine) openSteps(r *round) {
	if r == nil {
		return
	}
	for _, s := range r.steps {
		if s.isOpen || !r.areDone(s.spec.After) {
			continue
		}
		s.isOpen = true
		s.openedAt, s.triedAt, s.waitReason = e.now, e.now, waits.Priority
		e.enqueue(s)
		e.needsScheduling = true
	}
}

func (r *round) areDone(steps []int) bool {
	for _, i := range steps {
		if r.steps[i].tasksLeft > 0 {
			return false
		}
	}
	return true
}
