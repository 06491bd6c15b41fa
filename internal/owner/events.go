// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

type submitEvent struct {
	spec  *work.Spec
	reply chan error
}

func (ev submitEvent) apply(o *Owner) {
	id := ev.spec.ID
	if !o.engine.MayAccess(id, ev.spec.Caller()) {
		o.options.Log(events.JobOfAnother, "job", id, "customer", ev.spec.Customer, "asked", "submit")
		ev.reply <- errTaken()
		return
	}
	if o.engine.IsPersisted(id) {
		ev.reply <- nil
		return
	}
	_, isWaiting := o.submits[id]
	if !isWaiting && !o.isTrusted() {
		ev.reply <- leverdyke.NotRun("this node may not be the owner of the jobs", retryAfter)
		return
	}
	if !isWaiting && o.handOver != nil {
		ev.reply <- errLeaving()
		return
	}
	if !isWaiting && o.isStalled() {
		ev.reply <- leverdyke.NotRun("the store does not take new jobs", outRetry)
		o.options.Log(events.JobRefused, "job", id, "why", "store", "stalled", o.writing != nil, "age", o.now.Sub(o.writingAt))
		return
	}
	if why := o.engine.CheckJob(ev.spec); why != "" && !isWaiting {
		o.options.Log(events.JobRefused, "job", id, "why", why, "customer", ev.spec.Customer)
		ev.reply <- errImpossible(why)
		return
	}
	o.submits[id] = append(o.submits[id], ev.reply)
	o.engine.AddJob(ev.spec)
}

// errTaken means that the ID of a job names a job of another customer.
func errTaken() error {
	return &leverdyke.Error{Verdict: leverdyke.VerdictNotRun, Refusal: leverdyke.RefusalTaken, Reason: "the ID names a job of another customer"}
}

// errImpossible means that a job can never run under the limit of its customer.
func errImpossible(why string) error {
	return &leverdyke.Error{Verdict: leverdyke.VerdictNotRun, Refusal: leverdyke.RefusalImpossible, Reason: why}
}

func (o *Owner) isStalled() bool {
	return o.isStoreOut || o.writing != nil && o.appends.isTooLong(o.now.Sub(o.writingAt))
}

type pendingAnswer struct {
	count int
	err   error
}

type pendingEvent struct {
	queue string
	reply chan pendingAnswer
}

func (ev pendingEvent) apply(o *Owner) {
	if !o.isTrusted() {
		ev.reply <- pendingAnswer{err: leverdyke.NotRun("this node may not be the owner of the jobs", retryAfter)}
		return
	}
	ev.reply <- pendingAnswer{count: o.engine.Pending(ev.queue)}
}

type workersEvent struct {
	list      []order.Worker
	isCertain bool
}

func (ev workersEvent) apply(o *Owner) {
	listed := int64(0)
	for i := range ev.list {
		if !ev.list[i].IsRemoved {
			listed++
		}
	}
	o.listed.Store(listed)
	o.router.SetWorkers(ev.list)
	o.engine.SetWorkers(ev.list, ev.isCertain)
}

type startEvent struct {
	start   order.Start
	outcome order.StartOutcome
	at      order.WorkerTime
}

func (ev startEvent) apply(o *Owner) {
	o.orders--
	o.engine.StartAnswered(ev.start.Worker, ev.start.Task, ev.start.Run, ev.outcome, ev.at)
}

type stopEvent struct {
	stop    order.Stop
	at      order.WorkerTime
	isKnown bool
}

func (ev stopEvent) apply(o *Owner) {
	o.engine.StopAnswered(ev.stop.Worker, ev.stop.Task, ev.stop.Run, ev.isKnown, ev.at)
}

type holdEvent struct {
	hold    order.Hold
	listing *order.Listing
	outcome order.HoldOutcome
}

func (ev holdEvent) apply(o *Owner) {
	switch ev.outcome {
	case order.HoldListed:
		o.engine.Listed(&ev.hold, ev.listing)
	case order.HoldSilent:
		o.engine.HoldFailed(&ev.hold)
	case order.HoldLifeOver:
		o.engine.LifeOver(ev.hold.Worker)
	}
}

type adviceEvent struct {
	advise order.Advise
	good   []order.Ticket
	valid  time.Duration
	err    error
}

func (ev adviceEvent) apply(o *Owner) {
	o.engine.PermissionAnswered(ev.advise.Lane, ev.advise.Step, ev.advise.Workers, ev.good, ev.valid, ev.err == nil)
}

type handOverEvent struct{ done chan bool }

func (ev handOverEvent) apply(o *Owner) {
	if o.isStoreOut {
		// Nobody could claim the shard now.
		ev.done <- false
		return
	}
	o.engine.SetPaused(true)
	o.handOver, o.handOverAt = ev.done, o.now
}

// finishHandOver ends the owner once no order and no accepted job is on its way.
// Ends that are not kept yet are told again to the next owner.
func (o *Owner) finishHandOver() {
	if o.handOver == nil {
		return
	}
	isSettled := o.orders == 0 && !o.engine.HasReadyStarts() && o.writing == nil && len(o.submits) == 0 && len(o.cancels) == 0
	if !isSettled && o.now.Sub(o.handOverAt) < handOverBound {
		return
	}
	o.handOver <- true
	o.cancel()
}
