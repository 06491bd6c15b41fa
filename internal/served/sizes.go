// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package served

import (
	"slices"
	"time"
)

// Class is the size class of a job among the recent jobs of its queue.
type Class string

// The size classes.
const (
	// Largest is the largest tenth of the jobs, Large the fifth beneath it, Rest all others.
	Largest Class = "largest"
	Large   Class = "large"
	Rest    Class = "rest"
)

// Classes returns the size classes, the largest first.
func Classes() []Class { return []Class{Largest, Large, Rest} }

const (
	// largestShare and largeShare are the shares of the jobs that are at least as large as the
	// smallest ones of the classes Largest and Large.
	largestShare = 0.1
	largeShare   = 0.3
	// maxRecent is the number of a queue's latest jobs with which a job is compared.
	maxRecent = 256
)

// Sizes learns how large the jobs of a queue are. The bounds of the classes are not configured: a job
// is compared with the latest jobs of the queue, itself among them, and belongs to Largest if at most
// a tenth of them have as much work as it has or more. So jobs of the same work share a class, and a
// queue's first nine jobs have no Largest among them. The zero value has seen no job.
type Sizes struct {
	// recent has the work of the latest jobs in the order of their arrival, from oldest on; sorted
	// has the same, the least first.
	recent, sorted []time.Duration
	oldest         int
}

// Add adds a job and returns its class.
func (s *Sizes) Add(work time.Duration) Class {
	if len(s.recent) < maxRecent {
		s.recent = append(s.recent, work)
	} else {
		at, _ := slices.BinarySearch(s.sorted, s.recent[s.oldest])
		s.sorted = slices.Delete(s.sorted, at, at+1)
		s.recent[s.oldest] = work
		s.oldest = (s.oldest + 1) % maxRecent
	}
	at, _ := slices.BinarySearch(s.sorted, work)
	s.sorted = slices.Insert(s.sorted, at, work)
	return classOf(s.sorted, at)
}

// classOf returns the class of the jobs whose work is first found at the given position.
func classOf(sorted []time.Duration, at int) Class {
	switch share := float64(len(sorted)-at) / float64(len(sorted)); {
	case share <= largestShare:
		return Largest
	case share <= largeShare:
		return Large
	}
	return Rest
}

// ClassesOf returns the class of each of the jobs, compared with all of them.
func ClassesOf(work []time.Duration) []Class {
	sorted, out := slices.Sorted(slices.Values(work)), make([]Class, len(work))
	for i, w := range work {
		at, _ := slices.BinarySearch(sorted, w)
		out[i] = classOf(sorted, at)
	}
	return out
}
