// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package health judges from the ends of attempts whether workers or jobs are
// at fault: workers that fail what succeeds elsewhere are set aside, and tried
// again with one task ever more rarely. It is pure: it has no clock and no I/O.
package health

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// setAsideAfter failures in a row, of jobs that do not fail elsewhere, set
	// a worker aside.
	ejectAfterFailures = 3
	minEjection        = 20 * time.Second
	maxEjection        = 10 * time.Minute
	// maxAsideDivisor bounds the workers set aside to this part of all.
	maxEjectedDivisor = 2
	// badJobWorkers is on how many workers a job must fail to be at fault.
	faultyJobWorkers = 2
	maxFailedJobs    = 512
	// provenAfter is how long a probe runs until it has gone well: services never end.
	probeTime = 10 * time.Second
)

// Detector remembers what failed where, for the workers of one rack. It belongs to
// one goroutine.
type Detector struct {
	// workers has those that have failed something since their last success.
	workers map[worker.ID]*record
	// badJobs has the workers on which each job has failed.
	failedJobs map[string]map[worker.ID]bool
}

// record is what a worker's failures say of it.
type record struct {
	failures int
	// asideUntil is when it is probed; zero while it is in use.
	ejectedUntil time.Time
	// asideFor doubles with each failed probe.
	ejectedFor time.Duration
	// probe is the task that was let in to see, at probedAt; zero for none.
	probe    worker.Key
	probedAt time.Time
}

// NewDetector returns a judge that has seen nothing.
func NewDetector() *Detector {
	return &Detector{workers: map[worker.ID]*record{}, failedJobs: map[string]map[worker.ID]bool{}}
}

// IsEjected reports whether the worker gets nothing new.
func (d *Detector) IsEjected(now time.Time, id worker.ID) bool {
	w := d.workers[id]
	return w != nil && !w.ejectedUntil.IsZero() && (now.Before(w.ejectedUntil) || w.probe != worker.Key{})
}

// Placed notes that a task was put on a worker, and reports whether it is the
// one that tries a worker again.
func (d *Detector) Placed(now time.Time, id worker.ID, k worker.Key) bool {
	w := d.workers[id]
	if w == nil || w.ejectedUntil.IsZero() || now.Before(w.ejectedUntil) {
		return false
	}
	w.probe, w.probedAt = k, now
	return true
}

// ReadmitProbed takes the workers on which a probe has run for long as back in use, and returns them in
// the order of their IDs.
func (d *Detector) ReadmitProbed(now time.Time) []worker.ID {
	readmitted := []worker.ID{}
	for id, w := range d.workers {
		if w.probe != (worker.Key{}) && now.Sub(w.probedAt) >= probeTime {
			readmitted = append(readmitted, id)
			delete(d.workers, id)
		}
	}
	slices.Sort(readmitted)
	return readmitted
}

// Finding is what the end of an attempt says.
type Finding struct {
	// IsWorkerAtFault means that the worker is at fault, not the job.
	IsWorkerAtFault bool
	// IsReadmitted means that a worker that was set aside is in use again.
	IsReadmitted bool
	// EjectedFor is for how long the worker is set aside; 0 means that it is not.
	EjectedFor time.Duration
}

// Ended takes the end of an attempt on a worker, out of so many in all. An
// attempt that was lost or stopped says nothing of its worker, but lets the
// next one try it.
func (d *Detector) Ended(now time.Time, id worker.ID, k worker.Key, s worker.TaskState, workers int) Finding {
	switch s {
	case worker.StateDone:
		return d.succeeded(id)
	case worker.StateFailed:
		return d.failed(now, id, k, workers)
	}
	if w := d.workers[id]; w != nil && w.probe == k {
		w.probe = worker.Key{}
	}
	return Finding{}
}

// Forget drops what is known of a worker that is gone.
func (d *Detector) Forget(id worker.ID) { delete(d.workers, id) }

func (d *Detector) succeeded(id worker.ID) Finding {
	w := d.workers[id]
	delete(d.workers, id)
	return Finding{IsReadmitted: w != nil && !w.ejectedUntil.IsZero()}
}

func (d *Detector) failed(now time.Time, id worker.ID, k worker.Key, workers int) Finding {
	if d.countFailure(id, k.Task.Job) >= faultyJobWorkers {
		return Finding{}
	}
	w := d.workers[id]
	if w == nil {
		w = &record{}
		d.workers[id] = w
	}
	w.failures++
	isProbe := w.probe != worker.Key{}
	f := Finding{IsWorkerAtFault: w.failures >= ejectAfterFailures}
	if isProbe || w.failures >= ejectAfterFailures {
		f.EjectedFor = d.eject(now, id, w, workers)
	}
	return f
}

// countFailure returns on how many workers the job has failed by now.
func (d *Detector) countFailure(id worker.ID, job string) int {
	on := d.failedJobs[job]
	if on == nil {
		if len(d.failedJobs) >= maxFailedJobs {
			clear(d.failedJobs)
		}
		on = map[worker.ID]bool{}
		d.failedJobs[job] = on
	}
	on[id] = true
	return len(on)
}

func (d *Detector) eject(now time.Time, id worker.ID, w *record, workers int) time.Duration {
	ejected := 1
	for other := range d.workers {
		if other != id && d.IsEjected(now, other) {
			ejected++
		}
	}
	if ejected*maxEjectedDivisor > workers {
		return 0
	}
	w.ejectedFor = min(max(2*w.ejectedFor, minEjection), maxEjection)
	w.ejectedUntil = now.Add(w.ejectedFor)
	w.probe = worker.Key{}
	return w.ejectedFor
}
