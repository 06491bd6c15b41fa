// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/served"
)

// Bounds of the rule on sizes.
const (
	// overloadTime is how long more work must arrive than there is room for.
	overloadTime = 5 * time.Second
	// minSizeShare is the least served share of a size class, compared with that of its kind.
	minSizeShare = 0.5
	// minSizeJobs is how many jobs a class needs to be judged: the shares of a few differ by chance.
	minSizeJobs = 8
)

// SizedJob is an accepted job that is to end.
type SizedJob struct {
	Kind string
	// Work is the processor time of its tasks, as that of one processor.
	Work time.Duration
	// ArrivedAt is when it arrived, and UsefulUntil until when its end counts as served.
	ArrivedAt, UsefulUntil time.Duration
	isServed               bool
}

// SizesChecker finds size classes of a kind of job that are served less often than the kind.
type SizesChecker struct {
	cores float64
	jobs  map[string]*SizedJob
}

// NewSizesChecker returns a checker without jobs for workers that have the given cores in all.
func NewSizesChecker(cores float64) *SizesChecker {
	return &SizesChecker{cores: cores, jobs: map[string]*SizedJob{}}
}

// Add adds a job.
func (s *SizesChecker) Add(id string, j SizedJob) { s.jobs[id] = &j }

// Succeeded records the end of a job. A job that was not added is ignored.
func (s *SizesChecker) Succeeded(id string, now time.Duration) {
	if j := s.jobs[id]; j != nil {
		j.isServed = now <= j.UsefulUntil
	}
}

// Check returns the violations at the end of an emulation: if more work arrived for overloadTime than
// the workers could do, the classes that were served less than half as often as their kind. Jobs whose
// end may still be of use are left out.
func (s *SizesChecker) Check(now time.Duration) []Violation {
	if !s.wasOverloaded() {
		return nil
	}
	byKind := map[string][]*SizedJob{}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; j.isServed || j.UsefulUntil <= now {
			byKind[j.Kind] = append(byKind[j.Kind], j)
		}
	}
	violations := []Violation{}
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		violations = append(violations, checkSizes(kind, byKind[kind], now)...)
	}
	return violations
}

func (s *SizesChecker) wasOverloaded() bool {
	jobs := slices.SortedFunc(maps.Values(s.jobs), func(a, b *SizedJob) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	first, work := 0, time.Duration(0)
	for _, j := range jobs {
		work += j.Work
		for j.ArrivedAt-jobs[first].ArrivedAt > overloadTime {
			work -= jobs[first].Work
			first++
		}
		if work.Seconds() > s.cores*overloadTime.Seconds() {
			return true
		}
	}
	return false
}

// sizeCount is how many jobs there were, and how many of them were served.
type sizeCount struct{ jobs, served int }

func (c *sizeCount) add(j *SizedJob) {
	c.jobs++
	if j.isServed {
		c.served++
	}
}

func (c *sizeCount) share() float64 { return float64(c.served) / float64(max(c.jobs, 1)) }

func checkSizes(kind string, jobs []*SizedJob, now time.Duration) []Violation {
	work := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		work[i] = j.Work
	}
	all, byClass := sizeCount{}, map[served.Class]*sizeCount{}
	for _, c := range served.Classes() {
		byClass[c] = &sizeCount{}
	}
	for i, class := range served.ClassesOf(work) {
		all.add(jobs[i])
		byClass[class].add(jobs[i])
	}
	violations := []Violation{}
	for _, class := range served.Classes() {
		c := byClass[class]
		if c.jobs < minSizeJobs || c.share() >= minSizeShare*all.share() {
			continue
		}
		violations = append(violations, Violation{SizesServed, now, fmt.Sprintf("of the size class %s of %s, %d of %d jobs were served, of all %d of %d", class, kind, c.served, c.jobs, all.served, all.jobs)})
	}
	return violations
}
