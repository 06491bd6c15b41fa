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
	// gangPriorityMinWait is how long an all-at-once job must have waited
	// before its reservation request can give it priority in a rack.
	gangPriorityMinWait = 10 * time.Second
	// priorityTimeout is how long a gang's priority, or the reservation of a VM
	// for a starved task, lasts after the last request that asked for it.
	priorityTimeout = 5 * time.Second
	// maxReservationTime limits the expiry that a request may set.
	maxReservationTime = 30 * time.Second
)

// reservationID identifies a reservation: by the job shard and its number for
// an all-at-once job, or by the key of the urgent attempt or the name of the
// grant that waits for preempted tasks to leave.
type reservationID struct {
	owner state.ShardID
	id    uint64
}

// reservation is capacity that is kept free until it is used or expires.
type reservation struct {
	each leverdyke.Resources
	// places has the number of tasks of size each per worker.
	places    map[worker.ID]int
	expiresAt time.Time
}

// gangPriority keeps less important tasks out of a rack in which an all-at-once
// job that has waited long could not reserve all its places. Otherwise small
// tasks would take each place as it becomes free, and the job would never find
// enough at one time.
type gangPriority struct {
	reservation reservationID
	class       leverdyke.Class
	// since is when the job began to wait; the job that has waited longest
	// keeps the priority.
	since     time.Time
	expiresAt time.Time
}

// OnReserve reserves as many of the requested places as there is capacity for,
// and answers with their number.
func (r *Rack) OnReserve(now time.Time, m *node.ReserveRequest) {
	id := reservationID{m.JobShard, m.ID}
	reply := &node.ReserveReply{JobShard: m.JobShard, Rack: r.ID, ID: m.ID}
	isRefused := m.RackEpoch != r.Epoch || !r.acceptShardEpoch(m.JobShard, m.JobShardEpoch) || r.options.IsDeputy
	if !isRefused {
		reply.Count = r.reserve(now, id, m)
		r.updateGangPriority(now, id, m, reply.Count)
		r.isSummaryChanged = true
	}
	r.output.ToJobShards = append(r.output.ToJobShards, JobShardMessage{m.JobShard, node.Message{ReserveReply: reply}})
}

// reserve returns the number of places reserved under the ID. A repeated
// request extends the expiry of what is reserved.
func (r *Rack) reserve(now time.Time, id reservationID, m *node.ReserveRequest) int {
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

// bestWorkerFor returns the worker that a task of this size would fill most
// tightly, or nil if none has capacity.
func (r *Rack) bestWorkerFor(now time.Time, need leverdyke.Resources) *vm {
	// RunTime must not be 0: it would mark the task as a service, and services
	// may use a VM that is reserved for a starved task.
	item := &node.StartItem{Task: worker.Task{Declared: need, Class: leverdyke.ClassBatch, RunTime: 1}, PackingWeight: 1}
	best, _ := r.chooseWorker(now, item)
	return best
}

// updateGangPriority gives priority to a job that has waited long and got fewer
// places than requested, unless a job that has waited longer has it.
func (r *Rack) updateGangPriority(now time.Time, id reservationID, m *node.ReserveRequest, count int) {
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

// isBlockedByGang reports whether a task has to leave the free capacity to the
// all-at-once job that has priority. More urgent tasks and services need not
// wait.
func (r *Rack) isBlockedByGang(now time.Time, item *node.StartItem) bool {
	current := r.gangPriority
	if current == nil || !now.Before(current.expiresAt) || item.Task.RunTime == 0 {
		return false
	}
	return item.Task.Class.Rank() >= current.class.Rank()
}

// startReserved starts an attempt on a place that its job has reserved.
func (r *Rack) startReserved(now time.Time, p pendingStart) {
	id := reservationID{p.request.JobShard, p.item.ReservationID}
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

// OnRelease cancels a reservation.
func (r *Rack) OnRelease(m *node.ReservationRelease) {
	id := reservationID{m.JobShard, m.ID}
	if r.reservations[id] != nil {
		delete(r.reservations, id)
		r.isSummaryChanged = true
	}
}

// expireReservations drops the reservations, the gang priority and the VM
// reservation that have expired.
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
