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
func (r *Rack) recordUsage(a *assignment) {
	if a.task.Holder == "" {
		r.learnedUsage.Report(a.task.Key.Task.Job, a.task.Each, a.task.Usage)
	}
}

// expected is what a task will most likely take here.
func (r *Rack) expected(t *worker.Task) leverdyke.Resources {
	largest := leverdyke.Resources{}
	for _, v := range r.vms {
		largest = largest.Max(v.capacity)
	}
	return r.learnedUsage.Expected(t.Key.Task.Job, t.Each, largest)
}

// relieve pushes tasks off the VMs whose tasks use more than there is, because
// they use more than was declared: the cheapest ones, gentlest deeds first,
// services last, and none that is urgent or may not be repeated.
func (r *Rack) relieveOverused(now time.Time) {
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		free := r.free(v)
		if !v.isReconciled || zero.FitsIn(free) || hasPendingAction(v) {
			continue
		}
		victims := r.victims(now, v)
		preemptions := placement.Preempt(zero, free, leverdyke.ClassUrgent, withoutServices(v, victims))
		if preemptions == nil {
			preemptions = placement.Preempt(zero, free, leverdyke.ClassUrgent, victims)
		}
		if preemptions == nil {
			r.reportOverused(now, v)
			continue
		}
		r.preempt(now, v, preemptions, "its VM is used beyond what it has")
	}
}

// noteOverused tells the operator now and then of a VM that nothing can be
// pushed off.
func (r *Rack) reportOverused(now time.Time, v *vm) {
	if now.Sub(v.overuseLoggedAt) < overusedPeriod {
		return
	}
	v.overuseLoggedAt = now
	r.event(EventWorkerOverused, v.id, worker.Key{}, "beyond it: "+zero.Sub(r.free(v)).Max(zero).String())
}

// hasDeeds reports whether orders are under way that may make room.
func hasPendingAction(v *vm) bool {
	for _, a := range v.assignments {
		if a.phase != phaseEnded && a.pendingAction != "" {
			return true
		}
	}
	return false
}

func withoutServices(v *vm, victims []placement.Victim) []placement.Victim {
	list := []placement.Victim{}
	for _, c := range victims {
		if v.assignments[c.Key].task.Service == "" {
			list = append(list, c)
		}
	}
	return list
}

// push orders deeds that make room on a worker.
func (r *Rack) preempt(now time.Time, v *vm, preemptions []placement.Push, reason string) {
	for _, p := range preemptions {
		a := r.assignments[p.Key]
		a.pendingAction = p.Deed
		a.since = now
		a.lastSentAt = now
		r.output.Acts = append(r.output.Acts, ActOrder{v.id, p.Deed, []worker.Key{p.Key}})
		r.event(EventPreempted, v.id, p.Key, string(p.Deed)+": "+reason)
	}
}
