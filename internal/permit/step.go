// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// ticketMargin is taken off a ticket's time: the order must arrive in it.
	permitMargin = 250 * time.Millisecond
	// retryPause is the time after a call without an answer until the next.
	retryPause = 100 * time.Millisecond
	// idlePause is the time after which it is looked again whether there is anybody to
	// ask about: a look takes all workers, and jobs by the hundred may wait.
	noCandidatePause = 50 * time.Millisecond
	// putOffPause is the time for which a step leaves the ways to those that have room.
	deferPause = 400 * time.Millisecond
)

// Step is what is known of the workers that may run a step. The zero value knows
// nothing.
type Step struct {
	// verdicts has the workers that were asked about, and whether they may. That never
	// changes.
	verdicts   map[order.WorkerID]bool
	permits    map[order.WorkerID]grant
	isQuerying bool
	retryAt    time.Time
}

type grant struct {
	text    string
	expires time.Time
}

// MayQuery reports whether a call may be made: none is on its way, or has just failed.
func (s *Step) MayQuery(now time.Time) bool { return !s.isQuerying && !now.Before(s.retryAt) }

// IsQuerying reports whether a call is on its way.
func (s *Step) IsQuerying() bool { return s.isQuerying }

// BeginQuery notes that a call is on its way.
func (s *Step) BeginQuery() { s.isQuerying = true }

// NoteNoCandidates notes that there is no worker to ask about for now.
func (s *Step) NoteNoCandidates(now time.Time) { s.retryAt = now.Add(noCandidatePause) }

// Defer notes that the step leaves the ways to others for a while.
func (s *Step) Defer(now time.Time) { s.retryAt = now.Add(deferPause) }

// NoteLost notes that no answer will come.
func (s *Step) NoteLost() { s.isQuerying = false }

// NoteFailure notes that a call had no answer.
func (s *Step) NoteFailure(now time.Time) {
	s.isQuerying = false
	s.retryAt = now.Add(retryPause)
}

// NoteAnswer takes an answer: of the workers that were asked about, those in good may,
// for as long as valid.
func (s *Step) NoteAnswer(asked []order.WorkerID, permits []order.Permit, valid time.Duration, now time.Time) {
	s.isQuerying = false
	if s.verdicts == nil {
		s.verdicts, s.permits = map[order.WorkerID]bool{}, map[order.WorkerID]grant{}
	}
	for _, w := range asked {
		s.verdicts[w] = false
	}
	for _, p := range permits {
		s.verdicts[p.Worker] = true
		s.permits[p.Worker] = grant{p.Text, now.Add(valid - permitMargin)}
	}
}

// IsAllowed reports whether a worker may run the step, and whether that is known.
func (s *Step) IsAllowed(id order.WorkerID) (isAllowed, isKnown bool) {
	isAllowed, isKnown = s.verdicts[id]
	return isAllowed, isKnown
}

// ValidPermit returns the ticket of a worker, if it still holds then.
func (s *Step) ValidPermit(id order.WorkerID, at time.Time) (string, bool) {
	g, ok := s.permits[id]
	return g.text, ok && at.Before(g.expires)
}

// DropPermit drops the ticket of a worker that does not take it.
func (s *Step) DropPermit(id order.WorkerID) { delete(s.permits, id) }

// EachPermitted calls do with each worker that has a ticket now.
func (s *Step) EachPermitted(now time.Time, do func(order.WorkerID)) {
	for id, g := range s.permits {
		if !now.Before(g.expires) {
			delete(s.permits, id)
			continue
		}
		do(id)
	}
}

// EachAllowed calls do with each worker that is known to be one that may run the step.
func (s *Step) EachAllowed(do func(order.WorkerID)) {
	for id, isAllowed := range s.verdicts {
		if isAllowed {
			do(id)
		}
	}
}
