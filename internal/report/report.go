// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package report

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The events that are read; docs/EVENTS.md has them all.
const (
	eventJobAccepted         = "LD0422"
	eventTasksPlaced         = "LD0450"
	eventStartUnacknowledged = "LD0451"
	eventAttemptEnded        = "LD0453"
	eventJobEnded            = "LD0456"
	eventSpeculativeCopy     = "LD0464"
)

// job is what the lines tell of a job.
type job struct {
	id, queue, state string
	// accept is the time from its arrival at the owner to its acceptance, took that
	// from there to its end.
	acceptTime, timeToEnd time.Duration
	// waits has, by step, how long its first tasks waited for a place.
	waits map[string]time.Duration
	// failed, doubtful and copies count attempts that failed, orders without an
	// answer, and copies.
	failed, unacknowledged, speculativeCopies int
}

// waited returns the time that the steps waited in all.
func (j *job) waited() time.Duration {
	sum := time.Duration(0)
	for _, d := range j.waits {
		sum += d
	}
	return sum
}

// Report gathers the lines of nodes. The zero value works.
type Report struct {
	jobs map[string]*job
	// lines counts the structured lines that were read.
	lines int
}

// maxLineBytes is the longest line that is read; a node's are shorter.
const maxLineBytes = 1 << 20

// Read takes the lines of a log; lines of other forms are passed over.
func (r *Report) Read(log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		if fields := parseLine(s.Text()); fields != nil {
			r.lines++
			r.record(fields)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("report: line %d: %w", r.lines+1, err)
	}
	return nil
}

func (r *Report) record(fields logFields) {
	switch fields["event"] {
	case eventJobAccepted:
		j := r.job(fields["job"])
		j.queue, j.acceptTime = fields["queue"], fields.duration("took")
	case eventTasksPlaced:
		j := r.job(jobOf(fields["step"]))
		if _, ok := j.waits[fields["step"]]; !ok {
			j.waits[fields["step"]] = fields.duration("waited")
		}
	case eventStartUnacknowledged:
		r.job(jobOf(fields["task"])).unacknowledged++
	case eventSpeculativeCopy:
		r.job(jobOf(fields["task"])).speculativeCopies++
	case eventAttemptEnded:
		if fields["how"] == "failed" {
			r.job(jobOf(fields["task"])).failed++
		}
	case eventJobEnded:
		j := r.job(fields["job"])
		j.state, j.timeToEnd = fields["state"], fields.duration("took")
	}
}

func (r *Report) job(id string) *job {
	if r.jobs == nil {
		r.jobs = map[string]*job{}
	}
	j := r.jobs[id]
	if j == nil {
		j = &job{id: id, waits: map[string]time.Duration{}}
		r.jobs[id] = j
	}
	return j
}

// complete returns the jobs whose acceptance and end were read.
func (r *Report) complete() []*job {
	return slices.DeleteFunc(slices.Collect(maps.Values(r.jobs)), func(j *job) bool { return j.queue == "" || j.state == "" })
}

// Write writes the tables: by queue where the time went, and the slowest jobs.
func (r *Report) Write(w io.Writer, slowest int) error {
	jobs := r.complete()
	fmt.Fprintf(w, "%d lines, %d jobs, %d of them from their acceptance to their end\n\n", r.lines, len(r.jobs), len(jobs))
	if err := writeStages(w, jobs); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return writeSlowest(w, jobs, slowest)
}

// newTable returns a writer of aligned columns.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func writeStages(w io.Writer, jobs []*job) error {
	t := newTable(w)
	fmt.Fprintln(t, "queue\thop\tjobs\tp50\tp95\tp99\tmax\t")
	byQueue := map[string][]*job{}
	for _, j := range jobs {
		byQueue[j.queue] = append(byQueue[j.queue], j)
	}
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		for _, s := range stages {
			writeStage(t, queue, s, byQueue[queue])
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func writeSlowest(w io.Writer, jobs []*job, slowest int) error {
	t := newTable(w)
	fmt.Fprintln(t, "slowest jobs\tqueue\ttook\taccept\twaits\tfailed, doubtful, copies\tstate\t")
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.timeToEnd, a.timeToEnd), cmp.Compare(a.id, b.id))
	})
	for _, j := range jobs[:min(slowest, len(jobs))] {
		fmt.Fprintf(t, "%s\t%s\t%v\t%v\t%v\t%d, %d, %d\t%s\t\n", j.id, j.queue, roundToMillis(j.timeToEnd), roundToMillis(j.acceptTime), roundToMillis(j.waited()), j.failed, j.unacknowledged, j.speculativeCopies, j.state)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// hop is a part of the time of a job.
type stage struct {
	name     string
	duration func(j *job) time.Duration
}

var stages = []stage{
	{"accept", func(j *job) time.Duration { return j.acceptTime }},
	{"wait for a place", (*job).waited},
	{"run and notice", func(j *job) time.Duration { return max(j.timeToEnd-j.waited(), 0) }},
	{"all", func(j *job) time.Duration { return j.acceptTime + j.timeToEnd }},
}

// Bounds of a histogram, in microseconds, and its digits.
const (
	maxMicros         = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 3
)

func writeStage(w io.Writer, queue string, s stage, jobs []*job) {
	histogram := hdrhistogram.New(1, maxMicros, significantDigits)
	for _, j := range jobs {
		// Above a day, and below a microsecond, the nearest bound is as good.
		_ = histogram.RecordValue(min(max(s.duration(j).Microseconds(), 1), maxMicros))
	}
	quantile := func(p float64) time.Duration {
		return roundToMillis(time.Duration(histogram.ValueAtQuantile(p)) * time.Microsecond)
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%v\t%v\t\n", queue, s.name, len(jobs), quantile(50), quantile(95), quantile(99), quantile(100))
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
