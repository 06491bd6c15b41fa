// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package discard

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/outlier"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Limits for judging attempts by the progress that workers report.
const (
	// A task is stuck when it shows no progress for minStallTimeout plus stallFraction of its
	// expected duration. Progress is reported in whole percents.
	minStallTimeout = 600 * time.Millisecond
	stallFraction   = 0.15
	// maxSiblingStall bounds the part of that time that follows from siblings. Callers expect that no
	// task stands still for 3 s while there is free capacity.
	maxSiblingStall = 2 * time.Second
	// bestEffortStallTimeout is for best-effort tasks, which only get the processor time that
	// others leave, longRunningStallTimeout for a long-running task that does not get to work.
	bestEffortStallTimeout  = 8 * time.Second
	longRunningStallTimeout = 4 * time.Second
	// NearlyDonePercent is the progress from which a task may show none for longer, because it
	// takes longer than the worker estimated; nearlyDoneStallTimeout is how long.
	NearlyDonePercent      = 98
	nearlyDoneStallTimeout = 4 * time.Second
	// replacementGain is how many times as long as a replacement an attempt must still take for
	// the replacement to be worth it.
	replacementGain = 1.3
	// An attempt must seem too slow for minSlowTime plus slowFraction of the time that its task takes
	// elsewhere: the progress between two listings may be small by chance.
	minSlowTime  = 150 * time.Millisecond
	slowFraction = 0.1
	// maxReplacements is how many attempts of a task may have been stopped as stuck or too slow
	// until further slow ones are left alone.
	maxReplacements = 2
)

// Kind is what a task is, as far as that matters for its progress.
type Kind string

// The kinds.
const (
	// KindBatch is a task that ends by itself.
	KindBatch Kind = "batch"
	// KindGang is a member of a gang: one attempt alone is never replaced.
	KindGang Kind = "gang"
	// KindLongRunning is a task that does not end by itself. At 100 percent it is at work.
	KindLongRunning Kind = "long-running"
	// KindBestEffort is a task that gets the processor time that others leave.
	KindBestEffort Kind = "best effort"
)

// KindOf returns the kind of the tasks of a step.
func KindOf(s *work.Step) Kind {
	switch {
	case s.IsLongRunning:
		return KindLongRunning
	case s.IsBestEffort:
		return KindBestEffort
	case s.IsGang:
		return KindGang
	}
	return KindBatch
}

// Attempt is a running attempt of a task.
type Attempt struct {
	Kind Kind
	// Ran is the time since its order. StalledFor is the part of it without progress that is known
	// from the worker's listings.
	Ran, StalledFor time.Duration
	// IsThrottled means that it was ordered to work below its full speed.
	IsThrottled bool
	Percent     int
	// Projected is how long it will take in all by its progress; 0 if that is not known yet.
	Projected time.Duration
	// SlowFor is for how long Judge has returned Watch or TooSlow without a break, by the worker's
	// listings.
	SlowFor time.Duration
	// Elsewhere is how long the whole task takes on another worker, by its siblings; 0 if that is
	// not known.
	Elsewhere time.Duration
	// Expected is how long it should take by estimates, which may be wrong for a whole step; 0 if
	// there are none.
	Expected time.Duration
	// IsWorkerSlow means that the worker is known to be slow.
	IsWorkerSlow bool
	// IsResumable means that a replacement resumes from a saved state, if HasSaved.
	IsResumable, HasSaved bool
	// HasCopy means that a speculative copy runs or was requested.
	HasCopy bool
	// Replacements counts the earlier attempts of the task that were stopped.
	Replacements int
	// StopTime is how long the worker takes to stop a task.
	StopTime time.Duration
}

// Judge decides whether the attempt is replaced.
func (a *Attempt) Judge() Verdict {
	switch {
	case a.Kind == KindLongRunning && a.Percent >= 100:
		return Verdict{Action: Keep}
	case a.StalledFor >= a.stallTimeout() && !a.IsThrottled:
		return Verdict{Replace, Stalled}
	case !a.isTooSlow():
		return Verdict{Action: Keep}
	case a.SlowFor < minSlowTime+time.Duration(slowFraction*float64(a.reference())):
		return Verdict{Watch, TooSlow}
	}
	return Verdict{Replace, TooSlow}
}

// reference returns how long the task takes on another worker; 0 if that is not known. Without
// siblings, the step may be long as a whole, so that its estimate only counts on a slow worker.
func (a *Attempt) reference() time.Duration {
	if a.Elsewhere <= 0 && a.IsWorkerSlow {
		return a.Expected
	}
	return a.Elsewhere
}

// stallTimeout returns how long the attempt may show no progress.
func (a *Attempt) stallTimeout() time.Duration {
	switch {
	case a.Kind == KindLongRunning:
		return longRunningStallTimeout
	case a.Kind == KindBestEffort:
		return bestEffortStallTimeout
	case a.Percent >= NearlyDonePercent:
		return nearlyDoneStallTimeout
	}
	// Elsewhere grows while siblings are stuck as well.
	bySiblings := min(time.Duration(stallFraction*float64(a.Elsewhere)), maxSiblingStall)
	return minStallTimeout + max(time.Duration(stallFraction*float64(a.Expected)), bySiblings)
}

// isTooSlow reports whether another attempt would be done much earlier.
func (a *Attempt) isTooSlow() bool {
	elsewhere := a.reference()
	if a.Kind != KindBatch || a.HasCopy || a.Replacements >= maxReplacements || !isSlow(a.Projected, elsewhere) {
		return false
	}
	replacement := elsewhere
	if a.IsResumable {
		replacement = min(elsewhere, time.Duration(float64(elsewhere)*float64(100-a.Percent)/100)+Unsaved(a.Ran, a.HasSaved))
	}
	return float64(a.Projected-a.Ran) > replacementGain*float64(replacement+a.StopTime+startTime)
}

// isSlow reports whether a task takes so much longer than it should that this is not explained by
// the difference between two tasks of a step.
func isSlow(projected, reference time.Duration) bool {
	return reference > 0 && float64(projected) > outlier.SlowRatio*float64(reference)
}

// Slowness is since when an attempt has seemed too slow. The zero value is an attempt that does not.
type Slowness struct{ since time.Time }

// Observe records a verdict by a listing.
func (s *Slowness) Observe(v Verdict, listedAt time.Time) {
	switch {
	case v.Reason != TooSlow:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = listedAt
	}
}

// For returns for how long the attempt has seemed too slow at a later listing.
func (s *Slowness) For(listedAt time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return listedAt.Sub(s.since)
}
