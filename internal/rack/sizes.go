// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// maxLearned bounds the jobs whose use is remembered.
const maxLearned = 512

// learn remembers the largest use that a task of the job has reported here, if
// it is above what was declared: the next one will most likely use as much.
func (r *Rack) learn(h *held) {
	if h.task.Holder != "" || h.task.Usage.FitsIn(h.task.Each) {
		return
	}
	job := h.task.Key.Task.Job
	if _, ok := r.learned[job]; !ok && len(r.learned) >= maxLearned {
		clear(r.learned)
	}
	r.learned[job] = r.learned[job].Max(h.task.Usage)
}

// expected is what a task will most likely take: what it declares, or what
// others of its job have used here. It is never more than the largest VM has,
// so that a task that can run is not kept from running.
func (r *Rack) expected(t *worker.Task) leverdyke.Resources {
	used, ok := r.learned[t.Key.Task.Job]
	if !ok {
		return t.Each
	}
	largest := leverdyke.Resources{}
	for _, v := range r.vms {
		largest = largest.Max(v.capacity)
	}
	need := t.Each
	need.MilliCPU = max(need.MilliCPU, min(used.MilliCPU, largest.MilliCPU))
	need.MemoryMiB = max(need.MemoryMiB, min(used.MemoryMiB, largest.MemoryMiB))
	return need
}

// relieve pushes tasks off the VMs whose tasks use more than there is, because
// they use more than was declared: the cheapest ones, gentlest deeds first,
// services last, and none that is urgent or may not be repeated.
func (r *Rack) relieve(now time.Time) {
	for _, id := range r.order {
		v := r.vms[id]
		free := r.free(v)
		if !v.isKnown || zero.FitsIn(free) || hasDeeds(v) {
			continue
		}
		victims := r.victims(now, v)
		pushes := placement.Preempt(zero, free, leverdyke.ClassUrgent, withoutServices(v, victims))
		if pushes == nil {
			pushes = placement.Preempt(zero, free, leverdyke.ClassUrgent, victims)
		}
		r.push(now, v, pushes, "its VM is used beyond what it has")
	}
}

// hasDeeds reports whether orders are under way that may make room.
func hasDeeds(v *vm) bool {
	for _, h := range v.held {
		if h.phase != phaseEnded && h.deed != "" {
			return true
		}
	}
	return false
}

func withoutServices(v *vm, victims []placement.Victim) []placement.Victim {
	list := []placement.Victim{}
	for _, c := range victims {
		if v.held[c.Key].task.Service == "" {
			list = append(list, c)
		}
	}
	return list
}

// push orders deeds that make room on a worker.
func (r *Rack) push(now time.Time, v *vm, pushes []placement.Push, why string) {
	for _, p := range pushes {
		h := r.held[p.Key]
		h.deed = p.Deed
		h.since = now
		h.told = now
		r.out.Acts = append(r.out.Acts, ActOrder{v.id, p.Deed, []worker.Key{p.Key}})
		r.event(EventPreempted, v.id, p.Key, string(p.Deed)+": "+why)
	}
}
