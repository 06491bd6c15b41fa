// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package router

import (
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// headroomDivisor is the part of the busiest moment's slots that is kept on top.
const headroomDivisor = 4

// maxBackoffDoublings keeps the doubled time of shut within its type.
const maxBackoffDoublings = 8

// Plan is what the router wants of the racks' owners.
type Plan struct {
	GrantRequests []node.GrantAsk
	GrantReturns  []node.GrantDone
}

// OnGrant takes a grant, or its refusal.
func (r *Router) OnGrant(g *node.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(g.Service)
	s.endGrantRequest(g.Rack)
	now := r.options.Clock.Now()
	if g.Refused != "" {
		s.backOff(now, g.Rack)
		return
	}
	if slices.ContainsFunc(s.grants, func(o *grant) bool { return o.Key == g.Key }) {
		return
	}
	s.grants = append(s.grants, &grant{Grant: *g, lastUsedAt: now})
	if capacity := s.capacities[g.Rack]; capacity != nil {
		capacity.slots -= g.Slots
		capacity.consecutiveRefusals = 0
	}
	r.assignSlots(s)
	if len(s.waiting) > 0 {
		r.signalPlan()
	}
}

// endGrantRequest ends an ask; what it was for counts as free at the rack again.
func (s *service) endGrantRequest(rack state.ShardID) {
	if capacity := s.capacities[rack]; capacity != nil {
		capacity.slots += s.grantRequests[rack].slots
	}
	delete(s.grantRequests, rack)
}

// backOff keeps from asking a rack for a while. What the rack told stays: the rack
// tells no more if it is the same after a moment without room.
func (s *service) backOff(now time.Time, rack state.ShardID) {
	capacity := s.capacities[rack]
	if capacity == nil {
		return
	}
	capacity.backoffUntil = now.Add(min(initialBackoff<<min(capacity.consecutiveRefusals, maxBackoffDoublings), maxBackoff))
	capacity.consecutiveRefusals++
}

// MissingGrants returns those of the grants that the router does not have.
func (r *Router) MissingGrants(keys []worker.Key) []worker.Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := map[worker.Key]bool{}
	for _, s := range r.services {
		for _, g := range s.grants {
			held[g.Key] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(keys), func(k worker.Key) bool { return held[k] })
}

// OnRecall takes an owner's wish to have a grant back.
func (r *Router) OnRecall(k worker.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		for _, g := range s.grants {
			if g.Key == k {
				g.isRecalled = true
			}
		}
	}
	r.signalPlan()
}

// Plan returns the grants to ask for and to give back.
func (r *Router) Plan() Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	p := Plan{}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		r.recallSurplus(now, s)
		r.returnGrants(now, s, &p)
		r.planGrantRequests(now, name, s, &p)
	}
	return p
}

// recallSurplus recalls the grants that were not needed lately, even at the busiest
// moment. Requests go to the least loaded grant, so that none of too many would
// ever be idle.
func (r *Router) recallSurplus(now time.Time, s *service) {
	if s.surplusCheckedAt.IsZero() {
		s.surplusCheckedAt = now
	}
	if now.Sub(s.surplusCheckedAt) < r.options.IdleTimeout || len(s.waiting) > 0 {
		return
	}
	total := 0
	for _, g := range s.grants {
		if !g.isRecalled {
			total += g.Slots
		}
	}
	surplus := total - (s.peakInUse + s.peakInUse/headroomDivisor + 1)
	for _, g := range slices.Backward(s.grants) {
		if !g.isRecalled && g.Slots <= surplus {
			g.isRecalled = true
			surplus -= g.Slots
		}
	}
	s.peakInUse, s.surplusCheckedAt = s.inUse, now
}

// returnGrants returns the grants that are recalled or idle, and of which no
// request is in progress.
func (r *Router) returnGrants(now time.Time, s *service, p *Plan) {
	s.grants = slices.DeleteFunc(s.grants, func(g *grant) bool {
		isIdle := now.Sub(g.lastUsedAt) >= r.options.IdleTimeout
		if g.inUse > 0 || (!g.isRecalled && !isIdle) {
			return false
		}
		p.GrantReturns = append(p.GrantReturns, node.GrantDone{Rack: g.Rack, Key: g.Key})
		if capacity := s.capacities[g.Rack]; capacity != nil {
			capacity.slots += g.Slots
		}
		return true
	})
}

// planGrantRequests asks for slots for those who wait, near racks first, then those
// with the most room.
func (r *Router) planGrantRequests(now time.Time, name string, s *service, p *Plan) {
	for rack, a := range s.grantRequests {
		if now.Sub(a.sentAt) > grantRequestTimeout {
			s.endGrantRequest(rack)
			s.backOff(now, rack)
		}
	}
	need := len(s.waiting) - s.expectedSlots(now)
	for need > 0 && len(s.grantRequests) < maxGrantRequests {
		class := s.waiting[0].class
		rack, capacity := r.bestRack(now, s, class)
		if capacity == nil {
			return
		}
		n := min(need, capacity.available(class))
		s.grantRequests[rack] = grantRequest{n, now}
		capacity.slots -= n
		need -= n
		p.GrantRequests = append(p.GrantRequests, node.GrantAsk{Rack: rack, Service: name, Slots: n, Class: class})
	}
}

// expectedSlots is how many slots are asked for and may come any moment. An ask that
// takes longer does not keep from asking another rack.
func (s *service) expectedSlots(now time.Time) int {
	slots := 0
	for _, a := range s.grantRequests {
		if now.Sub(a.sentAt) < hedgeDelay {
			slots += a.slots
		}
	}
	return slots
}

// available is for how many requests of a class the rack may be asked: none but
// batches can be pushed aside for a request, and not for a batch's.
func (c *rackCapacity) available(class leverdyke.Class) int {
	if class == leverdyke.ClassBatch {
		return c.slots
	}
	return c.slots + c.preemptibleSlots
}

func (r *Router) bestRack(now time.Time, s *service, class leverdyke.Class) (state.ShardID, *rackCapacity) {
	var best *rackCapacity
	id := state.ShardID("")
	for rack, capacity := range s.capacities {
		_, isPending := s.grantRequests[rack]
		if isPending || capacity.available(class) <= 0 || now.Before(capacity.backoffUntil) {
			continue
		}
		if best == nil || r.isBetterRack(capacity, best) || (!r.isBetterRack(best, capacity) && rack < id) {
			best, id = capacity, rack
		}
	}
	return id, best
}

func (r *Router) isBetterRack(a, b *rackCapacity) bool {
	if hasFreeA, hasFreeB := a.slots > 0, b.slots > 0; hasFreeA != hasFreeB {
		return hasFreeA
	}
	nearA, nearB := a.zone == r.options.Zone, b.zone == r.options.Zone
	if nearA != nearB {
		return nearA
	}
	return a.slots > b.slots
}

// Load returns how many requests wait, are in progress, and how many slots
// are held.
func (r *Router) Load() (waiting, inUse, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		waiting += len(s.waiting)
		for _, g := range s.grants {
			inUse += g.inUse
			slots += g.Slots
		}
	}
	return waiting, inUse, slots
}
