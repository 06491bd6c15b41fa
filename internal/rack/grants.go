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
	// maxGrantSlots bounds one grant, so that slots are shared among nodes.
	maxGrantSlots = 4
	// grantCheckPeriod is how often a holder is asked whether it has a grant.
	grantCheckPeriod = 5 * time.Second
)

// OnGrantAsk gives a node slots of a worker that runs the service.
func (r *Rack) OnGrantAsk(now time.Time, from state.NodeID, m *node.GrantAsk) {
	v, replica := r.bestReplica(now, m.Service)
	switch {
	case v != nil:
		r.giveGrant(now, from, m, v, &replica.task)
	case !r.pushForGrant(now, from, m):
		r.refuseGrantAsk(from, m)
	}
}

func (r *Rack) refuseGrantAsk(to state.NodeID, m *node.GrantAsk) {
	g := &node.Grant{Rack: r.ID, RackEpoch: r.Epoch, Service: m.Service, Refused: whyNoRoom}
	r.out.ToNode = append(r.out.ToNode, NodeMessage{to, node.Message{Grant: g}})
}

// giveGrant starts a grant on a worker that has room for one slot at least.
func (r *Rack) giveGrant(now time.Time, to state.NodeID, m *node.GrantAsk, v *vm, replica *worker.Task) {
	slots := min(replica.Request.Count(r.free(v)), int64(max(m.Slots, 1)), maxGrantSlots)
	r.nextGrant++
	key := worker.Key{Attempt: r.nextGrant}
	key.Task.Job = fmt.Sprintf("grant-%d", r.Epoch)
	t := worker.Task{
		Key: key, Holder: string(to), Declared: replica.Request.Times(slots), Class: m.Class,
		Service: m.Service, Request: replica.Request, IsRequestOnce: replica.IsRequestOnce, State: worker.StateRunning,
	}
	h := &held{task: t, vm: v, phase: phaseStarting, since: now, told: now}
	r.add(h)
	r.orderStart(now, h)
	r.isChanged = true
}

// bestReplica returns the worker with the most room that runs the service.
func (r *Rack) bestReplica(now time.Time, service string) (*vm, *held) {
	var best *vm
	var replica *held
	most := int64(0)
	for _, id := range r.order {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		h := replicaOn(v, service)
		if h == nil {
			continue
		}
		if n := h.task.Request.Count(r.free(v)); n > most {
			best, replica, most = v, h, n
		}
	}
	return best, replica
}

func replicaOn(v *vm, service string) *held {
	for _, h := range v.held {
		if h.phase == phaseRunning && h.task.Service == service && h.task.Holder == "" {
			return h
		}
	}
	return nil
}

func (r *Rack) tellGrant(h *held) {
	g := &node.Grant{
		Rack: r.ID, RackEpoch: r.Epoch, Key: h.task.Key, Service: h.task.Service, Worker: h.vm.id,
		Addr: h.vm.addr, Zone: h.vm.zone, Slots: int(h.task.Declared.Slots), IsOnce: h.task.IsRequestOnce,
	}
	r.out.ToNode = append(r.out.ToNode, NodeMessage{state.NodeID(h.task.Holder), node.Message{Grant: g}})
}

func (r *Rack) refuseGrant(h *held, why string) {
	g := &node.Grant{Rack: r.ID, RackEpoch: r.Epoch, Service: h.task.Service, Refused: why}
	r.out.ToNode = append(r.out.ToNode, NodeMessage{state.NodeID(h.task.Holder), node.Message{Grant: g}})
}

// grantEnded forgets a grant that the worker no longer counts.
func (r *Rack) grantEnded(h *held) {
	r.recall(h)
	r.remove(h)
	if !h.isLost {
		r.out.Forgets = append(r.out.Forgets, ForgetOrder{h.vm.id, []worker.Key{h.task.Key}})
	}
}

func (r *Rack) recall(h *held) {
	m := node.Message{GrantRecall: &node.GrantRecall{Key: h.task.Key}}
	r.out.ToNode = append(r.out.ToNode, NodeMessage{state.NodeID(h.task.Holder), m})
}

// OnGrantDone takes a grant back. Its room is free when the worker says so.
func (r *Rack) OnGrantDone(now time.Time, from state.NodeID, m *node.GrantDone) {
	h := r.held[m.Key]
	if h != nil && h.task.Holder == string(from) {
		r.stopGrant(now, h)
	}
}

// DropHolder takes back the grants of a node that has ended or is not heard.
// A worker finishes what runs under a grant before it counts as ended.
func (r *Rack) DropHolder(now time.Time, isGone func(state.NodeID) bool) {
	for _, h := range liveGrants(r.held) {
		if isGone(state.NodeID(h.task.Holder)) {
			r.stopGrant(now, h)
		}
	}
}

// liveGrants returns the grants that still count, in order. It leaves the tasks
// out before it sorts: a node asks at each tick whether holders are gone, and
// has hundreds of tasks and few grants.
func liveGrants(m map[worker.Key]*held) []*held {
	grants := map[worker.Key]*held{}
	for k, h := range m {
		if h.task.Holder != "" && h.phase != phaseEnded {
			grants[k] = h
		}
	}
	return sortedHeld(grants)
}

func (r *Rack) stopGrant(now time.Time, h *held) {
	if h.phase == phaseEnded || h.deed != "" {
		return
	}
	h.deed = worker.ActionStop
	h.told = now
	r.out.Acts = append(r.out.Acts, ActOrder{h.vm.id, worker.ActionStop, []worker.Key{h.task.Key}})
}

// checkGrants asks the holders of grants whether they have them. Without this,
// one lost message would keep a slot from everybody for as long as its holder
// lives.
func (r *Rack) checkGrants(now time.Time) {
	checks := map[state.NodeID][]worker.Key{}
	for _, h := range liveGrants(r.held) {
		if h.phase != phaseRunning || h.deed != "" || now.Sub(later(h.since, h.told)) < grantCheckPeriod {
			continue
		}
		h.told = now
		holder := state.NodeID(h.task.Holder)
		checks[holder] = append(checks[holder], h.task.Key)
	}
	for _, holder := range slices.Sorted(maps.Keys(checks)) {
		m := node.Message{GrantCheck: &node.GrantCheck{Rack: r.ID, Keys: checks[holder]}}
		r.out.ToNode = append(r.out.ToNode, NodeMessage{holder, m})
	}
}

// recallLeaving takes back the grants on workers that get nothing new: requests
// are new work too.
func (r *Rack) recallLeaving(now time.Time) {
	for _, id := range r.order {
		v := r.vms[id]
		if !v.isLeaving && !v.isListedLeaving && !v.isDrained && !v.isGone {
			continue
		}
		for _, h := range liveGrants(v.held) {
			if h.deed == "" {
				r.recall(h)
				r.stopGrant(now, h)
			}
		}
	}
}

// dropGrantsWithout takes back the grants of services that no longer run on
// the worker.
func (r *Rack) dropGrantsWithout(now time.Time, v *vm) {
	for _, h := range liveGrants(v.held) {
		if replicaOn(v, h.task.Service) == nil {
			r.recall(h)
			r.stopGrant(now, h)
		}
	}
}
