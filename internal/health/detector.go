// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package health decides from the ends of attempts whether a worker or a job is at fault. A worker
// that fails tasks of jobs that do not fail elsewhere is ejected, as in outlier ejection, and is
// readmitted when a single task, its probe, succeeds there. The time to the next probe doubles
// with each probe that fails. It does no I/O and reads no clock; the caller passes the current
// time.
package health

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// ejectAfterFailures is how many failures in a row, of jobs that do not fail elsewhere, eject a
	// worker.
	ejectAfterFailures = 3
	minEjection        = 20 * time.Second
	maxEjection        = 10 * time.Minute
	// maxEjectedDivisor bounds the ejected workers: at most 1/maxEjectedDivisor of all.
	maxEjectedDivisor = 2
	// faultyJobWorkers is on how many workers a job must have failed to be at fault itself.
	faultyJobWorkers = 2
	// maxFailedJobs bounds the jobs whose failures are remembered; all are forgotten at once when
	// there would be more.
	maxFailedJobs = 512
	// probeTime is how long a probe must run to count as succeeded without having ended: the task
	// of a service never ends.
	probeTime = 10 * time.Second
)

// Detector detects faulty workers of one rack from the ends of attempts. It is not safe for
// concurrent use.
type Detector struct {
	// workers has those that have failed a task since their last success.
	workers map[worker.ID]*record
	// failedJobs has the workers on which each job has failed.
	failedJobs map[string]map[worker.ID]bool
}

// record is what is known of a worker that has failed a task.
type record struct {
	// failures counts the failures in a row for which the worker may be at fault.
	failures int
	// ejectedUntil is when the worker is next probed; zero while it is not ejected.
	ejectedUntil time.Time
	// ejectedFor is the length of the last ejection; it doubles with each failed probe.
	ejectedFor time.Duration
	// probe is the task that was placed on the worker as a probe, at probedAt; zero means that
	// there is none.
	probe    worker.Key
	probedAt time.Time
}

// NewDetector returns a Detector for workers that have not failed anything.
func NewDetector() *Detector {
	return &Detector{workers: map[worker.ID]*record{}, failedJobs: map[string]map[worker.ID]bool{}}
}

// IsEjected reports whether no task may be placed on the worker now: its ejection has not ended, or
// it already has a probe.
func (d *Detector) IsEjected(now time.Time, id worker.ID) bool {
	w := d.workers[id]
	return w != nil && !w.ejectedUntil.IsZero() && (now.Before(w.ejectedUntil) || w.probe != worker.Key{})
}

// Placed records that a task was placed on a worker, and reports whether it is the probe of an
// ejected worker.
func (d *Detector) Placed(now time.Time, id worker.ID, k worker.Key) bool {
	w := d.workers[id]
	if w == nil || w.ejectedUntil.IsZero() || now.Before(w.ejectedUntil) {
		return false
	}
	w.probe, w.probedAt = k, now
	return true
}

// ReadmitProbed readmits the workers on which a probe has run for probeTime, and returns them in
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

// Finding is what the end of an attempt says about its worker.
type Finding struct {
	// IsWorkerAtFault means that the worker is at fault, not the job.
	IsWorkerAtFault bool
	// IsReadmitted means that a worker that was ejected is in use again.
	IsReadmitted bool
	// EjectedFor is the duration of the ejection; 0 means that the worker is not ejected.
	EjectedFor time.Duration
}

// Ended records the end of an attempt on a worker; workers is the number of all workers. An
// attempt that was lost or stopped says nothing about its worker. If it was the probe, the next
// task that is placed there is the probe instead.
func (d *Detector) Ended(now time.Time, id worker.ID, k worker.Key, s worker.TaskState, workers int) Finding {
	switch s {
	case worker.StateSucceeded:
		return d.succeeded(id)
	case worker.StateFailed:
		return d.failed(now, id, k, workers)
	}
	if w := d.workers[id]; w != nil && w.probe == k {
		w.probe = worker.Key{}
	}
	return Finding{}
}

// Forget drops what is known of a worker that is no longer in the rack.
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

// countFailure records a failure of the job on a worker, and returns on how many workers the job
// has failed by now.
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

// eject ejects a worker, unless too many workers are ejected already, and returns for how long; 0
// means that it was not ejected.
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
