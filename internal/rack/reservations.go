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
	gangPriorityMinWait = 10 * time.Second
	priorityTimeout     = 5 * time.Second
	maxReservationTime  = 30 * time.Second
)

type reservationID struct {
	owner state.ShardID
	id    uint64
}

// hold is room that is kept for an all-at-once job until it expires.
type reservation struct {
	each      leverdyke.Resources
	places    map[worker.ID]int
	expiresAt time.Time
}

// earmark keeps small work out of a rack in which an all-at-once job that has
// waited long could not get all its places.
type gangPriority struct {
	reservation reservationID
	class       leverdyke.Class
	// since is when the job began to wait; the older job keeps the earmark.
	since     time.Time
	expiresAt time.Time
}

// OnReserve holds as many of the places as there are.
func (r *Rack) OnReserve(now time.Time, m *node.Hold) {
	id := reservationID{m.Home, m.ID}
	reply := &node.HoldReply{Home: m.Home, Rack: r.ID, ID: m.ID}
	isRefused := m.RackEpoch != r.Epoch || !r.acceptShardEpoch(m.Home, m.HomeEpoch) || r.options.IsDeputy
	if !isRefused {
		reply.Count = r.reserve(now, id, m)
		r.updateGangPriority(now, id, m, reply.Count)
		r.isSummaryChanged = true
	}
	r.output.ToJobShards = append(r.output.ToJobShards, JobShardMessage{m.Home, node.Message{HoldReply: reply}})
}

func (r *Rack) reserve(now time.Time, id reservationID, m *node.Hold) int {
	if res := r.reservations[id]; res != nil {
		res.expiresAt = now.Add(min(m.Expiry, maxReservationTime))
		return res.count()
	}
	if current := r.gangPriority; current != nil && current.reservation != id && now.Before(current.expiresAt) && current.since.Before(now.Add(-m.Age)) && !isLessUrgent(current.class, m.Class) {
		return 0
	}
	res := &reservation{each: m.Each, places: map[worker.ID]int{}, expiresAt: now.Add(min(m.Expiry, maxReservationTime))}
	r.reservations[id] = res
	for range m.Count {
		v := r.bestWorkerFor(now, m.Each)
		if v == nil {
			break
		}
		res.places[v.id]++
	}
	if len(res.places) == 0 {
		delete(r.reservations, id)
	}
	return res.count()
}

func (res *reservation) count() int {
	n := 0
	for _, c := range res.places {
		n += c
	}
	return n
}

// bestFor returns the worker that the need fills best, or nil.
func (r *Rack) bestWorkerFor(now time.Time, need leverdyke.Resources) *vm {
	// A run time, since only services pass a VM that is kept for another task.
	item := &node.AskItem{Task: worker.Task{Each: need, Class: leverdyke.ClassBatch, RunTime: 1}, Packing: 1}
	best, _ := r.chooseWorker(now, item)
	return best
}

func (r *Rack) updateGangPriority(now time.Time, id reservationID, m *node.Hold, count int) {
	if count >= m.Count || m.Age < gangPriorityMinWait {
		return
	}
	since := now.Add(-m.Age)
	current := r.gangPriority
	if current != nil && current.reservation != id && now.Before(current.expiresAt) && current.since.Before(since) {
		return
	}
	r.gangPriority = &gangPriority{reservation: id, class: m.Class, since: since, expiresAt: now.Add(priorityTimeout)}
}

// isEarmarkedAgainst reports whether an ask has to leave the room to the
// all-at-once job that waits. More urgent work and services do not wait.
func (r *Rack) isBlockedByGang(now time.Time, item *node.AskItem) bool {
	current := r.gangPriority
	if current == nil || !now.Before(current.expiresAt) || item.Task.RunTime == 0 {
		return false
	}
	return item.Task.Class.Rank() >= current.class.Rank()
}

// settleHeld starts an attempt on a place that its job holds.
func (r *Rack) startReserved(now time.Time, p pendingStart) {
	id := reservationID{p.request.Home, p.item.HoldID}
	res := r.reservations[id]
	if res == nil {
		r.answerRefused(p.request, p.item.Task.Key, refusedNoReservation)
		return
	}
	for _, workerID := range r.sortedIDs {
		v := r.vms[workerID]
		if res.places[workerID] == 0 || !r.isUsable(now, v) {
			continue
		}
		res.places[workerID]--
		if res.places[workerID] == 0 {
			delete(res.places, workerID)
		}
		if len(res.places) == 0 {
			delete(r.reservations, id)
		}
		r.place(now, p, v, nil, "a held place")
		return
	}
	r.answerRefused(p.request, p.item.Task.Key, refusedNoReservation)
}

// OnRelease gives held places back.
func (r *Rack) OnRelease(m *node.Release) {
	id := reservationID{m.Home, m.ID}
	if r.reservations[id] != nil {
		delete(r.reservations, id)
		r.isSummaryChanged = true
	}
}

func (r *Rack) expireReservations(now time.Time) {
	for id, res := range r.reservations {
		if !now.Before(res.expiresAt) {
			delete(r.reservations, id)
			r.isSummaryChanged = true
		}
	}
	if r.gangPriority != nil && !now.Before(r.gangPriority.expiresAt) {
		r.gangPriority = nil
	}
	if r.reservedVM != nil && !now.Before(r.reservedVM.expiresAt) {
		r.releaseReservedVM(r.reservedVM.job)
	}
}
