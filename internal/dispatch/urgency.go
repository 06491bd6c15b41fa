// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/urgency"
)

const (
	// rankInterval is how long the rank of a step holds: it changes slowly, and is asked for in
	// each look at all that waits.
	rankInterval = 50 * time.Millisecond
	// typicalQuerySize is how many workers the call for permission of a step names that its
	// objective counts.
	typicalQuerySize = 30
	// starvationTimeout is how long a job may have nothing running while there is room, until it goes
	// first: callers take one that stands still for longer as lost.
	starvationTimeout = 1500 * time.Millisecond
	// underusedShare is the part of a pool in use below which there is room: what waits does so for
	// permission.
	underusedShare = 0.6
	// maxJobAge bounds how long ago a job was accepted by its record: times of day differ.
	maxJobAge = 10 * time.Minute
)

// compareSteps is negative when step a has its turn before step b.
func (e *Engine) compareSteps(a, b *step) int {
	if x, y := e.overShare[a.customer()], e.overShare[b.customer()]; x != y && !e.isLateFirst {
		// Whatever its priority, it would take from others what is theirs.
		return orderFirst(y)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if e.isLateFirst && a.rank.IsYielding() != b.rank.IsYielding() {
		return orderFirst(a.rank.IsYielding())
	}
	if c := a.rank.Compare(b.rank); c != 0 {
		return c
	}
	return a.arrivedAt().Compare(b.arrivedAt())
}

// orderFirst is negative when the orderFirst of two is the one with the property.
func orderFirst(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// updateRank works out the rank of a step anew when it is time to.
func (e *Engine) updateRank(s *step) {
	if !s.rankedAt.IsZero() && e.now.Sub(s.rankedAt) < rankInterval {
		return
	}
	q := e.queues[s.job.spec.Queue]
	total, remaining := e.criticalPath(s.round, &q)
	w := urgency.Work{
		Age: e.now.Sub(s.arrivedAt()), Left: remaining, IsPressing: s.spec.IsLasting || e.isStarved(s, q.Service), MustNotYield: s.spec.IsGang,
	}
	if q.Stretch > 0 && e.isEnabled(MechanismUrgency) {
		w.Objective = q.Latency + time.Duration(q.Stretch*float64(total))
	}
	s.rank, s.rankedAt = w.Rank(), e.now
}

// isStarved reports whether nothing of the step's job has run for long while there is room.
func (e *Engine) isStarved(s *step, pool string) bool {
	idleAt := s.openAt
	if s.job.idleAt.After(idleAt) {
		idleAt = s.job.idleAt
	}
	return s.job.attempts == 0 && e.now.Sub(idleAt) >= starvationTimeout && e.poolUsage[pool] < underusedShare
}

// updatePoolUsage finds out now and then what part of each pool is in use.
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
		e.poolUsage[pool] = dominantShare(used[pool], capacity[pool])
	}
}

// criticalPath returns how long the longest criticalPath of steps of a round takes, and what is left of it.
func (e *Engine) criticalPath(r *round, q *order.Queue) (total, remaining time.Duration) {
	for _, s := range r.steps {
		s.chainEnd, s.leftEnd = 0, 0
		for _, i := range s.spec.After {
			s.chainEnd, s.leftEnd = max(s.chainEnd, r.steps[i].chainEnd), max(s.leftEnd, r.steps[i].leftEnd)
		}
		duration := time.Duration(e.quota.Waves(s.customer(), s.spec.Need, len(s.tasks))) * e.expected(s)
		if q.Advice != nil {
			duration += q.Advice.Base + typicalQuerySize*q.Advice.Each
		}
		s.chainEnd += duration
		if s.left > 0 {
			s.leftEnd += duration
		}
		total, remaining = max(total, s.chainEnd), max(remaining, s.leftEnd)
	}
	return total, remaining
}

// restoredAcceptTime returns when a job of an earlier owner was accepted, by the engine's time.
func (e *Engine) restoredAcceptTime(at time.Time) time.Time {
	if at.IsZero() {
		return e.now
	}
	age := e.now.Round(0).Add(e.wallClockOffset).Sub(at.Round(0))
	return e.now.Add(-min(max(age, 0), maxJobAge))
}
