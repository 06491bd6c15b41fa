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
	// largeShare is the part of a worker from which a task is large: smaller ones find
	// room soon where others end one by one.
	largeShare = 0.25
	// reservePause is the time between two times at which room is kept anew, which costs more
	// than the rest of a look at all that waits.
	reservePause = 50 * time.Millisecond
	// maxReservations bounds the steps for which room is kept at once, and so what one
	// look at all that waits costs.
	maxReservations = 12
	// maxPreemptions is how often a task makes way: it costs up to saveEvery of work
	// and a start each time.
	maxPreemptions = 2
	// saveEvery is the time of work after which workers save a task's state.
	saveEvery = 500 * time.Millisecond
	// restartTime is what stopping and starting a task costs beside work that is lost.
	restartTime = time.Second
	// spareTime is how much earlier than its objective a task must be likely to end to
	// make way: it waits for room again.
	spareTime = 3 * time.Second
	// smallestShare stands for needs that are too small to count.
	smallestShare = 0.01
)

// refreshReservations forgets the room that is kept when it is time to keep it anew, in
// this look at all that waits.
func (e *Engine) refreshReservations() {
	e.isReserving = !e.now.Before(e.reserveAt)
	if !e.isReserving {
		return
	}
	e.reserveAt = e.now.Add(reservePause)
	for _, w := range e.reserved {
		w.reservations, w.reservationsReadyAt = w.reservations[:0], time.Time{}
	}
	e.reserved, e.reservations = e.reserved[:0], 0
	clear(e.largest)
}

// largestOf returns the most that a worker of a service has of each dimension.
func (e *Engine) largestOf(service string) leverdyke.Resources {
	if r, ok := e.largest[service]; ok {
		return r
	}
	r := leverdyke.Resources{}
	for _, w := range e.workers.All() {
		if w.Service == service {
			r = r.Max(w.Capacity)
		}
	}
	e.largest[service] = r
	return r
}

// freeFor returns the room of the worker that the step may take: not what is kept for
// others, unless its tasks will have ended when that is needed.
func (e *Engine) freeFor(w *worker, s *step) leverdyke.Resources {
	free := w.Capacity.Sub(w.used)
	if w.reservationsReadyAt.IsZero() {
		return free
	}
	expected := e.expectedDuration(s)
	if expected > 0 && !s.spec.IsLongRunning && !s.spec.IsBestEffort && e.now.Add(expected).Before(w.reservationsReadyAt) {
		return free
	}
	return free.Sub(e.reservedBefore(w, s))
}

// reservation is room on a worker that is kept for tasks of a step, with the priority
// of its queue.
type reservation struct {
	step     *step
	priority int
	room     leverdyke.Resources
}

// reservedBefore returns the room of the worker that the step must leave to others: not
// to those that are less urgent.
func (e *Engine) reservedBefore(w *worker, s *step) leverdyke.Resources {
	priority := e.queues[s.job.spec.Queue].Priority
	sum := leverdyke.Resources{}
	for i := range w.reservations {
		if r := &w.reservations[i]; r.step != s && r.priority <= priority {
			sum = sum.Add(r.room)
		}
	}
	return sum
}

// reserveFor keeps room for tasks that wait, and stops tasks that make way for them.
func (e *Engine) reserveFor(s *step, q *order.Queue, count int) {
	if !e.isReserving || e.reservations >= maxReservations || !e.wantsReservation(s, q) {
		return
	}
	workers, models := e.reservable(s, q)
	if len(workers) == 0 {
		return
	}
	e.reservations++
	e.counts.Plans++
	need := s.spec.Charge()
	places := reserve.Plan(&reserve.Request{Count: count, Need: need, IsGang: s.spec.IsGang, StopTime: e.options.StopTime}, models)
	for i := range places {
		p := &places[i]
		w := workers[p.Worker].worker
		if w.reservationsReadyAt.IsZero() {
			e.reserved = append(e.reserved, w)
		}
		w.reservations = append(w.reservations, reservation{s, q.Priority, need})
		if readyAt := e.now.Add(p.ReadyIn); w.reservationsReadyAt.Before(readyAt) {
			w.reservationsReadyAt = readyAt
		}
		for _, k := range p.Preempted {
			e.preempt(workers[p.Worker].occupants[k], s)
		}
	}
}

// wantsReservation reports whether the step's tasks need more than a small part of a
// worker, so that room that becomes free in parts goes to others.
func (e *Engine) wantsReservation(s *step, q *order.Queue) bool {
	if s.spec.IsLongRunning || s.spec.IsBestEffort || !e.has(MechanismReservations) {
		return false
	}
	return s.spec.IsGang || share(s.spec.Charge(), e.largestOf(q.Service)) >= largeShare
}

// preempt stops an attempt so that a task of another step can start.
func (e *Engine) preempt(a *attempt, other *step) {
	a.step.tasks[a.id.Index].preemptions++
	e.options.Log(events.TaskPreempted, "task", a.id, "run", a.run, "worker", a.worker.ID, "for", other.id, "percent", a.percent)
	e.stop(a, "makes way")
}

// reservable is a worker on which tasks that wait may run, with the attempts that
// are on it.
type reservable struct {
	worker    *worker
	occupants []*attempt
}

// mayTryAny reports whether a task of the step that waits may start on the worker now.
// Room that none of them takes is left to others, which may prove the worker sound.
func (e *Engine) mayTryAny(w *worker, s *step) bool {
	return slices.ContainsFunc(s.tasks, func(t task) bool { return t.state == taskWaiting && e.mayRetryOn(w, s, &t) })
}

// reservable returns the workers of which room can be kept for a step: those that are
// known to be permitted, in the order of their IDs.
func (e *Engine) reservable(s *step, q *order.Queue) ([]reservable, []reserve.Worker) {
	found := []reservable{}
	add := func(w *worker) {
		if w != nil && e.isUsable(w, s) && e.mayRun(w, s, q.Service) && e.mayTryAny(w, s) {
			found = append(found, reservable{worker: w})
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
	slices.SortFunc(found, func(a, b reservable) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	models := make([]reserve.Worker, len(found))
	for i := range found {
		models[i] = e.modelOf(&found[i], s, q)
	}
	return found, models
}

func (e *Engine) modelOf(g *reservable, s *step, q *order.Queue) reserve.Worker {
	w := g.worker
	m := reserve.Worker{Free: w.Capacity.Sub(w.used).Sub(e.reservedBefore(w, s)), MaxTasks: len(s.tasks)}
	if s.spec.MaxPerWorker > 0 {
		m.MaxTasks = min(m.MaxTasks, s.spec.MaxPerWorker-w.countOf(s))
	}
	for _, a := range w.attempts.All() {
		if a.step == nil || a.step.spec.IsLongRunning {
			continue
		}
		g.occupants = append(g.occupants, a)
	}
	slices.SortFunc(g.occupants, func(a, b *attempt) int { return a.id.Compare(b.id) })
	member := share(s.spec.Charge(), w.Capacity)
	for _, a := range g.occupants {
		m.Occupants = append(m.Occupants, reserve.Occupant{
			Resources: a.charge, EndsIn: e.endsIn(a), IsPreemptible: e.mayPreempt(a, q), PreemptionCost: time.Duration(float64(e.lostBy(a)) * share(a.charge, w.Capacity) / member),
		})
	}
	return m
}

// share returns the part of a worker's room that a need takes, by the dimension of
// which it takes most; it is over 0.
func share(need, capacity leverdyke.Resources) float64 {
	part := smallestShare
	for _, d := range [...][2]int64{
		{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMiB, capacity.MemoryMiB}, {need.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			part = max(part, float64(d[0])/float64(d[1]))
		}
	}
	return part
}

// endsIn returns how long an attempt will likely still take.
func (e *Engine) endsIn(a *attempt) time.Duration {
	if a.isStopping {
		return max(a.stopSentAt.Add(e.options.StopTime).Sub(e.now), 0)
	}
	expected := e.expectedDuration(a.step)
	left := time.Duration(float64(expected) * float64(100-a.percent) / 100)
	if a.percent == 0 {
		left = expected - e.now.Sub(a.orderedAt)
	}
	return max(left, 0)
}

// lostBy returns the work that stopping an attempt costs.
func (e *Engine) lostBy(a *attempt) time.Duration {
	ran := e.now.Sub(a.orderedAt)
	if a.step.tasks[a.id.Index].checkpoint != "" {
		ran = min(ran, saveEvery)
	}
	return ran + restartTime
}

// mayPreempt reports whether an attempt may be stopped for a task of the queue: one
// that goes on from where it was saved, of a queue that is less urgent.
func (e *Engine) mayPreempt(a *attempt, q *order.Queue) bool {
	s := a.step
	if !e.has(MechanismPreemption) || a.phase != phaseRunning || a.isStopping || !s.spec.IsResumable || s.spec.IsGang || a.hasCopy() {
		return false
	}
	own := e.queues[s.job.spec.Queue]
	return own.Priority > q.Priority && s.tasks[a.id.Index].preemptions < maxPreemptions && e.spare(a, &own) > spareTime
}

// spare returns how much earlier than the objective of its queue the step of an attempt
// will likely end.
func (e *Engine) spare(a *attempt, q *order.Queue) time.Duration {
	objective := q.TargetLatency + time.Duration(q.Stretch*float64(e.expectedDuration(a.step)))
	return a.step.openedFor().Add(objective).Sub(e.now) - e.endsIn(a)
}
