// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/carrier"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// Carriers are the nodes that can talk to workers for the owner. Implementations are
// safe for concurrent use and do not block.
type Carriers interface {
	// Usable returns those that are heard, in the order of their names.
	Usable() []carrier.Node
	// Send sends orders to a node; false when it is not linked.
	Send(node string, b *carrier.Batch) bool
}

// nodesPause is the time between two looks at which nodes can carry and ask, and at what
// is overdue.
const nodesPause = 100 * time.Millisecond

// linkPatience is how long a new owner waits for followers to link until it asks workers
// itself that they could carry for. Without it each change of owner opens a connection to each
// worker.
const linkPatience = 400 * time.Millisecond

// tickNodes takes now and then what is due by the other nodes.
func (o *Owner) tickNodes() {
	if o.now.Before(o.nextNodes) {
		return
	}
	o.nextNodes = o.now.Add(nodesPause)
	o.engine.SetChannels(o.options.Lanes.Names())
	if o.options.Carriers != nil {
		o.tickCarriers()
	}
}

// tickCarriers takes which nodes can carry, and what they have not answered.
func (o *Owner) tickCarriers() {
	before := o.router.Carriers()
	o.takeFailed(o.router.SetNodes(o.options.Carriers.Usable(), o.now), "the node cannot carry any more")
	o.takeFailed(o.router.Expire(o.now), "the node did not answer in time")
	if !o.awaitsCarriers() {
		o.askAwaiting()
	}
	if after := o.router.Carriers(); after != before {
		o.options.Log(events.CarriersChanged, "epoch", o.Epoch(), "carriers", after, "before", before, "workers", o.listed.Load(), "own", o.options.OwnWorkers)
	}
}

// awaitsCarriers reports whether listings wait for nodes that could ask for them.
func (o *Owner) awaitsCarriers() bool {
	return o.options.Carriers != nil && o.router.LacksCarriers() && o.now.Sub(o.beganAt) < linkPatience
}

// askAwaiting asks for the listings that have waited.
func (o *Owner) askAwaiting() {
	awaiting := o.awaiting
	o.awaiting = nil
	for _, h := range awaiting {
		o.carryOut(h)
	}
}

// carry leaves an action to a carrier. It reports false when there is none.
func (o *Owner) carry(a order.Action) bool {
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
func (o *Owner) sendCarried() {
	for node, b := range o.router.Batches() {
		if !o.options.Carriers.Send(node, b) {
			o.takeFailed(o.router.Unsent(node, o.now), "the node is not linked")
		}
	}
}

// takeFailed settles orders of which no outcome comes. Listings are asked for by this
// node at once: the carrier's silence is not the worker's.
func (o *Owner) takeFailed(failed []carrier.Failed, why string) {
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
			go o.runHold(a)
		}
	}
}

// Carried takes what became of orders that were left to carriers.
func (o *Owner) Carried(outcomes []carrier.Outcome) { o.put(carriedEvent(outcomes)) }

type carriedEvent []carrier.Outcome

func (ev carriedEvent) apply(o *Owner) {
	for _, r := range o.router.Answered(ev, o.now) {
		switch a := r.Action.(type) {
		case order.Start:
			o.noteStart(&a, r.Outcome.Start, r.Took)
			startEvent{a, r.Outcome.Start, r.Outcome.At}.apply(o)
		case order.Stop:
			o.options.Metrics.OrderAnswered("stop", stopOutcome(r.Outcome.IsStopKnown), r.Took)
			stopEvent{a, r.Outcome.At, r.Outcome.IsStopKnown}.apply(o)
		case order.Hold:
			holdEvent{a, r.Outcome.Listing, r.Outcome.Hold}.apply(o)
		}
	}
}
