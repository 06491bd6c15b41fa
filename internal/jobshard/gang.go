// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/queue"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// reservationExpiry is how long a rack keeps a reservation.
	reservationExpiry = 10 * time.Second
	// reservationTimeout is how long the shard waits for a rack's reply before it
	// releases the reservations in all racks.
	reservationTimeout = 3 * time.Second
	gangRetry          = 500 * time.Millisecond
	// requestAllRacksAge is the age from which an all-at-once job requests
	// reservations from every rack, even if the summaries say that there is too
	// little free capacity, so that the racks keep free for it what they have.
	requestAllRacksAge = 10 * time.Second
)

// gang is the state of an all-at-once job's placement. Capacity is reserved
// rack by rack, in the order of the racks' names. All shards follow this order,
// so that no two jobs wait for each other. A job that does not get capacity for
// all its tasks releases all reservations.
type gang struct {
	// reservationID is the number of the reservation in progress; 0 means none.
	reservationID uint64
	taskCount     int
	racks         []state.ShardID
	// reserved has, by rack, the number of tasks for which capacity is reserved.
	reserved map[state.ShardID]int
	// rackIndex is the index in racks of the rack to which the last reservation
	// request was sent. The request was sent at sentAt.
	rackIndex int
	sentAt    time.Time
	// notBefore is when to try again after the reservations were released.
	notBefore time.Time
	// isStarted means that the tasks were started together. isRestarting means that
	// the running tasks are being stopped, so that all start together again.
	isStarted, isRestarting bool
}

// reservedTotal returns for how many tasks capacity is reserved in all racks.
func (g *gang) reservedTotal() int {
	n := 0
	for _, c := range g.reserved {
		n += c
	}
	return n
}

// unfinishedTasks counts the job's tasks that have not ended.
func (j *job) unfinishedTasks() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].phase != phaseFinal {
			n++
		}
	}
	return n
}

// tryGang begins to reserve capacity for all tasks of an all-at-once job,
// unless a reservation is in progress or some of its attempts still run.
func (h *Shard) tryGang(s *scanner, j *job, allowed int) queue.Result {
	g := &j.gang
	need := j.unfinishedTasks()
	switch {
	case g.reservationID != 0 || s.now.Before(g.notBefore):
		return queue.Skipped
	case j.waiting < need:
		j.waitReason = "the rest of it is being stopped, to be started together again"
		return queue.Skipped
	case allowed < need:
		j.waitReason = reasonQuotaUsed
		return queue.Skipped
	}
	if j.spec.IsOnce && h.recordIntents(j) {
		return queue.Started
	}
	racks := h.chooseGangRacks(s, j, need)
	if len(racks) == 0 {
		j.waitReason = reasonNoCapacity
		return queue.Blocked
	}
	g.isRestarting = false
	h.attemptCounter++
	g.reservationID = h.Epoch<<attemptBits | h.attemptCounter
	g.taskCount, g.racks, g.rackIndex, g.reserved = need, racks, 0, map[state.ShardID]int{}
	h.sendReserveRequest(s.now, j)
	j.waitReason = "places for all its tasks are being held"
	return queue.Started
}

// recordIntents writes the missing intents of the job's tasks, and reports
// whether any were missing.
func (h *Shard) recordIntents(j *job) bool {
	in := &intent{job: j.id}
	for i := range j.tasks {
		if j.tasks[i].phase == phaseWaiting && !j.tasks[i].isIntended {
			h.setPhase(j, i, phaseIntending)
			in.tasks = append(in.tasks, i)
		}
	}
	if len(in.tasks) == 0 {
		return false
	}
	j.waitReason = reasonIntentUnrecorded
	h.writeRecord(inFlightRecord{intent: in}, state.Record{Intent: &state.Intent{Job: j.id, Tasks: in.tasks}})
	return true
}

// chooseGangRacks chooses the racks in which to reserve capacity, sorted by
// name: as few racks as seem to have enough. It returns nil if there is not
// enough.
func (h *Shard) chooseGangRacks(s *scanner, j *job, need int) []state.ShardID {
	type candidate struct {
		id    state.ShardID
		count int
	}
	candidates := []candidate{}
	total := 0
	for i, id := range h.rackOrder {
		if s.views[i].IsUnavailable && s.now.Sub(j.addedAt) < requestAllRacksAge {
			continue
		}
		n := int(j.spec.Each.Count(s.views[i].Free))
		if n > 0 {
			candidates = append(candidates, candidate{id, n})
			total += n
		}
	}
	if total < need {
		if s.now.Sub(j.addedAt) < requestAllRacksAge {
			return nil
		}
		return h.rackOrder
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return b.count - a.count })
	racks := []state.ShardID{}
	// One eighth more than is needed, since summaries may be out of date.
	for sum := 0; len(candidates) > 0 && sum < need+need/8; candidates = candidates[1:] {
		racks = append(racks, candidates[0].id)
		sum += candidates[0].count
	}
	slices.Sort(racks)
	return racks
}

// sendReserveRequest asks the next rack to reserve capacity for the tasks that
// still lack it.
func (h *Shard) sendReserveRequest(now time.Time, j *job) {
	g := &j.gang
	rack := g.racks[g.rackIndex]
	g.sentAt = now
	h.sendToRack(rack, node.Message{ReserveRequest: &node.ReserveRequest{
		JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: rack, RackEpoch: h.racks[rack].epoch, ID: g.reservationID, Each: j.spec.Each,
		Count: g.taskCount - g.reservedTotal(), Class: j.spec.Class, Age: now.Sub(j.addedAt), Expiry: reservationExpiry,
	}})
}

// OnReserveReply handles a rack's reply to a reservation request. When the last
// rack needed has replied, the tasks are started; if capacity is still lacking
// after all racks, everything is released.
func (h *Shard) OnReserveReply(now time.Time, r *node.ReserveReply) {
	if r.Summary != nil {
		h.OnRackSummary(r.Summary)
	}
	j := h.jobByReservation(r.ID)
	if j == nil {
		if r.Count > 0 {
			h.sendToRack(r.Rack, node.Message{ReservationRelease: &node.ReservationRelease{JobShard: h.ID, Rack: r.Rack, ID: r.ID}})
		}
		return
	}
	g := &j.gang
	if g.rackIndex >= len(g.racks) || g.racks[g.rackIndex] != r.Rack {
		return
	}
	g.reserved[r.Rack] = r.Count
	g.rackIndex++
	switch {
	case g.reservedTotal() >= g.taskCount:
		h.startReserved(now, j)
	case g.rackIndex < len(g.racks):
		h.sendReserveRequest(now, j)
	default:
		j.waitReason = "not all of its tasks find a place at the same time"
		h.abandonReservation(now, j)
	}
}

// jobByReservation returns the job with the reservation in progress, or nil.
func (h *Shard) jobByReservation(id uint64) *job {
	for _, j := range h.jobList {
		if id != 0 && j.gang.reservationID == id {
			return j
		}
	}
	return nil
}

// startReserved requests the start of the tasks in the reserved capacity.
func (h *Shard) startReserved(now time.Time, j *job) {
	g := &j.gang
	s := &scanner{now: now, requests: map[state.ShardID]*node.StartRequest{}}
	next := 0
	for _, rack := range g.racks {
		for n := g.reserved[rack]; n > 0 && next < len(j.tasks); next++ {
			if j.tasks[next].phase == phaseWaiting {
				h.requestStart(s, j, next, rack, g.reservationID)
				n--
			}
		}
	}
	h.sendStartRequests(s.requests)
	g.reservationID = 0
	g.isStarted = true
	h.updateQueue(j)
}

// abandonReservation releases the reservations and delays the next try. The
// delay depends on the job's ID, so that two jobs do not collide again.
func (h *Shard) abandonReservation(now time.Time, j *job) {
	h.releaseReservation(j)
	j.gang.notBefore = now.Add(backoff(leverdyke.TaskID{Job: j.id}, 1) * gangRetry / initialBackoff)
}

// releaseReservation releases the capacity in all racks that were asked, also
// in the one that has not replied.
func (h *Shard) releaseReservation(j *job) {
	g := &j.gang
	if g.reservationID == 0 {
		return
	}
	for i, rack := range g.racks {
		if i <= g.rackIndex {
			h.sendToRack(rack, node.Message{ReservationRelease: &node.ReservationRelease{JobShard: h.ID, Rack: rack, ID: g.reservationID}})
		}
	}
	g.reservationID = 0
}

// expireReservations abandons the reservations for which a rack has not replied
// in time.
func (h *Shard) expireReservations(now time.Time) {
	for _, j := range h.jobList {
		if j.gang.reservationID != 0 && now.Sub(j.gang.sentAt) > reservationTimeout {
			j.waitReason = "a rack did not answer in time"
			h.abandonReservation(now, j)
		}
	}
}

// restartIfGang restarts an all-at-once job of which an attempt has ended
// early.
func (h *Shard) restartIfGang(j *job, k worker.Key) {
	if j.spec.Kind == leverdyke.KindGang {
		h.restartGang(j, k.String())
	}
}

// restartGang stops the running attempts of an all-at-once job, so that all its
// tasks start together again.
func (h *Shard) restartGang(j *job, reason string) {
	if j.gang.isRestarting || !j.gang.isStarted {
		return
	}
	j.gang.isRestarting, j.gang.isStarted = true, false
	h.emitEvent(EventGangRestart, j.id, reason)
	stops := map[state.ShardID][]worker.Key{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phaseRequested || t.phase == phaseRunning {
			stops[t.rack] = append(stops[t.rack], j.key(i))
		}
	}
	h.orderStops(stops)
}
