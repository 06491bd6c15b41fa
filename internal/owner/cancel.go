// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/statequery"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Acknowledgements and denials are answered only after the store has confirmed that this node is
// still the owner. Its memory is not enough, because another node may have replaced it (decision
// 0017).

type cancelEvent struct {
	id    work.JobID
	by    work.Caller
	reply chan error
}

func (ev cancelEvent) apply(o *Owner) {
	if !o.engine.MayAccess(ev.id, ev.by) {
		o.options.Log(events.JobOfOtherCustomer, "job", ev.id, "customer", ev.by.Customer, "asked", "cancel")
		ev.reply <- errNoJob
		return
	}
	isSettled := o.engine.IsFinalPersisted(ev.id)
	switch {
	case !isSettled && !o.mayActAsOwner():
		ev.reply <- leverdyke.NotRun("this node may not be the owner of the jobs", retryAfterSeconds)
		return
	case !isSettled && o.handOverDone != nil:
		ev.reply <- errHandingOver()
		return
	}
	o.engine.Cancel(ev.id, ev.by.Customer)
	o.pendingCancels[ev.id] = append(o.pendingCancels[ev.id], ev.reply)
	o.answerCancel(ev.id)
}

// answerCancel answers the callers that wait for the cancellation of a job once the job's final
// state is persisted: only the store can confirm that this node is still the owner, and only
// persisted state outlives it.
func (o *Owner) answerCancel(id work.JobID) {
	if len(o.pendingCancels[id]) == 0 || !o.engine.IsFinalPersisted(id) {
		return
	}
	var err error
	answer := "cancelled"
	if _, isKnown := o.engine.State(id); !isKnown {
		err, answer = errNoJob, "no such job"
	}
	o.options.Log(events.CancelAnswered, "job", id, "answer", answer, "epoch", o.Epoch(), "confirmed", o.now.Sub(o.confirmedAt))
	o.answer(o.pendingCancels, id, err)
}

// maxUnknownJobQueries bounds the queries that wait for the confirmation of the store. Further ones
// are refused.
const maxUnknownJobQueries = 4096

type stateAnswer struct {
	state   work.JobState
	isKnown bool
	err     error
}

type stateEvent struct {
	id work.JobID
	by work.Caller
	// receivedAt is when this node received the query.
	receivedAt time.Time
	reply      chan stateAnswer
}

func (ev stateEvent) apply(o *Owner) {
	state, isKnown := o.visibleState(ev.id, ev.by)
	switch {
	case !o.mayActAsOwner() || !isKnown && (o.isStoreUnresponsive() || len(o.unknownJobQueries) >= maxUnknownJobQueries):
		ev.reply <- stateAnswer{err: leverdyke.NotRun("this node may not be the owner of the jobs", retryAfterSeconds)}
	case !isKnown:
		o.unknownJobQueries = append(o.unknownJobQueries, ev)
	case !o.heldQueries.Hold(ev, ev.receivedAt, o.now, o.engine.Progress(ev.id)):
		ev.reply <- stateAnswer{state: state, isKnown: true}
	}
}

// answerHeld answers the queries that have waited for the end of their jobs and need not wait any
// longer.
func (o *Owner) answerHeld() {
	if o.now.Sub(o.heldCheckedAt) < heldCheckInterval {
		return
	}
	o.heldCheckedAt = o.now
	progressOf := func(ev stateEvent) statequery.Progress { return o.engine.Progress(ev.id) }
	for _, ev := range o.heldQueries.TakeDue(o.now, progressOf) {
		if !o.mayActAsOwner() {
			ev.reply <- stateAnswer{err: leverdyke.NotRun("this node may not be the owner of the jobs", retryAfterSeconds)}
			continue
		}
		state, isKnown := o.visibleState(ev.id, ev.by)
		if !isKnown {
			o.unknownJobQueries = append(o.unknownJobQueries, ev)
			continue
		}
		ev.reply <- stateAnswer{state: state, isKnown: true}
	}
}

// visibleState returns the state of a job as the caller sees it. Jobs of other customers count as
// unknown.
func (o *Owner) visibleState(id work.JobID, by work.Caller) (work.JobState, bool) {
	if !o.engine.MayAccess(id, by) {
		o.options.Log(events.JobOfOtherCustomer, "job", id, "customer", by.Customer, "asked", "state")
		return "", false
	}
	return o.engine.State(id)
}

// answerUnknownJobs answers queries for jobs that are unknown here. A later owner may have accepted
// such a job. Its existence is therefore denied only once the store has confirmed that this node
// was the owner after the query was received.
func (o *Owner) answerUnknownJobs() {
	waiting := o.unknownJobQueries[:0]
	for _, ev := range o.unknownJobQueries {
		if ev.receivedAt.After(o.confirmedAt) {
			waiting = append(waiting, ev)
			continue
		}
		state, isKnown := o.visibleState(ev.id, ev.by)
		ev.reply <- stateAnswer{state: state, isKnown: isKnown}
	}
	o.unknownJobQueries = waiting
}
