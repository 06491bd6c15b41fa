// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package outlier finds workers that are sick or slow, by what became of their tasks.
// It is pure.
package outlier

import (
	"math"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// Limits by which a worker is judged from what became of its attempts.
const (
	// suspectAfter is how many failures in a row, of different jobs and without a
	// success between them, set a worker aside: two tasks in a row that fail by their own
	// fault are rare.
	suspectAfter = 2
	// firstPause is how long a worker is set aside at first; it doubles up to
	// longestPause while trials fail.
	firstPause   = 3 * time.Second
	longestPause = 12 * time.Second
	// refusedPause is for a worker that says that it takes nothing.
	refusedPause = 500 * time.Millisecond
)

// Health is how a worker does by the outcomes of its attempts.
type Health struct {
	// inRow counts failures without a success since.
	inRow   int
	lastJob work.JobID
	// pausedUntil is when it may be tried again; OnTrial means that it gets one
	// task at a time from trialFrom on until one succeeds.
	pausedUntil time.Time
	trialFrom   time.Time
	// asideAt is when it was set aside last.
	asideAt time.Time
	pause   time.Duration
	OnTrial bool
	// done and undone count tasks that ended well and that failed, less the longer
	// ago; countedAt is as of when.
	done, undone float64
	countedAt    time.Time
}

const (
	// countTime is how long ago an end counts a third: long enough for some ends of
	// a busy worker (two to three a second), short enough to see one turn bad.
	countTime = 2 * time.Second
	// countStep is how often that is worked out: workers are scored thousands of times
	// a second.
	countStep = 50 * time.Millisecond
	// usualShare is the share of tasks that fail by their own fault, and usualWeight
	// how many ends that is worth where few are known.
	usualShare  = 0.05
	usualWeight = 2
	// soundShare is the share of failures up to which a worker counts as sound: two
	// of ten by the tasks' own fault are above it.
	soundShare = 0.15
	// shareWeight is the risk of a worker that fails all, unprovenRisk that of one of
	// which nothing is known; each end that went well halves it.
	shareWeight  = 3.0
	unprovenRisk = 0.25
)

// count forgets ends by how long ago they were.
func (h *Health) count(now time.Time) {
	since := now.Sub(h.countedAt)
	if since < countStep {
		return
	}
	fade := math.Exp(-float64(since) / float64(countTime))
	h.done, h.undone, h.countedAt = h.done*fade, h.undone*fade, now
}

// FailedShare is the share of tasks that the worker fails, as far as is known.
func (h *Health) FailedShare(now time.Time) float64 {
	h.count(now)
	return (h.undone + usualShare*usualWeight) / (h.done + h.undone + usualWeight)
}

// Risk is how likely the worker fails what it is given: about 0 for one that has
// just done well, 1 and more for one that fails most.
func (h *Health) Risk(now time.Time) float64 {
	risk := shareWeight * max(h.FailedShare(now)-2*usualShare, 0)
	if h.OnTrial {
		risk++
	}
	return risk + unprovenRisk*math.Exp2(-h.done)
}

// IsSound reports whether the worker has ended well what it had lately, but for what
// fails by its own fault.
func (h *Health) IsSound(now time.Time) bool {
	return h.inRow == 0 && !h.OnTrial && h.FailedShare(now) <= soundShare
}

// Succeeded takes that a task has ended well.
func (h *Health) Succeeded(now time.Time) {
	h.count(now)
	h.done++
	h.Passed()
}

// Passed notes that the trial of the worker, if it is on trial, went well.
func (h *Health) Passed() {
	h.inRow = 0
	h.OnTrial = false
	h.pause = 0
}

// Failed takes that a task of a job has failed.
func (h *Health) Failed(now time.Time, job work.JobID) {
	h.count(now)
	h.undone++
	if h.OnTrial || h.lastJob != job {
		h.inRow++
	}
	h.lastJob = job
	if h.inRow < suspectAfter && !h.OnTrial {
		return
	}
	h.SetAside(now)
}

// SetAside keeps tasks off the worker for a while, longer each time, and then lets it
// prove itself with one.
func (h *Health) SetAside(now time.Time) {
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.pausedUntil = now.Add(h.pause)
	h.asideAt, h.trialFrom, h.OnTrial = now, h.pausedUntil, true
}

// MayTryEarly reports whether a worker that is set aside may be tried before its pause is over by
// what has nowhere else to go: the pause grows with each trial that fails, and the worker may be
// well long before it ends.
func (h *Health) MayTryEarly(now time.Time) bool {
	return h.OnTrial && h.pausedUntil.Equal(h.trialFrom) && now.Sub(h.asideAt) >= firstPause
}

// BeginTrial ends the pause: the worker is on trial with what is ordered from now on.
func (h *Health) BeginTrial(now time.Time) { h.pausedUntil, h.trialFrom = now, now }

// IsTrial reports whether the worker is on trial with what was ordered then. What was there before
// may last for good, and tells nothing.
func (h *Health) IsTrial(orderedAt time.Time) bool {
	return h.OnTrial && !orderedAt.Before(h.trialFrom)
}

// Refused takes that the worker says that it takes nothing.
func (h *Health) Refused(now time.Time) {
	if until := now.Add(refusedPause); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// IsPaused reports whether the worker is to get nothing now.
func (h *Health) IsPaused(now time.Time) bool { return now.Before(h.pausedUntil) }
