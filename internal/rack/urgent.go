// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// urgentPatience is how long urgent work waits here for its victims; the
	// home then tries another rack, within the 3.4 s that it has in all.
	urgentPatience = 1500 * time.Millisecond
	// checkpointPatience is after how long a checkpoint becomes a stop.
	checkpointPatience = 700 * time.Millisecond
)

// urgent is an attempt that waits for victims to leave its worker. Its room is
// kept by a hold, so that nobody else takes what becomes free.
type urgent struct {
	ask   pendingAsk
	vm    *vm
	hold  holdID
	since time.Time
}

// settleUrgent makes room for urgent work by pushing others aside, or refuses.
func (r *Rack) settleUrgent(now time.Time, p pendingAsk) {
	if p.item.Task.Class != leverdyke.ClassUrgent {
		r.refuseForRoom(p)
		return
	}
	v, pushes := r.cheapest(now, p.item)
	if v == nil {
		r.refuseForRoom(p)
		return
	}
	key := p.item.Task.Key
	id := holdID{home: state.ShardID(key.String())}
	r.holds[id] = &hold{each: r.expected(&p.item.Task), places: map[worker.ID]int{v.id: 1}, until: now.Add(maxHold)}
	r.urgents = append(r.urgents, &urgent{p, v, id, now})
	r.push(now, v, pushes, "for "+key.String())
}

// cheapest returns the worker where the fewest and gentlest deeds make room.
func (r *Rack) cheapest(now time.Time, item *node.AskItem) (*vm, []placement.Push) {
	var best *vm
	var bestPushes []placement.Push
	bestCost := 0
	need := r.expected(&item.Task)
	for _, id := range r.order {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) {
			continue
		}
		pushes := placement.Preempt(need, r.free(v), item.Task.Class, r.victims(now, v))
		if pushes == nil {
			continue
		}
		if cost := costOf(pushes); best == nil || cost < bestCost {
			best, bestPushes, bestCost = v, pushes, cost
		}
	}
	return best, bestPushes
}

func costOf(pushes []placement.Push) int {
	cost := 0
	for _, p := range pushes {
		cost++
		if p.Deed != worker.ActionThrottle {
			cost += 10
		}
	}
	return cost
}

func (r *Rack) victims(now time.Time, v *vm) []placement.Victim {
	list := []placement.Victim{}
	for _, h := range sortedHeld(v.held) {
		if h.phase != phaseRunning || h.deed != "" || h.task.Holder != "" {
			continue
		}
		list = append(list, placement.Victim{
			Key: h.task.Key, Charge: h.task.Charge(), Class: h.task.Class, IsOnce: h.task.IsOnce,
			IsThrottled: h.task.IsThrottled, Ran: now.Sub(h.since),
		})
	}
	return list
}

// retryUrgents starts the urgent work whose room has become free.
func (r *Rack) retryUrgents(now time.Time) {
	kept := r.urgents[:0]
	for _, u := range r.urgents {
		if !r.isUsable(now, u.vm) || !zero.FitsIn(r.free(u.vm)) {
			kept = append(kept, u)
			continue
		}
		delete(r.holds, u.hold)
		r.place(now, u.ask, u.vm, nil, "room was made")
	}
	r.urgents = kept
}

func (r *Rack) expireUrgents(now time.Time) {
	r.dropUrgents(func(u *urgent) bool {
		if now.Sub(u.since) < urgentPatience {
			return false
		}
		r.refuseForRoom(u.ask)
		return true
	})
}

func (r *Rack) cancelUrgent(k worker.Key) {
	r.dropUrgents(func(u *urgent) bool {
		if u.ask.item.Task.Key != k {
			return false
		}
		r.answerRefused(u.ask.ask, k, "cancelled")
		return true
	})
}

func (r *Rack) dropOldUrgents(home state.ShardID, epoch uint64) {
	r.dropUrgents(func(u *urgent) bool { return u.ask.ask.Home == home && u.ask.ask.HomeEpoch < epoch })
}

func (r *Rack) dropUrgents(isOver func(*urgent) bool) {
	r.urgents = slices.DeleteFunc(r.urgents, func(u *urgent) bool {
		if !isOver(u) {
			return false
		}
		delete(r.holds, u.hold)
		return true
	})
}

func (r *Rack) isUrgentWaiting(k worker.Key) bool {
	return slices.ContainsFunc(r.urgents, func(u *urgent) bool { return u.ask.item.Task.Key == k })
}

// escalate returns the deed to order again: a checkpoint that does not come
// about becomes a stop.
func (r *Rack) escalate(now time.Time, h *held) worker.Action {
	if h.deed == worker.ActionCheckpoint && now.Sub(h.since) > checkpointPatience {
		h.deed = worker.ActionStop
	}
	return h.deed
}

// unthrottle gives throttled tasks their processors back where there is room
// and nobody urgent waits. The charge grows before the worker is told.
func (r *Rack) unthrottle(now time.Time) {
	if len(r.urgents)+len(r.pushedGrants) > 0 {
		return
	}
	for _, h := range sortedHeld(r.held) {
		if h.phase != phaseRunning || !h.task.IsThrottled || h.deed != "" {
			continue
		}
		// A throttled task reports less than it will use.
		h.task.Usage = h.task.Usage.Max(r.expected(&h.task))
		h.task.IsThrottled = false
		if !zero.FitsIn(r.free(h.vm)) {
			h.task.IsThrottled = true
			continue
		}
		h.deed = worker.ActionUnthrottle
		h.told = now
		r.out.Acts = append(r.out.Acts, ActOrder{h.vm.id, worker.ActionUnthrottle, []worker.Key{h.task.Key}})
	}
}
