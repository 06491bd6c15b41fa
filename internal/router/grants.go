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

// trimHeadroom is the part of the busiest moment's slots that is kept on top.
const trimHeadroom = 4

// maxDoublings keeps the doubled time of shut within its type.
const maxDoublings = 8

// Plan is what the router wants of the racks' owners.
type Plan struct {
	Asks []node.GrantAsk
	Done []node.GrantDone
}

// OnGrant takes a grant, or its refusal.
func (r *Router) OnGrant(g *node.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(g.Service)
	s.answered(g.Rack)
	now := r.options.Clock.Now()
	if g.Refused != "" {
		s.shut(now, g.Rack)
		return
	}
	if slices.ContainsFunc(s.grants, func(o *grant) bool { return o.Key == g.Key }) {
		return
	}
	s.grants = append(s.grants, &grant{Grant: *g, usedAt: now})
	if room := s.rooms[g.Rack]; room != nil {
		room.slots -= g.Slots
		room.refusals = 0
	}
	r.serve(s)
	if len(s.waiting) > 0 {
		r.wake()
	}
}

// answered ends an ask; what it was for counts as free at the rack again.
func (s *service) answered(rack state.ShardID) {
	if room := s.rooms[rack]; room != nil {
		room.slots += s.asked[rack].slots
	}
	delete(s.asked, rack)
}

// shut keeps from asking a rack for a while. What the rack told stays: the rack
// tells no more if it is the same after a moment without room.
func (s *service) shut(now time.Time, rack state.ShardID) {
	room := s.rooms[rack]
	if room == nil {
		return
	}
	room.shutUntil = now.Add(min(firstShut<<min(room.refusals, maxDoublings), lastShut))
	room.refusals++
}

// Lacking returns those of the grants that the router does not have.
func (r *Router) Lacking(keys []worker.Key) []worker.Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	has := map[worker.Key]bool{}
	for _, s := range r.services {
		for _, g := range s.grants {
			has[g.Key] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(keys), func(k worker.Key) bool { return has[k] })
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
	r.wake()
}

// Plan returns the grants to ask for and to give back.
func (r *Router) Plan() Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	p := Plan{}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		r.trim(now, s)
		r.dropGrants(now, s, &p)
		r.planAsks(now, name, s, &p)
	}
	return p
}

// trim recalls the grants that were not needed lately, even at the busiest
// moment. Requests go to the least loaded grant, so that none of too many would
// ever be idle.
func (r *Router) trim(now time.Time, s *service) {
	if s.trimmedAt.IsZero() {
		s.trimmedAt = now
	}
	if now.Sub(s.trimmedAt) < r.options.Idle || len(s.waiting) > 0 {
		return
	}
	total := 0
	for _, g := range s.grants {
		if !g.isRecalled {
			total += g.Slots
		}
	}
	spare := total - (s.peak + s.peak/trimHeadroom + 1)
	for _, g := range slices.Backward(s.grants) {
		if !g.isRecalled && g.Slots <= spare {
			g.isRecalled = true
			spare -= g.Slots
		}
	}
	s.peak, s.trimmedAt = s.inUse, now
}

// dropGrants returns the grants that are recalled or idle, and of which no
// request is in progress.
func (r *Router) dropGrants(now time.Time, s *service, p *Plan) {
	s.grants = slices.DeleteFunc(s.grants, func(g *grant) bool {
		isIdle := now.Sub(g.usedAt) >= r.options.Idle
		if g.inUse > 0 || (!g.isRecalled && !isIdle) {
			return false
		}
		p.Done = append(p.Done, node.GrantDone{Rack: g.Rack, Key: g.Key})
		if room := s.rooms[g.Rack]; room != nil {
			room.slots += g.Slots
		}
		return true
	})
}

// planAsks asks for slots for those who wait, near racks first, then those
// with the most room.
func (r *Router) planAsks(now time.Time, name string, s *service, p *Plan) {
	for rack, a := range s.asked {
		if now.Sub(a.at) > askPatience {
			s.answered(rack)
			s.shut(now, rack)
		}
	}
	need := len(s.waiting) - s.awaited(now)
	for need > 0 && len(s.asked) < asksAtOnce {
		class := s.waiting[0].class
		rack, room := r.bestRoom(now, s, class)
		if room == nil {
			return
		}
		n := min(need, room.available(class))
		s.asked[rack] = ask{n, now}
		room.slots -= n
		need -= n
		p.Asks = append(p.Asks, node.GrantAsk{Rack: rack, Service: name, Slots: n, Class: class})
	}
}

// awaited is how many slots are asked for and may come any moment. An ask that
// takes longer does not keep from asking another rack.
func (s *service) awaited(now time.Time) int {
	slots := 0
	for _, a := range s.asked {
		if now.Sub(a.at) < hedgeAfter {
			slots += a.slots
		}
	}
	return slots
}

// available is for how many requests of a class the rack may be asked: none but
// batches can be pushed aside for a request, and not for a batch's.
func (m *rackRoom) available(class leverdyke.Class) int {
	if class == leverdyke.ClassBatch {
		return m.slots
	}
	return m.slots + m.yield
}

func (r *Router) bestRoom(now time.Time, s *service, class leverdyke.Class) (state.ShardID, *rackRoom) {
	var best *rackRoom
	id := state.ShardID("")
	for rack, room := range s.rooms {
		_, isAsked := s.asked[rack]
		if isAsked || room.available(class) <= 0 || now.Before(room.shutUntil) {
			continue
		}
		if best == nil || r.isBetterRoom(room, best) || (!r.isBetterRoom(best, room) && rack < id) {
			best, id = room, rack
		}
	}
	return id, best
}

func (r *Router) isBetterRoom(a, b *rackRoom) bool {
	if freeA, freeB := a.slots > 0, b.slots > 0; freeA != freeB {
		return freeA
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
