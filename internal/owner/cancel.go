// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/work"
)

// What acknowledges or denies something is answered on the store's word, not from
// the memory of a node that may have been replaced (decision 0017).

type cancelEvent struct {
	id    work.JobID
	by    work.Caller
	reply chan error
}

func (ev cancelEvent) apply(o *Owner) {
	if !o.engine.MayAccess(ev.id, ev.by) {
		o.options.Log(events.JobOfAnother, "job", ev.id, "customer", ev.by.Customer, "asked", "cancel")
		ev.reply <- errNoJob
		return
	}
	isSettled := o.engine.IsFinalPersisted(ev.id)
	switch {
	case !isSettled && !o.isTrusted():
		ev.reply <- leverdyke.NotRun("this node may not be the owner of the jobs", retryAfter)
		return
	case !isSettled && o.handOver != nil:
		ev.reply <- errLeaving()
		return
	}
	o.engine.Cancel(ev.id, ev.by.Customer)
	o.cancels[ev.id] = append(o.cancels[ev.id], ev.reply)
	o.answerCancel(ev.id)
}

// answerCancel answers those who wait for the cancelling of a job once it is kept:
// only the store can tell that this node still is the owner, and only what is kept
// outlasts it.
func (o *Owner) answerCancel(id work.JobID) {
	if len(o.cancels[id]) == 0 || !o.engine.IsFinalPersisted(id) {
		return
	}
	var err error
	answer := "cancelled"
	if _, isKnown := o.engine.State(id); !isKnown {
		err, answer = errNoJob, "no such job"
	}
	o.options.Log(events.CancelAnswered, "job", id, "answer", answer, "epoch", o.Epoch(), "confirmed", o.now.Sub(o.confirmedAt))
	o.answer(o.cancels, id, err)
}

type stateAnswer struct {
	state   work.JobState
	isKnown bool
	err     error
}

type stateEvent struct {
	id work.JobID
	by work.Caller
	// askedAt is when the question came to this node.
	askedAt time.Time
	reply   chan stateAnswer
}

func (ev stateEvent) apply(o *Owner) {
	state, isKnown := o.stateFor(ev.id, ev.by)
	switch {
	case !o.isTrusted() || !isKnown && o.isStalled():
		ev.reply <- stateAnswer{err: leverdyke.NotRun("this node may not be the owner of the jobs", retryAfter)}
	case !isKnown:
		o.denials = append(o.denials, ev)
	default:
		ev.reply <- stateAnswer{state: state, isKnown: true}
	}
}

// stateFor returns what a caller is told of a job: there is none of another customer's.
func (o *Owner) stateFor(id work.JobID, by work.Caller) (work.JobState, bool) {
	if !o.engine.MayAccess(id, by) {
		o.options.Log(events.JobOfAnother, "job", id, "customer", by.Customer, "asked", "state")
		return "", false
	}
	return o.engine.State(id)
}

// answerDenials answers the questions from before confirmedAt. A later owner may have
// a job that is not known here, so that it is only denied when this node was the owner
// after the question came, by the store's word.
func (o *Owner) answerDenials() {
	waiting := o.denials[:0]
	for _, ev := range o.denials {
		if ev.askedAt.After(o.confirmedAt) {
			waiting = append(waiting, ev)
			continue
		}
		state, isKnown := o.stateFor(ev.id, ev.by)
		ev.reply <- stateAnswer{state: state, isKnown: isKnown}
	}
	o.denials = waiting
}
