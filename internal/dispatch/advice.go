// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// How the service that permits workers is asked.
const (
	// ticketMargin is taken off a ticket's time: the order must arrive in it.
	ticketMargin = 250 * time.Millisecond
	// goodShare is the part of the workers that is expected to be permitted, where
	// nothing is known yet.
	goodShare = 0.35
	// cheapCall is the time of a call up to which all workers are asked at once.
	cheapCall = 40 * time.Millisecond
	// maxAsked is the most workers that one call may name.
	maxAsked = 100
	// namesShare bounds the workers without room that a call names beside those that
	// it needs: what naming them takes, as a part of the call's time without names. Who
	// is asked about before there is room starts 0.5 s sooner once there is
	// (TestPermissionIsThereWhenRoomIs): the time of a call.
	namesShare = 0.5
	// minAsked is the least that a call names, if there are so many.
	minAsked = 6
	// askRatio and askMargin are how long a call may take: so many times the time that
	// the policy tells, as the lane may be busy with one that was given up, and what
	// the ways there and back take on a busy node.
	askRatio  = 2
	askMargin = 250 * time.Millisecond
	// laneMargin is how much later than that a call counts as lost that the owner of
	// the lane has not given up.
	laneMargin = 300 * time.Millisecond
	// cheapLanes are the lanes that calls that take long leave to the others.
	cheapLanes = 2
)

// lane is a way to the service: a node, which asks one thing at a time.
type lane struct {
	name string
	// busySince is when the call on it was sent; zero when it is free.
	busySince time.Time
	step      work.StepID
	// patience is how long that call may take.
	patience time.Duration
}

// advice is what is known of the workers that may run a step.
type advice struct {
	// verdicts has the workers that were asked about, and whether they may.
	verdicts map[order.WorkerID]bool
	tickets  map[order.WorkerID]ticket
	isAsking bool
	retryAt  time.Time
}

type ticket struct {
	text    string
	expires time.Time
}

func (a *advice) forget(id order.WorkerID) { delete(a.tickets, id) }

// holds returns the ticket of a worker, if it still holds.
func (a *advice) holds(id order.WorkerID, now time.Time) (string, bool) {
	t, ok := a.tickets[id]
	return t.text, ok && now.Before(t.expires)
}

// SetLanes names the nodes through which can be asked.
func (e *Engine) SetLanes(names []string) {
	if slices.EqualFunc(e.lanes, names, func(l lane, name string) bool { return l.name == name }) {
		return
	}
	lanes := make([]lane, 0, len(names))
	for _, name := range names {
		i := slices.IndexFunc(e.lanes, func(l lane) bool { return l.name == name })
		if i >= 0 {
			lanes = append(lanes, e.lanes[i])
		} else {
			lanes = append(lanes, lane{name: name})
		}
	}
	for _, l := range e.lanes {
		if !slices.Contains(names, l.name) && !l.busySince.IsZero() {
			e.adviceLost(l.step)
		}
	}
	e.lanes = lanes
	e.isDirty = true
}

func (e *Engine) adviceLost(id work.StepID) {
	if s := e.findStep(id); s != nil {
		s.advice.isAsking = false
		e.isDirty = true
	}
}

func (e *Engine) findStep(id work.StepID) *step {
	s, _ := e.find(work.TaskID{Job: id.Job, Round: id.Round, Step: id.Step})
	return s
}

// Advised takes the answer to a call. isKnown is false when there was none.
func (e *Engine) Advised(laneName string, id work.StepID, asked []order.WorkerID, good []order.Ticket, valid time.Duration, isKnown bool) {
	for i := range e.lanes {
		if e.lanes[i].name == laneName && e.lanes[i].step == id {
			e.lanes[i].busySince = time.Time{}
		}
	}
	e.isDirty = true
	s := e.findStep(id)
	if s == nil {
		return
	}
	s.advice.isAsking = false
	if !isKnown {
		s.advice.retryAt = e.now.Add(100 * time.Millisecond)
		e.options.Log(events.AdviceFailed, "step", id, "lane", laneName, "asked", len(asked))
		return
	}
	if s.advice.verdicts == nil {
		s.advice.verdicts, s.advice.tickets = map[order.WorkerID]bool{}, map[order.WorkerID]ticket{}
	}
	for _, w := range asked {
		s.advice.verdicts[w] = false
	}
	for _, g := range good {
		s.advice.verdicts[g.Worker] = true
		s.advice.tickets[g.Worker] = ticket{g.Text, e.now.Add(valid - ticketMargin)}
	}
}

// askAdvice asks for the step, if it helps and a lane is free.
func (e *Engine) askAdvice(s *step, policy *order.AdvicePolicy, missing int) {
	if s.advice.isAsking || e.now.Before(s.advice.retryAt) {
		return
	}
	lane := e.freeLane(policy)
	if lane == nil {
		return
	}
	asked := e.whomToAsk(s, policy, missing)
	if len(asked) == 0 {
		return
	}
	patience := askRatio*(policy.Base+time.Duration(len(asked))*policy.Each) + askMargin
	lane.busySince, lane.step, lane.patience = e.now, s.id, patience
	s.advice.isAsking = true
	e.counts.Asks++
	e.do(order.Advise{Lane: lane.name, Step: s.id, Workers: asked, Patience: patience})
}

func (e *Engine) freeLane(policy *order.AdvicePolicy) *lane {
	free := 0
	var found *lane
	for i := range e.lanes {
		if l := &e.lanes[i]; l.busySince.IsZero() {
			free++
			found = l
		}
	}
	if policy.Base > cheapCall && free <= min(cheapLanes, len(e.lanes)-1) {
		return nil
	}
	return found
}

// expireLanes frees the lanes that do not answer, and asks again by others.
func (e *Engine) expireLanes() {
	for i := range e.lanes {
		l := &e.lanes[i]
		if !l.busySince.IsZero() && e.now.Sub(l.busySince) > l.patience+laneMargin {
			l.busySince = time.Time{}
			e.adviceLost(l.step)
		}
	}
}

// candidate is a worker that could be asked about, with the tasks that fit now. Where
// none does, some would if the worker had nothing to do.
type candidate struct {
	id     order.WorkerID
	fits   int
	isGood bool
	// isSuspect means that the worker is or was slow.
	isSuspect bool
}

// whomToAsk picks the workers that are likely to take the missing tasks. Those
// known to be permitted come first; the more room the better.
func (e *Engine) whomToAsk(s *step, policy *order.AdvicePolicy, missing int) []order.WorkerID {
	found := e.candidates(s, policy)
	slices.SortFunc(found, func(a, b candidate) int {
		if a.isGood != b.isGood {
			if a.isGood {
				return -1
			}
			return 1
		}
		if a.isSuspect != b.isSuspect {
			if b.isSuspect {
				return -1
			}
			return 1
		}
		if a.fits != b.fits {
			return b.fits - a.fits
		}
		return compareIDs(a.id, b.id)
	})
	out := []order.WorkerID{}
	expected := 0.0
	isCheap := policy.Base <= cheapCall
	for _, c := range found {
		isEnough := expected >= 1.2*float64(missing) && (len(out) >= minAsked || c.isGood)
		if len(out) >= maxAsked || isEnough && !isCheap {
			break
		}
		if c.fits == 0 && time.Duration(len(out))*policy.Each > time.Duration(namesShare*float64(policy.Base)) {
			continue
		}
		out = append(out, c.id)
		if c.isGood {
			expected += float64(c.fits)
		} else {
			expected += goodShare * float64(c.fits)
		}
	}
	return out
}

// candidates returns the workers of which it is not known that they may not run the
// step, and whose ticket, if there is one, ends before the next could be there. Those
// without room are among them: who is permitted is then known when there is room.
func (e *Engine) candidates(s *step, policy *order.AdvicePolicy) []candidate {
	found := []candidate{}
	charge := s.spec.Charge()
	renewAt := e.now.Add(policy.Base + askMargin)
	if !e.has(MechanismAdviceAhead) {
		renewAt = e.now
	}
	pool := e.queues[s.job.spec.Queue].Service
	needsSound := slices.ContainsFunc(s.tasks, func(t task) bool { return t.state == taskWaiting && e.isLastAttempt(s, &t) && len(t.failures) > 0 })
	for id, w := range e.workers {
		isGood, isAsked := s.advice.verdicts[id]
		if isAsked && !isGood || !e.isUsable(w) || !e.mayRun(w, s, pool) || needsSound && !w.health.isSound(e.now) {
			continue
		}
		if _, ok := s.advice.holds(id, renewAt); ok || !charge.FitsIn(w.Capacity) {
			continue
		}
		fits := e.fits(w, s)
		if fits == 0 && !e.has(MechanismAdviceAhead) {
			continue
		}
		found = append(found, candidate{id, fits, isGood, w.speed.isSuspect})
	}
	return found
}

func compareIDs(a, b order.WorkerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
