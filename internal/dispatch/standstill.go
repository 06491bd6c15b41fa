// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// standstillLogAfter is how long nothing of a job has run, although tasks of a step may start, before
	// that is logged.
	standstillLogAfter = 3 * time.Second
	// standstillLogInterval is the time between two lines on one step, maxStandstillsLogged bounds the steps
	// that are logged at once, and maxStandstillsSurveyed those for which all workers are looked at.
	standstillLogInterval  = time.Second
	maxStandstillsLogged   = 8
	maxStandstillsSurveyed = 64
)

// standstill is a step whose tasks may start, and of whose job nothing has run for long.
type standstill struct {
	step   *step
	queue  order.Queue
	since  time.Time
	survey workerSurvey
}

// logStandstills logs which jobs have had nothing running for long, those beside workers with room first.
// Long-running tasks have a line of their own.
func (e *Engine) logStandstills() {
	if e.now.Before(e.standstillLogDueAt) {
		return
	}
	e.standstillLogDueAt = e.now.Add(standstillLogInterval)
	found := e.standstills()
	slices.SortStableFunc(found, func(a, b standstill) int { return a.since.Compare(b.since) })
	surveyed := found[:min(len(found), maxStandstillsSurveyed)]
	for i := range surveyed {
		surveyed[i].survey = e.surveyWorkers(surveyed[i].step, &surveyed[i].queue)
	}
	slices.SortStableFunc(surveyed, func(a, b standstill) int { return cmp.Compare(a.rank(), b.rank()) })
	for i := range surveyed[:min(len(surveyed), maxStandstillsLogged)] {
		e.logStandstill(&surveyed[i], len(found))
	}
}

// standstills returns the steps of which nothing has run for standstillLogAfter, one of each job.
func (e *Engine) standstills() []standstill {
	found := []standstill{}
	for _, j := range e.activeJobs {
		s := j.waitingStep()
		if s == nil || j.state.IsFinal() || e.now.Sub(s.stoodSince()) < standstillLogAfter || j.hasRunning() {
			continue
		}
		if q, ok := e.queues[j.spec.Queue]; ok {
			found = append(found, standstill{step: s, queue: q, since: s.stoodSince()})
		}
	}
	return found
}

// waitingStep returns the step with waiting tasks that may start that was opened first; nil if there is none.
func (j *job) waitingStep() *step {
	var first *step
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.isOpen && s.waiting > 0 && !s.spec.IsLongRunning && (first == nil || compareOpened(s, first) < 0) {
				first = s
			}
		}
	}
	return first
}

// compareOpened orders the steps of a job by when they were opened.
func compareOpened(a, b *step) int {
	return cmp.Or(a.openedAt.Compare(b.openedAt), cmp.Compare(a.id.Round, b.id.Round), cmp.Compare(a.id.Step, b.id.Step))
}

// hasRunning reports whether an attempt of the job is known to run.
func (j *job) hasRunning() bool {
	return j.attempts > 0 && slices.ContainsFunc(j.currentAttempts(), func(a *attempt) bool { return a.phase == phaseRunning })
}

// stoodSince returns since when tasks of the step may start and nothing of its job has run.
func (s *step) stoodSince() time.Time {
	if s.job.ranAt.After(s.openedAt) {
		return s.job.ranAt
	}
	return s.openedAt
}

// isBesideRoom reports whether the step waits although a worker has room, no limit holds it back and nothing
// of its job counts as running.
func (s *standstill) isBesideRoom(allowed int) bool {
	return s.survey.hasRoom && allowed > 0 && s.step.job.attempts == 0
}

// rank orders what is logged: steps beside workers with room first.
func (s *standstill) rank() int {
	if s.survey.hasRoom {
		return 0
	}
	return 1
}

// logStandstill logs one step. standing is how many jobs stand still.
func (e *Engine) logStandstill(s *standstill, standing int) {
	allowed := e.allowedByQuota(s.step)
	event := events.JobWaits
	if s.isBesideRoom(allowed) {
		event = events.JobStandsStill
	}
	p := &s.step.permissions
	channels, free := e.planner.Channels().Len()
	e.options.Log(event, "step", s.step.id, "queue", s.queue.Name, "stood", e.now.Sub(s.since), "tasks", s.step.waiting, "atOnce", s.step.startsAtOnce(), "reason", s.step.waitReason,
		"asking", p.IsQuerying(), "query", p.Outcome(), "asked", e.sinceLastQuery(s.step, s.since), "permits", p.PermitCount(e.now), "passedOver", countsText(s.survey.counts),
		"tried", e.now.Sub(s.step.triedAt), "pass", e.now.Sub(e.passedAt), "counted", countsText(s.step.job.phases()), "allowed", allowed,
		"capacity", s.survey.capacity, "charged", s.survey.charged, "listed", s.survey.listed, "lanes", channels, "free", free, "standing", standing)
}

// phases counts the attempts of the job by phase.
func (j *job) phases() map[phase]int {
	counts := map[phase]int{}
	for _, a := range j.currentAttempts() {
		counts[a.phase]++
	}
	return counts
}

// startsAtOnce returns how many tasks of the step start together: all of a gang, or one.
func (s *step) startsAtOnce() int {
	if s.spec.IsGang {
		return len(s.tasks)
	}
	return 1
}

// sinceLastQuery returns how long ago the last permission query of a step was made, or how long it has
// waited if that is less.
func (e *Engine) sinceLastQuery(s *step, waitingSince time.Time) time.Duration {
	at := s.permissions.LastCallAt()
	if at.Before(waitingSince) {
		at = waitingSince
	}
	return e.now.Sub(at)
}
