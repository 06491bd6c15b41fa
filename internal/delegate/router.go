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
	// delegationOverhead is how much later than a worker's answer may take the outcome may
	// come: the ways to the carrier and back, and its other work. A carrier that runs
	// tells the outcome in time, if only that no answer came.
	delegationOverhead = 150 * time.Millisecond
	// baseEjectionTime is how long a carrier is not used after an outcome stayed away, twice as
	// long each time in a row, longestSuspicion at most: one that was cut off for some
	// seconds is tried a few times only.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// ejectionResetTime is the time without a further failure after which a carrier counts as
	// if it had never failed.
	ejectionResetTime = 10 * time.Second
	// maxUnansweredPolls is how many listings in a row may stay away until the carrier, and not its
	// workers, is taken to be cut off: a sixth of all workers is silent at the most, of which
	// six in a row are one in 50,000.
	maxUnansweredPolls = 6
	// majorityLateGrace is how long outcomes may be overdue that most carriers owe: longer than
	// a burst on a link of 2 Mbit/s takes, well under a lease.
	majorityLateGrace = time.Second
	// expireStallThreshold is the time between two looks at what is overdue from which outcomes may have
	// come that were not taken in: then nothing is overdue yet.
	expireStallThreshold = 300 * time.Millisecond
)

// Router decides for an owner by which node each worker is talked to, and keeps the
// orders that are on their way. It is pure: one goroutine uses it.
type Router struct {
	// directWorkers is how many workers the owner talks to itself.
	directWorkers int
	plan          *plan
	// usable are the nodes that could carry, without suspects.
	usable         []Node
	zoneByWorker   map[string]string
	workersPerZone map[string]int
	// delegateByWorker has the carriers of workers, by the plan; "" is the owner itself.
	delegateByWorker map[string]string
	pending          map[uint64]pendingOrder
	lastID           uint64
	ejections        map[string]*ejection
	// unansweredPolls counts, by node, listings in a row that did not come.
	unansweredPolls map[string]int
	// sentPayloads has the payloads that nodes have, by the link to them.
	sentPayloads map[string]*fifoCache[struct{}]
	fence        uint64
	batches      map[string]*Batch
	// lastExpireAt is when Expire was called last, lateSince since when most carriers are
	// late; zero when they are not.
	lastExpireAt      time.Time
	majorityLateSince time.Time
}

// pendingOrder is an order on its way.
type pendingOrder struct {
	action order.Action
	node   string
	sentAt time.Time
	// dueAt is when the outcome is overdue.
	dueAt time.Time
}

// ejection is what is held against a carrier.
type ejection struct {
	until    time.Time
	failures int
}

// orderIDBits makes room for the orders of one epoch in their IDs: at 10,000 orders a
// second it lasts for years.
const orderIDBits = 40

// NewRouter returns a router of the owner with that fence, which talks to up to own
// workers itself; 0 means to all.
func NewRouter(directWorkers int, fence uint64) *Router {
	return &Router{
		directWorkers: directWorkers, fence: fence, lastID: fence << orderIDBits, unansweredPolls: map[string]int{}, sentPayloads: map[string]*fifoCache[struct{}]{}, plan: &plan{}, zoneByWorker: map[string]string{}, workersPerZone: map[string]int{},
		delegateByWorker: map[string]string{}, pending: map[uint64]pendingOrder{}, ejections: map[string]*ejection{}, batches: map[string]*Batch{},
	}
}

// SetWorkers takes the platform's list of workers.
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

// SetNodes takes the nodes that can carry now. It returns the orders that were with
// nodes that cannot any more: no outcome will come.
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

// replan chooses the carriers anew.
func (r *Router) replan() {
	clear(r.delegateByWorker)
	r.plan = &plan{}
	if r.directWorkers > 0 && len(r.zoneByWorker) > r.directWorkers {
		r.plan = newPlan(r.usable, r.workersPerZone)
	}
}

// delegateOf returns the carrier of a worker, "" where the owner talks to it itself.
func (r *Router) delegateOf(id order.WorkerID) string {
	if len(r.plan.nodes) == 0 {
		return ""
	}
	// A worker that starts again keeps its carrier, which has connections to it.
	worker := id.Name()
	name, ok := r.delegateByWorker[worker]
	if !ok {
		name = r.plan.delegateOf(worker, r.zoneByWorker[worker])
		r.delegateByWorker[worker] = name
	}
	return name
}

// LacksDelegates reports whether there are more workers than this node and the carriers
// can talk to.
func (r *Router) LacksDelegates() bool {
	return r.directWorkers > 0 && len(r.zoneByWorker) > r.directWorkers && r.plan.coveredShare < 1
}

// DelegateCount returns how many nodes carry now.
func (r *Router) DelegateCount() int { return len(r.plan.nodes) }

// Add puts an action into the batch of a carrier, whose outcome may take as long as
// bound. It reports false when the owner is to carry it out itself.
func (r *Router) Add(a order.Action, worker order.WorkerID, timeout time.Duration, now time.Time) bool {
	node := r.delegateOf(worker)
	if node == "" {
		return false
	}
	r.lastID++
	r.pending[r.lastID] = pendingOrder{a, node, now, now.Add(timeout + delegationOverhead)}
	b := r.batches[node]
	if b == nil {
		b = &Batch{Fence: r.fence}
		r.batches[node] = b
	}
	o := newOrder(r.lastID, a)
	if o.Start != nil && o.Start.Payload != "" {
		o.PayloadKey = r.attachPayload(node, b, o.Start.Payload)
		o.Start.Payload = ""
	}
	b.Orders = append(b.Orders, o)
	return true
}

// attachPayload returns the key of a attachPayload, which it puts into the batch when the carrier
// has not had it.
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
	case order.Hold:
		o.Poll = &a
	case order.Pace:
		o.Pace = &a
	}
	return o
}

// Batches returns what is to be sent to each carrier since the last call.
func (r *Router) Batches() map[string]*Batch {
	if len(r.batches) == 0 {
		return nil
	}
	out := r.batches
	r.batches = map[string]*Batch{}
	return out
}

// Result is an outcome with the action that it is of.
type Result struct {
	Action  order.Action
	Outcome Outcome
	Took    time.Duration
}

// Resolve takes outcomes. Those that were given up are left out.
func (r *Router) Resolve(outcomes []Outcome, now time.Time) []Result {
	out := make([]Result, 0, len(outcomes))
	for i := range outcomes {
		p, ok := r.pending[outcomes[i].ID]
		if !ok {
			continue
		}
		delete(r.pending, outcomes[i].ID)
		out = append(out, Result{p.action, outcomes[i], now.Sub(p.sentAt)})
		r.notePollOutcome(p.node, outcomes[i].Poll, now)
	}
	return out
}

// notePollOutcome finds out whether a carrier reaches no worker.
func (r *Router) notePollOutcome(node string, outcome order.HoldOutcome, now time.Time) {
	switch outcome {
	case "":
		return
	case order.HoldSilent:
		r.unansweredPolls[node]++
	case order.HoldListed, order.HoldLifeOver:
		r.unansweredPolls[node] = 0
	}
	if r.unansweredPolls[node] >= maxUnansweredPolls {
		r.unansweredPolls[node] = 0
		r.eject(node, now)
	}
}

// FailedOrder is an order of which no outcome comes. It may have been carried out, or may be
// later.
type FailedOrder struct {
	Action order.Action
	Node   string
}

// HandleUnsent takes back a batch for a node that is not linked any more.
func (r *Router) HandleUnsent(node string, now time.Time) []FailedOrder {
	r.eject(node, now)
	return r.removeNode(node)
}

// Expire returns the orders of carriers of which an outcome is overdue. These are not
// used for a while.
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

// majorityGraceEnd returns until when nothing is overdue, as most carriers are late at once:
// then it is this node's link or processor that is, and to take them out of use one
// after the other would leave all to the last ones.
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

// removeNode takes a node out of use and returns its orders.
func (r *Router) removeNode(node string) []FailedOrder {
	usable := slices.DeleteFunc(slices.Clone(r.usable), func(n Node) bool { return n.Name == node })
	if len(usable) != len(r.usable) {
		r.usable = usable
		r.replan()
	}
	return r.failOrders([]string{node})
}

// failOrders returns the orders that were with nodes.
func (r *Router) failOrders(nodes []string) []FailedOrder {
	if len(nodes) == 0 {
		return nil
	}
	out := []FailedOrder{}
	for id, p := range r.pending {
		if slices.Contains(nodes, p.node) {
			out = append(out, FailedOrder{p.action, p.node})
			delete(r.pending, id)
		}
	}
	for _, node := range nodes {
		delete(r.batches, node)
		delete(r.sentPayloads, node)
	}
	return out
}
