// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// permitMargin is taken off a permit's time: the order to start must arrive at the worker
	// while the permit is valid.
	permitMargin = 250 * time.Millisecond
	// retryPause is the time from a call that was not answered to the next.
	retryPause = 100 * time.Millisecond
	// noCandidatePause is the time from one search for candidates that finds none to the next: a
	// search goes over all workers, and hundreds of jobs may wait.
	noCandidatePause = 50 * time.Millisecond
	// deferPause is the time during which a step leaves the channels to steps for which there is
	// free capacity.
	deferPause = 400 * time.Millisecond
	// maxDeferrals is how often in a row a step does so: a step that could never start by what is
	// expected would otherwise never ask.
	maxDeferrals = 5
)

// Outcome is what came of the last attempt to plan a call for a step.
type Outcome string

// The outcomes. The empty one means that no call was considered yet.
const (
	// Called means that a call was made.
	Called Outcome = "called"
	// InFlight means that a call was in flight, Paused that the step waited after the last one.
	InFlight Outcome = "inFlight"
	Paused   Outcome = "paused"
	// NoBudget means that the pass had prepared as many calls as it may.
	NoBudget Outcome = "noBudget"
	// NoChannel means that no channel was free for the call.
	NoChannel Outcome = "noChannel"
	// Sufficient means that the permits that the step holds were expected to suffice.
	Sufficient Outcome = "sufficient"
	// NoCandidates means that there was no worker to ask about.
	NoCandidates Outcome = "noCandidates"
	// Deferred means that the step left the channels to others, as nothing could start on the answer.
	Deferred Outcome = "deferred"
)

// Step tracks which workers are known to be allowed to run a step, and their permits. The zero
// value knows of none.
type Step struct {
	// verdicts has the workers that were asked about, and whether they may run the step. That
	// never changes.
	verdicts   map[order.WorkerID]bool
	permits    map[order.WorkerID]grant
	isQuerying bool
	retryAt    time.Time
	// deferrals counts how often the step has left the channels to others since its last call.
	deferrals int
	// outcome is that of the last attempt to plan a call. A pause does not replace what caused it.
	outcome Outcome
	// calledAt is when the last call was made; zero if none was.
	calledAt time.Time
}

// grant is a permit, and until when it can be used.
type grant struct {
	text    string
	expires time.Time
	isUsed  bool
}

// MayQuery reports whether a call may be made: none is in flight, and the pause after the last
// one has passed.
func (s *Step) MayQuery(now time.Time) bool { return !s.isQuerying && !now.Before(s.retryAt) }

// IsQuerying reports whether a call is in flight.
func (s *Step) IsQuerying() bool { return s.isQuerying }

// IsUnasked reports whether no call about the step was answered yet.
func (s *Step) IsUnasked() bool { return len(s.verdicts) == 0 }

// BeginQuery records that a call is in flight.
func (s *Step) BeginQuery() { s.isQuerying, s.deferrals = true, 0 }

// Outcome returns what came of the last attempt to plan a call.
func (s *Step) Outcome() Outcome { return s.outcome }

// LastCallAt returns when the last call was made; the zero time if none was.
func (s *Step) LastCallAt() time.Time { return s.calledAt }

// PermitCount returns how many workers the step has a valid permit of.
func (s *Step) PermitCount(now time.Time) int {
	n := 0
	for _, g := range s.permits {
		if now.Before(g.expires) {
			n++
		}
	}
	return n
}

// RecordNoCandidates records that there is no worker to ask about for now.
func (s *Step) RecordNoCandidates(now time.Time) { s.retryAt = now.Add(noCandidatePause) }

// MayDefer reports whether the step may leave the channels to other steps once more.
func (s *Step) MayDefer() bool { return s.deferrals < maxDeferrals }

// Defer makes the step leave the channels to other steps until deferPause has passed.
func (s *Step) Defer(now time.Time) {
	s.deferrals++
	s.retryAt = now.Add(deferPause)
}

// RecordLost records that the call was lost with its channel, so that the next may be made at once.
func (s *Step) RecordLost() { s.isQuerying = false }

// RecordFailure records that the call was not answered, so that the next is made after a pause.
func (s *Step) RecordFailure(now time.Time) {
	s.isQuerying = false
	s.retryAt = now.Add(retryPause)
}

// RecordAnswer records an answer: of the workers that were asked about, those in permits may run
// the step, each with its permit, which is valid for as long as valid.
func (s *Step) RecordAnswer(queried []order.WorkerID, permits []order.Permit, valid time.Duration, now time.Time) {
	s.isQuerying = false
	if s.verdicts == nil {
		s.verdicts, s.permits = map[order.WorkerID]bool{}, map[order.WorkerID]grant{}
	}
	for _, w := range queried {
		s.verdicts[w] = false
	}
	for _, p := range permits {
		s.verdicts[p.Worker] = true
		s.permits[p.Worker] = grant{text: p.Text, expires: now.Add(valid - permitMargin)}
	}
}

// IsAllowed reports whether a worker may run the step, and whether that is known.
func (s *Step) IsAllowed(id order.WorkerID) (isAllowed, isKnown bool) {
	isAllowed, isKnown = s.verdicts[id]
	return isAllowed, isKnown
}

// ValidPermit returns the permit of a worker, and whether it can still be used at that time.
func (s *Step) ValidPermit(id order.WorkerID, at time.Time) (string, bool) {
	g, ok := s.permits[id]
	return g.text, ok && at.Before(g.expires)
}

// use records that a task is started with the permit of a worker. It reports whether that is the first
// one.
func (s *Step) use(id order.WorkerID) bool {
	g, ok := s.permits[id]
	if !ok || g.isUsed {
		return false
	}
	g.isUsed = true
	s.permits[id] = g
	return true
}

// DropPermit drops the permit of a worker that has refused it.
func (s *Step) DropPermit(id order.WorkerID) { delete(s.permits, id) }

// EachPermitted calls do with each worker that has a permit now, and drops expired permits.
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
