// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// maxGrantSlots limits the slots of one grant, so that one node cannot take
	// all slots of a worker.
	maxGrantSlots = 4
	// grantCheckPeriod is how often a holder is asked whether it still has its
	// grant.
	grantCheckPeriod = 5 * time.Second
)

// OnGrantRequest grants a node slots on a worker that runs a replica of the
// service. Without free capacity it preempts less urgent tasks, or refuses.
func (r *Rack) OnGrantRequest(now time.Time, from state.NodeID, m *node.GrantRequest) {
	v, replica := r.bestReplica(now, m.Service)
	switch {
	case v != nil:
		r.startGrant(now, from, m, v, &replica.task)
	case !r.preemptForGrant(now, from, m):
		r.refuseGrantRequest(from, m)
	}
}

func (r *Rack) refuseGrantRequest(to state.NodeID, m *node.GrantRequest) {
	g := &node.Grant{Rack: r.ID, RackEpoch: r.Epoch, Service: m.Service, RefusalReason: refusedNoCapacity}
	r.output.ToNodes = append(r.output.ToNodes, NodeMessage{to, node.Message{Grant: g}})
}

// startGrant starts a grant of up to maxGrantSlots slots on a worker that has
// capacity for at least one. The node gets the grant when the worker has
// accepted it.
func (r *Rack) startGrant(now time.Time, to state.NodeID, m *node.GrantRequest, v *vm, replica *worker.Task) {
	slots := min(replica.Request.Count(r.free(v)), int64(max(m.Slots, 1)), maxGrantSlots)
	r.lastGrant++
	key := worker.Key{Attempt: r.lastGrant}
	key.Task.Job = fmt.Sprintf("grant-%d", r.Epoch)
	t := worker.Task{
		Key: key, Holder: string(to), Declared: replica.Request.Times(slots), Class: m.Class,
		Service: m.Service, Request: replica.Request, IsRequestOnce: replica.IsRequestOnce, State: worker.StateRunning,
	}
	a := &assignment{task: t, vm: v, phase: phaseStarting, since: now, lastSentAt: now}
	r.addAssignment(a)
	r.orderStart(now, a)
	r.isSummaryChanged = true
}

// bestReplica returns the worker with a replica of the service that has free
// capacity for the most requests, and the replica; nil if no worker has
// capacity for one.
func (r *Rack) bestReplica(now time.Time, service string) (*vm, *assignment) {
	var best *vm
	var replica *assignment
	most := int64(0)
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		a := replicaOn(v, service)
		if a == nil {
			continue
		}
		if n := a.task.Request.Count(r.free(v)); n > most {
			best, replica, most = v, a, n
		}
	}
	return best, replica
}

// replicaOn returns a running replica of the service on the worker, or nil.
func replicaOn(v *vm, service string) *assignment {
	for _, a := range v.assignments {
		if a.phase == phaseRunning && a.task.Service == service && a.task.Holder == "" {
			return a
		}
	}
	return nil
}

// sendGrant sends a grant that the worker has accepted to its holder.
func (r *Rack) sendGrant(a *assignment) {
	g := &node.Grant{
		Rack: r.ID, RackEpoch: r.Epoch, Key: a.task.Key, Service: a.task.Service, Worker: a.vm.id,
		Addr: a.vm.addr, Zone: a.vm.zone, Slots: int(a.task.Declared.Slots), IsOnce: a.task.IsRequestOnce,
	}
	r.output.ToNodes = append(r.output.ToNodes, NodeMessage{state.NodeID(a.task.Holder), node.Message{Grant: g}})
}

func (r *Rack) refuseGrant(a *assignment, reason string) {
	g := &node.Grant{Rack: r.ID, RackEpoch: r.Epoch, Service: a.task.Service, RefusalReason: reason}
	r.output.ToNodes = append(r.output.ToNodes, NodeMessage{state.NodeID(a.task.Holder), node.Message{Grant: g}})
}

// forgetGrant removes a grant that the worker no longer counts, and recalls it
// from its holder.
func (r *Rack) forgetGrant(a *assignment) {
	r.sendRecall(a)
	r.removeAssignment(a)
	if !a.isLost {
		r.output.Forgets = append(r.output.Forgets, ForgetOrder{a.vm.id, []worker.Key{a.task.Key}})
	}
}

func (r *Rack) sendRecall(a *assignment) {
	m := node.Message{GrantRecall: &node.GrantRecall{Key: a.task.Key}}
	r.output.ToNodes = append(r.output.ToNodes, NodeMessage{state.NodeID(a.task.Holder), m})
}

// OnGrantDone stops a grant that its holder has returned. Its capacity becomes
// free when the worker reports the end.
func (r *Rack) OnGrantDone(now time.Time, from state.NodeID, m *node.GrantReturn) {
	a := r.assignments[m.Key]
	if a != nil && a.task.Holder == string(from) {
		r.stopGrant(now, a)
	}
}

// StopGrantsOf stops the grants of the nodes that have ended or no longer send
// heartbeats. The worker lets the requests that run under a grant finish before
// it reports the grant as ended.
func (r *Rack) StopGrantsOf(now time.Time, hasEnded func(state.NodeID) bool) {
	for _, a := range liveGrants(r.assignments) {
		if hasEnded(state.NodeID(a.task.Holder)) {
			r.stopGrant(now, a)
		}
	}
}

// liveGrants returns the grants that have not ended, sorted by key. It filters
// before it sorts, since it runs at each tick of the node and a rack has
// hundreds of tasks but few grants.
func liveGrants(m map[worker.Key]*assignment) []*assignment {
	grants := map[worker.Key]*assignment{}
	for k, a := range m {
		if a.task.Holder != "" && a.phase != phaseEnded {
			grants[k] = a
		}
	}
	return sortedAssignments(grants)
}

// stopGrant orders the worker to stop a grant, unless an action is already
// pending.
func (r *Rack) stopGrant(now time.Time, a *assignment) {
	if a.phase == phaseEnded || a.pendingAction != "" {
		return
	}
	a.pendingAction = worker.ActionStop
	a.lastSentAt = now
	r.output.Acts = append(r.output.Acts, ActOrder{a.vm.id, worker.ActionStop, []worker.Key{a.task.Key}})
}

// checkGrants asks the holders whether they still have their grants. Otherwise
// a single lost message, of a grant or of its return, would keep slots in use
// until the holder's process ends.
func (r *Rack) checkGrants(now time.Time) {
	checks := map[state.NodeID][]worker.Key{}
	for _, a := range liveGrants(r.assignments) {
		if a.phase != phaseRunning || a.pendingAction != "" || now.Sub(later(a.since, a.lastSentAt)) < grantCheckPeriod {
			continue
		}
		a.lastSentAt = now
		holder := state.NodeID(a.task.Holder)
		checks[holder] = append(checks[holder], a.task.Key)
	}
	for _, holder := range slices.Sorted(maps.Keys(checks)) {
		m := node.Message{GrantCheck: &node.GrantCheck{Rack: r.ID, Keys: checks[holder]}}
		r.output.ToNodes = append(r.output.ToNodes, NodeMessage{holder, m})
	}
}

// recallGrantsOfLeaving recalls the grants on workers that are leaving, drained
// or removed: the requests sent under a grant are new work.
func (r *Rack) recallGrantsOfLeaving(now time.Time) {
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		if !v.isLeaving && !v.isListedLeaving && !v.isDrained && !v.isRemoved {
			continue
		}
		for _, a := range liveGrants(v.assignments) {
			if a.pendingAction == "" {
				r.sendRecall(a)
				r.stopGrant(now, a)
			}
		}
	}
}

// stopGrantsWithoutReplica recalls the grants on a worker that no longer runs a
// replica of their service.
func (r *Rack) stopGrantsWithoutReplica(now time.Time, v *vm) {
	for _, a := range liveGrants(v.assignments) {
		if replicaOn(v, a.task.Service) == nil {
			r.sendRecall(a)
			r.stopGrant(now, a)
		}
	}
}
