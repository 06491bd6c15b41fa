// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// Delegates are the nodes that can talk to workers on behalf of the owner. Implementations are safe
// for concurrent use and do not block.
type Delegates interface {
	// Usable returns the nodes that respond, ordered by name.
	Usable() []delegate.Node
	// Send sends orders to a node. It returns false when there is no link to that node.
	Send(node string, b *delegate.Batch) bool
}

// nodeCheckPeriod is the time between two checks of which delegates and permission channels are
// usable and which orders are overdue.
const nodeCheckPeriod = 100 * time.Millisecond

// linkTimeout is how long a new owner waits for followers to link before it polls workers itself
// that delegates could poll. Without this wait, the owner would open a connection to each worker at
// each change of owner.
const linkTimeout = 400 * time.Millisecond

// checkNodes updates what depends on the other nodes, every nodeCheckPeriod.
func (o *Owner) checkNodes() {
	if o.now.Before(o.nextNodeCheck) {
		return
	}
	o.nextNodeCheck = o.now.Add(nodeCheckPeriod)
	o.engine.SetChannels(o.options.PermissionChannels.Names())
	o.updateLeaseWitnesses()
	o.updateMajority()
	o.updateWitnesses()
	o.updateSilent()
	o.updateOutlasted()
	if o.options.Delegates != nil {
		o.checkDelegates()
	}
}

// checkDelegates updates which nodes act as delegates and settles the orders that they failed to
// answer.
func (o *Owner) checkDelegates() {
	before := o.router.DelegateCount()
	o.handleFailed(o.router.SetNodes(o.options.Delegates.Usable(), o.now), "the node cannot carry any more")
	o.handleFailed(o.router.Expire(o.now), "the node did not answer in time")
	o.moveWorkers()
	if !o.awaitsDelegates() {
		o.sendDeferredPolls()
	}
	if after := o.router.DelegateCount(); after != before {
		o.options.Log(events.DelegatesChanged, "epoch", o.Epoch(), "carriers", after, "before", before, "workers", o.listedWorkers.Load(), "own", o.options.DirectWorkers)
	}
}

// moveWorkers moves workers off delegates that answer late.
func (o *Owner) moveWorkers() {
	if !o.isEnabled(dispatch.MechanismLateDelegates) {
		return
	}
	for _, m := range o.router.MoveWorkers(o.now) {
		o.options.Log(events.WorkersMoved, "epoch", o.Epoch(), "node", m.Node, "lateness", m.Lateness, "away", m.Away, "back", m.Back, "moved", m.Moved)
	}
}

// awaitsDelegates reports whether polls are deferred until enough delegates have linked.
func (o *Owner) awaitsDelegates() bool {
	return o.options.Delegates != nil && o.router.LacksDelegates() && o.now.Sub(o.loopStartedAt) < linkTimeout
}

// sendDeferredPolls sends the polls that were deferred.
func (o *Owner) sendDeferredPolls() {
	deferredPolls := o.deferredPolls
	o.deferredPolls = nil
	for _, poll := range deferredPolls {
		o.execute(poll)
	}
}

// delegateAction hands an action to a delegate. It reports false when the owner has to execute the
// action itself.
func (o *Owner) delegateAction(a order.Action) bool {
	switch a := a.(type) {
	case order.Start:
		return o.router.Add(a, a.Worker, delegate.StartTimeout, o.now)
	case order.Stop:
		return o.router.Add(a, a.Worker, delegate.StopTimeout, o.now)
	case order.Poll:
		return o.router.Add(a, a.Worker, a.Wait+a.Timeout, o.now)
	case order.Pace:
		return o.router.Add(a, a.Worker, delegate.StopTimeout, o.now)
	}
	return false
}

// sendDelegated sends the orders that this cycle has handed to delegates.
func (o *Owner) sendDelegated() {
	for node, b := range o.router.Batches() {
		_, b.KeptConns = o.connBudget.get()
		if !o.options.Delegates.Send(node, b) {
			o.handleFailed(o.router.HandleUnsent(node, o.now), "the node is not linked")
		}
	}
}

// handleFailed settles orders whose outcome will not arrive. This node polls the workers concerned
// at once, because a silent delegate does not mean that its workers are silent.
func (o *Owner) handleFailed(failed []delegate.FailedOrder, why string) {
	if len(failed) == 0 {
		return
	}
	o.options.Log(events.DelegateFailed, "epoch", o.Epoch(), "node", failed[0].Node, "orders", len(failed), "why", why)
	for _, f := range failed {
		switch a := f.Action.(type) {
		case order.Start:
			startEvent{a, order.StartUnknown, 0}.apply(o)
		case order.Stop:
			stopEvent{stop: a}.apply(o)
		case order.Pace:
			paceEvent{pace: a}.apply(o)
		case order.Poll:
			// The worker may have restarted since this poll was created. A new incarnation numbers
			// its ends anew, so none may be confirmed.
			a.Wait, a.Confirmed = 0, 0
			go o.runPoll(a)
		}
	}
}

// HandleOutcomes takes the outcomes of orders that were handed to delegates.
func (o *Owner) HandleOutcomes(outcomes []delegate.Outcome) { o.enqueue(outcomesEvent(outcomes)) }

type outcomesEvent []delegate.Outcome

func (ev outcomesEvent) apply(o *Owner) {
	for _, r := range o.router.Resolve(ev, o.now) {
		switch a := r.Action.(type) {
		case order.Start:
			o.reportStart(&a, r.Outcome.Start, r.Duration)
			startEvent{a, r.Outcome.Start, r.Outcome.At}.apply(o)
		case order.Stop:
			o.options.Metrics.OrderAnswered("stop", stopOutcome(r.Outcome.IsStopKnown), r.Duration)
			stopEvent{a, r.Outcome.At, r.Outcome.IsStopKnown}.apply(o)
		case order.Pace:
			paceEvent{a, r.Outcome.IsPaced}.apply(o)
		case order.Poll:
			pollEvent{a, r.Outcome.Listing, r.Outcome.Poll}.apply(o)
		}
	}
}
