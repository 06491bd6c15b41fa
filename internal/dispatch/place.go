// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/urgency"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// runPass is one scheduling pass: it starts the tasks that can be started, the most urgent steps
// first.
func (e *Engine) runPass() {
	if e.isPaused || !e.isOwnershipConfirmed {
		return
	}
	e.passedAt = e.now
	e.resetReservations()
	e.planner.BeginPass()
	e.updateUncertainUsage()
	waiting := e.failExhausted(e.stepsInOrder())
	steps := e.withinLimits(waiting)
	isWaiting := len(steps) < len(waiting)
	for _, i := range e.rotation.Next(len(steps)) {
		s := steps[i]
		before := s.waiting + s.copiesWanted
		e.placeStep(s)
		after := s.waiting + s.copiesWanted
		e.rotation.Tried(after < before)
		isWaiting = isWaiting || after > 0
	}
	if isWaiting || e.rotation.HasSkipped() {
		// What these steps wait for may change without an event: a pause ends, or a channel to the
		// permission service is free again because its query has timed out.
		e.recheckAt = e.now.Add(recheckInterval)
	}
}

// enqueue adds a step with waiting tasks or wanted speculative copies to stepQueue.
func (e *Engine) enqueue(s *step) {
	if !s.isQueued {
		s.isQueued = true
		e.stepQueue = append(e.stepQueue, s)
	}
}

// stepsInOrder returns the steps with waiting tasks or wanted copies in scheduling order.
func (e *Engine) stepsInOrder() []*step {
	e.updatePoolUsage()
	e.stepQueue = slices.DeleteFunc(e.stepQueue, func(s *step) bool {
		s.isQueued = !s.job.state.IsFinal() && (s.waiting > 0 || s.copiesWanted > 0)
		s.priority = e.queues[s.job.spec.Queue].Priority
		if s.isQueued {
			e.updateRank(s)
		}
		return !s.isQueued
	})
	e.updateShares()
	e.isLateFirst = urgency.IsLateFirst(time.Duration(e.now.UnixNano()))
	slices.SortStableFunc(e.stepQueue, e.compareSteps)
	if e.inherited == nil {
		return e.stepQueue
	}
	return slices.DeleteFunc(slices.Clone(e.stepQueue), func(s *step) bool {
		if !e.isBlocked(s) {
			return false
		}
		s.waitReason = waits.Uncertainty
		return true
	})
}

// arrivedAt is the time from which the age of a step is counted: the due time of its round, or for
// a job without rounds the time at which the job was accepted. Older steps of equal priority and
// rank go first.
func (s *step) arrivedAt() time.Time {
	if s.job.spec.Rounds > 0 {
		return s.round.dueAt
	}
	return s.job.acceptedAt
}

func (e *Engine) placeStep(s *step) {
	q, ok := e.queues[s.job.spec.Queue]
	if !ok {
		return
	}
	s.triedAt, s.mayProbeEarly = e.now, e.mayProbeEarly(s, q.Service)
	e.startTasks(s, &q)
	if s.waiting > 0 {
		s.waitReason = e.waitReason(s, &q)
	}
}

// startTasks starts as many tasks of a step as possible. For the others it queries permissions and
// reserves capacity.
func (e *Engine) startTasks(s *step, q *order.Queue) {
	if s.spec.IsGang {
		e.placeGang(s, q)
		return
	}
	placed := 0
	allowed := e.allowedByQuota(s)
	var ranked *candidates
	for _, i := range e.taskOrder(s) {
		t := &s.tasks[i]
		if !e.mayStartTask(t) {
			continue
		}
		if placed >= allowed {
			break
		}
		if ranked == nil {
			ranked = e.newCandidates(s, q)
		}
		w := ranked.pick(e, s, i, q)
		if w == nil && needsIndividualPlacement(t) {
			// No worker suits this one task; the step's other tasks may still find one.
			e.reserveForSuspect(s, i, q)
			continue
		}
		if w == nil {
			break
		}
		e.startTask(w, s, i, t.run+1)
		ranked.rescoreTop(e, s)
		placed++
	}
	if placed > 0 {
		e.options.Log(events.StepPlaced, "step", s.id, "queue", q.Name, "placed", placed, "waiting", s.waiting, "waited", e.now.Sub(s.openedAt))
	}
	if s.copiesWanted > 0 {
		e.placeCopies(s, q)
	}
	allowed = e.allowedByQuota(s)
	if missing := min(s.waiting+s.copiesWanted, allowed); missing > 0 && q.Permission != nil {
		e.queryPermission(s, q.Permission, missing)
	}
	if missing := min(s.waiting-e.delayedTasks(s), allowed); missing > 0 {
		e.reserveFor(s, q, missing)
	}
}

// taskOrder returns the indexes of the step's tasks in the order in which they are started.
// Long-running tasks are restarted for as long as their job exists: the one that has not run for
// the longest time goes first. The slice is reused by the next call.
func (e *Engine) taskOrder(s *step) []int {
	e.taskOrderBuffer = e.taskOrderBuffer[:0]
	for i := range s.tasks {
		e.taskOrderBuffer = append(e.taskOrderBuffer, i)
	}
	if s.spec.IsLongRunning {
		slices.SortStableFunc(e.taskOrderBuffer, func(i, k int) int { return s.tasks[i].lastRanAt.Compare(s.tasks[k].lastRanAt) })
	}
	return e.taskOrderBuffer
}

// mayRun reports whether the worker belongs to the pool and has the label that the step requires.
func (e *Engine) mayRun(w *worker, s *step, pool string) bool {
	if w.Service != pool {
		return false
	}
	return s.spec.Label == "" || slices.Contains(w.Labels, s.spec.Label)
}

// fitCount returns how many tasks of the step the worker can take now.
func (e *Engine) fitCount(w *worker, s *step) int {
	return e.fitCountBeside(w, s, leverdyke.Resources{})
}

// fitCountBeside returns how many tasks of the step the worker can take if other tasks use the
// given resources as well. A worker on probation takes one task at a time.
func (e *Engine) fitCountBeside(w *worker, s *step, claimed leverdyke.Resources) int {
	n := e.fitCountIgnoringHealth(w, s, claimed)
	if w.health.IsOnProbation {
		n = min(n, 1-w.probeCount())
	}
	return max(n, 0)
}

// fitCountIgnoringHealth is fitCountBeside without regard to the worker's health.
func (e *Engine) fitCountIgnoringHealth(w *worker, s *step, claimed leverdyke.Resources) int {
	if w.isOvercommitted() {
		return 0
	}
	n := len(s.tasks)
	charge := s.spec.Charge()
	if charge.MilliCPU > 0 || charge.MemoryMiB > 0 || charge.Accelerators > 0 {
		free := e.freeCapacityFor(w, s).Sub(claimed)
		free.Slots = 0
		charge.Slots = 0
		n = int(min(int64(n), charge.Count(free)))
	}
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-w.attemptCountOf(s))
	}
	return max(n, 0)
}

// isOvercommitted reports whether the attempts charged to the worker need more than its capacity.
// Its capacity may shrink between the choice of a placement and the sending of the order; these are
// seconds apart if the placement has to wait for the store.
func (w *worker) isOvercommitted() bool {
	used := w.used
	used.Slots = 0
	return !used.FitsIn(w.Capacity)
}

func (w *worker) attemptCountOf(s *step) int {
	n := 0
	for _, a := range w.attempts.All() {
		if a.step == s {
			n++
		}
	}
	return n
}

// chooseWorker returns the worker with the best score for a task, or nil if none can take it. gang
// is nil for a task that is not a member of a gang.
func (e *Engine) chooseWorker(s *step, i int, q *order.Queue, gang *partialGang) *worker {
	id := s.taskID(i)
	t := &s.tasks[i]
	var best *worker
	bestScore := 0.0
	for _, w := range e.permittedWorkers(s, q) {
		if w.attempts.Get(id) != nil || !e.mayRetryOn(w, s, t) {
			continue
		}
		fitting := e.fitCount(w, s)
		if gang != nil {
			if gang.rack != "" && w.Rack != gang.rack || !gang.band.Contains(e.speedRatio(w)) {
				continue
			}
			fitting -= gang.assigned[w]
		}
		if fitting <= 0 {
			continue
		}
		score := e.score(w, s, t)
		if best == nil || score > bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// permittedWorkers returns the workers that may be given tasks of the step now: all that are
// usable, or only those with a valid permit where the queue requires permits. The slice is reused
// by the next call.
func (e *Engine) permittedWorkers(s *step, q *order.Queue) []*worker {
	found := e.permittedBuffer[:0]
	if q.Permission == nil {
		for _, w := range e.workers.All() {
			if e.isUsable(w, s) && e.mayRun(w, s, q.Service) {
				found = append(found, w)
			}
		}
	}
	s.permissions.EachPermitted(e.now, func(id order.WorkerID) {
		if w := e.workers.Get(id); w != nil && q.Permission != nil && e.isUsable(w, s) && e.mayRun(w, s, q.Service) {
			found = append(found, w)
		}
	})
	e.permittedBuffer = found
	return found
}

// Weights of the terms of a worker's score. The unit is a whole worker: the term for packing is the
// used fraction of the worker. What makes a task slower or more likely to fail outweighs tight
// packing.
const (
	weightEjected      = 8.0
	weightFailedHere   = 4.0
	weightSlow         = 3.0
	weightMaybeSlow    = 1.5
	weightRemoteData   = 1.0
	weightInterference = 1.5
	weightZone         = 0.01
	// weightRiskThreeLeft, weightRiskTwoLeft and weightRiskLastAttempt apply to the risk that the
	// task fails on the worker, for a task with three or more, two, or one attempt left. The job
	// fails with the last attempt.
	weightRiskThreeLeft   = 0.3
	weightRiskTwoLeft     = 0.8
	weightRiskLastAttempt = 5.0
)

// score returns how well the worker suits the task; higher is better. It prefers workers that are
// tightly packed and near the data, and workers on which the task ends in time. It avoids workers
// that are ejected, slow or likely to fail the task, those where the task has failed, and those with
// tasks that would disturb it or be disturbed by it. Long-running tasks, best-effort tasks and tasks
// that may crash their worker go to the emptiest worker instead. t is nil if the score is to hold for
// any task of the step.
func (e *Engine) score(w *worker, s *step, t *task) float64 {
	score := w.utilization()
	if s.spec.IsLongRunning || s.spec.IsBestEffort || t != nil && isSuspect(t) {
		score = -score
	}
	if e.hasUsableObjective(s) {
		score += e.objective(s).Score(e.speedRatio(w))
	}
	switch {
	case w.speed.IsSlow(e.now):
		score -= weightSlow
	case w.speed.IsSuspectedSlow:
		score -= weightMaybeSlow
	}
	if w.health.IsPaused(e.now) {
		score -= weightEjected
	}
	if t != nil && (t.avoidWorker == w.ID || hasCrashedOn(t, w.Machine)) {
		score -= weightFailedHere
	}
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score -= weightRemoteData
	}
	if w.Zone == e.options.NodeZone {
		score += weightZone
	}
	score -= e.riskWeight(s, t) * w.health.Risk(e.now)
	if s.spec.IsBestEffort || s.spec.TailTarget > 0 {
		score -= weightInterference * w.interference(s)
	}
	return score
}

// riskWeight returns the weight of the risk that a task fails; t is nil for a task that has not
// failed yet.
func (e *Engine) riskWeight(s *step, t *task) float64 {
	limit := e.queues[s.job.spec.Queue].MaxAttempts
	if s.spec.IsLongRunning || limit <= 0 {
		return weightRiskThreeLeft
	}
	left := limit
	if t != nil {
		left -= s.failuresOf(t)
	}
	switch {
	case left <= 1:
		return weightRiskLastAttempt
	case left == 2:
		return weightRiskTwoLeft
	}
	return weightRiskThreeLeft
}

// utilization returns the used fraction of the worker's capacity, in whichever of processors and
// memory is used most.
func (w *worker) utilization() float64 {
	fraction := 0.0
	if w.Capacity.MilliCPU > 0 {
		fraction = float64(w.used.MilliCPU) / float64(w.Capacity.MilliCPU)
	}
	if w.Capacity.MemoryMiB > 0 {
		fraction = max(fraction, float64(w.used.MemoryMiB)/float64(w.Capacity.MemoryMiB))
	}
	return fraction
}

// interference returns 1 if best-effort tasks and tasks with a latency target would share the
// worker, otherwise 0.
func (w *worker) interference(s *step) float64 {
	for _, a := range w.attempts.All() {
		if a.step == nil {
			continue
		}
		if s.spec.IsBestEffort && a.step.spec.TailTarget > 0 || s.spec.TailTarget > 0 && a.step.spec.IsBestEffort {
			return 1
		}
	}
	return 0
}

func (s *step) taskID(i int) work.TaskID {
	return work.TaskID{Job: s.id.Job, Round: s.id.Round, Step: s.id.Step, Index: i}
}

func (s *step) highestRun() uint64 {
	run := uint64(0)
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
	}
	return run
}

// startTask plans an attempt of a waiting task on a worker.
func (e *Engine) startTask(w *worker, s *step, i int, run uint64) {
	t := &s.tasks[i]
	t.state = taskPlaced
	t.attempt = e.planAttempt(w, s, i, run)
	s.waiting--
}

// planAttempt creates an attempt and charges it to the worker. The order to start is sent only
// after the placement is persisted, so that the next owner knows where the task may run; in
// write-behind mode it may be sent earlier.
func (e *Engine) planAttempt(w *worker, s *step, i int, run uint64) *attempt {
	t := &s.tasks[i]
	a := &attempt{
		id: s.taskID(i), step: s, run: run, worker: w, charge: s.spec.Charge(), phase: phasePlanned, orderedAt: e.now, pace: fullPace,
	}
	e.charge(a)
	if w.health.IsPaused(e.now) {
		w.health.BeginProbation(e.now)
	}
	w.lastStartAt = e.now
	e.isolateSuspect(a)
	t.run = max(t.run, run)
	e.addPlacement(a)
	e.markUrgent(s.job)
	if e.mayStartUnpersisted(a) {
		e.queueStart(a)
	}
	return a
}

// addPlacement adds the placement of an attempt to the batch. An attempt that is already ordered
// counts as unpersisted until the batch is committed.
func (e *Engine) addPlacement(a *attempt) {
	e.markDirty(a.step.job)
	b := e.currentBatch()
	b.planned = append(b.planned, a)
	if a.phase != phasePlanned {
		e.countUnpersisted(a)
	}
}

func (e *Engine) countUnpersisted(a *attempt) {
	if !a.isPersisted && !a.isWriteBehind {
		a.isWriteBehind = true
		e.unpersisted++
	}
}

// placementPersisted records that the placement of an attempt is in the store.
func (e *Engine) placementPersisted(a *attempt) {
	a.isPersisted = true
	if a.isWriteBehind {
		a.isWriteBehind = false
		e.unpersisted--
	}
}

// queueStart queues the order to start a planned attempt. It is sent as soon as startsInFlight is
// below the limit of startWindow, which bounds how many orders are unanswered at a time. An order is
// unanswered from when it is issued until StartAnswered is called for it, or it is withdrawn before
// it was sent. If the answer takes too long, the attempt is marked as unacknowledged, but its order
// counts as unanswered until then.
func (e *Engine) queueStart(a *attempt) {
	e.readyStarts = append(e.readyStarts, a)
	e.sendReadyStarts()
}

func (e *Engine) sendReadyStarts() {
	for len(e.readyStarts) > 0 && e.startsInFlight < e.startWindow.Limit() {
		a := e.readyStarts[0]
		e.readyStarts = e.readyStarts[1:]
		e.sendStart(a)
	}
}

// sendStart issues the order to start a planned attempt, unless something has happened since that
// rules it out.
func (e *Engine) sendStart(a *attempt) {
	if a.phase != phasePlanned || a.worker.attempts.Get(a.id) != a {
		return
	}
	if !a.isPersisted && !e.mayStartUnpersisted(a) {
		// Write-behind mode has ended since the attempt was queued. It is queued again once its
		// placement is persisted. An owner that has not announced that it runs in write-behind mode
		// must not start it earlier.
		return
	}
	q := e.queues[a.step.job.spec.Queue]
	permitText, hasPermit := a.step.permissions.ValidPermit(a.worker.ID, e.now)
	isStartPaused := e.isPaused && !e.isGangStarted(a)
	isOverLimit := e.quota.IsOverLimit(a.step.customer()) && !e.isGangStarted(a)
	if !e.isReachable(a.worker) || !e.isOwnershipConfirmed || isStartPaused || q.Permission != nil && !hasPermit || a.worker.isOvercommitted() || isOverLimit {
		e.abandonPlanned(a, "a member was not ordered")
		return
	}
	a.phase, a.orderedAt, a.worker.lastStartAt = phaseOrdered, e.now, e.now
	e.isolateSuspect(a)
	e.durationsOf(a.step).Ordered(e.now)
	e.countUnpersisted(a)
	a.isResumed = a.step.savedStateOf(a.id.Index) != ""
	t := &a.step.tasks[a.id.Index]
	t.orderedRun, t.orderedOn = a.run, a.worker.ID
	e.counts.Starts++
	if hasPermit {
		e.planner.RecordStart(q.Name, &a.step.permissions, a.worker.ID)
	}
	e.startsInFlight++
	e.startsInActions = append(e.startsInActions, a)
	e.emit(order.Start{
		Worker: a.worker.ID, Addr: a.worker.Addr, Generation: e.abandonedStarts.Generation(a.worker.ID), Task: a.id, Run: a.run, Payload: a.step.job.spec.Payload,
		Checkpoint: a.step.savedStateOf(a.id.Index), Permit: permitText, Deadline: e.leaseEndOf(a.worker),
	})
}

// abandonPlanned drops an attempt that was not ordered. If it belongs to a gang, the other members
// of the same run are stopped, too: they would wait for a member that never starts, up to the time
// limit within which a gang must assemble.
func (e *Engine) abandonPlanned(a *attempt, why string) {
	e.release(a)
	e.detachAttempt(a)
	e.stopRestOfGang(a, why)
}

// isGangStarted reports whether other members of the same run of the attempt's gang have been
// ordered. They would wait for a member that never starts.
func (e *Engine) isGangStarted(a *attempt) bool {
	if !a.step.spec.IsGang {
		return false
	}
	return slices.ContainsFunc(a.step.tasks, func(t task) bool {
		return t.attempt != nil && t.attempt.run == a.run && t.attempt.phase != phasePlanned
	})
}

// HasReadyStarts reports whether starts that may be sent wait because too many orders are
// unanswered.
func (e *Engine) HasReadyStarts() bool { return len(e.readyStarts) > 0 }

// savedStateOf returns the saved state from which a task resumes. All members of a gang must resume
// from the same saved state.
func (s *step) savedStateOf(i int) string {
	if !s.spec.IsGang {
		return s.tasks[i].checkpoint
	}
	for t := range s.tasks {
		if saved := s.tasks[t].checkpoint; saved != "" {
			return saved
		}
	}
	return ""
}
