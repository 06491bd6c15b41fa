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
	// Idle is how long a grant may be unused before it is given back; 0 means
	// 2 s.
	Idle  time.Duration
	Clock clock.Service
}

const (
	defaultMaxWaiting = 512
	defaultIdle       = 2 * time.Second
	// asksAtOnce bounds the unanswered asks for one service.
	asksAtOnce  = 4
	askPatience = time.Second
	// hedgeAfter is how long an unanswered ask keeps from asking other racks.
	hedgeAfter = 50 * time.Millisecond
	// firstShut is how long a rack is not asked after a refusal; it doubles with
	// each further one up to lastShut.
	firstShut    = 150 * time.Millisecond
	lastShut     = 2400 * time.Millisecond
	serviceGuess = 20 * time.Millisecond
	// estimateShare is the weight of the newest service time in the estimate.
	estimateShare = 0.1
)

// Router has the grants and the waiting requests of a node. It is safe for
// concurrent use.
type Router struct {
	options NewRouterOptions

	mu       sync.Mutex
	services map[string]*service
	// nudge wakes the duty that asks for grants.
	nudge chan struct{}
}

// Info is what the accepted jobs say of a service.
type Info struct {
	// IsOnce means that requests that change something may not be repeated.
	IsOnce bool
}

type service struct {
	info     Info
	isListed bool
	grants   []*grant
	waiting  []*waiter
	// rooms has the racks that run the service, as they last said.
	rooms map[state.ShardID]*rackRoom
	// asked has the unanswered asks by rack.
	asked map[state.ShardID]ask
	// inUse is how many requests are in progress, peak the most of them since
	// trimmedAt.
	inUse, peak int
	trimmedAt   time.Time
	// perRequest estimates how long one request holds a slot.
	perRequest time.Duration
	sequence   uint64
}

// rackRoom is what a rack last told of a service.
type rackRoom struct {
	// slots is what was told less what this node has asked for and got since.
	slots int
	// yield counts further slots for which batches can be pushed aside.
	yield int
	zone  string
	// refusals counts the refusals in a row; shutUntil is until when nothing is
	// asked after the last one.
	refusals  int
	shutUntil time.Time
}

// ask is an ask for slots that has not been answered.
type ask struct {
	slots int
	at    time.Time
}

type grant struct {
	node.Grant
	inUse  int
	usedAt time.Time
	// isRecalled means that no request takes it any more.
	isRecalled bool
}

type waiter struct {
	class    leverdyke.Class
	sequence uint64
	// ready gets the slot, or the error that ends the wait.
	ready chan acquired
}

type acquired struct {
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

	router  *Router
	service *service
	grant   *grant
	began   time.Time
}

// NewRouter returns a router without grants.
func NewRouter(options NewRouterOptions) *Router {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = defaultMaxWaiting
	}
	if options.Idle == 0 {
		options.Idle = defaultIdle
	}
	if options.Clock == nil {
		options.Clock = clock.Real{}
	}
	return &Router{options: options, services: map[string]*service{}, nudge: make(chan struct{}, 1)}
}

// Nudge returns the channel that is fed when Plan has something to do at once.
func (r *Router) Nudge() <-chan struct{} { return r.nudge }

// SetServices tells the router which services there are.
func (r *Router) SetServices(infos map[string]Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		_, s.isListed = infos[name]
	}
	for name, info := range infos {
		s := r.service(name)
		s.isListed, s.info = true, info
	}
}

// Info returns what is known of a service; false means that there is none.
func (r *Router) Info(name string) (Info, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil || !s.isListed {
		return Info{}, false
	}
	return s.info, true
}

func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{rooms: map[state.ShardID]*rackRoom{}, asked: map[state.ShardID]ask{}, perRequest: serviceGuess}
		r.services[name] = s
	}
	return s
}

// OnRoom takes a rack's summary.
func (r *Router) OnRoom(room *node.Room) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		delete(s.rooms, room.Rack)
	}
	for _, sr := range room.Services {
		s := r.service(sr.Service)
		s.rooms[room.Rack] = &rackRoom{slots: sr.Slots, yield: sr.Yield, zone: room.Zone}
	}
}

// Acquire returns a slot for one request. It waits in the service's queue,
// within its bound and until ctx ends; all its errors are not-run.
func (r *Router) Acquire(ctx context.Context, name string, class leverdyke.Class) (*Slot, *leverdyke.Error) {
	r.mu.Lock()
	s := r.services[name]
	if s == nil || !s.isListed {
		r.mu.Unlock()
		return nil, leverdyke.NotRun("there is no service named "+name+" in this region", 0)
	}
	if len(s.waiting) == 0 {
		if slot := r.take(s); slot != nil {
			r.mu.Unlock()
			return slot, nil
		}
	}
	w, err := r.enqueue(ctx, s, class)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	r.wake()
	select {
	case a := <-w.ready:
		return a.slot, a.err
	case <-ctx.Done():
		return nil, r.giveUp(s, w)
	}
}

// enqueue adds a waiter, in place of a less urgent one if the queue is full.
func (r *Router) enqueue(ctx context.Context, s *service, class leverdyke.Class) (*waiter, *leverdyke.Error) {
	wait := s.estimate(class)
	if deadline, ok := ctx.Deadline(); ok && wait > deadline.Sub(r.options.Clock.Now()) {
		return nil, leverdyke.NotRun("the deadline is shorter than the queue", seconds(wait))
	}
	if len(s.waiting) >= r.options.MaxWaiting && !shed(s, class, seconds(wait)) {
		return nil, leverdyke.NotRun("the queue of the service is full", seconds(wait))
	}
	s.sequence++
	w := &waiter{class: class, sequence: s.sequence, ready: make(chan acquired, 1)}
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
	last.ready <- acquired{err: leverdyke.NotRun("more urgent requests took its place", retryAfter)}
	return true
}

// estimate is how long a new request of the class would wait.
func (s *service) estimate(class leverdyke.Class) time.Duration {
	slots, ahead := 0, 0
	for _, g := range s.grants {
		slots += g.Slots
	}
	for _, w := range s.waiting {
		if w.class.Rank() <= class.Rank() {
			ahead++
		}
	}
	return time.Duration(ahead) * s.perRequest / time.Duration(max(slots, 1))
}

func seconds(d time.Duration) int { return int(d/time.Second) + 1 }

// giveUp takes a waiter out whose caller is gone or whose time is over.
func (r *Router) giveUp(s *service, w *waiter) *leverdyke.Error {
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

// take uses the least loaded grant; of equals a near one, then the one used
// last, so that others become idle and can be given back.
func (r *Router) take(s *service) *Slot {
	var best, second *grant
	for _, g := range s.grants {
		if g.isRecalled || g.inUse >= g.Slots {
			continue
		}
		if best == nil || r.isBetter(g, best) {
			best, second = g, best
		} else if second == nil || r.isBetter(g, second) {
			second = g
		}
	}
	if best == nil {
		return nil
	}
	now := r.options.Clock.Now()
	best.inUse++
	s.inUse++
	s.peak = max(s.peak, s.inUse)
	best.usedAt = now
	slot := &Slot{Worker: best.Worker, Addr: best.Addr, Grant: best.Key, router: r, service: s, grant: best, began: now}
	if second != nil {
		slot.RunnerUp = second.Worker
	}
	return slot
}

func (r *Router) isBetter(a, b *grant) bool {
	loadA, loadB := a.inUse*b.Slots, b.inUse*a.Slots
	if loadA != loadB {
		return loadA < loadB
	}
	nearA, nearB := a.Zone == r.options.Zone, b.Zone == r.options.Zone
	if nearA != nearB {
		return nearA
	}
	return a.usedAt.After(b.usedAt)
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
	s.grant.usedAt = now
	if isBad {
		s.grant.isRecalled = true
	} else {
		took := now.Sub(s.began)
		s.service.perRequest += time.Duration(estimateShare * float64(took-s.service.perRequest))
	}
	r.serve(s.service)
	if s.grant.isRecalled && s.grant.inUse == 0 {
		r.wake()
	}
}

// serve hands free slots to those who wait.
func (r *Router) serve(s *service) {
	for len(s.waiting) > 0 {
		slot := r.take(s)
		if slot == nil {
			return
		}
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.ready <- acquired{slot: slot}
	}
}

func (r *Router) wake() {
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}
