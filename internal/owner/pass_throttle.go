// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// costlyLook is the time that a look at all that waits takes from which the owner
	// rests after it.
	expensivePass = 100 * time.Microsecond
	// restRatio is how many times as long as such a look the owner then only takes in what
	// happens, shortestRest at least and longestRest at most. Answers that are not taken in
	// in time count as missing, and what is done about these makes more work.
	pauseRatio = 3
	minPause   = 2 * time.Millisecond
	maxPause   = 100 * time.Millisecond
)

// resting keeps looks at all that waits from taking all of the owner's time. The zero
// value rests not.
type passThrottle struct{ pausedUntil time.Time }

// looked takes that a look has taken so long.
func (r *passThrottle) afterPass(took time.Duration, now time.Time) {
	if took >= expensivePass {
		r.pausedUntil = now.Add(min(max(pauseRatio*took, minPause), maxPause))
	}
}

// isOver reports whether the next look may begin.
func (r *passThrottle) mayRun(now time.Time) bool { return !now.Before(r.pausedUntil) }
