// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/reserve"
)

// Capacity is reserved for large tasks and gangs that wait, and small tasks that save their state
// are preempted for them. Without reservations they would starve: capacity becomes free in small
// parts, which small tasks take at once.
const (
	// largeTaskShare is the fraction of a worker from which a task counts as large. Smaller tasks
	// soon find capacity where others end one by one.
	largeTaskShare = 0.25
	// reservationInterval is the time between two computations of all reservations, which cost more
	// than the rest of a scheduling pass.
	reservationInterval = 50 * time.Millisecond
	// maxReservedSteps limits the number of steps with reservations, and so the cost of a
	// scheduling pass.
	maxReservedSteps = 12
)

// resetReservations drops all reservations if it is time to compute them again in this scheduling
// pass.
func (e *Engine) resetReservations() {
	e.isReserving = !e.now.Before(e.reservationDueAt)
	if !e.isReserving {
		return
	}
	e.reservationDueAt = e.now.Add(reservationInterval)
	for _, w := range e.reservedWorkers {
		w.reservations = w.reservations[:0]
	}
	e.reservedWorkers, e.reservedSteps = e.reservedWorkers[:0], 0
	clear(e.largestCapacity)
}

// largestCapacityOf returns the largest capacity that any worker of a service has, dimension by
// dimension.
func (e *Engine) largestCapacityOf(service string) leverdyke.Resources {
	if r, ok := e.largestCapacity[service]; ok {
		return r
	}
	r := leverdyke.Resources{}
	for _, w := range e.workers.All() {
		if w.Service == service {
			r = r.Max(w.Capacity)
		}
	}
	e.largestCapacity[service] = r
	return r
}

// freeCapacityFor returns the capacity of the worker that the step may take. Capacity that is
// reserved for other steps is excluded, unless the step's tasks are expected to end before it is
// needed.
func (e *Engine) freeCapacityFor(w *worker, s *step) leverdyke.Resources {
	free := w.Capacity.Sub(w.used)
	if len(w.reservations) == 0 {
		return free
	}
	endsAt := time.Time{}
	if expected := e.expectedOn(s, w); expected > 0 && !s.spec.IsLongRunning && !s.spec.IsBestEffort {
		endsAt = e.now.Add(expected)
	}
	return free.Sub(e.reservedAgainst(w, s, endsAt))
}

// reservation is capacity on a worker that is reserved for one task of a step, with the priority of
// the step's queue. neededAt is when the task can start; that of a gang's member is the time at which
// all members can.
type reservation struct {
	step     *step
	priority int
	capacity leverdyke.Resources
	neededAt time.Time
	// isFirst means that the step is the first one for which capacity is reserved.
	isFirst bool
}

// holdsAgainst reports whether the capacity must be left by other steps of that priority. Steps without
// permits can't use it yet and hold it only against less urgent queues, except for the first one: a large
// gang that always had to wait for smaller ones would starve.
func (r *reservation) holdsAgainst(priority int, hasPermit bool) bool {
	return r.priority < priority || r.priority == priority && (hasPermit || r.isFirst)
}

// reservedAgainst returns the capacity of the worker that is reserved for other steps and that the
// step must not take until the time endsAt; the zero time means that it would keep it.
// Reservations of less urgent queues do not hold against it.
func (e *Engine) reservedAgainst(w *worker, s *step, endsAt time.Time) leverdyke.Resources {
	priority := e.queues[s.job.spec.Queue].Priority
	sum := leverdyke.Resources{}
	for i := range w.reservations {
		r := &w.reservations[i]
		isNeeded := endsAt.IsZero() || !endsAt.Before(r.neededAt)
		if r.step != s && isNeeded && r.holdsAgainst(priority, e.holdsPermit(r.step, w)) {
			sum = sum.Add(r.capacity)
		}
	}
	return sum
}

// holdsPermit reports whether the step may start a task on the worker now as far as permits matter.
func (e *Engine) holdsPermit(s *step, w *worker) bool {
	if e.queues[s.job.spec.Queue].Permission == nil {
		return true
	}
	_, ok := s.permissions.ValidPermit(w.ID, e.now)
	return ok
}

// reserveFor reserves capacity for waiting tasks of a step, and preempts the tasks that have to be
// stopped for it.
func (e *Engine) reserveFor(s *step, q *order.Queue, count int) {
	if !e.isReserving || e.reservedSteps >= maxReservedSteps || !e.needsReservation(s, q) {
		return
	}
	workers, models := e.reservableWorkers(s, q)
	if len(workers) == 0 {
		return
	}
	e.reservedSteps++
	e.counts.ReservationPlans++
	need := s.spec.Charge()
	reservations := reserve.Plan(&reserve.Request{Count: count, Need: need, IsGang: s.spec.IsGang, StopTime: e.options.StopTime, MaxWait: e.waitWithoutPreemption(s, q)}, models)
	for i := range reservations {
		p := &reservations[i]
		w := workers[p.Worker].worker
		if len(w.reservations) == 0 {
			e.reservedWorkers = append(e.reservedWorkers, w)
		}
		neededIn := p.ReadyIn
		if s.spec.IsGang {
			neededIn = reservations[len(reservations)-1].ReadyIn
		}
		w.reservations = append(w.reservations, reservation{s, q.Priority, need, e.now.Add(neededIn), e.reservedSteps == 1})
		for _, k := range p.Preempted {
			e.preempt(workers[p.Worker].occupants[k], s)
		}
	}
}

// needsReservation reports whether the step is a gang or its tasks need a large part of a worker.
// Capacity that becomes free in small parts would otherwise always go to others.
func (e *Engine) needsReservation(s *step, q *order.Queue) bool {
	if s.spec.IsLongRunning || s.spec.IsBestEffort || !e.isEnabled(MechanismReservations) {
		return false
	}
	return s.spec.IsGang || reserve.DominantShare(s.spec.Charge(), e.largestCapacityOf(q.Service)) >= largeTaskShare
}

// preempt stops an attempt so that a task of the other step can start.
func (e *Engine) preempt(a *attempt, other *step) {
	a.step.tasks[a.id.Index].preemptions++
	e.options.Log(events.TaskPreempted, "task", a.id, "run", a.run, "worker", a.worker.ID, "for", other.id, "percent", a.percent)
	e.stop(a, string(discard.MakesWay))
}

// reservableWorker is a worker on which waiting tasks may run, with the attempts on it that will
// end or can be stopped.
type reservableWorker struct {
	worker    *worker
	occupants []*attempt
}

// mayTryAny reports whether a waiting task of the step may start on the worker now. If none may,
// the worker's capacity is left to other tasks, whose success may show that the worker is healthy.
func (e *Engine) mayTryAny(w *worker, s *step) bool {
	return slices.ContainsFunc(s.tasks, func(t task) bool { return t.state == taskWaiting && e.mayRetryOn(w, s, &t) })
}

// reservableWorkers returns the workers on which capacity can be reserved for a step, ordered by
// ID. Where the queue requires permits, these are the workers that are known to be permitted, even
// if their permit has expired.
func (e *Engine) reservableWorkers(s *step, q *order.Queue) ([]reservableWorker, []reserve.Worker) {
	found := []reservableWorker{}
	add := func(w *worker) {
		if w != nil && e.isUsable(w, s) && e.mayRun(w, s, q.Service) && e.mayTryAny(w, s) {
			found = append(found, reservableWorker{worker: w})
		}
	}
	if q.Permission == nil {
		for _, w := range e.workers.All() {
			add(w)
		}
	}
	s.permissions.EachAllowed(func(id order.WorkerID) {
		if q.Permission != nil {
			add(e.workers.Get(id))
		}
	})
	slices.SortFunc(found, func(a, b reservableWorker) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	models := make([]reserve.Worker, len(found))
	for i := range found {
		models[i] = e.capacityModel(&found[i], s, q)
	}
	return found, models
}

// capacityModel describes the worker to package reserve: its free capacity, and when each attempt on
// it will likely end or what stopping it costs.
func (e *Engine) capacityModel(r *reservableWorker, s *step, q *order.Queue) reserve.Worker {
	w := r.worker
	m := reserve.Worker{Free: w.Capacity.Sub(w.used).Sub(e.reservedAgainst(w, s, time.Time{})), MaxTasks: len(s.tasks)}
	if s.spec.MaxPerWorker > 0 {
		m.MaxTasks = min(m.MaxTasks, s.spec.MaxPerWorker-w.attemptCountOf(s))
	}
	for _, a := range w.attempts.All() {
		if a.step == nil || a.step.spec.IsLongRunning {
			continue
		}
		r.occupants = append(r.occupants, a)
	}
	slices.SortFunc(r.occupants, func(a, b *attempt) int { return a.id.Compare(b.id) })
	needShare := reserve.DominantShare(s.spec.Charge(), w.Capacity)
	isUsableSoon := e.canUseSoon(w, s, q)
	for _, a := range r.occupants {
		o := reserve.Occupant{Resources: a.charge, EndsIn: e.remainingTime(a)}
		if isUsableSoon && e.isLessUrgent(a, q) {
			d := e.occupant(a)
			o.IsPreemptible = d.IsPreemptible()
			o.PreemptionCost = time.Duration(float64(d.PreemptionCost()) * reserve.DominantShare(a.charge, w.Capacity) / needShare)
		}
		m.Occupants = append(m.Occupants, o)
	}
	return m
}

// remainingTime returns how much longer an attempt is expected to run.
func (e *Engine) remainingTime(a *attempt) time.Duration {
	if a.isStopping {
		return max(a.stopSentAt.Add(e.options.StopTime).Sub(e.now), 0)
	}
	expected := e.expectedOn(a.step, a.worker)
	remaining := time.Duration(float64(expected) * float64(100-a.percent) / 100)
	if a.percent == 0 {
		remaining = expected - e.now.Sub(a.orderedAt)
	}
	return max(remaining, 0)
}
