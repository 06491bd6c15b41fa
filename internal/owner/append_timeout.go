// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

const (
	// minAppendTimeout is the shortest time that an append may take before new jobs are refused. A
	// refused job does not wait any longer, and its caller can retry.
	minAppendTimeout = 700 * time.Millisecond
	// maxAppendTimeout is the longest such time. The caller of a job waits for the append in flight
	// and then for that of its own job, and both must end within the 3 s that a caller waits.
	maxAppendTimeout = 1300 * time.Millisecond
	// appendTimeoutRatio is how many times as long as the previous append the next one may take.
	appendTimeoutRatio = 1.5
)

// appendTimeout judges whether an append takes too long. Its limit follows the duration of the last
// append, because a store can be slow for seconds and still persist everything: if it were treated
// as down, all new jobs would be refused for that time. The zero value has seen no append.
type appendTimeout struct {
	// lastDuration is how long the last append took; 0 when there was none or it failed.
	lastDuration time.Duration
}

// succeeded records how long an append took that the store has persisted.
func (a *appendTimeout) succeeded(took time.Duration) { a.lastDuration = took }

// failed records that the store did not persist an append: the next one gets the shortest timeout.
func (a *appendTimeout) failed() { a.lastDuration = 0 }

// isExceeded reports whether an append has been in flight for too long for callers to wait for it.
func (a *appendTimeout) isExceeded(took time.Duration) bool {
	timeout := time.Duration(appendTimeoutRatio * float64(a.lastDuration))
	return took > min(max(timeout, minAppendTimeout), maxAppendTimeout)
}
