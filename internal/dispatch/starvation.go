// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// starvationTimeout is how long a job may have nothing running while its pool has free capacity
	// before it goes first. Callers consider a job lost if it makes no progress for longer.
	starvationTimeout = 1500 * time.Millisecond
	// underusedShare is the used fraction of a pool below which the pool counts as having free
	// capacity: tasks then wait for permission, not for capacity.
	underusedShare = 0.6
	// unservedTimeout is how long a job may have nothing running, although there is capacity for one of
	// its steps, before the step's permission queries go first. The wait for a channel and two slow queries
	// fit in the time that callers allow after that.
	unservedTimeout = 800 * time.Millisecond
	// unservedInterval is the time between two searches for that capacity, which may go over all workers.
	unservedInterval = 250 * time.Millisecond
	// unservedFactor is how many times the tasks that start together must fit. Some of the capacity is
	// usually taken by others before the query is answered.
	unservedFactor = 2
)

// idleSince returns since when the step could start and nothing of its job has run. It is meaningful only
// while nothing runs.
func (s *step) idleSince() time.Time {
	if s.job.idleSince.After(s.openedAt) {
		return s.job.idleSince
	}
	return s.openedAt
}

// isStarved reports whether nothing of the step's job has run for starvationTimeout although the
// pool has free capacity.
func (e *Engine) isStarved(s *step, pool string) bool {
	return s.job.attempts == 0 && e.now.Sub(s.idleSince()) >= starvationTimeout && e.poolUsage[pool] < underusedShare
}

// updateUnserved determines anew whether the step is unserved if the last result is older than
// unservedInterval or the step is not idle.
func (e *Engine) updateUnserved(s *step, q *order.Queue) {
	if q.Permission == nil || !s.isOpen || !e.isIdle(s) {
		s.isUnserved, s.unservedDueAt = false, time.Time{}
		return
	}
	if e.now.Before(s.unservedDueAt) {
		return
	}
	s.isUnserved, s.unservedDueAt = e.hasCapacityFor(s, q), e.now.Add(unservedInterval)
}

// isIdle reports whether nothing of the step's job has run for unservedTimeout or, of a long-running step, one of
// its tasks has not, whether or not others run.
func (e *Engine) isIdle(s *step) bool {
	if s.spec.IsLongRunning {
		return slices.ContainsFunc(s.tasks, func(t task) bool { return t.state == taskWaiting && e.notRunningFor(s, &t) >= unservedTimeout })
	}
	return s.job.attempts == 0 && e.now.Sub(s.idleSince()) >= unservedTimeout
}

// hasCapacityFor reports whether the workers that may run the step are expected to have free capacity for
// unservedFactor times the tasks that it starts together, if as many of those that were not asked about are
// permitted as usual. Reserved capacity counts as free.
func (e *Engine) hasCapacityFor(s *step, q *order.Queue) bool {
	share := e.planner.Shares().Of(q.Name)
	missing := float64(unservedFactor * s.startsAtOnce())
	for id, w := range e.workers.All() {
		fits := float64(w.freeSlotsFor(s))
		if fits == 0 || !e.mayRun(w, s, q.Service) || !e.isUsable(w, s) {
			continue
		}
		switch isAllowed, isKnown := s.permissions.IsAllowed(id); {
		case !isKnown:
			missing -= share * fits
		case isAllowed:
			missing -= fits
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// freeSlotsFor returns how many tasks like those of the step fit in the free capacity of the worker, reserved
// or not; at most unservedFactor times as many as the step has.
func (w *worker) freeSlotsFor(s *step) int {
	charge, free := s.spec.Charge(), w.Capacity.Sub(w.used)
	charge.Slots, free.Slots = 0, 0
	n := unservedFactor * len(s.tasks)
	if charge != (leverdyke.Resources{}) {
		n = int(min(int64(n), charge.Count(free)))
	}
	if s.spec.MaxPerWorker > 0 && n > 0 {
		n = min(n, s.spec.MaxPerWorker-w.attemptCountOf(s))
	}
	return max(n, 0)
}
