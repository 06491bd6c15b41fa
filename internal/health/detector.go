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
	setAsideAfter = 3
	firstSetAside = 20 * time.Second
	maxSetAside   = 10 * time.Minute
	// maxAsideDivisor bounds the workers set aside to this part of all.
	maxAsideDivisor = 2
	// badJobWorkers is on how many workers a job must fail to be at fault.
	badJobWorkers = 2
	maxBadJobs    = 512
	// provenAfter is how long a probe runs until it has gone well: services never end.
	provenAfter = 10 * time.Second
)

// Judge remembers what failed where, for the workers of one rack. It belongs to
// one goroutine.
type Judge struct {
	// workers has those that have failed something since their last success.
	workers map[worker.ID]*record
	// badJobs has the workers on which each job has failed.
	badJobs map[string]map[worker.ID]bool
}

// record is what a worker's failures say of it.
type record struct {
	streak int
	// asideUntil is when it is probed; zero while it is in use.
	asideUntil time.Time
	// asideFor doubles with each failed probe.
	asideFor time.Duration
	// probe is the task that was let in to see, at probedAt; zero for none.
	probe    worker.Key
	probedAt time.Time
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{workers: map[worker.ID]*record{}, badJobs: map[string]map[worker.ID]bool{}}
}

// IsSetAside reports whether the worker gets nothing new.
func (j *Judge) IsSetAside(now time.Time, id worker.ID) bool {
	w := j.workers[id]
	return w != nil && !w.asideUntil.IsZero() && (now.Before(w.asideUntil) || w.probe != worker.Key{})
}

// Placed notes that a task was put on a worker, and reports whether it is the
// one that tries a worker again.
func (j *Judge) Placed(now time.Time, id worker.ID, k worker.Key) bool {
	w := j.workers[id]
	if w == nil || w.asideUntil.IsZero() || now.Before(w.asideUntil) {
		return false
	}
	w.probe, w.probedAt = k, now
	return true
}

// Proven takes the workers on which a probe has run for long as back in use, and returns them in
// the order of their IDs.
func (j *Judge) Proven(now time.Time) []worker.ID {
	back := []worker.ID{}
	for id, w := range j.workers {
		if w.probe != (worker.Key{}) && now.Sub(w.probedAt) >= provenAfter {
			back = append(back, id)
			delete(j.workers, id)
		}
	}
	slices.Sort(back)
	return back
}

// Finding is what the end of an attempt says.
type Finding struct {
	// IsBlamed means that the worker is at fault, not the job.
	IsBlamed bool
	// IsBack means that a worker that was set aside is in use again.
	IsBack bool
	// AsideFor is for how long the worker is set aside; 0 means that it is not.
	AsideFor time.Duration
}

// Ended takes the end of an attempt on a worker, out of so many in all. An
// attempt that was lost or stopped says nothing of its worker, but lets the
// next one try it.
func (j *Judge) Ended(now time.Time, id worker.ID, k worker.Key, s worker.TaskState, workers int) Finding {
	switch s {
	case worker.StateDone:
		return j.succeeded(id)
	case worker.StateFailed:
		return j.failed(now, id, k, workers)
	}
	if w := j.workers[id]; w != nil && w.probe == k {
		w.probe = worker.Key{}
	}
	return Finding{}
}

// Forget drops what is known of a worker that is gone.
func (j *Judge) Forget(id worker.ID) { delete(j.workers, id) }

func (j *Judge) succeeded(id worker.ID) Finding {
	w := j.workers[id]
	delete(j.workers, id)
	return Finding{IsBack: w != nil && !w.asideUntil.IsZero()}
}

func (j *Judge) failed(now time.Time, id worker.ID, k worker.Key, workers int) Finding {
	if j.countFailure(id, k.Task.Job) >= badJobWorkers {
		return Finding{}
	}
	w := j.workers[id]
	if w == nil {
		w = &record{}
		j.workers[id] = w
	}
	w.streak++
	isProbe := w.probe != worker.Key{}
	f := Finding{IsBlamed: w.streak >= setAsideAfter}
	if isProbe || w.streak >= setAsideAfter {
		f.AsideFor = j.setAside(now, id, w, workers)
	}
	return f
}

// countFailure returns on how many workers the job has failed by now.
func (j *Judge) countFailure(id worker.ID, job string) int {
	on := j.badJobs[job]
	if on == nil {
		if len(j.badJobs) >= maxBadJobs {
			clear(j.badJobs)
		}
		on = map[worker.ID]bool{}
		j.badJobs[job] = on
	}
	on[id] = true
	return len(on)
}

func (j *Judge) setAside(now time.Time, id worker.ID, w *record, workers int) time.Duration {
	aside := 1
	for other := range j.workers {
		if other != id && j.IsSetAside(now, other) {
			aside++
		}
	}
	if aside*maxAsideDivisor > workers {
		return 0
	}
	w.asideFor = min(max(2*w.asideFor, firstSetAside), maxSetAside)
	w.asideUntil = now.Add(w.asideFor)
	w.probe = worker.Key{}
	return w.asideFor
}
