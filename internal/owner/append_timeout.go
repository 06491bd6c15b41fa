// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// stallAfter is how long an append may take at least until new jobs are refused: what is
	// refused waits for nothing, and its caller can come again.
	stallAfter = 700 * time.Millisecond
	// longestStall is the most. A caller of a job waits for the append that is under way and
	// for its own, 3 s in all.
	longestStall = 1300 * time.Millisecond
	// stallRatio is how many times as long as the last one an append may take.
	stallRatio = 1.5
)

// appendTimes judges whether an append takes too long. A store may be slow for seconds and keep
// all the same: refused as if it were out, no job at all is taken meanwhile. The zero value
// knows of no append.
type appendTimes struct {
	// last is how long the last one took that was kept.
	last time.Duration
}

// kept takes how long an append took that the store has kept.
func (a *appendTimes) kept(took time.Duration) { a.last = took }

// failed takes that the store did not keep one: the next is not waited for.
func (a *appendTimes) failed() { a.last = 0 }

// isTooLong reports whether an append that has taken so long makes callers wait in vain.
func (a *appendTimes) isTooLong(took time.Duration) bool {
	bound := time.Duration(stallRatio * float64(a.last))
	return took > min(max(bound, stallAfter), longestStall)
}
