// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// longLook is the time that a look at all that waits takes from which the owner
	// rests after it: at 98 workers with 280 steps that wait it takes 0.35 ms.
	longLook = time.Millisecond
	// restRatio is how many times as long as a long look the owner then only takes in
	// what happens, up to longestRest, a tick. Answers that are not taken in count as
	// missing after 0.2 s, and what is done about these makes more work: an owner that
	// looked all the time took 2,600 orders of 25,500 as unanswered in 26 s.
	restRatio   = 3
	longestRest = tickPeriod
)

// resting keeps looks at all that waits from taking all of the owner's time. The zero
// value rests not.
type resting struct{ until time.Time }

// looked takes that a look has taken so long.
func (r *resting) looked(took time.Duration, now time.Time) {
	if took >= longLook {
		r.until = now.Add(min(restRatio*took, longestRest))
	}
}

// isOver reports whether the next look may begin.
func (r *resting) isOver(now time.Time) bool { return !now.Before(r.until) }
