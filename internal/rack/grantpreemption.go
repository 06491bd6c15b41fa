// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"fmt"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// preemptingGrant is a grant that waits until preempted tasks have left its
// worker. The clients of a service wait for their answers while a batch task
// can run later, so requests preempt batch tasks (decision 0011). A reservation
// keeps other tasks from using the capacity that becomes free.
type preemptingGrant struct {
	from        state.NodeID
	request     *node.GrantRequest
	vm          *vm
	replica     worker.Task
	slots       int64
	reservation reservationID
	since       time.Time
}

// preemptForGrant preempts tasks on a worker with a replica of the service, to
// free capacity for one request, and reports whether the grant will be answered
// later. Only tasks less urgent than the requests are preempted, and none that
// must not run twice.
func (r *Rack) preemptForGrant(now time.Time, from state.NodeID, m *node.GrantRequest) bool {
	if r.isPreemptingFor(from, m.Service) {
		// This is a repeated request: the answer to the first one serves both.
		return true
	}
	v, replica, preemptions := r.cheapestReplicaPreemption(now, m)
	if v == nil {
		return false
	}
	r.lastGrant++
	g := &preemptingGrant{
		from: from, request: m, vm: v, replica: replica.task, slots: 1, since: now,
		reservation: reservationID{owner: state.ShardID(fmt.Sprintf("grant-%d", r.lastGrant))},
	}
	r.reservations[g.reservation] = &reservation{each: replica.task.Request.Times(g.slots), places: map[worker.ID]int{v.id: 1}, expiresAt: now.Add(maxReservationTime)}
	r.preemptingGrants = append(r.preemptingGrants, g)
	r.preempt(now, v, preemptions, "for requests of "+m.Service)
	return true
}

// isPreemptingFor reports whether a grant of the service for the node waits for
// preempted tasks.
func (r *Rack) isPreemptingFor(from state.NodeID, service string) bool {
	return slices.ContainsFunc(r.preemptingGrants, func(g *preemptingGrant) bool { return g.from == from && g.request.Service == service })
}

// cheapestReplicaPreemption returns the worker, among those with a replica of
// the service, on which the cheapest preemption frees capacity for one request.
func (r *Rack) cheapestReplicaPreemption(now time.Time, m *node.GrantRequest) (best *vm, replica *assignment, preemptions []placement.Preemption) {
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		a := replicaOn(v, m.Service)
		if a == nil {
			continue
		}
		p := placement.Preempt(a.task.Request, r.free(v), m.Class, withoutServices(v, r.victims(now, v)))
		if p != nil && (best == nil || preemptionCost(p) < preemptionCost(preemptions)) {
			best, replica, preemptions = v, a, p
		}
	}
	return best, replica, preemptions
}

// retryPreemptingGrants starts the grants whose capacity has become free, with
// as many slots as are free by then, and refuses those that have waited for
// urgentTimeout.
func (r *Rack) retryPreemptingGrants(now time.Time) {
	r.preemptingGrants = slices.DeleteFunc(r.preemptingGrants, func(g *preemptingGrant) bool {
		isExpired := now.Sub(g.since) >= urgentTimeout
		isFree := r.isUsable(now, g.vm) && zero.FitsIn(r.free(g.vm)) && replicaOn(g.vm, g.request.Service) != nil
		if !isExpired && !isFree {
			return false
		}
		delete(r.reservations, g.reservation)
		if isFree {
			r.startGrant(now, g.from, g.request, g.vm, &g.replica)
		} else {
			r.refuseGrantRequest(g.from, g.request)
		}
		return true
	})
}

// freeWithoutBatches returns free plus the capacity that preempting the batch
// tasks on the worker would give to requests of services.
func freeWithoutBatches(v *vm, free leverdyke.Resources) leverdyke.Resources {
	for _, a := range v.assignments {
		isBatch := a.task.Class == leverdyke.ClassBatch && a.task.Service == ""
		if a.phase == phaseRunning && a.pendingAction == "" && isBatch && !a.task.IsOnce && a.task.Holder == "" {
			free = free.Add(a.task.Charge())
		}
	}
	return free
}
