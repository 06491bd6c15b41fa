// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import "time"

// FaultWindows records the time windows in which faults may affect the cluster. The rules that set a
// deadline apply only outside them. The zero value has no windows.
type FaultWindows struct{ windows []window }

type window struct{ from, to time.Duration }

// Add records a window. Its end may be in the future: a fault's duration is known when it starts.
func (w *FaultWindows) Add(from, to time.Duration) {
	w.windows = append(w.windows, window{from, to})
}

// IsFaultFree reports whether no recorded window overlaps the time from from to to, both included.
func (w *FaultWindows) IsFaultFree(from, to time.Duration) bool {
	for _, fault := range w.windows {
		if fault.from <= to && fault.to >= from {
			return false
		}
	}
	return true
}
