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

// SetChannels sets the nodes through which the permission service can be queried, one query at a
// time each.
func (e *Engine) SetChannels(names []string) {
	lost, isChanged := e.channels.SetNames(names)
	e.queriesLost(lost)
	e.needsScheduling = e.needsScheduling || isChanged
}

// queriesLost records that the permission queries of these steps will not be answered.
func (e *Engine) queriesLost(steps []work.StepID) {
	for _, id := range steps {
		e.claims.Drop(id)
		if s := e.findStep(id); s != nil {
			s.permissions.RecordLost()
			e.needsScheduling = true
		}
	}
}

func (e *Engine) findStep(id work.StepID) *step {
	s, _ := e.findTask(work.TaskID{Job: id.Job, Round: id.Round, Step: id.Step})
	return s
}

// PermissionAnswered processes the answer to a permission query. permits are those that were
// granted; each is valid for the time valid. isKnown is false if there was no answer.
func (e *Engine) PermissionAnswered(channel string, id work.StepID, queried []order.WorkerID, permits []order.Permit, valid time.Duration, isKnown bool) {
	e.channels.EndCall(channel, id)
	e.claims.Drop(id)
	e.needsScheduling = true
	s := e.findStep(id)
	if s == nil {
		return
	}
	if !isKnown {
		s.permissions.RecordFailure(e.now)
		e.options.Log(events.PermissionQueryFailed, "step", id, "lane", channel, "asked", len(queried))
		return
	}
	s.permissions.RecordAnswer(queried, permits, valid, e.now)
}

// maxQueriesPerPass limits the permission queries that a scheduling pass prepares, the most urgent
// steps first. Each query examines many workers, and an owner with too little processor time would
// do nothing else.
const maxQueriesPerPass = 8

// maxDeferralsPerPass limits the steps whose query a scheduling pass defers without counting them
// against maxQueriesPerPass. A deferred step sends no query in this pass.
const maxDeferralsPerPass = 16

// queryPermission prepares a permission query for the step if that is useful and a channel is free.
// missing is the number of tasks that need workers.
func (e *Engine) queryPermission(s *step, policy *order.PermissionPolicy, missing int) {
	if e.queriesLeft <= 0 || !s.permissions.MayQuery(e.now) {
		return
	}
	isPoolUnderused := e.poolUsage[e.queues[s.job.spec.Queue].Service] < underusedShare
	channel := e.channels.FreeChannel(policy)
	if channel == "" {
		if isPoolUnderused {
			e.channelsBusyAt = e.now
		}
		return
	}
	e.queriesLeft--
	found := e.queryCandidates(s, policy)
	areChannelsContended := !e.channelsBusyAt.IsZero() && e.now.Sub(e.channelsBusyAt) < channelYieldTime
	if areChannelsContended && !isPoolUnderused && !canStartNow(s, found) && !e.channels.HasSpare() {
		// No task could start on the answer, and steps that do have free capacity wait for a
		// channel.
		s.permissions.Defer(e.now)
		if e.deferralsLeft > 0 {
			e.deferralsLeft--
			e.queriesLeft++
		}
		return
	}
	queried := permit.ChooseWorkers(found, policy, missing)
	if len(queried) == 0 {
		s.permissions.RecordNoCandidates(e.now)
		return
	}
	timeout := e.channels.BeginCall(channel, s.id, policy, len(queried), e.now)
	s.permissions.BeginQuery()
	if e.isEnabled(MechanismClaims) {
		e.claims.Add(s.id, queried, missing, s.spec.Charge())
	}
	e.counts.PermissionQueries++
	e.emit(order.QueryPermission{Channel: channel, Step: s.id, Workers: queried, Timeout: timeout})
}

// channelYieldTime is how long channels are left to steps whose pools have free capacity, after one
// of these steps found no free channel.
const channelYieldTime = 300 * time.Millisecond

// canStartNow reports whether the workers have the capacity to start a task of the step now, or the
// whole of a gang.
func canStartNow(s *step, found []permit.Candidate) bool {
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

// queryCandidateFactor times the number of workers that a query can name is how many workers with
// free capacity are examined for it. Each query continues in the list of workers where the previous
// one ended. Examining hundreds of workers for every query takes too much of the owner's time.
const queryCandidateFactor = 3

// queryCandidates returns the workers to consider for a permission query. A worker that is known
// not to be permitted is left out, and so is one whose permit is still valid by the time at which
// the next one could arrive. Workers without free capacity are included if capacity may become free
// there: then it is already known whether they are permitted.
func (e *Engine) queryCandidates(s *step, policy *order.PermissionPolicy) []permit.Candidate {
	found := []permit.Candidate{}
	pool := e.queues[s.job.spec.Queue].Service
	needsHealthy := slices.ContainsFunc(s.tasks, func(t task) bool { return t.state == taskWaiting && e.needsHealthyWorker(s, &t) })
	charge := s.spec.Charge()
	renewAt := e.now.Add(policy.BaseTime + permit.RoundTripMargin)
	if !e.isEnabled(MechanismEarlyPermission) {
		renewAt = e.now
	}
	withCapacity, withoutCapacity, examined := 0, 0, 0
	defer func() { e.queryOffset = (e.queryOffset + examined) % max(e.workers.Len(), 1) }()
	for id, w := range e.workers.AllFrom(e.queryOffset) {
		examined++
		if !e.isUsable(w, s) || !e.mayRun(w, s, pool) || needsHealthy && !w.health.IsHealthy(e.now) || !charge.FitsIn(w.Capacity) {
			continue
		}
		fits := e.fitCountBeside(w, s, e.claims.OnWorker(id))
		if fits == 0 && (withoutCapacity >= permit.MaxWorkersPerCall || !e.isEnabled(MechanismEarlyPermission) || !mayFitLater(w, s)) {
			continue
		}
		isGood, isKnown := s.permissions.IsAllowed(id)
		if isKnown && !isGood {
			continue
		}
		if _, ok := s.permissions.ValidPermit(id, renewAt); ok {
			continue
		}
		found = append(found, permit.Candidate{ID: id, Fits: fits, IsPermitted: isGood, IsDegraded: w.speed.IsSuspectedSlow || w.health.IsPaused(e.now)})
		if fits == 0 {
			withoutCapacity++
			continue
		}
		if withCapacity++; withCapacity >= queryCandidateFactor*permit.MaxWorkersPerCall {
			break
		}
	}
	return found
}

// mayFitLater reports whether a task of the step would fit on the worker once all other attempts
// there have ended, except those of long-running tasks.
func mayFitLater(w *worker, s *step) bool {
	longRunning, ofStep := leverdyke.Resources{}, 0
	for _, a := range w.attempts.All() {
		if a.step == nil || !a.step.spec.IsLongRunning || a.isStopping {
			continue
		}
		longRunning = longRunning.Add(a.charge)
		if a.step == s {
			ofStep++
		}
	}
	if s.spec.MaxPerWorker > 0 && ofStep >= s.spec.MaxPerWorker {
		return false
	}
	free, charge := w.Capacity.Sub(longRunning), s.spec.Charge()
	free.Slots, charge.Slots = 0, 0
	return charge.FitsIn(free)
}
