// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/waits"
)

// queryNewJob begins the permission queries of a new job's first steps while the job is being
// persisted. Nothing of the job starts before it is.
func (e *Engine) queryNewJob(j *job) {
	q := e.queues[j.spec.Queue]
	if q.Permission == nil || j.spec.Rounds > 0 || !e.isEnabled(MechanismPermissionPlan) {
		return
	}
	r := e.openRound(j, 0)
	for _, s := range r.steps {
		if len(s.spec.After) == 0 {
			e.queryAhead(s, &q)
		}
	}
}

// queryNextSteps begins the permission queries of steps that will open soon.
func (e *Engine) queryNextSteps() {
	if !e.isEnabled(MechanismPermissionPlan) {
		return
	}
	for _, j := range e.activeJobs {
		if j.state.IsFinal() || len(j.spec.Steps) < 2 || j.rounds[0] == nil || j.spec.Rounds > 0 || e.mayHaveUnknownStarts(j) {
			continue
		}
		q := e.queues[j.spec.Queue]
		if q.Permission == nil {
			continue
		}
		for _, s := range j.rounds[0].steps {
			if !s.isOpen && s.permissions.IsUnasked() && s.permissions.MayQuery(e.now) && e.opensWithin(s, queryTime(&q)+permit.RoundTripMargin) {
				e.queryAhead(s, &q)
			}
		}
	}
}

// opensWithin reports whether all steps that this one depends on are done or expected to be within
// the time d.
func (e *Engine) opensWithin(s *step, d time.Duration) bool {
	return !slices.ContainsFunc(s.spec.After, func(i int) bool { return !e.endsWithin(s.round.steps[i], d) })
}

// endsWithin reports whether all tasks of a step are done or run and are expected to end within the
// time d.
func (e *Engine) endsWithin(s *step, d time.Duration) bool {
	if s.tasksLeft == 0 {
		return true
	}
	if !s.isOpen || s.waiting > 0 || s.spec.IsLongRunning {
		return false
	}
	return !slices.ContainsFunc(s.tasks, func(t task) bool { return t.state != taskDone && !e.attemptEndsWithin(t.attempt, d) })
}

func (e *Engine) attemptEndsWithin(a *attempt, d time.Duration) bool {
	if a == nil || a.phase != phaseRunning || a.isStopping {
		return false
	}
	duration := a.projectedDuration()
	if duration == 0 {
		duration = e.expectedDuration(a.step)
	}
	return duration > 0 && duration-e.now.Sub(a.orderedAt) <= d
}

// queryAhead begins a permission query for a step that may not start yet, if it could start now
// otherwise.
func (e *Engine) queryAhead(s *step, q *order.Queue) {
	if e.isPaused || !e.isOwnershipConfirmed || e.isWriteBehind {
		return
	}
	missing := min(s.waiting, e.allowedByQuota(s))
	if missing == 0 || e.isBehindOthers(s, q) {
		return
	}
	e.planQuery(s, q.Permission, missing, true)
}

// isBehindOthers reports whether a step that is not queued yet would have to wait for others: for
// more urgent ones that wait for capacity of the same pool, or for those that the limit of the same
// customer blocks.
func (e *Engine) isBehindOthers(s *step, q *order.Queue) bool {
	if s.openedAt.IsZero() {
		s.openedAt = e.now
	}
	s.priority = q.Priority
	e.updateRank(s)
	return slices.ContainsFunc(e.stepQueue, func(other *step) bool {
		switch other.waitReason {
		case waits.Limit:
			return other.customer() == s.customer()
		case waits.Capacity:
			return e.compareSteps(other, s) < 0 && e.queues[other.job.spec.Queue].Service == q.Service
		}
		return false
	})
}
