// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Served returns what became of the accepted jobs since the engine was created, by queue and size
// class. Jobs that run repeatedly or without an end are not counted. The store has the jobs that the
// previous owner left open, which count as accepted, but neither the sizes nor the times of those
// that had ended. So the counts begin with each owner, and so do the bounds of the classes, which are
// those of the open jobs at first.
func (e *Engine) Served() []served.Count {
	open := []served.Open{}
	for _, j := range e.activeJobs {
		if j.sizeClass != "" && !j.state.IsFinal() {
			open = append(open, served.Open{Queue: j.spec.Queue, Class: j.sizeClass, Age: e.now.Sub(j.acceptedAt)})
		}
	}
	return e.served.Counts(open)
}

// countAccepted counts a job that is in the store. It may have been cancelled meanwhile.
func (e *Engine) countAccepted(j *job) {
	if j.spec.Rounds > 0 || hasLongRunning(j.spec) || j.sizeClass != "" {
		return
	}
	j.sizeClass = e.served.Accept(j.spec.Queue, j.spec.Work())
	if j.state.IsFinal() {
		e.countEnded(j)
	}
}

func (e *Engine) countEnded(j *job) {
	if j.sizeClass == "" {
		return
	}
	e.served.End(j.spec.Queue, j.sizeClass, e.outcomeOf(j))
}

func (e *Engine) outcomeOf(j *job) served.Outcome {
	switch j.state {
	case work.JobSucceeded:
		return served.OutcomeOf(e.now.Sub(j.acceptedAt), e.objectiveOf(j))
	case work.JobFailed:
		return served.Failed
	}
	return served.Cancelled
}

// objectiveOf returns the time within which a job should end, by what is known of its tasks now;
// 0 if its queue has none or the job runs repeatedly. It changes no state, unlike criticalPath.
func (e *Engine) objectiveOf(j *job) time.Duration {
	q, r := e.queues[j.spec.Queue], j.rounds[0]
	if q.Stretch <= 0 || r == nil || j.spec.Rounds > 0 {
		return 0
	}
	longest, ends := time.Duration(0), make([]time.Duration, len(r.steps))
	for i, s := range r.steps {
		if s.spec.IsLongRunning {
			return 0
		}
		for _, k := range s.spec.After {
			ends[i] = max(ends[i], ends[k])
		}
		batches := e.quota.Batches(s.customer(), s.spec.Need, len(s.tasks))
		ends[i] += time.Duration(batches)*e.durationByEnds(s) + queryTime(&q)
		longest = max(longest, ends[i])
	}
	return q.TargetLatency + time.Duration(q.Stretch*float64(longest))
}
