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
	// rankPause is how long the rank of a step holds: it changes slowly, and is asked for in
	// each look at all that waits.
	rankPause = 50 * time.Millisecond
	// askedWorkers is how many workers the call for permission of a step names that its
	// objective counts.
	askedWorkers = 30
	// starvedAfter is how long a job may have nothing running while there is room, until it goes
	// first: callers take one that stands still for longer as lost.
	starvedAfter = 1500 * time.Millisecond
	// roomyShare is the part of a pool in use below which there is room: what waits does so for
	// permission.
	roomyShare = 0.6
	// longestAge bounds how long ago a job was accepted by its record: times of day differ.
	longestAge = 10 * time.Minute
)

// compareTurns is negative when step a has its turn before step b.
func (e *Engine) compareTurns(a, b *step) int {
	if x, y := e.overShare[a.customer()], e.overShare[b.customer()]; x != y && !e.isLateTurn {
		// Whatever its priority, it would take from others what is theirs.
		return first(y)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if e.isLateTurn && a.rank.IsLate() != b.rank.IsLate() {
		return first(a.rank.IsLate())
	}
	if c := a.rank.Compare(b.rank); c != 0 {
		return c
	}
	return a.openedFor().Compare(b.openedFor())
}

// first is negative when the first of two is the one with the property.
func first(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// setRank works out the rank of a step anew when it is time to.
func (e *Engine) setRank(s *step) {
	if !s.rankedAt.IsZero() && e.now.Sub(s.rankedAt) < rankPause {
		return
	}
	q := e.queues[s.job.spec.Queue]
	whole, left := e.chain(s.round, &q)
	w := urgency.Work{
		Age: e.now.Sub(s.openedFor()), Remaining: left, IsImmediate: s.spec.IsLongRunning || e.isStarved(s, q.Service), MustNotYield: s.spec.IsGang,
	}
	if q.Stretch > 0 && e.has(MechanismUrgency) {
		w.Objective = q.TargetLatency + time.Duration(q.Stretch*float64(whole))
	}
	s.rank, s.rankedAt = w.Rank(), e.now
}

// isStarved reports whether nothing of the step's job has run for long while there is room.
func (e *Engine) isStarved(s *step, pool string) bool {
	idleAt := s.openedAt
	if s.job.idleSince.After(idleAt) {
		idleAt = s.job.idleSince
	}
	return s.job.attempts == 0 && e.now.Sub(idleAt) >= starvedAfter && e.inUse[pool] < roomyShare
}

// noteUse finds out now and then what part of each pool is in use.
func (e *Engine) noteUse() {
	if e.now.Before(e.useAt) {
		return
	}
	e.useAt = e.now.Add(rankPause)
	used, room := map[string]leverdyke.Resources{}, map[string]leverdyke.Resources{}
	for _, w := range e.workers.All() {
		used[w.Service], room[w.Service] = used[w.Service].Add(w.used), room[w.Service].Add(w.Capacity)
	}
	clear(e.inUse)
	for pool := range room {
		e.inUse[pool] = share(used[pool], room[pool])
	}
}

// chain returns how long the longest chain of steps of a round takes, and what is left of it.
func (e *Engine) chain(r *round, q *order.Queue) (whole, left time.Duration) {
	for _, s := range r.steps {
		s.chainEnd, s.remainingEnd = 0, 0
		for _, i := range s.spec.After {
			s.chainEnd, s.remainingEnd = max(s.chainEnd, r.steps[i].chainEnd), max(s.remainingEnd, r.steps[i].remainingEnd)
		}
		takes := time.Duration(e.quota.Batches(s.customer(), s.spec.Need, len(s.tasks))) * e.expectedDuration(s)
		if q.Permission != nil {
			takes += q.Permission.BaseTime + askedWorkers*q.Permission.TimePerWorker
		}
		s.chainEnd += takes
		if s.tasksLeft > 0 {
			s.remainingEnd += takes
		}
		whole, left = max(whole, s.chainEnd), max(left, s.remainingEnd)
	}
	return whole, left
}

// acceptedBefore returns when a job of an earlier owner was accepted, by the engine's time.
func (e *Engine) acceptedBefore(at time.Time) time.Time {
	if at.IsZero() {
		return e.now
	}
	age := e.now.Round(0).Add(e.day).Sub(at.Round(0))
	return e.now.Add(-min(max(age, 0), longestAge))
}
