// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package router gives callers' requests their slots: it reuses the grants that
// racks' owners gave to this node, queues within bounds, and refuses early.
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

// NewRouterOptions sets the bounds. Zero values mean the defaults.
type NewRouterOptions struct {
	// Zone is this node's availability zone; workers there are preferred.
	Zone string
	// MaxWaiting bounds the requests that wait for a slot of one service; 0
	// means 512.
	MaxWaiting int
	// IdleTimeout is how long a grant may be unused before it is given back; 0 means
	// 2 s.
	IdleTimeout time.Duration
	Clock       clock.Service
}

const (
	defaultMaxWaiting  = 512
	defaultIdleTimeout = 2 * time.Second
	// maxGrantRequests bounds the unanswered asks for one service.
	maxGrantRequests    = 4
	grantRequestTimeout = time.Second
	// hedgeDelay is how long an unanswered ask keeps from asking other racks.
	hedgeDelay = 50 * time.Millisecond
	// initialBackoff is how long a rack is not asked after a refusal; it doubles with
	// each further one up to lastShut.
	initialBackoff     = 150 * time.Millisecond
	maxBackoff         = 2400 * time.Millisecond
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of the newest service time in the estimate.
	serviceTimeWeight = 0.1
)

// Router has the grants and the waiting requests of a node. It is safe for
// concurrent use.
type Router struct {
	options NewRouterOptions

	mu       sync.Mutex
	services map[string]*service
	// planDue wakes the duty that asks for grants.
	planDue chan struct{}
}

// Info is what the accepted jobs say of a service.
type Info struct {
	// IsOnce means that requests that change something may not be repeated.
	IsOnce bool
}

type service struct {
	info      Info
	isDefined bool
	grants    []*grant
	waiting   []*waiter
	// capacities has the racks that run the service, as they last said.
	capacities map[state.ShardID]*rackCapacity
	// grantRequests has the unanswered asks by rack.
	grantRequests map[state.ShardID]grantRequest
	// inUse is how many requests are in progress, peakInUse the most of them since
	// trimmedAt.
	inUse, peakInUse int
	surplusCheckedAt time.Time
	// serviceTime estimates how long one request holds a slot.
	serviceTime time.Duration
	sequence    uint64
}

// rackCapacity is what a rack last told of a service.
type rackCapacity struct {
	// slots is what was told less what this node has asked for and got since.
	slots int
	// preemptibleSlots counts further slots for which batches can be pushed aside.
	preemptibleSlots int
	zone             string
	// consecutiveRefusals counts the consecutiveRefusals in a row; shutUntil is until when nothing is
	// asked after the last one.
	consecutiveRefusals int
	backoffUntil        time.Time
}

// grantRequest is an grantRequest for slots that has not been answered.
type grantRequest struct {
	slots  int
	sentAt time.Time
}

type grant struct {
	node.Grant
	inUse      int
	lastUsedAt time.Time
	// isRecalled means that no request takes it any more.
	isRecalled bool
}

type waiter struct {
	class    leverdyke.Class
	sequence uint64
	// ready gets the slot, or the error that ends the wait.
	ready chan acquireResult
}

type acquireResult struct {
	slot *Slot
	err  *leverdyke.Error
}

// Slot is the right to send one request to a worker.
type Slot struct {
	// Worker, Addr and Grant say where the request goes and under what right.
	Worker   worker.ID
	Addr     netip.AddrPort
	Grant    worker.Key
	RunnerUp worker.ID

	router     *Router
	service    *service
	grant      *grant
	acquiredAt time.Time
}

// NewRouter returns a router without grants.
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

// PlanDue returns the channel that is fed when Plan has something to do at once.
func (r *Router) PlanDue() <-chan struct{} { return r.planDue }

// SetServices tells the router which services there are.
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

// Info returns what is known of a service; false means that there is none.
func (r *Router) Info(name string) (Info, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil || !s.isDefined {
		return Info{}, false
	}
	return s.info, true
}

func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{capacities: map[state.ShardID]*rackCapacity{}, grantRequests: map[state.ShardID]grantRequest{}, serviceTime: initialServiceTime}
		r.services[name] = s
	}
	return s
}

// OnCapacity takes a rack's summary.
func (r *Router) OnCapacity(summary *node.Room) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		delete(s.capacities, summary.Rack)
	}
	for _, sc := range summary.Services {
		s := r.service(sc.Service)
		s.capacities[summary.Rack] = &rackCapacity{slots: sc.Slots, preemptibleSlots: sc.Yield, zone: summary.Zone}
	}
}

// Acquire returns a slot for one request. It waits in the service's queue,
// within its bound and until ctx ends; all its errors are not-run.
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

// enqueue adds a waiter, in place of a less urgent one if the queue is full.
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

func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.class.Rank(), b.class.Rank()), cmp.Compare(a.sequence, b.sequence))
}

// shed refuses the last and least urgent waiter if it is less urgent than the
// newcomer.
func shed(s *service, class leverdyke.Class, retryAfter int) bool {
	last := s.waiting[len(s.waiting)-1]
	if last.class.Rank() <= class.Rank() {
		return false
	}
	s.waiting = s.waiting[:len(s.waiting)-1]
	last.ready <- acquireResult{err: leverdyke.NotRun("more urgent requests took its place", retryAfter)}
	return true
}

// estimateWait is how long a new request of the class would wait.
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

func seconds(d time.Duration) int { return int(d/time.Second) + 1 }

// abandonWait takes a waiter out whose caller is gone or whose time is over.
func (r *Router) abandonWait(s *service, w *waiter) *leverdyke.Error {
	r.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	r.mu.Unlock()
	if i < 0 {
		// A slot was on its way: it goes to the next.
		if a := <-w.ready; a.slot != nil {
			a.slot.Release(false)
		}
	}
	return leverdyke.NotRun("no slot became free in time", 1)
}

// takeSlot uses the least loaded grant; of equals a near one, then the one used
// last, so that others become idle and can be given back.
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

// Release gives the slot back. isBad means that the worker did not accept the
// grant or could not be reached: the grant is not used again.
func (s *Slot) Release(isBad bool) {
	r := s.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	s.grant.inUse--
	s.service.inUse--
	s.grant.lastUsedAt = now
	if isBad {
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

// assignSlots hands free slots to those who wait.
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

func (r *Router) signalPlan() {
	select {
	case r.planDue <- struct{}{}:
	default:
	}
}
