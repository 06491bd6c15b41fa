// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/reserve"
	"github.com/leverdyke/leverdyke/internal/urgency"
)

const (
	// rankInterval is how long the computed rank of a step remains valid. The rank changes slowly
	// and is needed in every scheduling pass.
	rankInterval = 50 * time.Millisecond
	// typicalQuerySize is the number of workers in a permission query that is assumed when the time
	// that a step should take is computed.
	typicalQuerySize = 30
	// maxJobAge limits the age of a restored job as computed from its record, because the clocks of
	// nodes differ.
	maxJobAge = 10 * time.Minute
)

// compareSteps is negative if step a is to be placed before step b.
func (e *Engine) compareSteps(a, b *step) int {
	if x, y := e.overShare[a.customer()], e.overShare[b.customer()]; x != y && !e.isLateFirst {
		// Whatever its priority, a customer above its share would take capacity that others are
		// entitled to.
		return orderFirst(y)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if e.isLateFirst && a.rank.IsLate() != b.rank.IsLate() {
		return orderFirst(a.rank.IsLate())
	}
	if c := a.rank.Compare(b.rank); c != 0 {
		return c
	}
	return a.arrivedAt().Compare(b.arrivedAt())
}

// orderFirst returns the result of a comparison in which the element that has a property sorts
// first: -1 if that is the first element, otherwise 1.
func orderFirst(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// updateRank recomputes the rank of a step once its last rank is older than rankInterval.
func (e *Engine) updateRank(s *step) {
	if !s.rankedAt.IsZero() && e.now.Sub(s.rankedAt) < rankInterval {
		return
	}
	q := e.queues[s.job.spec.Queue]
	total, remaining := e.criticalPath(s.round, &q)
	e.updateUnserved(s, &q)
	age := e.now.Sub(s.arrivedAt())
	w := urgency.Work{
		Age: age, Remaining: remaining, IsImmediate: s.spec.IsLongRunning || s.isUnserved || e.isStarved(s, q.Service),
		MustNotYield: s.spec.IsGang && e.gangKeepsTurn(s),
	}
	if s.isUnserved {
		// Of those that go before others, the one that was not asked about for longest is first.
		w.Age = e.sinceLastQuery(s, s.idleSince())
	}
	if q.Stretch > 0 && e.isEnabled(MechanismUrgency) {
		w.Objective = q.TargetLatency + time.Duration(q.Stretch*float64(total))
	}
	s.objective = w.Objective
	s.rank, s.rankedAt = w.Rank(), e.now
	s.slack, s.hasObjective = w.Objective-age-w.Remaining, w.Objective > 0
}

// updatePoolUsage recomputes the used fraction of each pool if the last result is older than
// rankInterval.
func (e *Engine) updatePoolUsage() {
	if e.now.Before(e.poolUsageDueAt) {
		return
	}
	e.poolUsageDueAt = e.now.Add(rankInterval)
	used, capacity := map[string]leverdyke.Resources{}, map[string]leverdyke.Resources{}
	for _, w := range e.workers.All() {
		used[w.Service], capacity[w.Service] = used[w.Service].Add(w.used), capacity[w.Service].Add(w.Capacity)
	}
	clear(e.poolUsage)
	for pool := range capacity {
		e.poolUsage[pool] = reserve.DominantShare(used[pool], capacity[pool])
	}
}

// criticalPath returns how long the longest chain of dependent steps of a round takes in total, and
// how much of it remains. A step takes longer if the limit of its customer lets only some of its
// tasks run at once, or if its queue requires permits.
func (e *Engine) criticalPath(r *round, q *order.Queue) (total, remaining time.Duration) {
	for _, s := range r.steps {
		s.chainEnd, s.remainingEnd = 0, 0
		for _, i := range s.spec.After {
			s.chainEnd, s.remainingEnd = max(s.chainEnd, r.steps[i].chainEnd), max(s.remainingEnd, r.steps[i].remainingEnd)
		}
		duration := time.Duration(e.quota.Batches(s.customer(), s.spec.Need, len(s.tasks))) * e.expectedDuration(s)
		duration += queryTime(q)
		s.chainEnd += duration
		if s.tasksLeft > 0 {
			s.remainingEnd += duration
		}
		total, remaining = max(total, s.chainEnd), max(remaining, s.remainingEnd)
	}
	return total, remaining
}

// restoredAcceptTime converts the time of day at which a job of a previous owner was accepted into
// the engine's time.
func (e *Engine) restoredAcceptTime(at time.Time) time.Time {
	if at.IsZero() {
		return e.now
	}
	age := e.now.Round(0).Add(e.wallClockOffset).Sub(at.Round(0))
	return e.now.Add(-min(max(age, 0), maxJobAge))
}

// queryTime returns how long the permission query takes that a step needs; 0 if it needs none.
func queryTime(q *order.Queue) time.Duration {
	if q.Permission == nil {
		return 0
	}
	return q.Permission.BaseTime + typicalQuerySize*q.Permission.TimePerWorker
}
