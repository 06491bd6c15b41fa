// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// setAsideAfter failures in a row, of jobs that do not fail elsewhere, set
	// a worker aside.
	setAsideAfter = 3
	firstSetAside = 20 * time.Second
	maxSetAside   = 10 * time.Minute
	// maxAsideDivisor bounds the workers set aside to this part of the rack.
	maxAsideDivisor = 2
	// badJobWorkers is on how many workers a job must fail to be at fault.
	badJobWorkers = 2
	maxBadJobs    = 512
)

// health is what a worker's failures say of it.
type health struct {
	streak int
	// asideUntil is when it is probed; zero while it is in use.
	asideUntil time.Time
	// asideFor doubles with each failed probe.
	asideFor time.Duration
	// isProbing means that one task was let in to see.
	isProbing bool
}

func (h *health) isSetAside(now time.Time) bool {
	return !h.asideUntil.IsZero() && (now.Before(h.asideUntil) || h.isProbing)
}

// failures are the workers of this rack on which a job has failed.
type failures struct {
	workers map[worker.ID]bool
}

// mayTake reports whether the worker's health lets new work in.
func (r *Rack) mayTake(now time.Time, v *vm) bool { return !v.health.isSetAside(now) }

// noteProbe marks the task that is let in on a worker whose time is up.
func (r *Rack) noteProbe(now time.Time, v *vm) {
	if !v.health.asideUntil.IsZero() && !now.Before(v.health.asideUntil) {
		v.health.isProbing = true
		r.event(EventWorkerProbed, v.id, worker.Key{}, "")
	}
}

// judge learns from the end of an attempt whether its worker or its job is at
// fault.
func (r *Rack) judge(now time.Time, h *held) {
	switch {
	case h.isLost:
	case h.task.State == worker.StateDone:
		r.succeeded(h.vm)
	case h.task.State == worker.StateFailed:
		h.isBlamed = r.failed(now, h)
	}
}

func (r *Rack) succeeded(v *vm) {
	if !v.health.asideUntil.IsZero() {
		r.event(EventWorkerBack, v.id, worker.Key{}, "")
	}
	v.health = health{}
}

// failed counts a failure and reports whether the worker is blamed for it.
func (r *Rack) failed(now time.Time, h *held) bool {
	job := h.task.Key.Task.Job
	f := r.badJobs[job]
	if f == nil {
		if len(r.badJobs) >= maxBadJobs {
			clear(r.badJobs)
		}
		f = &failures{workers: map[worker.ID]bool{}}
		r.badJobs[job] = f
	}
	f.workers[h.vm.id] = true
	if len(f.workers) >= badJobWorkers {
		return false
	}
	v := h.vm
	v.health.streak++
	if v.health.isProbing || v.health.streak >= setAsideAfter {
		r.setAside(now, v)
	}
	return v.health.streak >= setAsideAfter
}

func (r *Rack) setAside(now time.Time, v *vm) {
	aside := 0
	for _, o := range r.vms {
		if o != v && o.health.isSetAside(now) {
			aside++
		}
	}
	if (aside+1)*maxAsideDivisor > len(r.vms) {
		return
	}
	v.health.asideFor = min(max(2*v.health.asideFor, firstSetAside), maxSetAside)
	v.health.asideUntil = now.Add(v.health.asideFor)
	v.health.isProbing = false
	r.event(EventWorkerSetAside, v.id, worker.Key{}, v.health.asideFor.String())
}
