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
	eventAccepted = "LD0422"
	eventPlaced   = "LD0450"
	eventDoubtful = "LD0451"
	eventEnded    = "LD0453"
	eventOver     = "LD0456"
	eventCopied   = "LD0464"
)

// job is what the lines tell of a job.
type job struct {
	id, queue, state string
	// accept is the time from its arrival at the owner to its acceptance, took that
	// from there to its end.
	accept, took time.Duration
	// waits has, by step, how long its first tasks waited for a place.
	waits map[string]time.Duration
	// failed, doubtful and copies count attempts that failed, orders without an
	// answer, and copies.
	failed, doubtful, copies int
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
		if f := parseLine(s.Text()); f != nil {
			r.lines++
			r.take(f)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("report: line %d: %w", r.lines+1, err)
	}
	return nil
}

func (r *Report) take(f fields) {
	switch f["event"] {
	case eventAccepted:
		j := r.job(f["job"])
		j.queue, j.accept = f["queue"], f.duration("took")
	case eventPlaced:
		j := r.job(jobOf(f["step"]))
		if _, ok := j.waits[f["step"]]; !ok {
			j.waits[f["step"]] = f.duration("waited")
		}
	case eventDoubtful:
		r.job(jobOf(f["task"])).doubtful++
	case eventCopied:
		r.job(jobOf(f["task"])).copies++
	case eventEnded:
		if f["how"] == "failed" {
			r.job(jobOf(f["task"])).failed++
		}
	case eventOver:
		j := r.job(f["job"])
		j.state, j.took = f["state"], f.duration("took")
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
	if err := writeHops(w, jobs); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return writeSlowest(w, jobs, slowest)
}

// newTable returns a writer of aligned columns.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func writeHops(w io.Writer, jobs []*job) error {
	t := newTable(w)
	fmt.Fprintln(t, "queue\thop\tjobs\tp50\tp95\tp99\tmax\t")
	byQueue := map[string][]*job{}
	for _, j := range jobs {
		byQueue[j.queue] = append(byQueue[j.queue], j)
	}
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		for _, h := range hops {
			writeHop(t, queue, h, byQueue[queue])
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
		return cmp.Or(cmp.Compare(b.took, a.took), cmp.Compare(a.id, b.id))
	})
	for _, j := range jobs[:min(slowest, len(jobs))] {
		fmt.Fprintf(t, "%s\t%s\t%v\t%v\t%v\t%d, %d, %d\t%s\t\n", j.id, j.queue, ms(j.took), ms(j.accept), ms(j.waited()), j.failed, j.doubtful, j.copies, j.state)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// hop is a part of the time of a job.
type hop struct {
	name string
	of   func(j *job) time.Duration
}

var hops = []hop{
	{"accept", func(j *job) time.Duration { return j.accept }},
	{"wait for a place", (*job).waited},
	{"run and notice", func(j *job) time.Duration { return max(j.took-j.waited(), 0) }},
	{"all", func(j *job) time.Duration { return j.accept + j.took }},
}

// Bounds of a histogram, in microseconds, and its digits.
const (
	maxMicros = int64(24 * time.Hour / time.Microsecond)
	digits    = 3
)

func writeHop(w io.Writer, queue string, h hop, jobs []*job) {
	hist := hdrhistogram.New(1, maxMicros, digits)
	for _, j := range jobs {
		// Above a day, and below a microsecond, the nearest bound is as good.
		_ = hist.RecordValue(min(max(h.of(j).Microseconds(), 1), maxMicros))
	}
	at := func(p float64) time.Duration { return ms(time.Duration(hist.ValueAtQuantile(p)) * time.Microsecond) }
	fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%v\t%v\t\n", queue, h.name, len(jobs), at(50), at(95), at(99), at(100))
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
