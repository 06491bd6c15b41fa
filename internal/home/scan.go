// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package home

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/queue"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// maxAsksPerScan bounds one scan, so that the node's other duties go on.
	maxAsksPerScan = 256
	// maxAsksPerEntry lets other teams have their turn.
	maxAsksPerEntry = 32
)

// The reasons why a job waits, for operators.
const (
	whyNoTeam   = "its team has no quota: publish a document for the team"
	whyQuota    = "its team's quota is used up"
	whyNoRoom   = "no worker has room for it at the moment"
	whyDelay    = "its tasks failed and are tried again after a delay"
	whyTurn     = "more urgent or older work goes first"
	whyStarting = "its tasks are being started"
	whyIntent   = "its tasks may run once only, and the log has not taken their intent yet"
	whyEnds     = "too many ended tasks wait for the log to take their ends"
	whyRooms    = "a rack has a new owner and has not told its room yet"
	whyNoRacks  = "no rack of the region has an owner that this node knows"
)

// scanner is the state of one scan.
type scanner struct {
	now   time.Time
	views []placement.RackView
	asks  map[state.ShardID]*node.Ask
	count int
	// isFullOfEnds means that only services are started.
	isFullOfEnds bool
	// failed has the needs for which there was no room in this scan.
	failed map[leverdyke.Resources]bool
	// pushed counts the urgent asks by rack that will have to push others aside.
	pushed map[state.ShardID]int
}

// scan offers the waiting work to the racks.
func (h *Home) scan(now time.Time) {
	h.isDirty = false
	h.scanned = now
	if h.queue.Len() == 0 {
		return
	}
	s := &scanner{
		now: now, asks: map[state.ShardID]*node.Ask{}, failed: map[leverdyke.Resources]bool{},
		pushed: map[state.ShardID]int{}, isFullOfEnds: h.isFullOfEnds(),
	}
	for _, id := range h.order {
		s.views = append(s.views, h.rackView(now, id))
	}
	h.queue.Scan(h.Share, func(e *queue.Entry) queue.Result { return h.try(s, e) })
	h.sendAsks(s.asks)
}

// sendAsks sends the asks, each with the lowest attempt that the home still
// waits for at the rack.
func (h *Home) sendAsks(asks map[state.ShardID]*node.Ask) {
	for _, id := range h.order {
		if ask := asks[id]; ask != nil {
			ask.Floor = h.floor(id)
			h.toRack(id, node.Message{Ask: ask})
		}
	}
}

func (h *Home) floor(rack state.ShardID) uint64 {
	floor := h.Epoch<<attemptBits | (h.counter + 1)
	for _, j := range h.list {
		if j.asked[rack] == 0 {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.phase == phaseAsked && t.rack == rack {
				floor = min(floor, t.attempt)
			}
		}
	}
	return floor
}

func (h *Home) rackView(now time.Time, id state.ShardID) placement.RackView {
	v := h.racks[id]
	if !v.hasRoom || now.Before(v.shutUntil) {
		return placement.RackView{IsShut: true}
	}
	return placement.RackView{
		Free: v.room.Free.Sub(v.pending), Largest: v.room.Largest, Capacity: v.room.Capacity,
	}
}

// try starts what it can of one entry.
func (h *Home) try(s *scanner, e *queue.Entry) queue.Result {
	j := h.jobs[e.Job]
	if h.isNever(j) {
		return queue.Skipped
	}
	if s.count >= maxAsksPerScan {
		h.isDirty = true
		j.why = whyTurn
		return queue.Skipped
	}
	if s.isFullOfEnds && j.spec.Kind != leverdyke.KindService {
		j.why = whyEnds
		return queue.Skipped
	}
	allowed := h.allowed(j)
	if allowed == 0 {
		return queue.Skipped
	}
	if j.spec.Kind == leverdyke.KindGang {
		return h.tryGang(s, j, allowed)
	}
	return h.trySingles(s, j, min(allowed, maxAsksPerEntry))
}

// allowed is how many more tasks the team's quota lets start.
func (h *Home) allowed(j *job) int {
	quota, ok := h.policies.Quota(j.spec.Team)
	if !ok {
		j.why = whyNoTeam
		return 0
	}
	n := j.spec.Each.Count(quota.Sub(h.used[j.spec.Team]))
	if n == 0 {
		j.why = whyQuota
	}
	return int(n)
}

// trySingles asks for up to limit tasks, each on its own.
func (h *Home) trySingles(s *scanner, j *job, limit int) queue.Result {
	isUrgent := j.spec.Class == leverdyke.ClassUrgent
	if j.spec.Kind == leverdyke.KindService && !isUrgent && h.isRoomAwaited(s.now) {
		j.why = whyRooms
		return queue.Skipped
	}
	started := 0
	j.why = whyDelay
	isBlocked := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if started >= limit || t.phase != phaseWaiting || s.now.Before(t.notBefore) {
			continue
		}
		if j.spec.IsOnce && !t.isIntended {
			h.intend(j, i)
			started++
			continue
		}
		rack := h.chooseRack(s, j)
		if rack < 0 && started == 0 {
			rack = h.noteBlocked(s, j)
		}
		if rack < 0 {
			j.why = whyNoRoom
			isBlocked = true
			break
		}
		h.ask(s, j, i, h.order[rack], 0)
		started++
	}
	h.requeueQuietly(j)
	if started >= limit && j.waiting > 0 {
		// It was its turn's bound that stopped it: go on at the next tick.
		h.isDirty = true
	}
	switch {
	case started > 0:
		return queue.Started
	case isBlocked:
		return queue.Blocked
	}
	return queue.Skipped
}

// requeueQuietly is requeue without making another scan due.
func (h *Home) requeueQuietly(j *job) {
	isDirty := h.isDirty
	h.requeue(j)
	h.isDirty = isDirty
}

// chooseRack returns the index of the rack to ask, or -1.
func (h *Home) chooseRack(s *scanner, j *job) int {
	need := j.need()
	if s.failed[need] {
		return h.chooseYield(s, j)
	}
	tries := h.options.Tries
	if j.spec.Kind == leverdyke.KindService {
		// All racks are compared: the one that spreads best may be the last.
		tries = 0
		h.countSiblings(s, j)
		defer clearSiblings(s)
	}
	best := placement.BestRack(h.policy(j), need, s.views, h.offset, tries)
	if best < 0 {
		s.failed[need] = true
		return h.chooseYield(s, j)
	}
	return best
}

// countSiblings notes where the service's tasks are or are asked for.
func (h *Home) countSiblings(s *scanner, j *job) {
	zones := map[string]int{}
	for i, id := range h.order {
		n := j.running[id] + j.asked[id]
		s.views[i].Siblings = n
		zones[h.racks[id].room.Zone] += n
	}
	for i, id := range h.order {
		s.views[i].ZoneSiblings = zones[h.racks[id].room.Zone]
	}
}

func clearSiblings(s *scanner) {
	for i := range s.views {
		s.views[i].Siblings, s.views[i].ZoneSiblings = 0, 0
	}
}

// policy returns how the job's tasks are placed: services by the weights of the
// team's office, all else by filling VMs up.
func (h *Home) policy(j *job) placement.Policy {
	if j.spec.Kind == leverdyke.KindService {
		return h.policies.Weights(j.spec.Team)
	}
	return placement.Fill
}

// chooseYield returns a rack that could push others aside for urgent work.
func (h *Home) chooseYield(s *scanner, j *job) int {
	if j.spec.Class != leverdyke.ClassUrgent {
		return -1
	}
	for i := range h.order {
		at := (i + h.offset) % len(h.order)
		v := h.racks[h.order[at]]
		if s.views[at].IsShut || s.pushed[h.order[at]] >= v.room.Workers || !j.spec.Each.FitsIn(v.room.Yield) {
			continue
		}
		s.pushed[h.order[at]]++
		h.offset = at + 1
		return at
	}
	return -1
}

// ask asks a rack for one attempt of a task.
func (h *Home) ask(s *scanner, j *job, i int, rack state.ShardID, holdID uint64) {
	t := &j.tasks[i]
	v := h.racks[rack]
	h.counter++
	t.attempt = h.Epoch<<attemptBits | h.counter
	t.rack, t.rackEpoch, t.worker, t.sentAt, t.holdID = rack, v.epoch, "", s.now, holdID
	h.setPhase(j, i, phaseAsked)
	v.pending = v.pending.Add(j.spec.Each)
	for n, id := range h.order {
		if id == rack && n < len(s.views) {
			s.views[n].Free = s.views[n].Free.Sub(j.spec.Each)
		}
	}
	j.why = whyStarting
	s.count++
	ask := s.asks[rack]
	if ask == nil {
		ask = &node.Ask{Home: h.ID, HomeEpoch: h.Epoch, Rack: rack, RackEpoch: v.epoch}
		s.asks[rack] = ask
	}
	ask.Items = append(ask.Items, h.askItem(s.now, j, i))
	h.out.Decisions = append(h.out.Decisions, Decision{j.key(i), rack, "most fitting of the racks with room"})
}

func (h *Home) askItem(now time.Time, j *job, i int) node.AskItem {
	w := h.policy(j)
	t := worker.Task{
		Key: j.key(i), JobShard: string(h.ID), Declared: j.spec.Each, Class: j.spec.Class, IsOnce: j.spec.IsOnce,
		Service: j.spec.Service, Request: j.spec.Request, IsRequestOnce: j.spec.IsRequestOnce, RunTime: j.spec.RunTime,
	}
	return node.AskItem{
		Task: t, Share: h.Share(j.spec.Team), Age: now.Sub(j.since), Waiting: w.Waiting, Packing: w.Packing,
		HoldID: j.tasks[i].holdID, IsStarved: h.isStarvedAsk(j),
	}
}

// resendAsks sends again what a rack's owner has not answered, as long as the
// rack has the epoch that was asked.
func (h *Home) resendAsks(now time.Time) {
	asks := map[state.ShardID]*node.Ask{}
	for _, j := range h.list {
		if len(j.asked) == 0 {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.phase != phaseAsked || now.Sub(t.sentAt) < askRetry || h.racks[t.rack].epoch != t.rackEpoch {
				continue
			}
			t.sentAt = now
			ask := asks[t.rack]
			if ask == nil {
				ask = &node.Ask{Home: h.ID, HomeEpoch: h.Epoch, Rack: t.rack, RackEpoch: t.rackEpoch}
				asks[t.rack] = ask
			}
			ask.Items = append(ask.Items, h.askItem(now, j, i))
		}
	}
	h.sendAsks(asks)
}

// isNever finds out whether no worker of the region is large enough.
func (h *Home) isNever(j *job) bool {
	capacities := []leverdyke.Resources{}
	for _, id := range h.order {
		v := h.racks[id]
		if v.capacity == (leverdyke.Resources{}) {
			// A rack that has told nothing yet may have a larger worker.
			j.why = whyNoRacks
			j.never = ""
			return false
		}
		capacities = append(capacities, v.capacity)
	}
	if len(capacities) == 0 {
		j.why = whyNoRacks
		return false
	}
	lacks, ok := placement.CanEverFit(j.spec.Each, capacities)
	if ok {
		j.never = ""
		return false
	}
	if j.never == "" {
		h.event(EventNever, j.id, "no worker of the region has enough "+lacks)
	}
	j.never = lacks
	return true
}
