// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package shortfall

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke/internal/report"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The numbers of the events that are read from the logs.
const (
	eventJobAccepted = "LD0422"
	eventJobEnded    = "LD0456"
)

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// loggedJob is what the log lines of the nodes say about a job. Times count from the start of the
// traffic.
type loggedJob struct {
	queue, steps    string
	acceptedAt      time.Duration
	work            time.Duration
	state           work.JobState
	took, objective time.Duration
}

// Log has the jobs of the logs of all nodes of a play.
type Log struct {
	jobs map[string]*loggedJob
	// lastAt is the time of the last line.
	lastAt time.Duration
}

// ReadLog reads the output of a play with logs: lines that begin with a time in seconds and the name
// of the node. It skips all others.
func ReadLog(output io.Reader) (*Log, error) {
	l := &Log{jobs: map[string]*loggedJob{}}
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		at, ok := timeOf(lines.Text())
		fields := report.ParseLine(lines.Text())
		if !ok || fields == nil {
			continue
		}
		l.lastAt = max(l.lastAt, at)
		l.record(at, fields)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("shortfall: log: %w", err)
	}
	return l, nil
}

// timeOf returns the time with which a line begins.
func timeOf(line string) (time.Duration, bool) {
	text, _, _ := strings.Cut(strings.TrimLeft(line, " "), " ")
	seconds, err := strconv.ParseFloat(text, 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}

func (l *Log) record(at time.Duration, fields report.Fields) {
	switch fields["event"] {
	case eventJobAccepted:
		// An owner may accept again what the store already has: the first time counts.
		if j := l.job(fields["job"]); j.queue == "" {
			j.queue, j.steps, j.work, j.acceptedAt = fields["queue"], fields["steps"], fields.Duration("work"), at
		}
	case eventJobEnded:
		j := l.job(fields["job"])
		j.state, j.took, j.objective = work.JobState(fields["state"]), fields.Duration("took"), fields.Duration("objective")
	}
}

func (l *Log) job(id string) *loggedJob {
	if l.jobs[id] == nil {
		l.jobs[id] = &loggedJob{}
	}
	return l.jobs[id]
}

// Size is what became of the jobs of a size class that were accepted after the traffic had begun.
type Size struct {
	// Kind is the kind of request, or the queue if it is not known.
	Kind  string
	Class served.Class
	// Jobs are all of them, Owed those that should have been served, Served those that succeeded
	// within three times their objective.
	Jobs, Owed, Served int
}

// Share returns the served share of what is owed, and false if nothing is.
func (s *Size) Share() (float64, bool) {
	return float64(s.Served) / float64(max(s.Owed, 1)), s.Owed > 0
}

// Sizes returns what became of the jobs by queue and size class, the largest queue first. Owed are the
// jobs that succeeded, and of those that did not end the ones that are oldest compared with their
// objectives: as many as were accepted and not served of the queue's kind, or, if the kind is not
// known, all for which three times the objective has passed at the last line. The objective of an open
// job is taken to be the median of its queue. Cancelled and failed jobs are left out: a log does not
// tell whether a failed one could be done.
func (l *Log) Sizes(kinds []Kind) []Size {
	byQueue := map[string][]*loggedJob{}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if j := l.jobs[id]; j.queue != "" && j.work > 0 && j.acceptedAt >= 0 {
			byQueue[j.queue] = append(byQueue[j.queue], j)
		}
	}
	queues := slices.SortedFunc(maps.Keys(byQueue), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(byQueue[b]), len(byQueue[a])), cmp.Compare(a, b))
	})
	counts := make([]int, len(queues))
	for i, queue := range queues {
		counts[i] = len(byQueue[queue])
	}
	matched, out := matchKinds(counts, kinds), []Size{}
	for i, queue := range queues {
		out = append(out, l.sizesOf(queue, byQueue[queue], matched[i])...)
	}
	return out
}

// sizesOf returns the sizes of the jobs of a queue, whose kind may be nil.
func (l *Log) sizesOf(queue string, jobs []*loggedJob, kind *Kind) []Size {
	name, amounts := queue, make([]time.Duration, len(jobs))
	if kind != nil {
		name = kind.Name
	}
	for i, j := range jobs {
		amounts[i] = j.work
	}
	sizes, isOwed := map[served.Class]*Size{}, l.owedOpen(jobs, kind)
	for _, c := range served.Classes() {
		sizes[c] = &Size{Kind: name, Class: c}
	}
	for i, class := range served.ClassesOf(amounts) {
		j, s := jobs[i], sizes[class]
		s.Jobs++
		if j.state == work.JobSucceeded || isOwed[j] {
			s.Owed++
		}
		if j.isServed() {
			s.Served++
		}
	}
	out := []Size{}
	for _, c := range served.Classes() {
		out = append(out, *sizes[c])
	}
	return out
}

func (j *loggedJob) isServed() bool {
	return j.state == work.JobSucceeded && served.OutcomeOf(j.took, j.objective) != served.TooLate
}

// owedOpen returns which of the jobs without an end are owed.
func (l *Log) owedOpen(jobs []*loggedJob, kind *Kind) map[*loggedJob]bool {
	open, objectives, tooLate := []*loggedJob{}, medianObjectives(jobs), 0
	for _, j := range jobs {
		switch {
		case !j.state.IsFinal():
			open = append(open, j)
		case j.state == work.JobSucceeded && !j.isServed():
			tooLate++
		}
	}
	// overdue is how many times its objective the job is old.
	overdue := func(j *loggedJob) float64 {
		return (l.lastAt - j.acceptedAt).Seconds() / max(objectives[j.steps], time.Second).Seconds()
	}
	slices.SortStableFunc(open, func(a, b *loggedJob) int { return cmp.Compare(overdue(b), overdue(a)) })
	n := 0
	for n < len(open) && overdue(open[n]) >= served.MaxLateRatio {
		n++
	}
	if kind != nil {
		neverAccepted := max(kind.Asked-len(jobs)-kind.Refused, 0)
		n = min(max(kind.Failed-tooLate-neverAccepted, 0), len(open))
	}
	out := map[*loggedJob]bool{}
	for _, j := range open[:n] {
		out[j] = true
	}
	return out
}

// medianObjectives returns the median objective of the jobs that succeeded, by their number of steps.
// For a number of which none succeeded it is 0.
func medianObjectives(jobs []*loggedJob) map[string]time.Duration {
	known, out := map[string][]time.Duration{}, map[string]time.Duration{}
	for _, j := range jobs {
		if j.state == work.JobSucceeded && j.objective > 0 {
			known[j.steps] = append(known[j.steps], j.objective)
		}
	}
	for steps, objectives := range known {
		slices.Sort(objectives)
		out[steps] = objectives[len(objectives)/2]
	}
	return out
}

// matchKinds returns the kind of request of each queue, of which counts has the numbers of jobs, the
// largest first. The log does not tell it: kinds and queues are matched by their numbers. All are nil
// if there are more or fewer queues than kinds, or two queues have about as many jobs.
func matchKinds(counts []int, kinds []Kind) []*Kind {
	out := make([]*Kind, len(counts))
	byAsked := slices.SortedFunc(slices.Values(kinds), func(a, b Kind) int { return cmp.Compare(b.Asked, a.Asked) })
	if len(counts) != len(kinds) {
		return out
	}
	for i := range counts {
		if i > 0 && float64(counts[i]) > maxAlikeShare*float64(counts[i-1]) {
			return make([]*Kind, len(counts))
		}
		out[i] = &byAsked[i]
	}
	return out
}

// maxAlikeShare is the share of the jobs of one queue above which another has about as many.
const maxAlikeShare = 0.85
