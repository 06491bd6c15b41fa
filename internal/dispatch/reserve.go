// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/reserve"
)

// Room is kept for large tasks and gangs that wait, and small tasks that save their
// state make way: room becomes free in small parts, which small tasks take at once.
const (
	// largeTaskShare is the part of a worker from which a task is large: smaller ones find
	// room soon where others end one by one.
	largeTaskShare = 0.25
	// reservationInterval is the time between two times at which room is kept anew, which costs more
	// than the rest of a look at all that waits.
	reservationInterval = 50 * time.Millisecond
	// maxReservedSteps bounds the steps for which room is kept at once, and so what one
	// look at all that waits costs.
	maxReservedSteps = 12
	// maxPreemptions is how often a task makes way: it costs up to saveEvery of work
	// and a start each time.
	maxPreemptions = 2
	// saveInterval is the time of work after which workers save a task's state.
	saveInterval = 500 * time.Millisecond
	// restartCost is what stopping and starting a task costs beside work that is lost.
	restartCost = time.Second
	// minPreemptionSlack is how much earlier than its objective a task must be likely to end to
	// make way: it waits for room again.
	minPreemptionSlack = 3 * time.Second
	// minShare stands for needs that are too small to count.
	minShare = 0.01
)

// resetReservations forgets the room that is kept when it is time to keep it anew, in
// this look at all that waits.
func (e *Engine) resetReservations() {
	e.isReserving = !e.now.Before(e.reservationDueAt)
	if !e.isReserving {
		return
	}
	e.reservationDueAt = e.now.Add(reservationInterval)
	for _, w := range e.reservedWorkers {
		w.reserved, w.reservedAt = w.reserved[:0], time.Time{}
	}
	e.reservedWorkers, e.reservedSteps = e.reservedWorkers[:0], 0
	clear(e.largestCapacity)
}

// largestCapacityOf returns the most that a worker of a service has of each dimension.
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

// freeCapacityFor returns the room of the worker that the step may take: not what is kept for
// others, unless its tasks will have ended when that is needed.
func (e *Engine) freeCapacityFor(w *worker, s *step) leverdyke.Resources {
	free := w.Capacity.Sub(w.used)
	if w.reservedAt.IsZero() {
		return free
	}
	expected := e.expected(s)
	if expected > 0 && !s.spec.IsLasting && !s.spec.IsFiller && e.now.Add(expected).Before(w.reservedAt) {
		return free
	}
	return free.Sub(e.reservedAgainst(w, s))
}

// reservation is room on a worker that is kept for tasks of a step, with the priority
// of its queue.
type reservation struct {
	step     *step
	priority int
	capacity leverdyke.Resources
}

// reservedAgainst returns the room of the worker that the step must leave to others: not
// to those that are less urgent.
func (e *Engine) reservedAgainst(w *worker, s *step) leverdyke.Resources {
	priority := e.queues[s.job.spec.Queue].Priority
	sum := leverdyke.Resources{}
	for i := range w.reserved {
		if r := &w.reserved[i]; r.step != s && r.priority <= priority {
			sum = sum.Add(r.capacity)
		}
	}
	return sum
}

// reserveFor keeps room for tasks that wait, and stops tasks that make way for them.
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
	places := reserve.Places(&reserve.Request{Count: count, Need: need, IsGang: s.spec.IsGang, StopTime: e.options.StopTime}, models)
	for i := range places {
		p := &places[i]
		w := workers[p.Worker].worker
		if w.reservedAt.IsZero() {
			e.reservedWorkers = append(e.reservedWorkers, w)
		}
		w.reserved = append(w.reserved, reservation{s, q.Priority, need})
		if readyAt := e.now.Add(p.ReadyIn); w.reservedAt.Before(readyAt) {
			w.reservedAt = readyAt
		}
		for _, k := range p.Stops {
			e.preempt(workers[p.Worker].occupants[k], s)
		}
	}
}

// needsReservation reports whether the step's tasks need more than a small part of a
// worker, so that room that becomes free in parts goes to others.
func (e *Engine) needsReservation(s *step, q *order.Queue) bool {
	if s.spec.IsLasting || s.spec.IsFiller || !e.isEnabled(MechanismReservations) {
		return false
	}
	return s.spec.IsGang || dominantShare(s.spec.Charge(), e.largestCapacityOf(q.Service)) >= largeTaskShare
}

// preempt stops an attempt so that a task of another step can start.
func (e *Engine) preempt(a *attempt, other *step) {
	a.step.tasks[a.id.Index].preemptions++
	e.options.Log(events.TaskPreempted, "task", a.id, "run", a.run, "worker", a.worker.ID, "for", other.id, "percent", a.percent)
	e.stop(a, "makes way")
}

// reservableWorker is a worker on which tasks that wait may run, with the attempts that
// are on it.
type reservableWorker struct {
	worker    *worker
	occupants []*attempt
}

// mayTryAny reports whether a task of the step that waits may start on the worker now.
// Room that none of them takes is left to others, which may prove the worker sound.
func (e *Engine) mayTryAny(w *worker, s *step) bool {
	return slices.ContainsFunc(s.tasks, func(t task) bool { return t.state == taskWaiting && e.mayTry(w, s, &t) })
}

// reservableWorkers returns the workers of which room can be kept for a step: those that are
// known to be permitted, in the order of their IDs.
func (e *Engine) reservableWorkers(s *step, q *order.Queue) ([]reservableWorker, []reserve.Worker) {
	found := []reservableWorker{}
	add := func(w *worker) {
		if w != nil && e.isUsable(w, s) && e.mayRun(w, s, q.Service) && e.mayTryAny(w, s) {
			found = append(found, reservableWorker{worker: w})
		}
	}
	if q.Advice == nil {
		for _, w := range e.workers.All() {
			add(w)
		}
	}
	s.permit.Good(func(id order.WorkerID) {
		if q.Advice != nil {
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

func (e *Engine) capacityModel(r *reservableWorker, s *step, q *order.Queue) reserve.Worker {
	w := r.worker
	m := reserve.Worker{Free: w.Capacity.Sub(w.used).Sub(e.reservedAgainst(w, s)), Most: len(s.tasks)}
	if s.spec.MaxPerWorker > 0 {
		m.Most = min(m.Most, s.spec.MaxPerWorker-w.attemptCountOf(s))
	}
	for _, a := range w.attempts.All() {
		if a.step == nil || a.step.spec.IsLasting {
			continue
		}
		r.occupants = append(r.occupants, a)
	}
	slices.SortFunc(r.occupants, func(a, b *attempt) int { return a.id.Compare(b.id) })
	needShare := dominantShare(s.spec.Charge(), w.Capacity)
	for _, a := range r.occupants {
		m.Occupants = append(m.Occupants, reserve.Occupant{
			Room: a.charge, EndsIn: e.remainingTime(a), MayStop: e.mayPreempt(a, q), Lost: time.Duration(float64(e.preemptionCost(a)) * dominantShare(a.charge, w.Capacity) / needShare),
		})
	}
	return m
}

// dominantShare returns the part of a worker's room that a need takes, by the dimension of
// which it takes most; it is over 0.
func dominantShare(need, capacity leverdyke.Resources) float64 {
	fraction := minShare
	for _, d := range [...][2]int64{
		{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMiB, capacity.MemoryMiB}, {need.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			fraction = max(fraction, float64(d[0])/float64(d[1]))
		}
	}
	return fraction
}

// remainingTime returns how long an attempt will likely still take.
func (e *Engine) remainingTime(a *attempt) time.Duration {
	if a.isStopping {
		return max(a.stopSentAt.Add(e.options.StopTime).Sub(e.now), 0)
	}
	expected := e.expected(a.step)
	remaining := time.Duration(float64(expected) * float64(100-a.percent) / 100)
	if a.percent == 0 {
		remaining = expected - e.now.Sub(a.orderedAt)
	}
	return max(remaining, 0)
}

// preemptionCost returns the work that stopping an attempt costs.
func (e *Engine) preemptionCost(a *attempt) time.Duration {
	ran := e.now.Sub(a.orderedAt)
	if a.step.tasks[a.id.Index].saved != "" {
		ran = min(ran, saveInterval)
	}
	return ran + restartCost
}

// mayPreempt reports whether an attempt may be stopped for a task of the queue: one
// that goes on from where it was saved, of a queue that is less urgent.
func (e *Engine) mayPreempt(a *attempt, q *order.Queue) bool {
	s := a.step
	if !e.isEnabled(MechanismPreemption) || a.phase != phaseRunning || a.isStopping || !s.spec.KeepsProgress || s.spec.IsGang || a.hasCopy() {
		return false
	}
	ownQueue := e.queues[s.job.spec.Queue]
	return ownQueue.Priority > q.Priority && s.tasks[a.id.Index].preemptions < maxPreemptions && e.slack(a, &ownQueue) > minPreemptionSlack
}

// slack returns how much earlier than the objective of its queue the step of an attempt
// will likely end.
func (e *Engine) slack(a *attempt, q *order.Queue) time.Duration {
	objective := q.Latency + time.Duration(q.Stretch*float64(e.expected(a.step)))
	return a.step.arrivedAt().Add(objective).Sub(e.now) - e.remainingTime(a)
}
