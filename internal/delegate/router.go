// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// delegationOverhead is how much later than the time-out of an order its outcome may arrive. It
	// covers the transfer to the delegate and back and the delegate's other work. A delegate that
	// runs returns an outcome within this time even if the worker did not answer.
	delegationOverhead = 150 * time.Millisecond
	// baseEjectionTime is how long a delegate is ejected after an outcome was overdue. The time
	// doubles with each failure in a row, up to maxEjectionTime, so that a delegate that is
	// unreachable for some seconds is used again only a few times meanwhile.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// ejectionResetTime is the time without another failure, counted from the end of an ejection,
	// after which the earlier failures of a delegate no longer count.
	ejectionResetTime = 10 * time.Second
	// maxUnansweredPolls is the number of polls in a row without a listing after which the delegate
	// is considered cut off, instead of its workers. At most a sixth of all workers is silent at a
	// time, so six silent workers in a row have a probability of one in 50,000.
	maxUnansweredPolls = 6
	// majorityLateGrace is how long outcomes may stay overdue while most delegates are late. It is
	// longer than a burst on a link of 2 Mbit/s takes, and well below the duration of a lease.
	majorityLateGrace = time.Second
	// expireStallThreshold is the time between two calls of Expire from which this node counts as
	// stalled. Outcomes may then have arrived that were not processed yet, so none is considered
	// overdue.
	expireStallThreshold = 300 * time.Millisecond
)

// Router decides for an owner which node talks to each worker, and tracks the orders that were
// handed to delegates. It does no I/O and reads no clock; the caller passes the current time. It is
// not safe for concurrent use.
type Router struct {
	// directWorkers is the number of workers up to which the owner talks to all of them itself.
	directWorkers int
	plan          *plan
	// usable are the nodes that can act as delegates, without the ejected ones.
	usable []Node
	// zoneByWorker and workersPerZone describe the workers on the platform's list.
	zoneByWorker   map[string]string
	workersPerZone map[string]int
	// delegateByWorker caches the plan's choice for each worker; "" is the owner itself.
	delegateByWorker map[string]string
	// lateness judges the delegates by their answers, and moves has the workers that were moved off
	// late ones. movedTotal counts these moves.
	lateness   Lateness
	moves      moves
	movedTotal int
	pending    map[uint64]pendingOrder
	lastID     uint64
	ejections  map[string]*ejection
	// unansweredPolls counts, by node, the polls in a row that brought no listing.
	unansweredPolls map[string]int
	// sentPayloads holds, by node, the payloads that were sent over the current link to it.
	sentPayloads map[string]*fifoCache[struct{}]
	// used are the nodes that were handed orders since TakeUsed was last called for them.
	used    map[string]struct{}
	fence   uint64
	batches map[string]*Batch
	// lastExpireAt is when Expire was called last. majorityLateSince is since when most delegates
	// have been late, or zero when they are not.
	lastExpireAt      time.Time
	majorityLateSince time.Time
}

// pendingOrder is an order that was handed to a delegate and whose outcome has not arrived.
type pendingOrder struct {
	action order.Action
	worker string
	node   string
	sentAt time.Time
	// dueAt is the time after which the outcome is overdue.
	dueAt time.Time
}

// ejection records the failures of a delegate. The delegate is not used before until.
type ejection struct {
	until    time.Time
	failures int
}

// orderIDBits is the number of low bits of an order ID that number the orders of one epoch; the
// epoch is in the bits above. At 10,000 orders a second the numbers of an epoch last for years.
const orderIDBits = 40

// NewRouter returns a router for the owner whose epoch is fence. The owner talks to all workers
// itself while they are at most directWorkers; 0 means however many they are.
func NewRouter(directWorkers int, fence uint64) *Router {
	return &Router{
		directWorkers: directWorkers, fence: fence, lastID: fence << orderIDBits, unansweredPolls: map[string]int{}, sentPayloads: map[string]*fifoCache[struct{}]{}, plan: &plan{}, zoneByWorker: map[string]string{}, workersPerZone: map[string]int{},
		delegateByWorker: map[string]string{}, pending: map[uint64]pendingOrder{}, ejections: map[string]*ejection{}, batches: map[string]*Batch{}, used: map[string]struct{}{}, moves: newMoves(),
	}
}

// SetWorkers updates the router with the platform's list of workers.
func (r *Router) SetWorkers(list []order.Worker) {
	clear(r.zoneByWorker)
	workersPerZone := map[string]int{}
	for i := range list {
		if w := &list[i]; !w.IsRemoved {
			r.zoneByWorker[w.ID.Name()] = w.Zone
			workersPerZone[w.Zone]++
		}
	}
	if !maps.Equal(workersPerZone, r.workersPerZone) {
		r.workersPerZone = workersPerZone
		r.replan()
	}
}

// SetNodes updates the nodes that can act as delegates. It returns the pending orders of nodes that
// no longer can, or whose link is new: their outcomes will not arrive.
func (r *Router) SetNodes(nodes []Node, now time.Time) []FailedOrder {
	usable := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return r.isEjected(n.Name, now) })
	if slices.Equal(usable, r.usable) {
		return nil
	}
	removed := []string{}
	for _, n := range r.usable {
		if !slices.ContainsFunc(usable, func(u Node) bool { return u.Name == n.Name && u.LinkID == n.LinkID }) {
			removed = append(removed, n.Name)
		}
	}
	r.usable = usable
	r.replan()
	return r.failOrders(removed)
}

func (r *Router) isEjected(name string, now time.Time) bool {
	s := r.ejections[name]
	if s != nil && now.Sub(s.until) > ejectionResetTime {
		delete(r.ejections, name)
	}
	return s != nil && now.Before(s.until)
}

// replan selects the delegates again.
func (r *Router) replan() {
	clear(r.delegateByWorker)
	r.plan = &plan{}
	if r.directWorkers > 0 && len(r.zoneByWorker) > r.directWorkers {
		r.plan = newPlan(r.usable, r.workersPerZone)
	}
	r.dropMoves()
}

// delegateOf returns the delegate of a worker, or "" when the owner talks to the worker itself.
func (r *Router) delegateOf(id order.WorkerID) string {
	if len(r.plan.nodes) == 0 {
		return ""
	}
	// The name, unlike the ID, is the same for each incarnation of a worker: a restarted worker
	// keeps its delegate, which has open connections to it.
	worker := id.Name()
	name, ok := r.delegateByWorker[worker]
	if !ok || r.moves.mayChange(worker) {
		name = r.choose(worker)
		r.delegateByWorker[worker] = name
	}
	return name
}

// choose returns the delegate that a worker was moved to, or else that of the plan.
func (r *Router) choose(worker string) string {
	if to, ok := r.moves.delegates[worker]; ok {
		return to
	}
	return r.plan.delegateOf(worker, r.zoneByWorker[worker])
}

// LacksDelegates reports whether there are more workers than the owner and the delegates have the
// capacity for.
func (r *Router) LacksDelegates() bool {
	return r.directWorkers > 0 && len(r.zoneByWorker) > r.directWorkers && r.plan.coveredShare < 1
}

// DelegateCount returns the number of nodes that act as delegates.
func (r *Router) DelegateCount() int { return len(r.plan.nodes) }

// Add puts an action into the batch of the worker's delegate. timeout is how long the delegate may
// take to execute it. Add returns false when the owner has to execute the action itself.
func (r *Router) Add(a order.Action, worker order.WorkerID, timeout time.Duration, now time.Time) bool {
	node := r.delegateOf(worker)
	if node == "" {
		return false
	}
	r.lastID++
	r.pending[r.lastID] = pendingOrder{a, worker.Name(), node, now, now.Add(timeout + delegationOverhead)}
	r.moves.orderSent(worker.Name(), a)
	b := r.batches[node]
	if b == nil {
		b = &Batch{Fence: r.fence}
		r.batches[node] = b
		r.used[node] = struct{}{}
	}
	o := newOrder(r.lastID, a)
	if o.Start != nil && o.Start.Payload != "" {
		o.PayloadKey = r.attachPayload(node, b, o.Start.Payload)
		o.Start.Payload = ""
	}
	b.Orders = append(b.Orders, o)
	return true
}

// attachPayload returns the key of a payload, and adds the payload to the batch unless it was sent
// to the delegate before.
func (r *Router) attachPayload(node string, b *Batch, payload string) payloadKey {
	sent := r.sentPayloads[node]
	if sent == nil {
		sent = newFIFOCache[struct{}](trackedPayloads)
		r.sentPayloads[node] = sent
	}
	key := payloadKeyOf(payload)
	if _, ok := sent.get(key); !ok {
		sent.put(key, struct{}{})
		b.Payloads = append(b.Payloads, payload)
	}
	return key
}

func newOrder(id uint64, a order.Action) Order {
	o := Order{ID: id}
	switch a := a.(type) {
	case order.Start:
		o.Start = &a
	case order.Stop:
		o.Stop = &a
	case order.Poll:
		o.Poll = &a
	case order.Pace:
		o.Pace = &a
	}
	return o
}

// Batches returns the orders added since the last call, by delegate.
func (r *Router) Batches() map[string]*Batch {
	if len(r.batches) == 0 {
		return nil
	}
	out := r.batches
	r.batches = map[string]*Batch{}
	return out
}

// TakeUsed reports whether a node was handed orders since the last call for that node. Such a node
// has connections to workers.
func (r *Router) TakeUsed(node string) bool {
	_, isUsed := r.used[node]
	delete(r.used, node)
	return isUsed
}

// Result is an outcome together with its action. Duration is the time from Add to the outcome's
// arrival.
type Result struct {
	Action   order.Action
	Outcome  Outcome
	Duration time.Duration
}

// Resolve matches outcomes to pending orders and removes these. Outcomes of orders that are not
// pending, because they were resolved or abandoned, are left out.
func (r *Router) Resolve(outcomes []Outcome, now time.Time) []Result {
	out := make([]Result, 0, len(outcomes))
	for i := range outcomes {
		p, ok := r.pending[outcomes[i].ID]
		if !ok {
			continue
		}
		r.removePending(outcomes[i].ID)
		if outcomes[i].Start == order.StartSucceeded {
			r.lateness.Observe(p.node, now.Sub(p.sentAt))
		}
		out = append(out, Result{p.action, outcomes[i], now.Sub(p.sentAt)})
		r.recordPollOutcome(p.node, outcomes[i].Poll, now)
	}
	return out
}

func (r *Router) removePending(id uint64) {
	p := r.pending[id]
	delete(r.pending, id)
	r.moves.orderSettled(p.worker, p.action)
}

// recordPollOutcome ejects a delegate that appears to reach no worker.
func (r *Router) recordPollOutcome(node string, outcome order.PollOutcome, now time.Time) {
	switch outcome {
	case "":
		return
	case order.PollUnanswered:
		r.unansweredPolls[node]++
	case order.PollAnswered, order.PollIncarnationEnded:
		r.unansweredPolls[node] = 0
	}
	if r.unansweredPolls[node] >= maxUnansweredPolls {
		r.unansweredPolls[node] = 0
		r.eject(node, now)
	}
}

// FailedOrder is an order whose outcome will not arrive. The delegate may have executed it, or may
// still do so.
type FailedOrder struct {
	Action order.Action
	Node   string
}

// HandleUnsent ejects a node that has no link any more, so that its batch was not sent, and returns
// its pending orders.
func (r *Router) HandleUnsent(node string, now time.Time) []FailedOrder {
	r.eject(node, now)
	return r.removeNode(node)
}

// Expire ejects the delegates that have an overdue outcome and returns all their pending orders.
func (r *Router) Expire(now time.Time) []FailedOrder {
	isStalled := now.Sub(r.lastExpireAt) > expireStallThreshold
	r.lastExpireAt = now
	if isStalled {
		return nil
	}
	late := map[string]bool{}
	for _, p := range r.pending {
		if now.After(p.dueAt) {
			late[p.node] = true
		}
	}
	if len(late) == 0 {
		r.majorityLateSince = time.Time{}
		return nil
	}
	if len(late) > 1 && 2*len(late) > len(r.plan.nodes) && now.Before(r.majorityGraceEnd(now)) {
		return nil
	}
	r.majorityLateSince = time.Time{}
	out := []FailedOrder{}
	for node := range late {
		r.eject(node, now)
		out = append(out, r.removeNode(node)...)
	}
	return out
}

// majorityGraceEnd returns the time until which nothing is overdue while most delegates are late at
// once. The cause is then this node's link or processor, and ejecting one delegate after the other
// would leave all workers to the last ones.
func (r *Router) majorityGraceEnd(now time.Time) time.Time {
	if r.majorityLateSince.IsZero() {
		r.majorityLateSince = now
	}
	return r.majorityLateSince.Add(majorityLateGrace)
}

func (r *Router) eject(node string, now time.Time) {
	s := r.ejections[node]
	if s == nil {
		s = &ejection{}
		r.ejections[node] = s
	}
	s.until = now.Add(min(baseEjectionTime<<min(s.failures, 4), maxEjectionTime))
	s.failures++
}

// removeNode takes a node out of use and returns its pending orders.
func (r *Router) removeNode(node string) []FailedOrder {
	usable := slices.DeleteFunc(slices.Clone(r.usable), func(n Node) bool { return n.Name == node })
	if len(usable) != len(r.usable) {
		r.usable = usable
		r.replan()
	}
	return r.failOrders([]string{node})
}

// failOrders removes and returns the pending orders of the nodes.
func (r *Router) failOrders(nodes []string) []FailedOrder {
	if len(nodes) == 0 {
		return nil
	}
	out := []FailedOrder{}
	for id, p := range r.pending {
		if slices.Contains(nodes, p.node) {
			out = append(out, FailedOrder{p.action, p.node})
			r.removePending(id)
		}
	}
	for _, node := range nodes {
		delete(r.batches, node)
		delete(r.sentPayloads, node)
	}
	return out
}
