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

// pushedGrant is a grant that waits for less urgent tasks to leave its worker:
// a caller waits at the counter, a batch can wait (decision 0011). Its room is
// kept by a hold, so that nobody else takes what becomes free.
type preemptingGrant struct {
	from        state.NodeID
	request     *node.GrantAsk
	vm          *vm
	replica     worker.Task
	slots       int64
	reservation reservationID
	since       time.Time
}

// pushForGrant makes room for a caller's requests beside a replica of their
// service, and reports whether it will come. Only tasks of a lower class than
// the most urgent request's are touched, and none that may not be repeated.
func (r *Rack) preemptForGrant(now time.Time, from state.NodeID, m *node.GrantAsk) bool {
	if r.isPreemptingFor(from, m.Service) {
		// The ask was sent again: the first one will be answered.
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

func (r *Rack) isPreemptingFor(from state.NodeID, service string) bool {
	return slices.ContainsFunc(r.preemptingGrants, func(g *preemptingGrant) bool { return g.from == from && g.request.Service == service })
}

// cheapestReplica returns the worker with a replica of the service on which the
// fewest and gentlest deeds make room for one request.
func (r *Rack) cheapestReplicaPreemption(now time.Time, m *node.GrantAsk) (best *vm, replica *assignment, preemptions []placement.Push) {
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

// retryPushedGrants gives the grants whose room has become free, with as many
// slots as there are by then.
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

// yieldTo is what is left on a worker, and what pushing off the batches there
// would leave to callers' requests.
func freeWithoutBatches(v *vm, free leverdyke.Resources) leverdyke.Resources {
	for _, a := range v.assignments {
		isBatch := a.task.Class == leverdyke.ClassBatch && a.task.Service == ""
		if a.phase == phaseRunning && a.pendingAction == "" && isBatch && !a.task.IsOnce && a.task.Holder == "" {
			free = free.Add(a.task.Charge())
		}
	}
	return free
}
