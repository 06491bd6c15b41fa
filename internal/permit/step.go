// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// ticketMargin is taken off a ticket's time: the order must arrive in it.
	ticketMargin = 250 * time.Millisecond
	// retryPause is the time after a call without an answer until the next.
	retryPause = 100 * time.Millisecond
	// idlePause is the time after which it is looked again whether there is anybody to
	// ask about: a look takes all workers, and jobs by the hundred may wait.
	idlePause = 50 * time.Millisecond
	// putOffPause is the time for which a step leaves the ways to those that have room.
	putOffPause = 400 * time.Millisecond
)

// Step is what is known of the workers that may run a step. The zero value knows
// nothing.
type Step struct {
	// verdicts has the workers that were asked about, and whether they may. That never
	// changes.
	verdicts map[order.WorkerID]bool
	tickets  map[order.WorkerID]ticket
	isAsking bool
	retryAt  time.Time
}

type ticket struct {
	text    string
	expires time.Time
}

// MayAsk reports whether a call may be made: none is on its way, or has just failed.
func (s *Step) MayAsk(now time.Time) bool { return !s.isAsking && !now.Before(s.retryAt) }

// IsAsking reports whether a call is on its way.
func (s *Step) IsAsking() bool { return s.isAsking }

// Asked notes that a call is on its way.
func (s *Step) Asked() { s.isAsking = true }

// NobodyToAsk notes that there is no worker to ask about for now.
func (s *Step) NobodyToAsk(now time.Time) { s.retryAt = now.Add(idlePause) }

// PutOff notes that the step leaves the ways to others for a while.
func (s *Step) PutOff(now time.Time) { s.retryAt = now.Add(putOffPause) }

// Lost notes that no answer will come.
func (s *Step) Lost() { s.isAsking = false }

// Failed notes that a call had no answer.
func (s *Step) Failed(now time.Time) {
	s.isAsking = false
	s.retryAt = now.Add(retryPause)
}

// Answered takes an answer: of the workers that were asked about, those in good may,
// for as long as valid.
func (s *Step) Answered(asked []order.WorkerID, good []order.Permit, valid time.Duration, now time.Time) {
	s.isAsking = false
	if s.verdicts == nil {
		s.verdicts, s.tickets = map[order.WorkerID]bool{}, map[order.WorkerID]ticket{}
	}
	for _, w := range asked {
		s.verdicts[w] = false
	}
	for _, g := range good {
		s.verdicts[g.Worker] = true
		s.tickets[g.Worker] = ticket{g.Text, now.Add(valid - ticketMargin)}
	}
}

// Verdict reports whether a worker may run the step, and whether that is known.
func (s *Step) Verdict(id order.WorkerID) (isGood, isKnown bool) {
	isGood, isKnown = s.verdicts[id]
	return isGood, isKnown
}

// Holds returns the ticket of a worker, if it still holds then.
func (s *Step) Holds(id order.WorkerID, then time.Time) (string, bool) {
	t, ok := s.tickets[id]
	return t.text, ok && then.Before(t.expires)
}

// Forget drops the ticket of a worker that does not take it.
func (s *Step) Forget(id order.WorkerID) { delete(s.tickets, id) }

// Permitted calls do with each worker that has a ticket now.
func (s *Step) Permitted(now time.Time, do func(order.WorkerID)) {
	for id, t := range s.tickets {
		if !now.Before(t.expires) {
			delete(s.tickets, id)
			continue
		}
		do(id)
	}
}

// Good calls do with each worker that is known to be one that may run the step.
func (s *Step) Good(do func(order.WorkerID)) {
	for id, isGood := range s.verdicts {
		if isGood {
			do(id)
		}
	}
}
