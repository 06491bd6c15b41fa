// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// urgentTimeout is how long an urgent task waits here for preempted tasks
	// to leave. After that the job shard tries another rack; it has 3.4 s for
	// all its tries.
	urgentTimeout = 1500 * time.Millisecond
	// checkpointTimeout is the delay after which an ordered checkpoint is
	// replaced by a stop.
	checkpointTimeout = 700 * time.Millisecond
)

// urgentStart is a requested attempt that waits until preempted tasks have left
// its worker. A reservation keeps other tasks from using the capacity that
// becomes free.
type urgentStart struct {
	start       pendingStart
	vm          *vm
	reservation reservationID
	since       time.Time
}

// preemptOrRefuse handles an attempt for which no worker has free capacity: an
// urgent one preempts other tasks if that helps, any other one is refused.
func (r *Rack) preemptOrRefuse(now time.Time, p pendingStart) {
	if p.item.Task.Class != leverdyke.ClassUrgent {
		r.refuseForCapacity(p)
		return
	}
	v, preemptions := r.cheapestPreemption(now, p.item)
	if v == nil {
		r.refuseForCapacity(p)
		return
	}
	key := p.item.Task.Key
	id := reservationID{owner: state.ShardID(key.String())}
	r.reservations[id] = &reservation{each: r.expected(&p.item.Task), places: map[worker.ID]int{v.id: 1}, expiresAt: now.Add(maxReservationTime)}
	r.urgentStarts = append(r.urgentStarts, &urgentStart{p, v, id, now})
	r.preempt(now, v, preemptions, "for "+key.String())
}

// cheapestPreemption returns the worker on which the cheapest preemption frees
// enough capacity, and the preemption; nil if there is none.
func (r *Rack) cheapestPreemption(now time.Time, item *node.StartItem) (*vm, []placement.Preemption) {
	var best *vm
	var bestPreemptions []placement.Preemption
	bestCost := 0
	need := r.expected(&item.Task)
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		preemptions := placement.Preempt(need, r.free(v), item.Task.Class, r.victims(now, v))
		if preemptions == nil {
			continue
		}
		if cost := preemptionCost(preemptions); best == nil || cost < bestCost {
			best, bestPreemptions, bestCost = v, preemptions, cost
		}
	}
	return best, bestPreemptions
}

// preemptionCost ranks preemptions: fewer tasks are better, and throttling is
// much better than checkpointing or stopping, which end the attempt.
func preemptionCost(preemptions []placement.Preemption) int {
	cost := 0
	for _, p := range preemptions {
		cost++
		if p.Action != worker.ActionThrottle {
			cost += 10
		}
	}
	return cost
}

// victims returns the running tasks of a worker that may be preempted and have
// no pending action.
func (r *Rack) victims(now time.Time, v *vm) []placement.Victim {
	list := []placement.Victim{}
	for _, a := range sortedAssignments(v.assignments) {
		if a.phase != phaseRunning || a.pendingAction != "" || a.task.Holder != "" {
			continue
		}
		list = append(list, placement.Victim{
			Key: a.task.Key, Charge: a.task.Charge(), Class: a.task.Class, IsAtMostOnce: a.task.IsOnce,
			IsThrottled: a.task.IsThrottled, RunTime: now.Sub(a.since),
		})
	}
	return list
}

// retryUrgentStarts starts the urgent attempts whose capacity has become free.
func (r *Rack) retryUrgentStarts(now time.Time) {
	remaining := r.urgentStarts[:0]
	for _, u := range r.urgentStarts {
		if !r.isUsable(now, u.vm) || !zero.FitsIn(r.free(u.vm)) {
			remaining = append(remaining, u)
			continue
		}
		delete(r.reservations, u.reservation)
		r.place(now, u.start, u.vm, nil, "room was made")
	}
	r.urgentStarts = remaining
}

// expireUrgentStarts refuses the urgent attempts that have waited for
// urgentTimeout.
func (r *Rack) expireUrgentStarts(now time.Time) {
	r.dropUrgentStarts(func(u *urgentStart) bool {
		if now.Sub(u.since) < urgentTimeout {
			return false
		}
		r.refuseForCapacity(u.start)
		return true
	})
}

func (r *Rack) cancelUrgentStart(k worker.Key) {
	r.dropUrgentStarts(func(u *urgentStart) bool {
		if u.start.item.Task.Key != k {
			return false
		}
		r.answerRefused(u.start.request, k, "cancelled")
		return true
	})
}

func (r *Rack) dropSupersededUrgents(jobShard state.ShardID, epoch uint64) {
	r.dropUrgentStarts(func(u *urgentStart) bool {
		return u.start.request.JobShard == jobShard && u.start.request.JobShardEpoch < epoch
	})
}

func (r *Rack) dropUrgentStarts(isExpired func(*urgentStart) bool) {
	r.urgentStarts = slices.DeleteFunc(r.urgentStarts, func(u *urgentStart) bool {
		if !isExpired(u) {
			return false
		}
		delete(r.reservations, u.reservation)
		return true
	})
}

func (r *Rack) isUrgentStartWaiting(k worker.Key) bool {
	return slices.ContainsFunc(r.urgentStarts, func(u *urgentStart) bool { return u.start.item.Task.Key == k })
}

// escalate returns the action to order again: a checkpoint that has not
// happened within checkpointTimeout becomes a stop.
func (r *Rack) escalate(now time.Time, a *assignment) worker.Action {
	if a.pendingAction == worker.ActionCheckpoint && now.Sub(a.since) > checkpointTimeout {
		a.pendingAction = worker.ActionStop
	}
	return a.pendingAction
}

// unthrottle ends the throttling of tasks where their full charge fits and no
// urgent task or grant waits for capacity. The charge rises before the worker
// gets the order, so that nothing else is placed on that capacity.
func (r *Rack) unthrottle(now time.Time) {
	if len(r.urgentStarts)+len(r.preemptingGrants) > 0 {
		return
	}
	for _, a := range sortedAssignments(r.assignments) {
		if a.phase != phaseRunning || !a.task.IsThrottled || a.pendingAction != "" {
			continue
		}
		// A throttled task reports less than it will use without the throttle.
		a.task.Usage = a.task.Usage.Max(r.expected(&a.task))
		a.task.IsThrottled = false
		if !zero.FitsIn(r.free(a.vm)) {
			a.task.IsThrottled = true
			continue
		}
		a.pendingAction = worker.ActionUnthrottle
		a.lastSentAt = now
		r.output.Acts = append(r.output.Acts, ActOrder{a.vm.id, worker.ActionUnthrottle, []worker.Key{a.task.Key}})
	}
}
