// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/carrier"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// Delegates are the nodes that can talk to workers for the owner. Implementations are
// safe for concurrent use and do not block.
type Delegates interface {
	// Usable returns those that are heard, in the order of their names.
	Usable() []carrier.Node
	// Send sends orders to a node; false when it is not linked.
	Send(node string, b *carrier.Batch) bool
}

// nodesPause is the time between two looks at which nodes can carry and ask, and at what
// is overdue.
const nodeCheckPeriod = 100 * time.Millisecond

// linkPatience is how long a new owner waits for followers to link until it asks workers
// itself that they could carry for. Without it each change of owner opens a connection to each
// worker.
const linkTimeout = 400 * time.Millisecond

// tickNodes takes now and then what is due by the other nodes.
func (o *Owner) checkNodes() {
	if o.now.Before(o.nextNodeCheck) {
		return
	}
	o.nextNodeCheck = o.now.Add(nodeCheckPeriod)
	o.engine.SetLanes(o.options.PermissionChannels.Names())
	if o.options.Delegates != nil {
		o.checkDelegates()
	}
}

// tickCarriers takes which nodes can carry, and what they have not answered.
func (o *Owner) checkDelegates() {
	before := o.router.Carriers()
	o.handleFailed(o.router.SetNodes(o.options.Delegates.Usable(), o.now), "the node cannot carry any more")
	o.handleFailed(o.router.Expire(o.now), "the node did not answer in time")
	if !o.awaitsDelegates() {
		o.sendDeferredPolls()
	}
	if after := o.router.Carriers(); after != before {
		o.options.Log(events.CarriersChanged, "epoch", o.Epoch(), "carriers", after, "before", before, "workers", o.listedWorkers.Load(), "own", o.options.DirectWorkers)
	}
}

// awaitsCarriers reports whether listings wait for nodes that could ask for them.
func (o *Owner) awaitsDelegates() bool {
	return o.options.Delegates != nil && o.router.LacksCarriers() && o.now.Sub(o.loopStartedAt) < linkTimeout
}

// askAwaiting asks for the listings that have waited.
func (o *Owner) sendDeferredPolls() {
	deferredPolls := o.deferredPolls
	o.deferredPolls = nil
	for _, h := range deferredPolls {
		o.execute(h)
	}
}

// carry leaves an action to a carrier. It reports false when there is none.
func (o *Owner) delegateAction(a order.Action) bool {
	switch a := a.(type) {
	case order.Start:
		return o.router.Add(a, a.Worker, carrier.StartTimeout, o.now)
	case order.Stop:
		return o.router.Add(a, a.Worker, carrier.StopTimeout, o.now)
	case order.Hold:
		return o.router.Add(a, a.Worker, a.Wait+a.Patience, o.now)
	case order.Pace:
		return o.router.Add(a, a.Worker, carrier.StopTimeout, o.now)
	}
	return false
}

// sendCarried sends what this step has left to carriers.
func (o *Owner) sendDelegated() {
	for node, b := range o.router.Batches() {
		if !o.options.Delegates.Send(node, b) {
			o.handleFailed(o.router.Unsent(node, o.now), "the node is not linked")
		}
	}
}

// takeFailed settles orders of which no outcome comes. Listings are asked for by this
// node at once: the carrier's silence is not the worker's.
func (o *Owner) handleFailed(failed []carrier.Failed, why string) {
	if len(failed) == 0 {
		return
	}
	o.options.Log(events.CarrierFailed, "epoch", o.Epoch(), "node", failed[0].Node, "orders", len(failed), "why", why)
	for _, f := range failed {
		switch a := f.Action.(type) {
		case order.Start:
			startEvent{a, order.StartUnknown, 0}.apply(o)
		case order.Stop:
			stopEvent{stop: a}.apply(o)
		case order.Hold:
			// The worker may have started again since this was decided.
			a.Wait, a.Confirmed = 0, 0
			go o.runPoll(a)
		}
	}
}

// HandleOutcomes takes what became of orders that were left to carriers.
func (o *Owner) HandleOutcomes(outcomes []carrier.Outcome) { o.enqueue(outcomesEvent(outcomes)) }

type outcomesEvent []carrier.Outcome

func (ev outcomesEvent) apply(o *Owner) {
	for _, r := range o.router.Answered(ev, o.now) {
		switch a := r.Action.(type) {
		case order.Start:
			o.reportStart(&a, r.Outcome.Start, r.Took)
			startEvent{a, r.Outcome.Start, r.Outcome.At}.apply(o)
		case order.Stop:
			o.options.Metrics.OrderAnswered("stop", stopOutcome(r.Outcome.IsStopKnown), r.Took)
			stopEvent{a, r.Outcome.At, r.Outcome.IsStopKnown}.apply(o)
		case order.Hold:
			pollEvent{a, r.Outcome.Listing, r.Outcome.Hold}.apply(o)
		}
	}
}
