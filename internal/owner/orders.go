// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/carrier"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/progress"
)

// carryOut starts what the engine wants done; the outcome comes as an event.
func (o *Owner) carryOut(a order.Action) {
	if _, ok := a.(order.Start); ok {
		o.orders++
	}
	if h, ok := a.(order.Poll); ok && o.awaitsCarriers() {
		o.awaiting = append(o.awaiting, h)
		return
	}
	if o.carry(a) {
		return
	}
	switch a := a.(type) {
	case order.Start:
		go o.runStart(a)
	case order.Stop:
		go o.runStop(a)
	case order.Poll:
		go o.runHold(a)
	case order.Pace:
		go o.runPace(a)
	case order.QueryPermission:
		go o.runAsk(a)
	}
}

// boundStore bounds a try at the store by its progress: a large read or append may
// take as long as it moves.
func (o *Owner) boundStore() (context.Context, context.CancelFunc) {
	return progress.With(o.ctx, writeTimeout)
}

func (o *Owner) bound(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(o.ctx, d)
}

func (o *Owner) runStart(s order.Start) {
	ctx, cancel := o.bound(carrier.StartTimeout)
	defer cancel()
	began := o.options.Clock.Now()
	outcome, at := o.options.Workers.Start(ctx, o.Epoch(), &s)
	o.noteStart(&s, outcome, o.options.Clock.Now().Sub(began))
	o.put(startEvent{s, outcome, at})
}

// noteStart notes the answer to an order to start.
func (o *Owner) noteStart(s *order.Start, outcome order.StartOutcome, took time.Duration) {
	o.options.Metrics.OrderAnswered("start", string(outcome), took)
	if outcome == order.StartFenced {
		o.options.Log(events.RackFenced, "worker", s.Worker, "epoch", o.Epoch())
	}
}

func (o *Owner) runStop(s order.Stop) {
	ctx, cancel := o.bound(carrier.StopTimeout)
	defer cancel()
	began := o.options.Clock.Now()
	at, ok := o.options.Workers.Stop(ctx, o.Epoch(), &s)
	o.options.Metrics.OrderAnswered("stop", stopOutcome(ok), o.options.Clock.Now().Sub(began))
	o.put(stopEvent{s, at, ok})
}

func stopOutcome(isKnown bool) string {
	if isKnown {
		return "answered"
	}
	return "unknown"
}

func (o *Owner) runHold(h order.Poll) {
	ctx, cancel := o.bound(h.Wait + h.Timeout)
	defer cancel()
	listing, outcome := o.options.Workers.Hold(ctx, o.Epoch(), &h)
	o.put(holdEvent{h, listing, outcome})
}

func (o *Owner) runPace(p order.Pace) {
	ctx, cancel := o.bound(carrier.StopTimeout)
	defer cancel()
	if err := o.options.Workers.Pace(ctx, o.Epoch(), &p); err != nil {
		o.options.Log(events.PaceFailed, "task", p.Task, "run", p.Run, "worker", p.Worker, "percent", p.Percent, "err", err)
	}
}

func (o *Owner) runAsk(a order.QueryPermission) {
	ctx, cancel := o.bound(a.Timeout)
	defer cancel()
	good, valid, err := o.options.Lanes.Ask(ctx, a.Channel, a.Step, a.Workers)
	o.put(adviceEvent{a, good, valid, err})
}

// runList follows the platform's list of workers.
func (o *Owner) runList() {
	defer o.wg.Done()
	isOut := false
	certainAt := time.Time{}
	for o.ctx.Err() == nil {
		ctx, cancel := o.boundStore()
		list, err := o.options.List.Workers(ctx)
		cancel()
		now := o.options.Clock.Now()
		if err != nil {
			certainAt = now.Add(listGrace)
		}
		switch {
		case err != nil && !isOut:
			isOut = true
			o.options.Log(events.VMListFailed, "err", err)
		case err == nil:
			if isOut {
				isOut = false
				o.options.Log(events.VMListBack, "workers", len(list))
			}
			o.put(workersEvent{list, !now.Before(certainAt)})
		}
		o.pause(listPeriod)
	}
}
