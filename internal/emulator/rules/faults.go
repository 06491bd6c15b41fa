// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import "time"

// Calm knows which times were free of disturbances. The zero value has had none.
type FaultWindows struct{ windows []window }

type window struct{ from, to time.Duration }

// Disturb notes a disturbance from one time to another, of which the second may lie ahead.
func (w *FaultWindows) Add(from, to time.Duration) {
	w.windows = append(w.windows, window{from, to})
}

// IsCalm reports whether nothing was disturbed from one time to another.
func (w *FaultWindows) IsFaultFree(from, to time.Duration) bool {
	for _, fault := range w.windows {
		if fault.from <= to && fault.to >= from {
			return false
		}
	}
	return true
}
