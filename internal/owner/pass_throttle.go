// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// expensivePass is the duration of a scheduling pass from which the owner pauses after it.
	expensivePass = 100 * time.Microsecond
	// pauseRatio is how many times as long as such a pass the owner then only handles events, for
	// at least minPause and at most maxPause. Answers that are not handled in time count as
	// missing, and the reaction to missing answers causes more work.
	pauseRatio = 3
	minPause   = 2 * time.Millisecond
	maxPause   = 100 * time.Millisecond
)

// passThrottle keeps scheduling passes from taking all of the owner's time. The zero value does not
// pause.
type passThrottle struct{ pausedUntil time.Time }

// afterPass starts a pause if a pass that took that long was expensive.
func (r *passThrottle) afterPass(took time.Duration, now time.Time) {
	if took >= expensivePass {
		r.pausedUntil = now.Add(min(max(pauseRatio*took, minPause), maxPause))
	}
}

// mayRun reports whether the next pass may run.
func (r *passThrottle) mayRun(now time.Time) bool { return !now.Before(r.pausedUntil) }
