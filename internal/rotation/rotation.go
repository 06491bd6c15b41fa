// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package rotation chooses which of many waiting steps a scheduling pass tries to place. It does
// no I/O and reads no clock.
//
// It handles a load in which hundreds of steps wait for the same capacity. A pass over all of them
// would take too much of the owner's time, and a pass over only the first ones would starve the
// others.
package rotation

import "iter"

const (
	// maxUnplaced is how many of the most urgent steps a pass tries without placing any task of
	// them, and then how many of the others. Where more steps than that wait, the workers
	// are overloaded and most steps wait for the same capacity, so that trying more of them
	// would rarely place any.
	maxUnplaced = 64
)

// Rotation chooses the steps of each scheduling pass. A pass tries the most urgent steps until
// maxUnplaced of them could not be placed, and then as many of the others, continuing where the
// pass before it ended. Steps of which a task was placed do not count. The zero value is ready
// to use.
type Rotation struct {
	// unplaced counts the steps of this pass of which no task was placed; it is counted anew for
	// the steps after the most urgent ones.
	unplaced int
	// offset is how many of the steps after the most urgent ones the next pass skips at first.
	offset int
	// skipped is how many steps the last pass did not try.
	skipped int
}

// Next returns the indexes of the steps that this pass tries, in their order, out of n steps that
// are sorted by urgency. The caller must call Tried after each of them.
func (r *Rotation) Next(n int) iter.Seq2[int, int] {
	return func(yield func(int, int) bool) {
		r.unplaced, r.skipped = 0, 0
		i := 0
		for ; i < n && r.unplaced < maxUnplaced; i++ {
			if !yield(i, i) {
				return
			}
		}
		others := n - i
		if others <= 0 {
			r.offset = 0
			return
		}
		r.unplaced = 0
		tried := 0
		for ; tried < others && r.unplaced < maxUnplaced; tried++ {
			k := i + (r.offset+tried)%others
			if !yield(k, k) {
				return
			}
		}
		r.offset = (r.offset + tried) % others
		r.skipped = others - tried
	}
}

// Tried records the result of trying the step that Next returned last: whether any of its tasks
// was placed.
func (r *Rotation) Tried(isPlaced bool) {
	if !isPlaced {
		r.unplaced++
	}
}

// HasSkipped reports whether the last pass left out any step.
func (r *Rotation) HasSkipped() bool { return r.skipped > 0 }
