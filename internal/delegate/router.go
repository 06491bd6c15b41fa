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
	// answerMargin is how much later than a worker's answer may take the outcome may
	// come: the ways to the carrier and back, and its other work. A carrier that runs
	// tells the outcome in time, if only that no answer came.
	answerMargin = 150 * time.Millisecond
	// suspectTime is how long a carrier is not used after an outcome stayed away, twice as
	// long each time in a row, longestSuspicion at most: one that was cut off for some
	// seconds is tried a few times only.
	suspectTime      = time.Second
	longestSuspicion = 8 * time.Second
	// trustAfter is the time without a further failure after which a carrier counts as
	// if it had never failed.
	trustAfter = 10 * time.Second
	// maxSilent is how many listings in a row may stay away until the carrier, and not its
	// workers, is taken to be cut off: a sixth of all workers is silent at the most, of which
	// six in a row are one in 50,000.
	maxSilent = 6
	// togetherGrace is how long outcomes may be overdue that most carriers owe: longer than
	// a burst on a link of 2 Mbit/s takes, well under a lease.
	togetherGrace = time.Second
	// stall is the time between two looks at what is overdue from which outcomes may have
	// come that were not taken in: then nothing is overdue yet.
	stall = 300 * time.Millisecond
)

// Router decides for an owner by which node each worker is talked to, and keeps the
// orders that are on their way. It is pure: one goroutine uses it.
type Router struct {
	// own is how many workers the owner talks to itself.
	own  int
	plan *plan
	// usable are the nodes that could carry, without suspects.
	usable []Node
	zones  map[string]string
	counts map[string]int
	// chosen has the carriers of workers, by the plan; "" is the owner itself.
	chosen   map[string]string
	pending  map[uint64]pending
	lastID   uint64
	suspects map[string]*suspicion
	// silent counts, by node, listings in a row that did not come.
	silent map[string]int
	// known has the payloads that nodes have, by the link to them.
	known   map[string]*recent[struct{}]
	fence   uint64
	batches map[string]*Batch
	// expiredAt is when Expire was called last, lateSince since when most carriers are
	// late; zero when they are not.
	expiredAt time.Time
	lateSince time.Time
}

// pending is an order on its way.
type pending struct {
	action order.Action
	node   string
	sentAt time.Time
	// until is when the outcome is overdue.
	until time.Time
}

// suspicion is what is held against a carrier.
type suspicion struct {
	until    time.Time
	failures int
}

// epochShift makes room for the orders of one epoch in their IDs: at 10,000 orders a
// second it lasts for years.
const epochShift = 40

// NewRouter returns a router of the owner with that fence, which talks to up to own
// workers itself; 0 means to all.
func NewRouter(own int, fence uint64) *Router {
	return &Router{
		own: own, fence: fence, lastID: fence << epochShift, silent: map[string]int{}, known: map[string]*recent[struct{}]{}, plan: &plan{}, zones: map[string]string{}, counts: map[string]int{},
		chosen: map[string]string{}, pending: map[uint64]pending{}, suspects: map[string]*suspicion{}, batches: map[string]*Batch{},
	}
}

// SetWorkers takes the platform's list of workers.
func (r *Router) SetWorkers(list []order.Worker) {
	clear(r.zones)
	counts := map[string]int{}
	for i := range list {
		if w := &list[i]; !w.IsRemoved {
			r.zones[w.ID.Name()] = w.Zone
			counts[w.Zone]++
		}
	}
	if !maps.Equal(counts, r.counts) {
		r.counts = counts
		r.replan()
	}
}

// SetNodes takes the nodes that can carry now. It returns the orders that were with
// nodes that cannot any more: no outcome will come.
func (r *Router) SetNodes(nodes []Node, now time.Time) []Failed {
	usable := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return r.isSuspect(n.Name, now) })
	if slices.Equal(usable, r.usable) {
		return nil
	}
	gone := []string{}
	for _, n := range r.usable {
		if !slices.ContainsFunc(usable, func(u Node) bool { return u.Name == n.Name && u.Link == n.Link }) {
			gone = append(gone, n.Name)
		}
	}
	r.usable = usable
	r.replan()
	return r.fail(gone)
}

func (r *Router) isSuspect(name string, now time.Time) bool {
	s := r.suspects[name]
	if s != nil && now.Sub(s.until) > trustAfter {
		delete(r.suspects, name)
	}
	return s != nil && now.Before(s.until)
}

// replan chooses the carriers anew.
func (r *Router) replan() {
	clear(r.chosen)
	r.plan = &plan{}
	if r.own > 0 && len(r.zones) > r.own {
		r.plan = newPlan(r.usable, r.counts)
	}
}

// carrierOf returns the carrier of a worker, "" where the owner talks to it itself.
func (r *Router) carrierOf(id order.WorkerID) string {
	if len(r.plan.nodes) == 0 {
		return ""
	}
	// A worker that starts again keeps its carrier, which has connections to it.
	worker := id.Name()
	name, ok := r.chosen[worker]
	if !ok {
		name = r.plan.carrierOf(worker, r.zones[worker])
		r.chosen[worker] = name
	}
	return name
}

// LacksCarriers reports whether there are more workers than this node and the carriers
// can talk to.
func (r *Router) LacksCarriers() bool {
	return r.own > 0 && len(r.zones) > r.own && r.plan.share < 1
}

// Carriers returns how many nodes carry now.
func (r *Router) Carriers() int { return len(r.plan.nodes) }

// Add puts an action into the batch of a carrier, whose outcome may take as long as
// bound. It reports false when the owner is to carry it out itself.
func (r *Router) Add(a order.Action, worker order.WorkerID, bound time.Duration, now time.Time) bool {
	node := r.carrierOf(worker)
	if node == "" {
		return false
	}
	r.lastID++
	r.pending[r.lastID] = pending{a, node, now, now.Add(bound + answerMargin)}
	b := r.batches[node]
	if b == nil {
		b = &Batch{Fence: r.fence}
		r.batches[node] = b
	}
	o := orderOf(r.lastID, a)
	if o.Start != nil && o.Start.Payload != "" {
		o.PayloadKey = r.payload(node, b, o.Start.Payload)
		o.Start.Payload = ""
	}
	b.Orders = append(b.Orders, o)
	return true
}

// payload returns the key of a payload, which it puts into the batch when the carrier
// has not had it.
func (r *Router) payload(node string, b *Batch, payload string) payloadKey {
	known := r.known[node]
	if known == nil {
		known = newRecent[struct{}](knownPayloads)
		r.known[node] = known
	}
	key := keyOf(payload)
	if _, ok := known.get(key); !ok {
		known.put(key, struct{}{})
		b.Payloads = append(b.Payloads, payload)
	}
	return key
}

func orderOf(id uint64, a order.Action) Order {
	o := Order{ID: id}
	switch a := a.(type) {
	case order.Start:
		o.Start = &a
	case order.Stop:
		o.Stop = &a
	case order.Hold:
		o.Hold = &a
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

// Answered takes outcomes. Those that were given up are left out.
func (r *Router) Answered(outcomes []Outcome, now time.Time) []Result {
	out := make([]Result, 0, len(outcomes))
	for i := range outcomes {
		p, ok := r.pending[outcomes[i].ID]
		if !ok {
			continue
		}
		delete(r.pending, outcomes[i].ID)
		out = append(out, Result{p.action, outcomes[i], now.Sub(p.sentAt)})
		r.noteHold(p.node, outcomes[i].Hold, now)
	}
	return out
}

// noteHold finds out whether a carrier reaches no worker.
func (r *Router) noteHold(node string, outcome order.HoldOutcome, now time.Time) {
	switch outcome {
	case "":
		return
	case order.HoldSilent:
		r.silent[node]++
	case order.HoldListed, order.HoldLifeOver:
		r.silent[node] = 0
	}
	if r.silent[node] >= maxSilent {
		r.silent[node] = 0
		r.suspect(node, now)
	}
}

// Failed is an order of which no outcome comes. It may have been carried out, or may be
// later.
type Failed struct {
	Action order.Action
	Node   string
}

// Unsent takes back a batch for a node that is not linked any more.
func (r *Router) Unsent(node string, now time.Time) []Failed {
	r.suspect(node, now)
	return r.drop(node)
}

// Expire returns the orders of carriers of which an outcome is overdue. These are not
// used for a while.
func (r *Router) Expire(now time.Time) []Failed {
	isStalled := now.Sub(r.expiredAt) > stall
	r.expiredAt = now
	if isStalled {
		return nil
	}
	late := map[string]bool{}
	for _, p := range r.pending {
		if now.After(p.until) {
			late[p.node] = true
		}
	}
	if len(late) == 0 {
		r.lateSince = time.Time{}
		return nil
	}
	if len(late) > 1 && 2*len(late) > len(r.plan.nodes) && now.Before(r.graceUntil(now)) {
		return nil
	}
	r.lateSince = time.Time{}
	out := []Failed{}
	for node := range late {
		r.suspect(node, now)
		out = append(out, r.drop(node)...)
	}
	return out
}

// graceUntil returns until when nothing is overdue, as most carriers are late at once:
// then it is this node's link or processor that is, and to take them out of use one
// after the other would leave all to the last ones.
func (r *Router) graceUntil(now time.Time) time.Time {
	if r.lateSince.IsZero() {
		r.lateSince = now
	}
	return r.lateSince.Add(togetherGrace)
}

func (r *Router) suspect(node string, now time.Time) {
	s := r.suspects[node]
	if s == nil {
		s = &suspicion{}
		r.suspects[node] = s
	}
	s.until = now.Add(min(suspectTime<<min(s.failures, 4), longestSuspicion))
	s.failures++
}

// drop takes a node out of use and returns its orders.
func (r *Router) drop(node string) []Failed {
	usable := slices.DeleteFunc(slices.Clone(r.usable), func(n Node) bool { return n.Name == node })
	if len(usable) != len(r.usable) {
		r.usable = usable
		r.replan()
	}
	return r.fail([]string{node})
}

// fail returns the orders that were with nodes.
func (r *Router) fail(nodes []string) []Failed {
	if len(nodes) == 0 {
		return nil
	}
	out := []Failed{}
	for id, p := range r.pending {
		if slices.Contains(nodes, p.node) {
			out = append(out, Failed{p.action, p.node})
			delete(r.pending, id)
		}
	}
	for _, node := range nodes {
		delete(r.batches, node)
		delete(r.known, node)
	}
	return out
}
