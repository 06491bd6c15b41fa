// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// Limits by which a worker is judged from what became of its attempts.
const (
	// suspectAfter is how many failures in a row, of different jobs and without a
	// success between them, set a worker aside. Tasks fail by their own fault in
	// one of twenty attempts or so; two such in a row are rare.
	suspectAfter = 2
	// firstPause is how long a worker is set aside at first; it doubles up to
	// longestPause while trials fail.
	firstPause   = 3 * time.Second
	longestPause = 12 * time.Second
	// refusedPause is for a worker that says that it takes nothing.
	refusedPause = 500 * time.Millisecond
)

// health is how a worker does by the outcomes of its attempts.
type health struct {
	// inRow counts failures without a success since.
	inRow   int
	lastJob work.JobID
	// pausedUntil is when it may be tried again; onTrial means that it gets one
	// task at a time until one succeeds.
	pausedUntil time.Time
	pause       time.Duration
	onTrial     bool
	// provenAt is when it last ended a task well.
	provenAt time.Time
}

const (
	// unprovenAfter is how long after a success a worker counts as one of which
	// nothing is known, and unprovenRisk is the risk that it is then.
	unprovenAfter = 3 * time.Second
	unprovenRisk  = 0.25
)

// risk is how likely the worker fails what it is given: about 0 for one that has
// just done well, 1 and more for one that has failed since.
func (h *health) risk(now time.Time) float64 {
	risk := float64(h.inRow)
	if h.onTrial {
		risk++
	}
	age := min(now.Sub(h.provenAt), unprovenAfter)
	return risk + unprovenRisk*float64(age)/float64(unprovenAfter)
}

// hasFailedLately reports whether the worker has failed something since its last
// success.
func (h *health) hasFailedLately() bool { return h.inRow > 0 || h.onTrial }

func (h *health) succeeded(now time.Time) {
	h.provenAt = now
	h.inRow = 0
	h.onTrial = false
	h.pause = 0
}

func (h *health) failed(now time.Time, j *job) {
	if h.onTrial || h.lastJob != j.spec.ID {
		h.inRow++
	}
	h.lastJob = j.spec.ID
	if h.inRow < suspectAfter && !h.onTrial {
		return
	}
	h.setAside(now)
}

func (h *health) setAside(now time.Time) {
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.pausedUntil = now.Add(h.pause)
	h.onTrial = true
}

func (h *health) refused(now time.Time) {
	if until := now.Add(refusedPause); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// isUsable reports whether the worker may get something new.
func (e *Engine) isUsable(w *worker) bool {
	switch {
	case !e.isReachable(w), len(w.foreign) > 0:
		return false
	case e.now.Before(w.health.pausedUntil):
		return false
	case w.health.onTrial && len(w.attempts) > 0:
		return false
	}
	return true
}
