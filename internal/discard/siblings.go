// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package discard

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// minSiblings is how many siblings on other workers have to be known for a comparison.
	minSiblings = 2
	// siblingsValidFor is how long the durations of running siblings stay in use, for each sortedAtOnce of them: they are sorted
	// with each update.
	siblingsValidFor = 100 * time.Millisecond
	sortedAtOnce     = 1000
	// maxScanned is up to how many siblings are scanned for those on a worker.
	maxScanned = 128
)

// Sample is how long a task takes in all.
type Sample struct {
	Worker order.WorkerID
	// Duration is that on a worker of average speed; 0 if it is not known yet.
	Duration time.Duration
}

// Siblings has how long the tasks of one step take, those that are done and those that run. The
// zero value is ready to use.
type Siblings struct {
	// done are the tasks that are done. known are these and the running ones whose durations are
	// known, sorted by duration; unknown counts the other running ones. Both are as of updatedAt.
	done, known []Sample
	unknown     int
	updatedAt   time.Time
	// positions has where the tasks of each worker are in known, in ascending order. It is made when it is first needed after an
	// update, if known has more than maxScanned tasks. scanned is a reusable slice.
	positions map[order.WorkerID][]int
	scanned   []int
}

// RecordDone adds a task that is done.
func (s *Siblings) RecordDone(done Sample) { s.done = append(s.done, done) }

// NeedsUpdate reports whether Update is to be called before Elsewhere.
func (s *Siblings) NeedsUpdate(now time.Time) bool {
	return s.updatedAt.IsZero() || now.Sub(s.updatedAt) >= siblingsValidFor*time.Duration(1+len(s.known)/sortedAtOnce)
}

// Update replaces the running tasks of the step.
func (s *Siblings) Update(now time.Time, running []Sample) {
	s.updatedAt, s.unknown, s.positions = now, 0, nil
	s.known = append(s.known[:0], s.done...)
	for _, r := range running {
		if r.Duration <= 0 {
			s.unknown++
			continue
		}
		s.known = append(s.known, r)
	}
	slices.SortFunc(s.known, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.Duration, b.Duration), cmp.Compare(a.Worker, b.Worker))
	})
}

// Elsewhere returns how long a task of the step takes on other workers than the given one, as the
// median of those that are done or running there. It returns 0 if too few are known, or if most of
// the running ones are not: the first tasks to be done are the shortest.
func (s *Siblings) Elsewhere(worker order.WorkerID) time.Duration {
	own := s.positionsOf(worker)
	n := len(s.known) - len(own)
	if n < minSiblings || n < s.unknown {
		return 0
	}
	// Of the worker's own tasks, those count that come before the median of the others.
	before := sort.Search(len(own), func(i int) bool { return own[i]-i > n/2 })
	return s.known[n/2+before].Duration
}

// positionsOf returns where the tasks of a worker are in known, in ascending order.
func (s *Siblings) positionsOf(worker order.WorkerID) []int {
	if len(s.known) <= maxScanned {
		s.scanned = s.scanned[:0]
		for i := range s.known {
			if s.known[i].Worker == worker {
				s.scanned = append(s.scanned, i)
			}
		}
		return s.scanned
	}
	if s.positions == nil {
		s.positions = make(map[order.WorkerID][]int)
		for i := range s.known {
			id := s.known[i].Worker
			s.positions[id] = append(s.positions[id], i)
		}
	}
	return s.positions[worker]
}
