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

// headroomDivisor sets the headroom that is kept above the peak usage: a quarter of it,
// and one slot more.
const headroomDivisor = 4

// maxBackoffDoublings keeps the shifted backoff from overflowing.
const maxBackoffDoublings = 8

// Plan lists the messages that the router wants to be sent to the owners of racks.
type Plan struct {
	GrantRequests []node.GrantRequest
	GrantReturns  []node.GrantReturn
}

// OnGrant processes the answer to a grant request: a grant, or a refusal. A grant that the
// router already has is ignored.
func (r *Router) OnGrant(g *node.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(g.Service)
	s.endGrantRequest(g.Rack)
	now := r.options.Clock.Now()
	if g.RefusalReason != "" {
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

// endGrantRequest removes the pending grant request to a rack and counts its slots as free
// again.
func (s *service) endGrantRequest(rack state.ShardID) {
	if capacity := s.capacities[rack]; capacity != nil {
		capacity.slots += s.grantRequests[rack].slots
	}
	delete(s.grantRequests, rack)
}

// backOff stops grant requests to a rack for a while. The rack's reported capacity is
// kept: a rack reports only changes, and so does not report again if it had no free
// capacity for just a moment.
func (s *service) backOff(now time.Time, rack state.ShardID) {
	capacity := s.capacities[rack]
	if capacity == nil {
		return
	}
	capacity.backoffUntil = now.Add(min(initialBackoff<<min(capacity.consecutiveRefusals, maxBackoffDoublings), maxBackoff))
	capacity.consecutiveRefusals++
}

// MissingGrants returns those of the keys for which the router has no grant.
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

// OnRecall processes the request of a rack's owner to return a grant once it is unused.
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

// Plan returns the grants to request and to return. The caller must send these messages:
// the router counts them as sent.
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

// recallSurplus marks as recalled the grants that even the peak usage since the last check
// did not need, with headroom. Idle time alone would not find them: requests go to the
// least loaded grant and so are spread over all of them, and none would become idle.
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

// returnGrants removes the grants without a request in progress that are recalled or have
// been idle for too long, and adds them to the plan.
func (r *Router) returnGrants(now time.Time, s *service, p *Plan) {
	s.grants = slices.DeleteFunc(s.grants, func(g *grant) bool {
		isIdle := now.Sub(g.lastUsedAt) >= r.options.IdleTimeout
		if g.inUse > 0 || (!g.isRecalled && !isIdle) {
			return false
		}
		p.GrantReturns = append(p.GrantReturns, node.GrantReturn{Rack: g.Rack, Key: g.Key})
		if capacity := s.capacities[g.Rack]; capacity != nil {
			capacity.slots += g.Slots
		}
		return true
	})
}

// planGrantRequests requests slots for the waiting requests from the best racks (see
// bestRack). A rack that has not answered in time counts as having refused.
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
		p.GrantRequests = append(p.GrantRequests, node.GrantRequest{Rack: rack, Service: name, Slots: n, Class: class})
	}
}

// expectedSlots returns the number of requested slots that are likely to arrive soon.
// Requests that have been pending for longer than hedgeDelay do not count, so that their
// slots are requested from another rack as well.
func (s *service) expectedSlots(now time.Time) int {
	slots := 0
	for _, a := range s.grantRequests {
		if now.Sub(a.sentAt) < hedgeDelay {
			slots += a.slots
		}
	}
	return slots
}

// available returns for how many requests of a class slots may be requested from the rack.
// A rack can preempt batch tasks for a request, but not for a request of class batch.
func (c *rackCapacity) available(class leverdyke.Class) int {
	if class == leverdyke.ClassBatch {
		return c.slots
	}
	return c.slots + c.preemptibleSlots
}

// bestRack returns the rack to which the next grant request goes, or nil if there is no
// rack with available slots, no pending request and no backoff. Among equals it chooses
// the one with the lowest ID, so that the choice is deterministic.
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

// isBetterRack prefers racks with free slots to those that would have to preempt, then
// racks in this node's zone, then those with more free slots.
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

// Load returns the numbers of waiting requests, of requests in progress, and of granted
// slots.
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
