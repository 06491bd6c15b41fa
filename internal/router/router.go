// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package router assigns slots on workers to callers' requests. A slot of a worker that
// runs a service is used by one request at a time. A grant is the right, given to this
// node by the owner of a rack, to use a number of slots of one worker. The router uses the
// grants that this node has, requests further grants for requests that wait, bounds the
// queue of waiting requests, and refuses a request early if it cannot get a slot in time.
package router

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// NewRouterOptions configures a router. Zero values mean the defaults.
type NewRouterOptions struct {
	// Zone is this node's availability zone; workers there are preferred.
	Zone string
	// MaxWaiting is the maximum number of requests that wait for a slot of one service; 0
	// means 512.
	MaxWaiting int
	// IdleTimeout is how long a grant may be without a request in progress before it is
	// returned to the owner of its rack; 0 means 2 s.
	IdleTimeout time.Duration
	Clock       clock.Service
}

const (
	defaultMaxWaiting  = 512
	defaultIdleTimeout = 2 * time.Second
	// maxGrantRequests bounds the unanswered grant requests for one service.
	maxGrantRequests    = 4
	grantRequestTimeout = time.Second
	// hedgeDelay is how long the slots of an unanswered grant request are counted on. After
	// that the router requests them from another rack as well.
	hedgeDelay = 50 * time.Millisecond
	// initialBackoff is how long the router sends no grant request to a rack after a
	// refusal. It doubles with each further refusal in a row, up to maxBackoff.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 2400 * time.Millisecond
	// initialServiceTime is the initial value of the moving average of service times.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of the newest service time in the moving average.
	serviceTimeWeight = 0.1
)

// Router holds the grants and the waiting requests of a node. It is safe for concurrent
// use.
type Router struct {
	options NewRouterOptions

	mu       sync.Mutex
	services map[string]*service
	// planDue holds a value when grants may have to be requested or returned: the caller
	// of Plan then calls it at once instead of at its next tick.
	planDue chan struct{}
}

// Info is what the accepted jobs specify about a service.
type Info struct {
	// IsOnce means that requests of the service that change something may not be repeated.
	IsOnce bool
}

// service is the state of one service. isDefined means that the last call of SetServices
// listed it; the state is kept after that for the grants that are still in use.
type service struct {
	info      Info
	isDefined bool
	grants    []*grant
	waiting   []*waiter
	// capacities has the last reported capacity for this service of each rack that runs
	// it.
	capacities map[state.ShardID]*rackCapacity
	// grantRequests has the unanswered grant request of each rack.
	grantRequests map[state.ShardID]grantRequest
	// inUse is how many requests are in progress. peakInUse is its maximum since
	// surplusCheckedAt.
	inUse, peakInUse int
	surplusCheckedAt time.Time
	// serviceTime is a moving average of how long one request occupies a slot.
	serviceTime time.Duration
	sequence    uint64
}

// rackCapacity is the capacity of a rack for one service.
type rackCapacity struct {
	// slots is the last reported number of free slots, less those that this node has
	// requested or been granted since.
	slots int
	// preemptibleSlots counts the further slots that the rack can free by preempting batch
	// tasks.
	preemptibleSlots int
	zone             string
	// consecutiveRefusals counts the refusals since the last grant or report. No grant
	// request is sent to the rack before backoffUntil.
	consecutiveRefusals int
	backoffUntil        time.Time
}

// grantRequest is an unanswered request to a rack for slots.
type grantRequest struct {
	slots  int
	sentAt time.Time
}

// grant is a grant of slots on one worker, and its use.
type grant struct {
	node.Grant
	inUse      int
	lastUsedAt time.Time
	// isRecalled means that no further request may use the grant, so that it is returned
	// once it is unused.
	isRecalled bool
}

// waiter is a request that waits for a slot.
type waiter struct {
	class    leverdyke.Class
	sequence uint64
	// ready receives the slot, or the error that ends the wait.
	ready chan acquireResult
}

// acquireResult ends a wait: exactly one of its fields is set.
type acquireResult struct {
	slot *Slot
	err  *leverdyke.Error
}

// Slot is the permission to send one request to a worker.
type Slot struct {
	// Worker and Addr are the destination of the request. Grant is the key of the grant
	// that covers it, which the request names. RunnerUp is the worker that would have been
	// chosen next; it is logged.
	Worker   worker.ID
	Addr     netip.AddrPort
	Grant    worker.Key
	RunnerUp worker.ID

	router     *Router
	service    *service
	grant      *grant
	acquiredAt time.Time
}

// NewRouter returns a router that has no grants of slots yet. Plan returns the messages that
// request them.
func NewRouter(options NewRouterOptions) *Router {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = defaultMaxWaiting
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	if options.Clock == nil {
		options.Clock = clock.Real{}
	}
	return &Router{options: options, services: map[string]*service{}, planDue: make(chan struct{}, 1)}
}

// PlanDue returns a channel that receives a value when the caller should call Plan at
// once instead of at its next tick.
func (r *Router) PlanDue() <-chan struct{} { return r.planDue }

// SetServices replaces the set of the services that accepted jobs define.
func (r *Router) SetServices(infos map[string]Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		_, s.isDefined = infos[name]
	}
	for name, info := range infos {
		s := r.service(name)
		s.isDefined, s.info = true, info
	}
}

// Info returns what the accepted jobs specify about a service; false means that no job
// defines it.
func (r *Router) Info(name string) (Info, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil || !s.isDefined {
		return Info{}, false
	}
	return s.info, true
}

// service returns the state of a service, which it creates if there is none.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{capacities: map[state.ShardID]*rackCapacity{}, grantRequests: map[state.ShardID]grantRequest{}, serviceTime: initialServiceTime}
		r.services[name] = s
	}
	return s
}

// OnCapacity processes a report of a rack's free capacity, which replaces the rack's
// earlier reports and ends its backoff.
func (r *Router) OnCapacity(summary *node.RackSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		delete(s.capacities, summary.Rack)
	}
	for _, sc := range summary.Services {
		s := r.service(sc.Service)
		s.capacities[summary.Rack] = &rackCapacity{slots: sc.Slots, preemptibleSlots: sc.PreemptibleSlots, zone: summary.Zone}
	}
}

// Acquire returns a slot for one request. If none is free, it waits in the queue of the
// service until ctx ends or a more urgent request displaces it. All its errors have the
// verdict not-run.
func (r *Router) Acquire(ctx context.Context, name string, class leverdyke.Class) (*Slot, *leverdyke.Error) {
	r.mu.Lock()
	s := r.services[name]
	if s == nil || !s.isDefined {
		r.mu.Unlock()
		return nil, leverdyke.NotRun("there is no service named "+name+" in this region", 0)
	}
	if len(s.waiting) == 0 {
		if slot := r.takeSlot(s); slot != nil {
			r.mu.Unlock()
			return slot, nil
		}
	}
	w, err := r.enqueue(ctx, s, class)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	r.signalPlan()
	select {
	case a := <-w.ready:
		return a.slot, a.err
	case <-ctx.Done():
		return nil, r.abandonWait(s, w)
	}
}

// enqueue adds a waiter. If the queue is full, the waiter displaces a less urgent one or
// is refused. It is also refused if it would probably wait beyond the deadline of ctx.
func (r *Router) enqueue(ctx context.Context, s *service, class leverdyke.Class) (*waiter, *leverdyke.Error) {
	wait := s.estimateWait(class)
	if deadline, ok := ctx.Deadline(); ok && wait > deadline.Sub(r.options.Clock.Now()) {
		return nil, leverdyke.NotRun("the deadline is shorter than the queue", seconds(wait))
	}
	if len(s.waiting) >= r.options.MaxWaiting && !shed(s, class, seconds(wait)) {
		return nil, leverdyke.NotRun("the queue of the service is full", seconds(wait))
	}
	s.sequence++
	w := &waiter{class: class, sequence: s.sequence, ready: make(chan acquireResult, 1)}
	at, _ := slices.BinarySearchFunc(s.waiting, w, compareWaiters)
	s.waiting = slices.Insert(s.waiting, at, w)
	return w, nil
}

// compareWaiters orders waiters by urgency, then by arrival.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.class.Rank(), b.class.Rank()), cmp.Compare(a.sequence, b.sequence))
}

// shed removes the last waiter of the queue if the class of a new request is more urgent,
// and reports whether it did.
func shed(s *service, class leverdyke.Class, retryAfter int) bool {
	last := s.waiting[len(s.waiting)-1]
	if last.class.Rank() <= class.Rank() {
		return false
	}
	s.waiting = s.waiting[:len(s.waiting)-1]
	last.ready <- acquireResult{err: leverdyke.NotRun("more urgent requests took its place", retryAfter)}
	return true
}

// estimateWait estimates how long a new request of the class would wait: the service time
// of all waiters of its class or a more urgent one, divided by the granted slots.
func (s *service) estimateWait(class leverdyke.Class) time.Duration {
	slots, ahead := 0, 0
	for _, g := range s.grants {
		slots += g.Slots
	}
	for _, w := range s.waiting {
		if w.class.Rank() <= class.Rank() {
			ahead++
		}
	}
	return time.Duration(ahead) * s.serviceTime / time.Duration(max(slots, 1))
}

// seconds returns the whole seconds of d plus one, so that a retry after them is never too
// early.
func seconds(d time.Duration) int { return int(d/time.Second) + 1 }

// abandonWait removes a waiter whose caller has disconnected or whose deadline has passed.
func (r *Router) abandonWait(s *service, w *waiter) *leverdyke.Error {
	r.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	r.mu.Unlock()
	if i < 0 {
		// The waiter was no longer in the queue: it had just been assigned a slot, which goes to
		// the next waiter, or had been displaced.
		if a := <-w.ready; a.slot != nil {
			a.slot.Release(false)
		}
	}
	return leverdyke.NotRun("no slot became free in time", 1)
}

// takeSlot takes a slot of the least loaded grant. Among equally loaded grants it prefers
// one in this node's zone, and then the one that was used last, so that others become
// idle and are returned. It returns nil if no slot is free.
func (r *Router) takeSlot(s *service) *Slot {
	var best, second *grant
	for _, g := range s.grants {
		if g.isRecalled || g.inUse >= g.Slots {
			continue
		}
		if best == nil || r.isBetterGrant(g, best) {
			best, second = g, best
		} else if second == nil || r.isBetterGrant(g, second) {
			second = g
		}
	}
	if best == nil {
		return nil
	}
	now := r.options.Clock.Now()
	best.inUse++
	s.inUse++
	s.peakInUse = max(s.peakInUse, s.inUse)
	best.lastUsedAt = now
	slot := &Slot{Worker: best.Worker, Addr: best.Addr, Grant: best.Key, router: r, service: s, grant: best, acquiredAt: now}
	if second != nil {
		slot.RunnerUp = second.Worker
	}
	return slot
}

// isBetterGrant reports whether a is to be preferred to b, in the order of takeSlot. Load
// is compared as a fraction of the slots.
func (r *Router) isBetterGrant(a, b *grant) bool {
	loadA, loadB := a.inUse*b.Slots, b.inUse*a.Slots
	if loadA != loadB {
		return loadA < loadB
	}
	nearA, nearB := a.Zone == r.options.Zone, b.Zone == r.options.Zone
	if nearA != nearB {
		return nearA
	}
	return a.lastUsedAt.After(b.lastUsedAt)
}

// Release frees the slot. hasFailed means that the worker refused the grant or could not be
// reached: then no further request uses the grant.
func (s *Slot) Release(hasFailed bool) {
	r := s.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	s.grant.inUse--
	s.service.inUse--
	s.grant.lastUsedAt = now
	if hasFailed {
		s.grant.isRecalled = true
	} else {
		elapsed := now.Sub(s.acquiredAt)
		s.service.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-s.service.serviceTime))
	}
	r.assignSlots(s.service)
	if s.grant.isRecalled && s.grant.inUse == 0 {
		r.signalPlan()
	}
}

// assignSlots assigns free slots to waiters, the most urgent first.
func (r *Router) assignSlots(s *service) {
	for len(s.waiting) > 0 {
		slot := r.takeSlot(s)
		if slot == nil {
			return
		}
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.ready <- acquireResult{slot: slot}
	}
}

// signalPlan makes PlanDue receive a value, if none is pending.
func (r *Router) signalPlan() {
	select {
	case r.planDue <- struct{}{}:
	default:
	}
}
