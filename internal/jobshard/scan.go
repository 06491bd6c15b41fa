// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

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
	// maxStartsPerScan limits one scan, so that it does not delay the node's other
	// work.
	maxStartsPerScan = 256
	// maxStartsPerJob limits the starts of a job in one scan, so that jobs of other
	// teams are served too.
	maxStartsPerJob = 32
)

// The reasons why a job waits, for operators.
const (
	reasonNoQuota          = "its team has no quota: publish a document for the team"
	reasonQuotaUsed        = "its team's quota is used up"
	reasonNoCapacity       = "no worker has room for it at the moment"
	reasonBackoff          = "its tasks failed and are tried again after a delay"
	reasonLowerPriority    = "more urgent or older work goes first"
	reasonStarting         = "its tasks are being started"
	reasonIntentUnrecorded = "its tasks may run once only, and the log has not taken their intent yet"
	reasonEndsUnrecorded   = "too many ended tasks wait for the log to take their ends"
	reasonSummaryMissing   = "a rack has a new owner and has not told its room yet"
	reasonNoRacks          = "no rack of the region has an owner that this node knows"
)

// scanner is the state of one scan of the queue.
type scanner struct {
	now        time.Time
	views      []placement.RackView
	requests   map[state.ShardID]*node.StartRequest
	startCount int
	// isServicesOnly means that only services are started, because too many ends
	// wait for the log.
	isServicesOnly bool
	// unplaceable has the capacities for which no rack has been found in this scan.
	unplaceable map[leverdyke.Resources]bool
	// preemptions counts, by rack, the urgent starts for which the rack will have to
	// preempt other tasks.
	preemptions map[state.ShardID]int
}

// scan requests the start of waiting tasks, in the order of the queue.
func (h *Shard) scan(now time.Time) {
	h.isScanDue = false
	h.scannedAt = now
	if h.queue.Len() == 0 {
		return
	}
	s := &scanner{
		now: now, requests: map[state.ShardID]*node.StartRequest{}, unplaceable: map[leverdyke.Resources]bool{},
		preemptions: map[state.ShardID]int{}, isServicesOnly: h.hasTooManyUnrecordedEnds(),
	}
	for _, id := range h.rackOrder {
		s.views = append(s.views, h.placementView(now, id))
	}
	h.queue.Scan(h.DominantShare, func(e *queue.Entry) queue.Result { return h.tryJob(s, e) })
	h.sendStartRequests(s.requests)
}

// sendStartRequests sends the requests, each with the lowest attempt for which
// the shard still waits for the rack's reply.
func (h *Shard) sendStartRequests(requests map[state.ShardID]*node.StartRequest) {
	for _, id := range h.rackOrder {
		if request := requests[id]; request != nil {
			request.MinAttempt = h.minAttempt(id)
			h.sendToRack(id, node.Message{StartRequest: request})
		}
	}
}

// minAttempt returns the lowest unanswered attempt at a rack, or the next one
// to be numbered if there is none.
func (h *Shard) minAttempt(rack state.ShardID) uint64 {
	lowest := h.Epoch<<attemptBits | (h.attemptCounter + 1)
	for _, j := range h.jobList {
		if j.requested[rack] == 0 {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.phase == phaseRequested && t.rack == rack {
				lowest = min(lowest, t.attempt)
			}
		}
	}
	return lowest
}

// placementView returns a rack as the placement policy sees it; a rack without
// a summary, or in backoff after a refusal, is closed.
func (h *Shard) placementView(now time.Time, id state.ShardID) placement.RackView {
	v := h.racks[id]
	if !v.hasSummary || now.Before(v.backoffUntil) {
		return placement.RackView{IsUnavailable: true}
	}
	return placement.RackView{
		Free: v.summary.Free.Sub(v.pending), Largest: v.summary.Largest, Capacity: v.summary.Capacity,
	}
}

// tryJob requests the start of as many tasks of one queue entry as possible.
func (h *Shard) tryJob(s *scanner, e *queue.Entry) queue.Result {
	j := h.jobs[e.Job]
	if h.isUnschedulable(j) {
		return queue.Skipped
	}
	if s.startCount >= maxStartsPerScan {
		h.isScanDue = true
		j.waitReason = reasonLowerPriority
		return queue.Skipped
	}
	if s.isServicesOnly && j.spec.Kind != leverdyke.KindService {
		j.waitReason = reasonEndsUnrecorded
		return queue.Skipped
	}
	allowed := h.tasksWithinQuota(j)
	if allowed == 0 {
		return queue.Skipped
	}
	if j.spec.Kind == leverdyke.KindGang {
		return h.tryGang(s, j, allowed)
	}
	return h.tryIndependentTasks(s, j, min(allowed, maxStartsPerJob))
}

// tasksWithinQuota returns how many more tasks the team's quota allows.
func (h *Shard) tasksWithinQuota(j *job) int {
	quota, ok := h.policies.Quota(j.spec.Team)
	if !ok {
		j.waitReason = reasonNoQuota
		return 0
	}
	n := j.spec.Each.Count(quota.Sub(h.usage[j.spec.Team]))
	if n == 0 {
		j.waitReason = reasonQuotaUsed
	}
	return int(n)
}

// tryIndependentTasks requests the start of up to limit tasks, each placed by
// itself.
func (h *Shard) tryIndependentTasks(s *scanner, j *job, limit int) queue.Result {
	isUrgent := j.spec.Class == leverdyke.ClassUrgent
	if j.spec.Kind == leverdyke.KindService && !isUrgent && h.isSummaryAwaited(s.now) {
		j.waitReason = reasonSummaryMissing
		return queue.Skipped
	}
	started := 0
	j.waitReason = reasonBackoff
	isBlocked := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if started >= limit || t.phase != phaseWaiting || s.now.Before(t.notBefore) {
			continue
		}
		if j.spec.IsOnce && !t.isIntended {
			h.recordIntent(j, i)
			started++
			continue
		}
		rack := h.chooseRack(s, j)
		if rack < 0 && started == 0 {
			rack = h.chooseStarvedRack(s, j)
		}
		if rack < 0 {
			j.waitReason = reasonNoCapacity
			isBlocked = true
			break
		}
		h.requestStart(s, j, i, h.rackOrder[rack], 0)
		started++
	}
	h.updateQueueWithoutScan(j)
	if started >= limit && j.waiting > 0 {
		// Only the limit per job and scan was reached: continue at the next Tick.
		h.isScanDue = true
	}
	switch {
	case started > 0:
		return queue.Started
	case isBlocked:
		return queue.Blocked
	}
	return queue.Skipped
}

// updateQueueWithoutScan is updateQueue without making another scan due.
func (h *Shard) updateQueueWithoutScan(j *job) {
	wasScanDue := h.isScanDue
	h.updateQueue(j)
	h.isScanDue = wasScanDue
}

// chooseRack returns the index of the best rack for one task, or -1.
func (h *Shard) chooseRack(s *scanner, j *job) int {
	need := j.neededCapacity()
	if s.unplaceable[need] {
		return h.choosePreemptionRack(s, j)
	}
	candidates := h.options.RackCandidates
	if j.spec.Kind == leverdyke.KindService {
		// All racks are compared: the last one may be the one that spreads best.
		candidates = 0
		h.countSiblings(s, j)
		defer clearSiblings(s)
	}
	best := placement.BestRack(h.placementPolicy(j), need, s.views, h.rackOffset, candidates)
	if best < 0 {
		s.unplaceable[need] = true
		return h.choosePreemptionRack(s, j)
	}
	return best
}

// countSiblings sets in the views how many of the service's tasks run or are
// requested in each rack and in its zone.
func (h *Shard) countSiblings(s *scanner, j *job) {
	zones := map[string]int{}
	for i, id := range h.rackOrder {
		n := j.running[id] + j.requested[id]
		s.views[i].Siblings = n
		zones[h.racks[id].summary.Zone] += n
	}
	for i, id := range h.rackOrder {
		s.views[i].ZoneSiblings = zones[h.racks[id].summary.Zone]
	}
}

func clearSiblings(s *scanner) {
	for i := range s.views {
		s.views[i].Siblings, s.views[i].ZoneSiblings = 0, 0
	}
}

// placementPolicy returns the placement policy for the job's tasks: the weights
// of its team for services; all other tasks fill up VMs.
func (h *Shard) placementPolicy(j *job) placement.Policy {
	if j.spec.Kind == leverdyke.KindService {
		return h.policies.Weights(j.spec.Team)
	}
	return placement.BestFit
}

// choosePreemptionRack returns the index of a rack that could preempt other
// tasks for an urgent one, or -1.
func (h *Shard) choosePreemptionRack(s *scanner, j *job) int {
	if j.spec.Class != leverdyke.ClassUrgent {
		return -1
	}
	for i := range h.rackOrder {
		index := (i + h.rackOffset) % len(h.rackOrder)
		v := h.racks[h.rackOrder[index]]
		if s.views[index].IsUnavailable || s.preemptions[h.rackOrder[index]] >= v.summary.Workers || !j.spec.Each.FitsIn(v.summary.Preemptible) {
			continue
		}
		s.preemptions[h.rackOrder[index]]++
		h.rackOffset = index + 1
		return index
	}
	return -1
}

// requestStart numbers a new attempt of a task and adds it to the start request
// for the rack.
func (h *Shard) requestStart(s *scanner, j *job, i int, rack state.ShardID, reservationID uint64) {
	t := &j.tasks[i]
	v := h.racks[rack]
	h.attemptCounter++
	t.attempt = h.Epoch<<attemptBits | h.attemptCounter
	t.rack, t.rackEpoch, t.worker, t.sentAt, t.reservationID = rack, v.epoch, "", s.now, reservationID
	h.setPhase(j, i, phaseRequested)
	v.pending = v.pending.Add(j.spec.Each)
	for n, id := range h.rackOrder {
		if id == rack && n < len(s.views) {
			s.views[n].Free = s.views[n].Free.Sub(j.spec.Each)
		}
	}
	j.waitReason = reasonStarting
	s.startCount++
	request := s.requests[rack]
	if request == nil {
		request = &node.StartRequest{JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: rack, RackEpoch: v.epoch}
		s.requests[rack] = request
	}
	request.Items = append(request.Items, h.startItem(s.now, j, i))
	h.output.Decisions = append(h.output.Decisions, Decision{j.key(i), rack, "most fitting of the racks with room"})
}

// startItem returns the current attempt of a task as an item of a start
// request.
func (h *Shard) startItem(now time.Time, j *job, i int) node.StartItem {
	w := h.placementPolicy(j)
	t := worker.Task{
		Key: j.key(i), JobShard: string(h.ID), Declared: j.spec.Each, Class: j.spec.Class, IsOnce: j.spec.IsOnce,
		Service: j.spec.Service, Request: j.spec.Request, IsRequestOnce: j.spec.IsRequestOnce, RunTime: j.spec.RunTime,
	}
	return node.StartItem{
		Task: t, Share: h.DominantShare(j.spec.Team), Age: now.Sub(j.addedAt), WaitingWeight: w.Waiting, PackingWeight: w.Packing,
		ReservationID: j.tasks[i].reservationID, IsStarved: h.isStarved(j),
	}
}

// resendStartRequests sends requests again that a rack's owner has not
// answered, as long as the rack has the epoch in which they were made.
func (h *Shard) resendStartRequests(now time.Time) {
	requests := map[state.ShardID]*node.StartRequest{}
	for _, j := range h.jobList {
		if len(j.requested) == 0 {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.phase != phaseRequested || now.Sub(t.sentAt) < startRetry || h.racks[t.rack].epoch != t.rackEpoch {
				continue
			}
			t.sentAt = now
			request := requests[t.rack]
			if request == nil {
				request = &node.StartRequest{JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: t.rack, RackEpoch: t.rackEpoch}
				requests[t.rack] = request
			}
			request.Items = append(request.Items, h.startItem(now, j, i))
		}
	}
	h.sendStartRequests(requests)
}

// isUnschedulable reports whether no worker of the region is large enough for a
// task of the job, and records an event when this is first found.
func (h *Shard) isUnschedulable(j *job) bool {
	capacities := []leverdyke.Resources{}
	for _, id := range h.rackOrder {
		v := h.racks[id]
		if v.capacity == (leverdyke.Resources{}) {
			// A rack that has not reported yet may have a larger worker.
			j.waitReason = reasonNoRacks
			j.lackingResource = ""
			return false
		}
		capacities = append(capacities, v.capacity)
	}
	if len(capacities) == 0 {
		j.waitReason = reasonNoRacks
		return false
	}
	lacking, ok := placement.CanEverFit(j.spec.Each, capacities)
	if ok {
		j.lackingResource = ""
		return false
	}
	if j.lackingResource == "" {
		h.emitEvent(EventUnschedulable, j.id, "no worker of the region has enough "+lacking)
	}
	j.lackingResource = lacking
	return true
}
