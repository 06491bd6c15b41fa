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

// The numbers of the events that the report uses; docs/EVENTS.md lists all events.
const (
	eventJobAccepted         = "LD0422"
	eventTasksPlaced         = "LD0450"
	eventStartUnacknowledged = "LD0451"
	eventAttemptEnded        = "LD0453"
	eventJobEnded            = "LD0456"
	eventSpeculativeCopy     = "LD0464"
)

// job is what the log lines say about a job.
type job struct {
	id, queue, state string
	// acceptTime is the time from the arrival of the job at the owner to its acceptance,
	// timeToEnd the time from its acceptance to its end.
	acceptTime, timeToEnd time.Duration
	// work is the job's processor time as estimated, 0 if that is unknown; objective is the time
	// within which it should have ended.
	work, objective time.Duration
	// waits has, by step, how long the first tasks of the step waited until they were placed
	// on a worker.
	waits map[string]time.Duration
	// failed counts attempts that failed, unacknowledged orders to start that were not
	// answered, speculativeCopies second attempts started beside a slow or silent one.
	failed, unacknowledged, speculativeCopies int
}

// waited returns the sum of the waiting times of the steps.
func (j *job) waited() time.Duration {
	sum := time.Duration(0)
	for _, d := range j.waits {
		sum += d
	}
	return sum
}

// Report collects the events of the logs of any number of nodes. The zero value is empty
// and ready to use.
type Report struct {
	jobs map[string]*job
	// lines counts the structured lines that were read.
	lines int
}

// maxLineBytes is the longest line that Read accepts; nodes write shorter lines.
const maxLineBytes = 1 << 20

// Read adds the events of a log to the report. It skips lines that are not log lines of
// events.
func (r *Report) Read(log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		if fields := ParseLine(s.Text()); fields != nil {
			r.lines++
			r.record(fields)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("report: line %d: %w", r.lines+1, err)
	}
	return nil
}

// record adds what the line of an event says to its job.
func (r *Report) record(fields Fields) {
	switch fields["event"] {
	case eventJobAccepted:
		j := r.job(fields["job"])
		j.queue, j.acceptTime, j.work = fields["queue"], fields.Duration("took"), fields.Duration("work")
	case eventTasksPlaced:
		j := r.job(jobOf(fields["step"]))
		if _, ok := j.waits[fields["step"]]; !ok {
			j.waits[fields["step"]] = fields.Duration("waited")
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
		j.state, j.timeToEnd, j.objective = fields["state"], fields.Duration("took"), fields.Duration("objective")
	}
}

// job returns the job with the ID, and creates it if no line has named it yet.
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

// complete returns the jobs of which both the acceptance and the end were read.
func (r *Report) complete() []*job {
	return slices.DeleteFunc(slices.Collect(maps.Values(r.jobs)), func(j *job) bool { return j.queue == "" || j.state == "" })
}

// Write writes three tables: the time that jobs spent in each stage, by queue, what became of them by
// queue and size, and the slowest jobs.
func (r *Report) Write(w io.Writer, slowest int) error {
	jobs := r.complete()
	fmt.Fprintf(w, "%d lines, %d jobs, %d of them from their acceptance to their end\n\n", r.lines, len(r.jobs), len(jobs))
	if err := writeStages(w, jobs); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := writeServed(w, r.Served()); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return writeSlowest(w, jobs, slowest)
}

// newTable returns a writer that aligns columns separated by tabs.
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

// stage is a part of the time that a job takes from its submission to its end.
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

// The largest value of a histogram, in microseconds, and the number of significant digits
// with which it stores values.
const (
	maxMicros         = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 3
)

func writeStage(w io.Writer, queue string, s stage, jobs []*job) {
	histogram := hdrhistogram.New(1, maxMicros, significantDigits)
	for _, j := range jobs {
		// The histogram cannot hold values below 1 µs or above a day; they are counted at the
		// nearest bound.
		_ = histogram.RecordValue(min(max(s.duration(j).Microseconds(), 1), maxMicros))
	}
	quantile := func(p float64) time.Duration {
		return roundToMillis(time.Duration(histogram.ValueAtQuantile(p)) * time.Microsecond)
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%v\t%v\t\n", queue, s.name, len(jobs), quantile(50), quantile(95), quantile(99), quantile(100))
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
