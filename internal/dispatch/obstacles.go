// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
)

// obstacle is why a worker is not given a task of a step now.
type obstacle string

const (
	obstacleUnlisted   obstacle = "unlisted"
	obstacleLeaving    obstacle = "leaving"
	obstacleUnclear    obstacle = "unclear"
	obstacleUnreported obstacle = "unreported"
	obstacleSilent     obstacle = "silent"
	obstacleNamed      obstacle = "named"
	obstacleUnknownRun obstacle = "unknownRun"
	obstacleSuspect    obstacle = "suspect"
	obstacleEjected    obstacle = "setAside"
	obstacleProbed     obstacle = "probed"
	obstacleDenied     obstacle = "denied"
	obstacleUnasked    obstacle = "unasked"
	obstacleExpired    obstacle = "noTicket"
	obstacleReserved   obstacle = "reserved"
	obstacleRetry      obstacle = "retry"
	obstacleNone       obstacle = "none"
	// obstacleFull means that the worker has no capacity for a task, obstacleDeniedFull that it is also known
	// not to be permitted.
	obstacleFull       obstacle = "full"
	obstacleDeniedFull obstacle = "deniedFull"
)

// workerSurvey says why the workers that may run a step are not given its tasks.
type workerSurvey struct {
	counts map[obstacle]int
	// hasRoom means that at least one of the workers has capacity for a task.
	hasRoom bool
	// capacity, charged and listed are sums over the workers that are not known to be denied: what they have,
	// what the engine charges to them, and what their newest listings have running.
	capacity, charged, listed leverdyke.Resources
}

// surveyWorkers looks at all workers that belong to the pool of the step and have its label.
func (e *Engine) surveyWorkers(s *step, q *order.Queue) workerSurvey {
	survey := workerSurvey{counts: map[obstacle]int{}}
	for id, w := range e.workers.All() {
		if !e.mayRun(w, s, q.Service) {
			continue
		}
		isAllowed, isKnown := s.permissions.IsAllowed(id)
		isDenied := q.Permission != nil && isKnown && !isAllowed
		if !isDenied {
			survey.capacity, survey.charged, survey.listed = survey.capacity.Add(w.Capacity), survey.charged.Add(w.used), survey.listed.Add(w.listedUse)
		}
		switch hasRoom := w.hasRoomFor(s); {
		case hasRoom:
			survey.hasRoom = true
			survey.counts[e.obstacleOf(w, s, q)]++
		case isDenied:
			survey.counts[obstacleDeniedFull]++
		default:
			survey.counts[obstacleFull]++
		}
	}
	return survey
}

// hasRoomFor reports whether the worker has free capacity, reserved or not, for a task of the step.
func (w *worker) hasRoomFor(s *step) bool {
	charge, free := s.spec.Charge(), w.Capacity.Sub(w.used)
	charge.Slots, free.Slots = 0, 0
	return charge.FitsIn(free) && (s.spec.MaxPerWorker <= 0 || w.attemptCountOf(s) < s.spec.MaxPerWorker)
}

// obstacleOf returns why a worker that has room gets no task of the step.
func (e *Engine) obstacleOf(w *worker, s *step, q *order.Queue) obstacle {
	switch {
	case !e.isReachable(w):
		return e.unreachableBecause(w)
	case w.unknownRuns.Len() > 0:
		return obstacleUnknownRun
	case !e.isUsable(w, s):
		return e.unusableBecause(w)
	case q.Permission != nil && !e.holdsPermit(s, w):
		return unpermittedBecause(s, w)
	case e.fitCount(w, s) == 0:
		return obstacleReserved
	case !e.mayTryAny(w, s):
		return obstacleRetry
	}
	return obstacleNone
}

func (e *Engine) unreachableBecause(w *worker) obstacle {
	switch {
	case w.isUnlisted:
		return obstacleUnlisted
	case w.isLeaving():
		return obstacleLeaving
	case w.IsUncertain:
		return obstacleUnclear
	case w.session.IsSilent(), e.now.Sub(w.session.LastHeardAt()) > unreachableAfter:
		if !w.answeredNamedAt.IsZero() && e.now.Sub(w.answeredNamedAt) <= unreachableAfter {
			return obstacleNamed
		}
		return obstacleSilent
	case !w.session.IsListed():
		return obstacleUnreported
	}
	return obstacleNamed
}

func (e *Engine) unusableBecause(w *worker) obstacle {
	switch {
	case e.now.Before(w.isolatedUntil), e.now.Before(w.exclusiveUntil):
		return obstacleSuspect
	case w.health.IsPaused(e.now):
		return obstacleEjected
	}
	return obstacleProbed
}

func unpermittedBecause(s *step, w *worker) obstacle {
	isAllowed, isKnown := s.permissions.IsAllowed(w.ID)
	switch {
	case !isKnown:
		return obstacleUnasked
	case !isAllowed:
		return obstacleDenied
	}
	return obstacleExpired
}

// countsText returns counts as text, such as "denied=2 silent=1".
func countsText[K ~string](counts map[K]int) string {
	parts := make([]string, 0, len(counts))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", k, counts[k]))
	}
	return strings.Join(parts, " ")
}
