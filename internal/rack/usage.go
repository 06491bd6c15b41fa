// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// overusedPeriod is the interval between events about the same overused VM.
const overusedPeriod = time.Minute

// recordUsage adds the usage that an attempt has reported to the statistics of
// its job.
func (r *Rack) recordUsage(a *assignment) {
	if a.task.Holder == "" {
		r.learnedUsage.Observe(a.task.Key.Task.Job, a.task.Declared, a.task.Usage)
	}
}

// expected returns the resources that a task is expected to use: what other
// tasks of its job have reported, if that is more than it declares, up to the
// capacity of the largest VM, so that reported usage never makes a task too
// large for every VM.
func (r *Rack) expected(t *worker.Task) leverdyke.Resources {
	largest := leverdyke.Resources{}
	for _, v := range r.vms {
		largest = largest.Max(v.capacity)
	}
	return r.learnedUsage.Estimate(t.Key.Task.Job, t.Declared, largest)
}

// relieveOverused preempts tasks on the VMs whose tasks use more than the VM
// has, which happens when they use more than they declared. It orders the
// mildest actions that are enough. Services are preempted only if preempting
// other tasks is not enough; urgent tasks and tasks that must not run twice,
// never.
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

// reportOverused reports, at most once per overusedPeriod, an overused VM on
// which no preemption helps.
func (r *Rack) reportOverused(now time.Time, v *vm) {
	if now.Sub(v.overuseLoggedAt) < overusedPeriod {
		return
	}
	v.overuseLoggedAt = now
	r.event(EventWorkerOverused, v.id, worker.Key{}, "beyond it: "+zero.Sub(r.free(v)).Max(zero).String())
}

// hasPendingAction reports whether an order is pending that may free capacity
// on the worker.
func hasPendingAction(v *vm) bool {
	for _, a := range v.assignments {
		if a.phase != phaseEnded && a.pendingAction != "" {
			return true
		}
	}
	return false
}

// withoutServices returns the victims that are not replicas of a service.
func withoutServices(v *vm, victims []placement.Victim) []placement.Victim {
	list := []placement.Victim{}
	for _, c := range victims {
		if v.assignments[c.Key].task.Service == "" {
			list = append(list, c)
		}
	}
	return list
}

// preempt orders the actions that free capacity on a worker.
func (r *Rack) preempt(now time.Time, v *vm, preemptions []placement.Preemption, reason string) {
	for _, p := range preemptions {
		a := r.assignments[p.Key]
		a.pendingAction = p.Action
		a.since = now
		a.lastSentAt = now
		r.output.Acts = append(r.output.Acts, ActOrder{v.id, p.Action, []worker.Key{p.Key}})
		r.event(EventPreempted, v.id, p.Key, string(p.Action)+": "+reason)
	}
}
