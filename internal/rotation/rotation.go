// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package rotation chooses at which of many steps that wait one look is taken. It is pure.
//
// It answers the load in which hundreds of steps wait for the same room: a look at all of them
// would take the owner's time, and a look at the first ones only would starve the rest.
package rotation

import "iter"

const (
	// maxFruitless is how many steps of which nothing can be placed one look passes, the
	// most urgent first, and then as many of the others in turn. Where more wait, more is
	// asked of the workers than they can do, and most wait for the same room.
	maxUnplaced = 64
)

// Rotation chooses the steps of one look: the most urgent ones until maxFruitless were looked at
// in vain, and as many others, which are other ones each time. Steps of which something was
// placed do not count. The zero value begins with the first.
type Rotation struct {
	// fruitless counts the steps of this look of which nothing was placed.
	unplaced int
	// from is how many steps behind the most urgent ones the next look passes over.
	offset int
	// left is how many steps of this look were not looked at.
	skipped int
}

// Next returns the indexes of n steps, in the order of their turn, at which this look is
// taken. Looked is called after each.
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

// Tried takes whether anything was placed.
func (r *Rotation) Tried(isPlaced bool) {
	if !isPlaced {
		r.unplaced++
	}
}

// HasSkipped reports whether the last look left out any step.
func (r *Rotation) HasSkipped() bool { return r.skipped > 0 }
