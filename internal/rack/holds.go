// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// earmarkAge is how long an all-at-once job must have waited before a rack
	// keeps room for it, and earmarkTime how long without a further try.
	earmarkAge  = 10 * time.Second
	earmarkTime = 5 * time.Second
	maxHold     = 30 * time.Second
)

type holdID struct {
	home state.ShardID
	id   uint64
}

// hold is room that is kept for an all-at-once job until it expires.
type hold struct {
	each   leverdyke.Resources
	places map[worker.ID]int
	until  time.Time
}

// earmark keeps small work out of a rack in which an all-at-once job that has
// waited long could not get all its places.
type earmark struct {
	owner holdID
	class leverdyke.Class
	// since is when the job began to wait; the older job keeps the earmark.
	since time.Time
	until time.Time
}

// OnHold holds as many of the places as there are.
func (r *Rack) OnHold(now time.Time, m *node.Hold) {
	id := holdID{m.Home, m.ID}
	reply := &node.HoldReply{Home: m.Home, Rack: r.ID, ID: m.ID}
	isRefused := m.RackEpoch != r.Epoch || !r.acceptHome(m.Home, m.HomeEpoch) || r.options.IsDeputy
	if !isRefused {
		reply.Count = r.hold(now, id, m)
		r.noteEarmark(now, id, m, reply.Count)
		r.isChanged = true
	}
	r.out.ToHome = append(r.out.ToHome, HomeMessage{m.Home, node.Message{HoldReply: reply}})
}

func (r *Rack) hold(now time.Time, id holdID, m *node.Hold) int {
	if h := r.holds[id]; h != nil {
		h.until = now.Add(min(m.Expiry, maxHold))
		return h.count()
	}
	if e := r.earmark; e != nil && e.owner != id && now.Before(e.until) && e.since.Before(now.Add(-m.Age)) && !isLower(e.class, m.Class) {
		return 0
	}
	h := &hold{each: m.Each, places: map[worker.ID]int{}, until: now.Add(min(m.Expiry, maxHold))}
	r.holds[id] = h
	for range m.Count {
		v := r.bestFor(now, m.Each)
		if v == nil {
			break
		}
		h.places[v.id]++
	}
	if len(h.places) == 0 {
		delete(r.holds, id)
	}
	return h.count()
}

func (h *hold) count() int {
	n := 0
	for _, c := range h.places {
		n += c
	}
	return n
}

// bestFor returns the worker that the need fills best, or nil.
func (r *Rack) bestFor(now time.Time, need leverdyke.Resources) *vm {
	// A run time, since only services pass a VM that is kept for another task.
	item := &node.AskItem{Task: worker.Task{Declared: need, Class: leverdyke.ClassBatch, RunTime: 1}, Packing: 1}
	best, _ := r.choose(now, item)
	return best
}

func (r *Rack) noteEarmark(now time.Time, id holdID, m *node.Hold, count int) {
	if count >= m.Count || m.Age < earmarkAge {
		return
	}
	since := now.Add(-m.Age)
	e := r.earmark
	if e != nil && e.owner != id && now.Before(e.until) && e.since.Before(since) {
		return
	}
	r.earmark = &earmark{owner: id, class: m.Class, since: since, until: now.Add(earmarkTime)}
}

// isEarmarkedAgainst reports whether an ask has to leave the room to the
// all-at-once job that waits. More urgent work and services do not wait.
func (r *Rack) isEarmarkedAgainst(now time.Time, item *node.AskItem) bool {
	e := r.earmark
	if e == nil || !now.Before(e.until) || item.Task.RunTime == 0 {
		return false
	}
	return item.Task.Class.Rank() >= e.class.Rank()
}

// settleHeld starts an attempt on a place that its job holds.
func (r *Rack) settleHeld(now time.Time, p pendingAsk) {
	id := holdID{p.ask.Home, p.item.HoldID}
	h := r.holds[id]
	if h == nil {
		r.answerRefused(p.ask, p.item.Task.Key, whyNoHold)
		return
	}
	for _, wid := range r.order {
		v := r.vms[wid]
		if h.places[wid] == 0 || !r.isUsable(now, v) {
			continue
		}
		h.places[wid]--
		if h.places[wid] == 0 {
			delete(h.places, wid)
		}
		if len(h.places) == 0 {
			delete(r.holds, id)
		}
		r.place(now, p, v, nil, "a held place")
		return
	}
	r.answerRefused(p.ask, p.item.Task.Key, whyNoHold)
}

// OnRelease gives held places back.
func (r *Rack) OnRelease(m *node.Release) {
	id := holdID{m.Home, m.ID}
	if r.holds[id] != nil {
		delete(r.holds, id)
		r.isChanged = true
	}
}

func (r *Rack) expireHolds(now time.Time) {
	for id, h := range r.holds {
		if !now.Before(h.until) {
			delete(r.holds, id)
			r.isChanged = true
		}
	}
	if r.earmark != nil && !now.Before(r.earmark.until) {
		r.earmark = nil
	}
	if r.kept != nil && !now.Before(r.kept.until) {
		r.endKeep(r.kept.job)
	}
}
