// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// overusedPeriod is how often a VM that stays overused is reported.
const overusedPeriod = time.Minute

// learn takes the use that an attempt has reported.
func (r *Rack) learn(h *held) {
	if h.task.Holder == "" {
		r.learned.Report(h.task.Key.Task.Job, h.task.Declared, h.task.Usage)
	}
}

// expected is what a task will most likely take here.
func (r *Rack) expected(t *worker.Task) leverdyke.Resources {
	largest := leverdyke.Resources{}
	for _, v := range r.vms {
		largest = largest.Max(v.capacity)
	}
	return r.learned.Expected(t.Key.Task.Job, t.Declared, largest)
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
		if pushes == nil {
			r.noteOverused(now, v)
			continue
		}
		r.push(now, v, pushes, "its VM is used beyond what it has")
	}
}

// noteOverused tells the operator now and then of a VM that nothing can be
// pushed off.
func (r *Rack) noteOverused(now time.Time, v *vm) {
	if now.Sub(v.overusedAt) < overusedPeriod {
		return
	}
	v.overusedAt = now
	r.event(EventWorkerOverused, v.id, worker.Key{}, "beyond it: "+zero.Sub(r.free(v)).Max(zero).String())
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
