// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// stallAfter is how long an append may take at least until new jobs are refused: what is
	// refused waits for nothing, and its caller can come again.
	minAppendTimeout = 700 * time.Millisecond
	// longestStall is the most. A caller of a job waits for the append that is under way and
	// for its own, 3 s in all.
	maxAppendTimeout = 1300 * time.Millisecond
	// stallRatio is how many times as long as the last one an append may take.
	appendTimeoutRatio = 1.5
)

// appendTimes judges whether an append takes too long. A store may be slow for seconds and keep
// all the same: refused as if it were out, no job at all is taken meanwhile. The zero value
// knows of no append.
type appendTimeout struct {
	// last is how long the last one took that was kept.
	lastDuration time.Duration
}

// kept takes how long an append took that the store has kept.
func (a *appendTimeout) succeeded(took time.Duration) { a.lastDuration = took }

// failed takes that the store did not keep one: the next is not waited for.
func (a *appendTimeout) failed() { a.lastDuration = 0 }

// isTooLong reports whether an append that has taken so long makes callers wait in vain.
func (a *appendTimeout) isExceeded(took time.Duration) bool {
	timeout := time.Duration(appendTimeoutRatio * float64(a.lastDuration))
	return took > min(max(timeout, minAppendTimeout), maxAppendTimeout)
}
