// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// Room returns the rack's summary.
func (r *Rack) Room(now time.Time) node.RackSummary {
	room := node.RackSummary{Rack: r.ID, Epoch: r.Epoch}
	services := map[string]*node.ServiceCapacity{}
	for _, id := range r.order {
		v := r.vms[id]
		room.Zone = v.zone
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		free := r.free(v).Max(leverdyke.Resources{})
		room.Workers++
		if !r.isKept(now, v) {
			room.Free = room.Free.Add(free)
			room.Largest = room.Largest.Max(free)
		}
		room.Capacity = room.Capacity.Max(v.capacity)
		room.Preemptible = room.Preemptible.Max(r.yield(v))
		countServices(v, free, services)
	}
	for _, s := range services {
		room.Services = append(room.Services, *s)
	}
	slices.SortFunc(room.Services, func(a, b node.ServiceCapacity) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return room
}

func countServices(v *vm, free leverdyke.Resources, services map[string]*node.ServiceCapacity) {
	for _, h := range v.held {
		if h.phase != phaseRunning || h.task.Service == "" || h.task.Holder != "" {
			continue
		}
		s := services[h.task.Service]
		if s == nil {
			s = &node.ServiceCapacity{Service: h.task.Service}
			services[h.task.Service] = s
		}
		s.Replicas++
		slots := h.task.Request.Count(free)
		s.Slots += int(slots)
		s.PreemptibleSlots += int(h.task.Request.Count(yieldTo(v, free)) - slots)
	}
}

// yield is what preemption for urgent work could leave on a worker at most.
func (r *Rack) yield(v *vm) leverdyke.Resources {
	free := r.free(v)
	for _, h := range v.held {
		if h.phase == phaseRunning && !h.task.IsOnce && h.task.Holder == "" && h.task.Class != leverdyke.ClassUrgent {
			free = free.Add(h.task.Charge())
		}
	}
	return free.Max(leverdyke.Resources{})
}

// Counts returns how many workers there are, how many are usable, and how many
// attempts run.
func (r *Rack) Counts(now time.Time) (workers, usable, running int) {
	for _, v := range r.vms {
		workers++
		if r.isUsable(now, v) {
			usable++
		}
		for _, h := range v.held {
			if h.phase != phaseEnded && h.task.Holder == "" {
				running++
			}
		}
	}
	return workers, usable, running
}

// Used returns what the attempts and grants take, and what there is in all.
func (r *Rack) Used() (used, capacity leverdyke.Resources) {
	for _, v := range r.vms {
		capacity = capacity.Add(v.capacity)
		for _, h := range v.held {
			if h.phase != phaseEnded {
				used = used.Add(h.task.Charge())
			}
		}
	}
	return used, capacity
}

// WorkerStatus is what an operator sees of a worker.
type WorkerStatus struct {
	ID       worker.ID           `json:"id"`
	Rack     state.ShardID       `json:"rack"`
	Zone     string              `json:"zone"`
	Status   string              `json:"status"`
	Running  int                 `json:"running"`
	Free     leverdyke.Resources `json:"free"`
	Capacity leverdyke.Resources `json:"capacity"`
}

// Status lists the rack's workers.
func (r *Rack) Status(now time.Time) []WorkerStatus {
	list := make([]WorkerStatus, 0, len(r.order))
	for _, id := range r.order {
		v := r.vms[id]
		s := WorkerStatus{ID: id, Rack: r.ID, Zone: v.zone, Status: r.statusOf(now, v), Free: r.free(v), Capacity: v.capacity}
		for _, h := range v.held {
			if h.phase != phaseEnded {
				s.Running++
			}
		}
		list = append(list, s)
	}
	return list
}

func (r *Rack) statusOf(now time.Time, v *vm) string {
	switch {
	case v.isGone:
		return "gone"
	case v.isDrained:
		return "drained"
	case v.isLeaving || v.isListedLeaving:
		return "leaving"
	case !v.isKnown:
		return "unknown"
	case r.health.IsEjected(now, v.id):
		return "set-aside"
	case !r.isUsable(now, v):
		return "unreachable"
	}
	return "live"
}
