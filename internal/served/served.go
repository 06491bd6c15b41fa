// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package served counts what became of the accepted jobs, by queue and size class, so that operators
// see whether a queue gets too little, or only its large jobs do.
package served

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Outcome is how a job ended.
type Outcome string

// The outcomes.
const (
	// InTime means success within the objective, or without one. Late means within MaxLateRatio
	// times the objective, TooLate after that.
	InTime    Outcome = "in time"
	Late      Outcome = "late"
	TooLate   Outcome = "too late"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	// StillOpen means that the job has not ended.
	StillOpen Outcome = "open"
)

// MaxLateRatio is how many times its objective a job may take to be of use to its caller.
const MaxLateRatio = 3

// OutcomeOf returns the outcome of a job that succeeded. objective is 0 if there is none.
func OutcomeOf(took, objective time.Duration) Outcome {
	switch {
	case objective <= 0 || took <= objective:
		return InTime
	case took <= MaxLateRatio*objective:
		return Late
	}
	return TooLate
}

// Count is what became of the accepted jobs of a queue and size class.
type Count struct {
	Queue string `json:"queue"`
	Class Class  `json:"class"`
	// Accepted is the sum of the following ones.
	Accepted  int `json:"accepted"`
	InTime    int `json:"inTime"`
	Late      int `json:"late"`
	TooLate   int `json:"tooLate"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// Oldest is the age of the oldest open job.
	Oldest time.Duration `json:"oldestNs"`
}

// Add counts an accepted job.
func (c *Count) Add(o Outcome) {
	c.Accepted++
	c.end(o)
}

func (c *Count) end(o Outcome) {
	switch o {
	case InTime:
		c.InTime++
	case Late:
		c.Late++
	case TooLate:
		c.TooLate++
	case Failed:
		c.Failed++
	case Cancelled:
		c.Cancelled++
	case StillOpen:
		c.Open++
	}
}

// Outcomes returns the number of jobs of each outcome, and of those that are open.
func (c *Count) Outcomes() iter.Seq2[Outcome, int] {
	return func(yield func(Outcome, int) bool) {
		_ = yield(InTime, c.InTime) && yield(Late, c.Late) && yield(TooLate, c.TooLate) && yield(Failed, c.Failed) &&
			yield(Cancelled, c.Cancelled) && yield(StillOpen, c.Open)
	}
}

// merge adds another count, whose queue and class do not matter.
func (c *Count) merge(o *Count) {
	c.Accepted, c.InTime, c.Late, c.TooLate = c.Accepted+o.Accepted, c.InTime+o.InTime, c.Late+o.Late, c.TooLate+o.TooLate
	c.Failed, c.Cancelled, c.Open = c.Failed+o.Failed, c.Cancelled+o.Cancelled, c.Open+o.Open
	c.Oldest = max(c.Oldest, o.Oldest)
}

// Open is an accepted job that has not ended.
type Open struct {
	Queue string
	Class Class
	Age   time.Duration
}

// Totals counts jobs. The zero value is empty and ready to use.
type Totals struct{ queues map[string]*queue }

type queue struct {
	sizes  Sizes
	counts map[Class]*Count
}

// Accept counts an accepted job and returns its size class, which it keeps.
func (t *Totals) Accept(name string, work time.Duration) Class {
	q := t.queues[name]
	if q == nil {
		if t.queues == nil {
			t.queues = map[string]*queue{}
		}
		q = &queue{counts: map[Class]*Count{}}
		for _, c := range Classes() {
			q.counts[c] = &Count{Queue: name, Class: c}
		}
		t.queues[name] = q
	}
	class := q.sizes.Add(work)
	q.counts[class].Accepted++
	return class
}

// End counts the end of a job that Accept has counted.
func (t *Totals) End(name string, class Class, o Outcome) {
	if q := t.queues[name]; q != nil && q.counts[class] != nil {
		q.counts[class].end(o)
	}
}

// Counts returns the counts, which include the jobs that are open. They are sorted by queue, and
// within a queue the largest class comes first.
func (t *Totals) Counts(open []Open) []Count {
	out, positions := []Count{}, map[Open]int{}
	for _, name := range slices.Sorted(maps.Keys(t.queues)) {
		for _, c := range Classes() {
			positions[Open{Queue: name, Class: c}] = len(out)
			out = append(out, *t.queues[name].counts[c])
		}
	}
	for _, o := range open {
		if at, ok := positions[Open{Queue: o.Queue, Class: o.Class}]; ok {
			out[at].merge(&Count{Open: 1, Oldest: o.Age})
		}
	}
	return out
}

// OtherQueues is the name under which Bounded adds up queues. It is no valid name of a queue.
const OtherQueues = "(others)"

// Bounded returns the counts of at most the given number of queues, those with the most accepted
// jobs, and adds up those of all others.
func Bounded(counts []Count, queues int) []Count {
	accepted := map[string]int{}
	for i := range counts {
		accepted[counts[i].Queue] += counts[i].Accepted
	}
	names := slices.SortedFunc(maps.Keys(accepted), func(a, b string) int {
		return cmp.Or(cmp.Compare(accepted[b], accepted[a]), cmp.Compare(a, b))
	})
	kept := names[:min(queues, len(names))]
	out, others := []Count{}, map[Class]*Count{}
	for i := range counts {
		c := &counts[i]
		if slices.Contains(kept, c.Queue) {
			out = append(out, *c)
			continue
		}
		if others[c.Class] == nil {
			others[c.Class] = &Count{Queue: OtherQueues, Class: c.Class}
		}
		others[c.Class].merge(c)
	}
	for _, c := range Classes() {
		if others[c] != nil {
			out = append(out, *others[c])
		}
	}
	return out
}
