// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
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
	// stuckAfter is how long a task may show no progress. The shortest tasks take
	// 0.8 s and slow workers are up to eight times slower, so that one percent
	// takes 70 ms at most; the longest of 12 s, 1 s.
	stuckAfter = 1500 * time.Millisecond
	// stuckFiller is for tasks that only get what others leave.
	stuckFiller = 8 * time.Second
	// stuckLasting is for a lasting task that does not get to work.
	stuckLasting = 4 * time.Second
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
	wins        int
}

func (h *health) succeeded() {
	h.inRow = 0
	h.onTrial = false
	h.pause = 0
	h.wins++
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
	case !w.isAdmitted, !e.isReachable(w), len(w.foreign) > 0:
		return false
	case e.now.Before(w.health.pausedUntil):
		return false
	case w.health.onTrial && len(w.attempts) > 0:
		return false
	}
	return true
}

// checkProgress stops an attempt that stands still.
func (e *Engine) checkProgress(a *attempt) {
	if a.phase != phaseRunning || a.isStopping || a.step == nil {
		return
	}
	s := a.step.spec
	limit := stuckAfter + s.Estimate/20
	switch {
	case s.IsLasting && a.percent >= 100:
		return
	case s.IsLasting:
		limit = stuckLasting
	case s.IsFiller:
		limit = stuckFiller
	}
	// Progress is only known from listings: a silent worker is no stuck task.
	seen := a.worker.readAt.Sub(a.percentAt)
	if seen < limit || a.pace < fullPace {
		return
	}
	e.options.Log(events.AttemptStuck, "task", a.id, "run", a.run, "worker", a.worker.ID, "percent", a.percent, "for", seen)
	a.step.tasks[a.id.Index].avoid = a.worker.ID
	if !s.IsFiller {
		a.worker.health.setAside(e.now)
	}
	e.stop(a, "stands still")
	if s.IsGang {
		e.stopGang(a.step, a.run, "a member stands still")
	}
}
