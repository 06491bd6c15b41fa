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
type pushedGrant struct {
	from    state.NodeID
	ask     *node.GrantRequest
	vm      *vm
	replica worker.Task
	slots   int64
	hold    holdID
	since   time.Time
}

// pushForGrant makes room for a caller's requests beside a replica of their
// service, and reports whether it will come. Only tasks of a lower class than
// the most urgent request's are touched, and none that may not be repeated.
func (r *Rack) pushForGrant(now time.Time, from state.NodeID, m *node.GrantRequest) bool {
	if r.isPushing(from, m.Service) {
		// The ask was sent again: the first one will be answered.
		return true
	}
	v, replica, pushes := r.cheapestReplica(now, m)
	if v == nil {
		return false
	}
	r.nextGrant++
	g := &pushedGrant{
		from: from, ask: m, vm: v, replica: replica.task, slots: 1, since: now,
		hold: holdID{home: state.ShardID(fmt.Sprintf("grant-%d", r.nextGrant))},
	}
	r.holds[g.hold] = &hold{each: replica.task.Request.Times(g.slots), places: map[worker.ID]int{v.id: 1}, until: now.Add(maxHold)}
	r.pushedGrants = append(r.pushedGrants, g)
	r.push(now, v, pushes, "for requests of "+m.Service)
	return true
}

func (r *Rack) isPushing(from state.NodeID, service string) bool {
	return slices.ContainsFunc(r.pushedGrants, func(g *pushedGrant) bool { return g.from == from && g.ask.Service == service })
}

// cheapestReplica returns the worker with a replica of the service on which the
// fewest and gentlest deeds make room for one request.
func (r *Rack) cheapestReplica(now time.Time, m *node.GrantRequest) (best *vm, replica *held, pushes []placement.Push) {
	for _, id := range r.order {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		h := replicaOn(v, m.Service)
		if h == nil {
			continue
		}
		p := placement.Preempt(h.task.Request, r.free(v), m.Class, withoutServices(v, r.victims(now, v)))
		if p != nil && (best == nil || costOf(p) < costOf(pushes)) {
			best, replica, pushes = v, h, p
		}
	}
	return best, replica, pushes
}

// retryPushedGrants gives the grants whose room has become free, with as many
// slots as there are by then.
func (r *Rack) retryPushedGrants(now time.Time) {
	r.pushedGrants = slices.DeleteFunc(r.pushedGrants, func(g *pushedGrant) bool {
		isOver := now.Sub(g.since) >= urgentPatience
		isFree := r.isUsable(now, g.vm) && zero.FitsIn(r.free(g.vm)) && replicaOn(g.vm, g.ask.Service) != nil
		if !isOver && !isFree {
			return false
		}
		delete(r.holds, g.hold)
		if isFree {
			r.giveGrant(now, g.from, g.ask, g.vm, &g.replica)
		} else {
			r.refuseGrantAsk(g.from, g.ask)
		}
		return true
	})
}

// yieldTo is what is left on a worker, and what pushing off the batches there
// would leave to callers' requests.
func yieldTo(v *vm, free leverdyke.Resources) leverdyke.Resources {
	for _, h := range v.held {
		isBatch := h.task.Class == leverdyke.ClassBatch && h.task.Service == ""
		if h.phase == phaseRunning && h.deed == "" && isBatch && !h.task.IsOnce && h.task.Holder == "" {
			free = free.Add(h.task.Charge())
		}
	}
	return free
}
