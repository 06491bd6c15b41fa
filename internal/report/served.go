// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Served returns what became of the jobs whose acceptance and size were read, by queue and size. Each
// is compared with all jobs of its queue. Ages of open jobs are unknown. A job without work is left
// out: it is long-running, or its size is not known.
func (r *Report) Served() []served.Count {
	byQueue := map[string][]*job{}
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if j := r.jobs[id]; j.queue != "" && j.work > 0 {
			byQueue[j.queue] = append(byQueue[j.queue], j)
		}
	}
	out := []served.Count{}
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		out = append(out, countServed(queue, byQueue[queue])...)
	}
	return out
}

func countServed(queue string, jobs []*job) []served.Count {
	sizes := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		sizes[i] = j.work
	}
	counts := map[served.Class]*served.Count{}
	for _, c := range served.Classes() {
		counts[c] = &served.Count{Queue: queue, Class: c}
	}
	for i, class := range served.ClassesOf(sizes) {
		counts[class].Add(jobs[i].outcome())
	}
	out := []served.Count{}
	for _, c := range served.Classes() {
		out = append(out, *counts[c])
	}
	return out
}

func (j *job) outcome() served.Outcome {
	switch work.JobState(j.state) {
	case work.JobSucceeded:
		return served.OutcomeOf(j.timeToEnd, j.objective)
	case work.JobFailed:
		return served.Failed
	case work.JobCancelled:
		return served.Cancelled
	}
	return served.StillOpen
}

func writeServed(w io.Writer, counts []served.Count) error {
	t := newTable(w)
	fmt.Fprintln(t, "queue\tsize\tjobs\tin time\tlate\ttoo late\tfailed\tcancelled\tno end\t")
	for i := range counts {
		c := &counts[i]
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			c.Queue, c.Class, c.Accepted, c.InTime, c.Late, c.TooLate, c.Failed, c.Cancelled, c.Open)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
