// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package throughput

import (
	"cmp"
	"slices"
)

// bandMargin is the fraction by which a band is widened: ratios are not known more exactly.
const bandMargin = 0.04

// Band is a range of ratios, both ends included. The zero value is the range of all ratios.
type Band struct{ Min, Max float64 }

// Contains reports whether the ratio is in the band.
func (b Band) Contains(ratio float64) bool {
	return b == Band{} || ratio >= b.Min && ratio <= b.Max
}

// Slots is how many tasks a worker of a ratio can take.
type Slots struct {
	Ratio float64
	Count int
}

// ChooseBand returns the band from which to take the workers of tasks that begin and end together.
// If they need the fastest workers, the slowest in it is as fast as can be. Otherwise the workers are
// of like speed, and of several such bands it is the slowest, so that faster workers are left to
// other tasks. It returns the zero Band if there is no room for all tasks.
func ChooseBand(workers []Slots, tasks int, needsFastest bool) Band {
	slices.SortFunc(workers, func(a, b Slots) int { return cmp.Compare(a.Ratio, b.Ratio) })
	best, isFound := Band{}, false
	first, room := 0, 0
	for i := range workers {
		room += workers[i].Count
		for room-workers[first].Count >= tasks && !needsFastest {
			room -= workers[first].Count
			first++
		}
		if room < tasks {
			continue
		}
		b := Band{workers[first].Ratio, workers[i].Ratio}
		if !isFound || b.width() <= max(best.width(), 1+bandMargin) {
			best, isFound = b, true
		}
		if needsFastest {
			break
		}
	}
	if !isFound {
		return Band{}
	}
	return Band{best.Min * (1 - bandMargin), best.Max * (1 + bandMargin)}
}

// width returns how much longer tasks take at the slow end than at the fast one, as a ratio.
func (b Band) width() float64 { return b.Max / b.Min }
