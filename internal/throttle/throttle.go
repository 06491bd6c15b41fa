// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package throttle decides how fast best-effort tasks may run beside tasks that serve users. It does no
// I/O and reads no clock.
package throttle

import "time"

// FullPace is the pace of a task that is not throttled. A pace is a percentage of full speed.
const FullPace = 100

const (
	// A tail latency above throttleRatio times its target is too long; below restoreRatio times the
	// target the best-effort tasks may run faster again.
	throttleRatio = 0.9
	restoreRatio  = 0.6
	// interval is the time between two changes of pace, because the tail latency that a worker reports
	// covers the last half second.
	interval = 600 * time.Millisecond
	// step is how many percentage points one increase of the pace adds.
	step = 25
	// Each cut divides the pace by divisor; a result below minPace becomes 0.
	divisor = 4
	minPace = 10
)

// Next returns the pace of a best-effort task whose pace last changed some time ago. worstRatio is the
// highest ratio of tail latency to its target beside it.
func Next(pace int, sinceChange time.Duration, worstRatio float64) int {
	switch {
	case sinceChange < interval:
		return pace
	case worstRatio > throttleRatio && pace/divisor < minPace:
		return 0
	case worstRatio > throttleRatio:
		return pace / divisor
	case worstRatio < restoreRatio:
		return min(pace+step, FullPace)
	}
	return pace
}
