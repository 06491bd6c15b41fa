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

// Summary returns the capacity summary that other nodes use to choose a rack.
func (r *Rack) Summary(now time.Time) node.RackSummary {
	summary := node.RackSummary{Rack: r.ID, Epoch: r.Epoch}
	services := map[string]*node.ServiceCapacity{}
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		summary.Zone = v.zone
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		free := r.free(v).Max(leverdyke.Resources{})
		summary.Workers++
		if !r.isReserved(now, v) {
			summary.Free = summary.Free.Add(free)
			summary.Largest = summary.Largest.Max(free)
		}
		summary.Capacity = summary.Capacity.Max(v.capacity)
		summary.Preemptible = summary.Preemptible.Max(r.freeAfterPreemption(v))
		addServiceCapacity(v, free, services)
	}
	for _, s := range services {
		summary.Services = append(summary.Services, *s)
	}
	slices.SortFunc(summary.Services, func(a, b node.ServiceCapacity) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return summary
}

// addServiceCapacity adds the worker's replicas, and the requests that it has
// capacity for, to the totals per service.
func addServiceCapacity(v *vm, free leverdyke.Resources, services map[string]*node.ServiceCapacity) {
	for _, a := range v.assignments {
		if a.phase != phaseRunning || a.task.Service == "" || a.task.Holder != "" {
			continue
		}
		s := services[a.task.Service]
		if s == nil {
			s = &node.ServiceCapacity{Service: a.task.Service}
			services[a.task.Service] = s
		}
		s.Replicas++
		slots := a.task.Request.Count(free)
		s.Slots += int(slots)
		s.PreemptibleSlots += int(a.task.Request.Count(freeWithoutBatches(v, free)) - slots)
	}
}

// freeAfterPreemption returns the most that could become free on a worker if an
// urgent task preempted everything that it may.
func (r *Rack) freeAfterPreemption(v *vm) leverdyke.Resources {
	free := r.free(v)
	for _, a := range v.assignments {
		if a.phase == phaseRunning && !a.task.IsOnce && a.task.Holder == "" && a.task.Class != leverdyke.ClassUrgent {
			free = free.Add(a.task.Charge())
		}
	}
	return free.Max(leverdyke.Resources{})
}

// Counts returns the number of workers, of usable workers, and of live
// attempts.
func (r *Rack) Counts(now time.Time) (workers, usable, running int) {
	for _, v := range r.vms {
		workers++
		if r.isUsable(now, v) {
			usable++
		}
		for _, a := range v.assignments {
			if a.phase != phaseEnded && a.task.Holder == "" {
				running++
			}
		}
	}
	return workers, usable, running
}

// Used returns the total charge of the live assignments and the total capacity
// of the workers.
func (r *Rack) Used() (used, capacity leverdyke.Resources) {
	for _, v := range r.vms {
		capacity = capacity.Add(v.capacity)
		for _, a := range v.assignments {
			if a.phase != phaseEnded {
				used = used.Add(a.task.Charge())
			}
		}
	}
	return used, capacity
}

// WorkerStatus is the state of a worker as shown to operators.
type WorkerStatus struct {
	ID       worker.ID           `json:"id"`
	Rack     state.ShardID       `json:"rack"`
	Zone     string              `json:"zone"`
	Status   string              `json:"status"`
	Running  int                 `json:"running"`
	Free     leverdyke.Resources `json:"free"`
	Capacity leverdyke.Resources `json:"capacity"`
}

// Status returns the state of the rack's workers, sorted by ID.
func (r *Rack) Status(now time.Time) []WorkerStatus {
	list := make([]WorkerStatus, 0, len(r.sortedIDs))
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		s := WorkerStatus{ID: id, Rack: r.ID, Zone: v.zone, Status: r.statusOf(now, v), Free: r.free(v), Capacity: v.capacity}
		for _, a := range v.assignments {
			if a.phase != phaseEnded {
				s.Running++
			}
		}
		list = append(list, s)
	}
	return list
}

func (r *Rack) statusOf(now time.Time, v *vm) string {
	switch {
	case v.isRemoved:
		return "gone"
	case v.isDrained:
		return "drained"
	case v.isLeaving || v.isListedLeaving:
		return "leaving"
	case !v.isReconciled:
		return "unknown"
	case r.health.IsEjected(now, v.id):
		return "set-aside"
	case !r.isUsable(now, v):
		return "unreachable"
	}
	return "live"
}
