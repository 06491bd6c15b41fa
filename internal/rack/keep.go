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
type keep struct {
	vm *vm
	// job is the starved task's; its own asks pass.
	job   string
	class leverdyke.Class
	// since is when the task began to wait; the older one keeps the VM.
	since time.Time
	until time.Time
}

// keepFor keeps a VM for a starved task that found no room, if no older one has
// the rack's.
func (r *Rack) keepFor(now time.Time, item *node.StartItem) {
	if !item.IsStarved {
		return
	}
	job, since := item.Task.Key.Task.Job, now.Add(-item.Age)
	k := r.kept
	isTaken := k != nil && now.Before(k.until) && r.isUsable(now, k.vm)
	switch {
	case isTaken && k.job == job:
		k.until = now.Add(earmarkTime)
		return
	case isTaken && k.since.Before(since):
		return
	}
	if v := r.nearest(now, r.expected(&item.Task)); v != nil {
		r.kept = &keep{vm: v, job: job, class: item.Task.Class, since: since, until: now.Add(earmarkTime)}
		r.isChanged = true
	}
}

// nearest returns the VM that lacks the least of a need that it could hold when
// empty, or nil.
func (r *Rack) nearest(now time.Time, need leverdyke.Resources) *vm {
	var best *vm
	most := -1.0
	for _, id := range r.order {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) || !need.FitsIn(v.capacity) {
			continue
		}
		if part := partOf(need, r.free(v)); part > most {
			best, most = v, part
		}
	}
	return best
}

// partOf is how much of a need there is, by its scarcest dimension.
func partOf(need, free leverdyke.Resources) float64 {
	part := 1.0
	for _, d := range [...][2]int64{
		{need.MilliCPU, free.MilliCPU},
		{need.MemoryMiB, free.MemoryMiB},
		{need.Accelerators, free.Accelerators},
		{need.Slots, free.Slots},
	} {
		if d[0] > 0 {
			part = min(part, max(float64(d[1]), 0)/float64(d[0]))
		}
	}
	return part
}

// isKept reports whether the VM is kept for a starved task.
func (r *Rack) isKept(now time.Time, v *vm) bool {
	return r.kept != nil && r.kept.vm == v && now.Before(r.kept.until)
}

// isKeptFrom reports whether an ask has to leave the VM to a starved task. More
// urgent work and services do not wait.
func (r *Rack) isKeptFrom(now time.Time, v *vm, item *node.StartItem) bool {
	if !r.isKept(now, v) || item.Task.Key.Task.Job == r.kept.job || item.Task.RunTime == 0 {
		return false
	}
	return item.Task.Class.Rank() >= r.kept.class.Rank()
}

// endKeep gives the VM back when the starved task has its place.
func (r *Rack) endKeep(job string) {
	if r.kept != nil && r.kept.job == job {
		r.kept = nil
		r.isChanged = true
	}
}
