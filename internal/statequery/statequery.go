// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package statequery holds queries for the state of a job for a short time when the job is about to
// end, so that the caller learns of the end with this answer and not with its next query. It does no
// I/O and reads no clock; the caller passes the current time.
//
// It handles the load of callers that query a job right after its last task has ended. The worker's
// report and the record of the end in the store are then still in flight, and a caller that is told
// that the job runs asks again a quarter of a second later, which is all the slack that a short job
// has.
package statequery

import "time"

// Progress says how near the end of a job is.
type Progress string

const (
	// Active means that more than the end of running tasks is missing: the query is answered at
	// once.
	Active Progress = "active"
	// Ending means that all tasks that are not done run and may end at any moment.
	Ending Progress = "ending"
	// Ended means that the job has ended and that its end is not persisted yet, so that callers are
	// not told of it.
	Ended Progress = "ended"
	// Settled means that the answer cannot change any more, or that there is no such job.
	Settled Progress = "settled"
)

const (
	// maxReportWait bounds the wait for the end of running tasks: the time that a worker's report
	// takes on its way through a delegate that gets the processor in slices.
	maxReportWait = 100 * time.Millisecond
	// maxPersistWait bounds the wait for an end that is being persisted: several appends.
	maxPersistWait = 200 * time.Millisecond
	// maxHeld bounds the queries that are held at a time; further ones are answered at once.
	maxHeld = 2048
)

// maxWait returns for how long after its receipt a query may be held.
func maxWait(p Progress) time.Duration {
	switch p {
	case Ending:
		return maxReportWait
	case Ended:
		return maxPersistWait
	}
	return 0
}

// held is a query that waits for an answer.
type held[Q any] struct {
	query      Q
	receivedAt time.Time
}

// Queries are the queries that wait for the end of their jobs, in the order of their arrival. The
// zero value has none.
type Queries[Q any] struct{ held []held[Q] }

// Hold reports whether a query has to wait, and keeps it if so. p is the progress of its job.
func (q *Queries[Q]) Hold(query Q, receivedAt, now time.Time, p Progress) bool {
	if now.Sub(receivedAt) >= maxWait(p) || len(q.held) >= maxHeld {
		return false
	}
	q.held = append(q.held, held[Q]{query, receivedAt})
	return true
}

// TakeDue removes and returns the queries that are to be answered now, in the order of their
// arrival. progressOf returns the current progress of a query's job.
func (q *Queries[Q]) TakeDue(now time.Time, progressOf func(Q) Progress) []Q {
	var due []Q
	waiting := q.held[:0]
	for _, h := range q.held {
		if now.Sub(h.receivedAt) < maxWait(progressOf(h.query)) {
			waiting = append(waiting, h)
			continue
		}
		due = append(due, h.query)
	}
	clear(q.held[len(waiting):])
	q.held = waiting
	return due
}

// TakeAll removes and returns all queries.
func (q *Queries[Q]) TakeAll() []Q {
	all := make([]Q, 0, len(q.held))
	for _, h := range q.held {
		all = append(all, h.query)
	}
	q.held = nil
	return all
}
