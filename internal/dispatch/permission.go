// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
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
	lost, isChanged := e.planner.Channels().SetNames(names)
	e.queriesLost(lost)
	e.needsScheduling = e.needsScheduling || isChanged
}

// queriesLost records that the permission queries of these steps will not be answered.
func (e *Engine) queriesLost(steps []work.StepID) {
	for _, id := range steps {
		e.planner.Lost(id)
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
	took := e.planner.End(channel, id, e.now)
	e.needsScheduling = true
	s := e.findStep(id)
	if s == nil {
		return
	}
	if !isKnown {
		s.permissions.RecordFailure(e.now)
		e.planner.Failed(s.job.spec.Queue)
		e.options.Log(events.PermissionQueryFailed, "step", id, "lane", channel, "asked", len(queried))
		return
	}
	isWanted := !s.job.state.IsFinal() && s.waiting+s.copiesWanted > 0
	if q := e.queues[s.job.spec.Queue]; q.Permission != nil {
		e.planner.RecordDuration(q.Name, q.Permission, len(queried), took)
	}
	e.planner.Learn(s.job.spec.Queue, &s.permissions, queried, permits, isWanted)
	s.permissions.RecordAnswer(queried, permits, valid, e.now)
}

// queryPermission begins a permission query for the step if that is useful and a channel is free.
// missing is the number of tasks that need workers.
func (e *Engine) queryPermission(s *step, policy *order.PermissionPolicy, missing int) {
	e.planQuery(s, policy, missing, false)
}

func (e *Engine) planQuery(s *step, policy *order.PermissionPolicy, missing int, isAhead bool) {
	q := e.queues[s.job.spec.Queue]
	r := permit.Request{
		ID: s.id, Customer: s.customer(), Queue: q.Name, Priority: q.Priority, Policy: policy, Missing: missing, AtOnce: s.startsAtOnce(), Need: s.spec.Charge(),
		IsAhead: isAhead, IsUnserved: s.isUnserved && !e.overShare[s.customer()],
	}
	find := func() []permit.Candidate { return e.queryCandidates(s, policy) }
	if call, ok := e.planner.Plan(&s.permissions, &r, e.now, find); ok {
		e.counts.PermissionQueries++
		e.emit(order.QueryPermission{Channel: call.Channel, Step: s.id, Workers: call.Workers, Timeout: call.Timeout})
	}
}

// permissionLogInterval is the time between two log lines about the permission queries of a queue.
const permissionLogInterval = 10 * time.Second

// logPermissionQueries logs what was queried since the last call, if permissionLogInterval has passed.
func (e *Engine) logPermissionQueries() {
	if e.now.Before(e.permissionLogDueAt) {
		return
	}
	e.permissionLogDueAt = e.now.Add(permissionLogInterval)
	usage := e.planner.TakeUsage()
	for i := range usage {
		u := &usage[i]
		e.options.Log(events.PermissionsQueried, "queue", u.Queue, "share", u.Share, "queries", u.Calls, "ahead", u.Ahead, "deferred", u.Deferred, "missing", u.Missing,
			"named", u.Named, "full", u.Full, "known", u.Known, "granted", u.Granted, "used", u.Used, "wasted", u.Wasted, "failed", u.Failed, "expected", u.Expected, "took", u.Took)
	}
	if len(usage) > 0 {
		channels, free := e.planner.Channels().Len()
		e.options.Log(events.PermissionChannels, "lanes", channels, "free", free, "kept", e.planner.Channels().Kept(e.now))
	}
}

// queryCandidateFactor times the number of workers that a query can name is how many workers with
// free capacity are examined for it. Each query continues in the list of workers where the previous
// one ended. Examining hundreds of workers for every query takes too much of the owner's time.
const queryCandidateFactor = 3

// queryCandidates returns the workers to consider for a permission query. Left out are workers that are known
// not to be permitted, and those on which no task may start when the query is answered. Workers without free
// capacity are included if capacity may become free there: then it is already known whether they are permitted.
func (e *Engine) queryCandidates(s *step, policy *order.PermissionPolicy) []permit.Candidate {
	found := []permit.Candidate{}
	pool := e.queues[s.job.spec.Queue].Service
	charge := s.spec.Charge()
	answeredAt := e.now.Add(policy.BaseTime)
	renewAt := e.now.Add(policy.BaseTime + permit.RoundTripMargin)
	if !e.isEnabled(MechanismEarlyPermission) {
		renewAt = e.now
	}
	withCapacity, withoutCapacity, examined := 0, 0, 0
	defer func() { e.queryOffset = (e.queryOffset + examined) % max(e.workers.Len(), 1) }()
	for id, w := range e.workers.AllFrom(e.queryOffset) {
		examined++
		if !e.isUsable(w, s) || !e.mayRun(w, s, pool) || !charge.FitsIn(w.Capacity) {
			continue
		}
		startable := e.startableOn(w, s, answeredAt)
		if startable == 0 {
			continue
		}
		fits := e.fitCount(w, s)
		if s.spec.IsGang {
			fits = min(fits, startable)
		}
		if fits == 0 && (withoutCapacity >= permit.MaxWorkersPerCall || !e.isEnabled(MechanismEarlyPermission) || !mayFitLater(w, s)) {
			continue
		}
		isGood, isKnown := s.permissions.IsAllowed(id)
		if isKnown && !isGood {
			continue
		}
		_, hasPermit := s.permissions.ValidPermit(id, renewAt)
		found = append(found, permit.Candidate{
			ID: id, Fits: fits, Claimed: e.claimedTasks(w, s, fits), IsPermitted: isGood, HasPermit: hasPermit,
			IsDegraded: w.speed.IsSuspectedSlow || w.health.IsPaused(e.now), IsRemote: e.isRemote(w, s),
		})
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

// claimedTasks returns how many of the tasks of the step that fit on the worker will on average have no
// capacity left, because of the steps whose queries are in flight.
func (e *Engine) claimedTasks(w *worker, s *step, fits int) float64 {
	claimed := e.planner.Claimed(w.ID, s.priority)
	if fits == 0 || claimed == (leverdyke.Resources{}) {
		return 0
	}
	left := timesThatFit(s.spec.Charge(), e.freeCapacityFor(w, s).Sub(claimed))
	return min(max(float64(fits)-left, 0), float64(fits))
}

// timesThatFit returns how many times the need fits in the free capacity, fractions included.
func timesThatFit(need, free leverdyke.Resources) float64 {
	n := math.Inf(1)
	for _, d := range [...][2]int64{{need.MilliCPU, free.MilliCPU}, {need.MemoryMiB, free.MemoryMiB}, {need.Accelerators, free.Accelerators}} {
		if d[0] > 0 {
			n = min(n, float64(d[1])/float64(d[0]))
		}
	}
	return n
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

// isRemote reports whether the data of the step is in another rack than the worker.
func (e *Engine) isRemote(w *worker, s *step) bool {
	return s.spec.DataRack != "" && w.Rack != s.spec.DataRack && e.isEnabled(MechanismPermissionPlan)
}
