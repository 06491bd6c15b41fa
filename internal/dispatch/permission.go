// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/work"
)

// SetLanes names the nodes through which can be asked.
func (e *Engine) SetLanes(names []string) {
	lost, isChanged := e.lanes.SetNames(names)
	e.adviceLost(lost)
	e.isDirty = e.isDirty || isChanged
}

// adviceLost notes that calls of these steps get no answer.
func (e *Engine) adviceLost(lost []work.StepID) {
	for _, id := range lost {
		e.claims.Drop(id)
		if s := e.findStep(id); s != nil {
			s.permit.Lost()
			e.isDirty = true
		}
	}
}

func (e *Engine) findStep(id work.StepID) *step {
	s, _ := e.find(work.TaskID{Job: id.Job, Round: id.Round, Step: id.Step})
	return s
}

// Advised takes the answer to a call. isKnown is false when there was none.
func (e *Engine) Advised(laneName string, id work.StepID, asked []order.WorkerID, good []order.Ticket, valid time.Duration, isKnown bool) {
	e.lanes.Answered(laneName, id)
	e.claims.Drop(id)
	e.isDirty = true
	s := e.findStep(id)
	if s == nil {
		return
	}
	if !isKnown {
		s.permit.Failed(e.now)
		e.options.Log(events.AdviceFailed, "step", id, "lane", laneName, "asked", len(asked))
		return
	}
	s.permit.Answered(asked, good, valid, e.now)
}

// maxAsks bounds the calls that one look at all that waits prepares, the most urgent
// first: each looks at the workers, and an owner with too little processor would do nothing else.
const maxAsks = 8

// maxPutOffs bounds the steps that one look puts off without counting them as calls.
const maxPutOffs = 16

// askAdvice asks for the step, if it helps and a lane is free.
func (e *Engine) askAdvice(s *step, policy *order.AdvicePolicy, missing int) {
	if e.asksLeft <= 0 || !s.permit.MayAsk(e.now) {
		return
	}
	hasRoomyPool := e.inUse[e.queues[s.job.spec.Queue].Service] < roomyShare
	lane := e.lanes.Free(policy)
	if lane == "" {
		if hasRoomyPool {
			e.lanesMissedAt = e.now
		}
		return
	}
	e.asksLeft--
	found := e.askable(s, policy)
	isMissed := !e.lanesMissedAt.IsZero() && e.now.Sub(e.lanesMissedAt) < lanesMissedFor
	if isMissed && !hasRoomyPool && !hasRoomNow(s, found) && !e.lanes.HasSpare() {
		// Nothing could start on the answer, and what has room waits for a lane.
		s.permit.PutOff(e.now)
		if e.putOffsLeft > 0 {
			e.putOffsLeft--
			e.asksLeft++
		}
		return
	}
	asked := permit.Choose(found, policy, missing)
	if len(asked) == 0 {
		s.permit.NobodyToAsk(e.now)
		return
	}
	patience := e.lanes.Take(lane, s.id, policy, len(asked), e.now)
	s.permit.Asked()
	if e.has(MechanismClaims) {
		e.claims.Add(s.id, asked, missing, s.spec.Charge())
	}
	e.counts.Asks++
	e.do(order.Advise{Lane: lane, Step: s.id, Workers: asked, Patience: patience})
}

// lanesMissedFor is how long lanes are left to steps of a pool with room after one found none free.
const lanesMissedFor = 300 * time.Millisecond

// hasRoomNow reports whether the workers have room for a task of the step, or for all of a gang.
func hasRoomNow(s *step, found []permit.Candidate) bool {
	need := 1
	if s.spec.IsGang {
		need = len(s.tasks)
	}
	for i := range found {
		if need -= found[i].Fits; need <= 0 {
			return true
		}
	}
	return false
}

// enoughRoom is how many times as many workers with room as one call can name are looked
// at: each look takes the next ones, as a look at hundreds of workers for each call takes too
// much of the owner's time.
const enoughRoom = 3

// askable returns workers of which it is not known that they may not run the
// step, and whose ticket, if there is one, ends before the next could be there. Those
// without room are among them where some may become free: who is permitted is then known when
// there is room.
func (e *Engine) askable(s *step, policy *order.AdvicePolicy) []permit.Candidate {
	found := []permit.Candidate{}
	pool := e.queues[s.job.spec.Queue].Service
	needsSound := slices.ContainsFunc(s.tasks, func(t task) bool { return t.state == taskWaiting && e.needsSound(s, &t) })
	charge := s.spec.Charge()
	renewAt := e.now.Add(policy.Base + permit.AskMargin)
	if !e.has(MechanismAdviceAhead) {
		renewAt = e.now
	}
	withRoom, withoutRoom, looked := 0, 0, 0
	defer func() { e.askFrom = (e.askFrom + looked) % max(e.workers.Len(), 1) }()
	for id, w := range e.workers.AllFrom(e.askFrom) {
		looked++
		if !e.isUsable(w, s) || !e.mayRun(w, s, pool) || needsSound && !w.health.IsSound(e.now) || !charge.FitsIn(w.Capacity) {
			continue
		}
		fits := e.fitsBeside(w, s, e.claims.On(id))
		if fits == 0 && (withoutRoom >= permit.MaxAsked || !e.has(MechanismAdviceAhead) || !mayFree(w, s)) {
			continue
		}
		isGood, isKnown := s.permit.Verdict(id)
		if isKnown && !isGood {
			continue
		}
		if _, ok := s.permit.Holds(id, renewAt); ok {
			continue
		}
		found = append(found, permit.Candidate{ID: id, Fits: fits, IsGood: isGood, IsSuspect: w.speed.IsSuspect || w.health.IsPaused(e.now)})
		if fits == 0 {
			withoutRoom++
			continue
		}
		if withRoom++; withRoom >= enoughRoom*permit.MaxAsked {
			break
		}
	}
	return found
}

// mayFree reports whether a task of the step would find room on the worker if all ended there that
// does not last.
func mayFree(w *worker, s *step) bool {
	staying, ofStep := leverdyke.Resources{}, 0
	for _, a := range w.attempts.All() {
		if a.step == nil || !a.step.spec.IsLasting || a.isStopping {
			continue
		}
		staying = staying.Add(a.charge)
		if a.step == s {
			ofStep++
		}
	}
	if s.spec.MaxPerWorker > 0 && ofStep >= s.spec.MaxPerWorker {
		return false
	}
	free, charge := w.Capacity.Sub(staying), s.spec.Charge()
	free.Slots, charge.Slots = 0, 0
	return charge.FitsIn(free)
}
