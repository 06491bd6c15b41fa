// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
)

// vmReservation keeps the capacity that becomes free on one VM for a starved
// task: one that has waited long because smaller tasks always took the free
// capacity first (decision 0012).
type vmReservation struct {
	vm *vm
	// job is the starved task's job; requests of the same job may use the VM.
	job   string
	class leverdyke.Class
	// since is when the task began to wait; the task that has waited longest
	// keeps the reservation.
	since     time.Time
	expiresAt time.Time
}

// reserveVMFor reserves a VM for a starved task that found no capacity, or
// extends its job's reservation. A rack has one such reservation; a task that
// has waited longer keeps it.
func (r *Rack) reserveVMFor(now time.Time, item *node.StartItem) {
	if !item.IsStarved {
		return
	}
	job, since := item.Task.Key.Task.Job, now.Add(-item.Age)
	current := r.reservedVM
	isReservationValid := current != nil && now.Before(current.expiresAt) && r.isUsable(now, current.vm)
	switch {
	case isReservationValid && current.job == job:
		current.expiresAt = now.Add(priorityTimeout)
		return
	case isReservationValid && current.since.Before(since):
		return
	}
	if v := r.closestVM(now, r.expected(&item.Task)); v != nil {
		r.reservedVM = &vmReservation{vm: v, job: job, class: item.Task.Class, since: since, expiresAt: now.Add(priorityTimeout)}
		r.isSummaryChanged = true
	}
}

// closestVM returns the VM that already has the largest fraction of a need
// free, among those that could hold it when empty; nil if there is none.
func (r *Rack) closestVM(now time.Time, need leverdyke.Resources) *vm {
	var best *vm
	most := -1.0
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) || !need.FitsIn(v.capacity) {
			continue
		}
		if fraction := availableFraction(need, r.free(v)); fraction > most {
			best, most = v, fraction
		}
	}
	return best
}

// availableFraction returns the fraction of a need that is free, in its
// scarcest dimension.
func availableFraction(need, free leverdyke.Resources) float64 {
	fraction := 1.0
	for _, d := range [...][2]int64{
		{need.MilliCPU, free.MilliCPU},
		{need.MemoryMiB, free.MemoryMiB},
		{need.Accelerators, free.Accelerators},
		{need.Slots, free.Slots},
	} {
		if d[0] > 0 {
			fraction = min(fraction, max(float64(d[1]), 0)/float64(d[0]))
		}
	}
	return fraction
}

// isReserved reports whether the VM is reserved for a starved task.
func (r *Rack) isReserved(now time.Time, v *vm) bool {
	return r.reservedVM != nil && r.reservedVM.vm == v && now.Before(r.reservedVM.expiresAt)
}

// isReservedAgainst reports whether a task must not use the VM because it is
// reserved for a starved task. More urgent tasks and services may still use it.
func (r *Rack) isReservedAgainst(now time.Time, v *vm, item *node.StartItem) bool {
	if !r.isReserved(now, v) || item.Task.Key.Task.Job == r.reservedVM.job || item.Task.RunTime == 0 {
		return false
	}
	return item.Task.Class.Rank() >= r.reservedVM.class.Rank()
}

// releaseReservedVM ends the VM reservation of the job, if it has one.
func (r *Rack) releaseReservedVM(job string) {
	if r.reservedVM != nil && r.reservedVM.job == job {
		r.reservedVM = nil
		r.isSummaryChanged = true
	}
}
