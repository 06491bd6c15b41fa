// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// costlyLook is the time that a look at all that waits takes from which the owner
	// rests after it.
	costlyLook = 100 * time.Microsecond
	// restRatio is how many times as long as such a look the owner then only takes in what
	// happens, shortestRest at least and longestRest at most. Answers that are not taken in
	// in time count as missing, and what is done about these makes more work.
	restRatio    = 3
	shortestRest = 2 * time.Millisecond
	longestRest  = 100 * time.Millisecond
)

// resting keeps looks at all that waits from taking all of the owner's time. The zero
// value rests not.
type resting struct{ until time.Time }

// looked takes that a look has taken so long.
func (r *resting) looked(took time.Duration, now time.Time) {
	if took >= costlyLook {
		r.until = now.Add(min(max(restRatio*took, shortestRest), longestRest))
	}
}

// isOver reports whether the next look may begin.
func (r *resting) isOver(now time.Time) bool { return !now.Before(r.until) }
