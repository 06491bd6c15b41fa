// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/progress"
)

// execute starts an action of the engine; the outcome arrives as an event.
func (o *Owner) execute(a order.Action) {
	if _, ok := a.(order.Start); ok {
		o.pendingStarts++
	}
	if poll, ok := a.(order.Poll); ok && o.awaitsDelegates() {
		o.deferredPolls = append(o.deferredPolls, poll)
		return
	}
	if o.delegateAction(a) {
		return
	}
	switch a := a.(type) {
	case order.Start:
		go o.runStart(a)
	case order.Stop:
		go o.runStop(a)
	case order.Poll:
		go o.runPoll(a)
	case order.Pace:
		go o.runPace(a)
	case order.QueryPermission:
		go o.runPermissionQuery(a)
	}
}

// withStoreTimeout bounds one call of the store by its progress: a large read or append may take as
// long as bytes keep moving.
func (o *Owner) withStoreTimeout() (context.Context, context.CancelFunc) {
	return progress.WithTimeout(o.ctx, storeTimeout)
}

func (o *Owner) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(o.ctx, d)
}

func (o *Owner) runStart(s order.Start) {
	ctx, cancel := o.withTimeout(delegate.StartTimeout)
	defer cancel()
	startedAt := o.options.Clock.Now()
	outcome, at := o.options.Workers.Start(ctx, o.Epoch(), &s)
	o.reportStart(&s, outcome, o.options.Clock.Now().Sub(startedAt))
	o.enqueue(startEvent{s, outcome, at})
}

// reportStart passes the answer to a start order to the metrics and the log.
func (o *Owner) reportStart(s *order.Start, outcome order.StartOutcome, took time.Duration) {
	o.options.Metrics.OrderAnswered("start", string(outcome), took)
	if outcome == order.StartFenced {
		o.options.Log(events.RackFenced, "worker", s.Worker, "epoch", o.Epoch())
	}
}

func (o *Owner) runStop(s order.Stop) {
	ctx, cancel := o.withTimeout(delegate.StopTimeout)
	defer cancel()
	startedAt := o.options.Clock.Now()
	at, ok := o.options.Workers.Stop(ctx, o.Epoch(), &s)
	o.options.Metrics.OrderAnswered("stop", stopOutcome(ok), o.options.Clock.Now().Sub(startedAt))
	o.enqueue(stopEvent{s, at, ok})
}

func stopOutcome(isAnswered bool) string {
	if isAnswered {
		return "answered"
	}
	return "unknown"
}

func (o *Owner) runPoll(poll order.Poll) {
	ctx, cancel := o.withTimeout(poll.Wait + poll.Timeout)
	defer cancel()
	listing, outcome := o.options.Workers.Poll(ctx, o.Epoch(), &poll)
	o.enqueue(pollEvent{poll, listing, outcome})
}

func (o *Owner) runPace(p order.Pace) {
	ctx, cancel := o.withTimeout(delegate.StopTimeout)
	defer cancel()
	err := o.options.Workers.Pace(ctx, o.Epoch(), &p)
	if err != nil {
		o.options.Log(events.PaceFailed, "task", p.Task, "run", p.Run, "worker", p.Worker, "percent", p.Percent, "err", err)
	}
	o.enqueue(paceEvent{p, err == nil})
}

func (o *Owner) runPermissionQuery(a order.QueryPermission) {
	ctx, cancel := o.withTimeout(a.Timeout)
	defer cancel()
	permits, validFor, err := o.options.PermissionChannels.Query(ctx, a.Channel, a.Step, a.Workers)
	o.enqueue(permissionEvent{a, permits, validFor, err})
}

// runWorkerList polls the platform's list of workers. It passes on the first list only after the
// drained zones, so that the engine knows no worker without knowing whether its zone is drained.
func (o *Owner) runWorkerList() {
	defer o.wg.Done()
	isListDown, isFirst := false, true
	completeAt := time.Time{}
	startedAt := o.options.Clock.Now()
	for o.ctx.Err() == nil {
		ctx, cancel := o.withStoreTimeout()
		list, err := o.options.List.Workers(ctx)
		cancel()
		now := o.options.Clock.Now()
		if err != nil {
			completeAt = now.Add(workerListGrace)
		}
		switch {
		case err != nil && !isListDown:
			isListDown = true
			o.options.Log(events.VMListFailed, "err", err)
		case err == nil:
			if isListDown {
				isListDown = false
				o.options.Log(events.VMListRecovered, "workers", len(list))
			}
			if !o.awaitZones() {
				return
			}
			if isFirst {
				isFirst = false
				o.options.Log(events.WorkersListed, "epoch", o.Epoch(), "workers", len(list), "took", now.Sub(startedAt))
			}
			o.enqueue(workersEvent{list, !now.Before(completeAt)})
		}
		o.sleep(workerListPeriod)
	}
}

// awaitZones waits until the drained zones have been passed on once. It returns false if the owner
// ends before that.
func (o *Owner) awaitZones() bool {
	select {
	case <-o.zonesKnown:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// runZoneDrains polls the availability zones that operators drain. After a failed read the last ones
// stay in force.
func (o *Owner) runZoneDrains() {
	defer o.wg.Done()
	hasFailed := false
	for o.ctx.Err() == nil {
		ctx, cancel := o.withStoreTimeout()
		zones, err := o.options.List.DrainedZones(ctx)
		cancel()
		if err != nil {
			if !hasFailed {
				o.options.Log(events.ZoneDrainsFailed, "err", err)
			}
			hasFailed = true
			o.sleep(storeRetryDelay)
			continue
		}
		hasFailed = false
		if o.enqueue(zonesEvent{zones}) && !o.areZonesKnown {
			o.areZonesKnown = true
			close(o.zonesKnown)
		}
		o.sleep(zoneDrainPeriod)
	}
}
