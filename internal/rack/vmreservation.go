// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
)

// keep keeps what becomes free on one VM for a task that has waited long
// because smaller ones took every room first (decision 0012).
type vmReservation struct {
	vm *vm
	// job is the starved task's; its own asks pass.
	job   string
	class leverdyke.Class
	// since is when the task began to wait; the older one keeps the VM.
	since     time.Time
	expiresAt time.Time
}

// keepFor keeps a VM for a starved task that found no room, if no older one has
// the rack's.
func (r *Rack) reserveVMFor(now time.Time, item *node.AskItem) {
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

// nearest returns the VM that lacks the least of a need that it could hold when
// empty, or nil.
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

// partOf is how much of a need there is, by its scarcest dimension.
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

// isKept reports whether the VM is kept for a starved task.
func (r *Rack) isReserved(now time.Time, v *vm) bool {
	return r.reservedVM != nil && r.reservedVM.vm == v && now.Before(r.reservedVM.expiresAt)
}

// isKeptFrom reports whether an ask has to leave the VM to a starved task. More
// urgent work and services do not wait.
func (r *Rack) isReservedAgainst(now time.Time, v *vm, item *node.AskItem) bool {
	if !r.isReserved(now, v) || item.Task.Key.Task.Job == r.reservedVM.job || item.Task.RunTime == 0 {
		return false
	}
	return item.Task.Class.Rank() >= r.reservedVM.class.Rank()
}

// endKeep gives the VM back when the starved task has its place.
func (r *Rack) releaseReservedVM(job string) {
	if r.reservedVM != nil && r.reservedVM.job == job {
		r.reservedVM = nil
		r.isSummaryChanged = true
	}
}
