// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// pendingStart is one requested attempt that waits for the next Flush.
type pendingStart struct {
	request *node.StartRequest
	item    *node.StartItem
}

// The reasons for refusing an attempt. They are final: a refused attempt is
// never started later, even if a copy of the request arrives.
const (
	refusedWrongEpoch    = "the ask is for another epoch of the rack"
	refusedOldShardOwner = "another node is the home now"
	refusedByDeputy      = "the rack is kept alive by a deputy while the log is out"
	refusedNoCapacity    = "no room"
	refusedOtherAttempt  = "another attempt of the task is here"
	refusedForGang       = "the room is kept for an all-at-once job"
	refusedNoReservation = "the held place has lapsed"
)

// closedAttempts are the attempts of a job shard that must not be started. They
// were refused or have ended, and a delayed or repeated request for them may
// still arrive.
type closedAttempts struct {
	// floor is the lowest attempt that the job shard still waits for here; all
	// attempts below it are closed.
	floor uint64
	// reasons has the closed attempts from floor up, with the reason for the
	// refusal; it is empty for an attempt that has ended.
	reasons map[uint64]string
}

func (r *Rack) closedAttemptsOf(jobShard state.ShardID) *closedAttempts {
	s := r.closedAttempts[jobShard]
	if s == nil {
		s = &closedAttempts{reasons: map[uint64]string{}}
		r.closedAttempts[jobShard] = s
	}
	return s
}

// raiseFloor sets the floor and drops the entries below it, which the floor
// alone keeps closed.
func (s *closedAttempts) raiseFloor(floor uint64) {
	if floor <= s.floor {
		return
	}
	s.floor = floor
	for attempt := range s.reasons {
		if attempt < floor {
			delete(s.reasons, attempt)
		}
	}
}

// acceptShardEpoch records the epoch of a job shard and reports whether it is
// at least the highest one seen here.
func (r *Rack) acceptShardEpoch(jobShard state.ShardID, epoch uint64) bool {
	if epoch < r.shardEpochs[jobShard] {
		return false
	}
	r.shardEpochs[jobShard] = epoch
	return true
}

// OnStartRequest queues a job shard's request to start attempts. The next Flush
// decides on it together with the other queued ones.
func (r *Rack) OnStartRequest(request *node.StartRequest) {
	reason := ""
	switch {
	case request.RackEpoch != r.Epoch:
		reason = refusedWrongEpoch
	case !r.acceptShardEpoch(request.JobShard, request.JobShardEpoch):
		reason = refusedOldShardOwner
	case r.options.IsDeputy:
		reason = refusedByDeputy
	}
	if reason == "" {
		r.closedAttemptsOf(request.JobShard).raiseFloor(request.MinAttempt)
	}
	for i := range request.Items {
		if reason != "" {
			r.answerRefused(request, request.Items[i].Task.Key, reason)
			continue
		}
		r.pendingStarts = append(r.pendingStarts, pendingStart{request, &request.Items[i]})
	}
}

// Flush first starts the urgent attempts and grants whose capacity has become
// free. Then it decides on all attempts requested since the last call: the most
// urgent class first, then the team that uses the smallest share of its quota,
// then the task that has waited longest.
func (r *Rack) Flush(now time.Time) {
	r.retryUrgentStarts(now)
	r.retryPreemptingGrants(now)
	if len(r.pendingStarts) == 0 {
		return
	}
	pendingStarts := r.pendingStarts
	r.pendingStarts = nil
	slices.SortStableFunc(pendingStarts, func(a, b pendingStart) int {
		return cmp.Or(
			cmp.Compare(a.item.Task.Class.Rank(), b.item.Task.Class.Rank()),
			cmp.Compare(a.item.Share, b.item.Share), cmp.Compare(b.item.Age, a.item.Age),
		)
	})
	for _, p := range pendingStarts {
		r.decide(now, p)
	}
}

// decide starts one attempt or refuses it. If the attempt is already here, the
// answer is its current state, so that a request may safely be repeated.
func (r *Rack) decide(now time.Time, p pendingStart) {
	key := p.item.Task.Key
	s := r.closedAttemptsOf(p.request.JobShard)
	if reason, ok := s.reasons[key.Attempt]; ok || key.Attempt < s.floor {
		if reason != "" {
			r.answerRefused(p.request, key, reason)
		}
		return
	}
	if a := r.assignments[key]; a != nil {
		a.request = p.request
		if a.phase != phaseStarting {
			r.answerStarted(a)
		}
		return
	}
	if r.isUrgentStartWaiting(key) {
		return
	}
	if other, ok := r.byTask[key.Task]; ok && r.assignments[other].phase != phaseEnded {
		r.answerRefused(p.request, key, refusedOtherAttempt)
		return
	}
	if p.item.ReservationID != 0 {
		r.startReserved(now, p)
		return
	}
	if r.isBlockedByGang(now, p.item) {
		r.answerRefused(p.request, key, refusedForGang)
		return
	}
	best, runnerUp := r.chooseWorker(now, p.item)
	if best == nil {
		r.reserveVMFor(now, p.item)
		r.preemptOrRefuse(now, p)
		return
	}
	r.place(now, p, best, runnerUp, "best of the rack")
}

// chooseWorker returns the best worker for an attempt and the runner-up; either
// is nil if there is none.
func (r *Rack) chooseWorker(now time.Time, item *node.StartItem) (best, runnerUp *vm) {
	candidates := make([]placement.Candidate, len(r.sortedIDs))
	for i, id := range r.sortedIDs {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) || r.isReservedAgainst(now, v, item) {
			candidates[i].IsUnavailable = true
			continue
		}
		candidates[i] = placement.Candidate{Free: r.free(v), Capacity: v.capacity}
		if item.Task.RunTime == 0 {
			candidates[i].Siblings = siblings(v, item.Task.Key.Task.Job)
		}
	}
	b, s := placement.Best(placement.Policy{Waiting: item.WaitingWeight, Packing: item.PackingWeight}, r.expected(&item.Task), candidates)
	if b >= 0 {
		best = r.vms[r.sortedIDs[b]]
	}
	if s >= 0 {
		runnerUp = r.vms[r.sortedIDs[s]]
	}
	return best, runnerUp
}

// place starts an attempt on the worker v and records the decision.
func (r *Rack) place(now time.Time, p pendingStart, v, runnerUp *vm, reason string) {
	a := &assignment{task: p.item.Task, vm: v, phase: phaseStarting, since: now, lastSentAt: now, request: p.request}
	a.task.State = worker.StateRunning
	// Until the attempt reports its own usage, charge it for what other tasks
	// of its job use.
	a.task.Usage = r.expected(&a.task)
	r.addAssignment(a)
	r.releaseReservedVM(a.task.Key.Task.Job)
	if r.health.Placed(now, v.id, a.task.Key) {
		r.event(EventWorkerProbed, v.id, worker.Key{}, "")
	}
	r.orderStart(now, a)
	d := Decision{Key: a.task.Key, Worker: v.id, Reason: reason}
	if runnerUp != nil {
		d.RunnerUp = runnerUp.id
	}
	r.output.Decisions = append(r.output.Decisions, d)
	r.isSummaryChanged = true
}

// orderStart adds a start to the output, merged into the order for the same
// worker if there is one.
func (r *Rack) orderStart(now time.Time, a *assignment) {
	a.lastSentAt = now
	a.isStartPending = true
	for i := range r.output.Starts {
		if r.output.Starts[i].Worker == a.vm.id {
			r.output.Starts[i].Tasks = append(r.output.Starts[i].Tasks, a.task)
			return
		}
	}
	r.output.Starts = append(r.output.Starts, StartOrder{a.vm.id, a.vm.bootID, a.vm.workerTime, []worker.Task{a.task}})
}

// answerStarted answers the request that waits for the start, if there is one.
func (r *Rack) answerStarted(a *assignment) {
	if a.request == nil {
		return
	}
	r.answer(a.request, node.StartResult{Key: a.task.Key, Worker: a.vm.id})
	a.request = nil
}

func (r *Rack) answerRefused(request *node.StartRequest, key worker.Key, reason string) {
	r.refuseAttempt(request, node.StartResult{Key: key, RefusalReason: reason})
}

// refuseAttempt answers that an attempt is refused, and closes the attempt.
func (r *Rack) refuseAttempt(request *node.StartRequest, result node.StartResult) {
	if request == nil {
		return
	}
	r.closedAttemptsOf(request.JobShard).reasons[result.Key.Attempt] = result.RefusalReason
	r.answer(request, result)
}

// refuseForCapacity refuses a request for lack of capacity. If the expected
// usage exceeds the declared size, the answer includes it.
func (r *Rack) refuseForCapacity(p pendingStart) {
	result := node.StartResult{Key: p.item.Task.Key, RefusalReason: refusedNoCapacity}
	if need := r.expected(&p.item.Task); need != p.item.Task.Declared {
		result.ExpectedUsage = &need
	}
	r.refuseAttempt(p.request, result)
}

// answer adds a result to the output, merged into the answer to the same job
// shard if there is one.
func (r *Rack) answer(request *node.StartRequest, result node.StartResult) {
	for i := range r.output.ToJobShards {
		m := &r.output.ToJobShards[i]
		if m.JobShard == request.JobShard && m.Message.StartReply != nil {
			m.Message.StartReply.Results = append(m.Message.StartReply.Results, result)
			return
		}
	}
	a := &node.StartReply{JobShard: request.JobShard, Rack: r.ID, RackEpoch: request.RackEpoch, Results: []node.StartResult{result}}
	r.output.ToJobShards = append(r.output.ToJobShards, JobShardMessage{request.JobShard, node.Message{StartReply: a}})
}

// OnAction orders the workers to carry out a job shard's action on its
// attempts. Attempts that are not here are ignored: updates inform the job
// shard about them.
func (r *Rack) OnAction(now time.Time, d *node.AttemptOrder) {
	if !r.acceptShardEpoch(d.JobShard, d.JobShardEpoch) {
		return
	}
	orders := map[worker.ID][]worker.Key{}
	for _, k := range d.Keys {
		r.cancelUrgentStart(k)
		a := r.assignments[k]
		if a == nil || a.phase == phaseEnded {
			continue
		}
		a.pendingAction = d.Action
		a.lastSentAt = now
		orders[a.vm.id] = append(orders[a.vm.id], k)
	}
	for _, id := range r.sortedIDs {
		if keys := orders[id]; len(keys) > 0 {
			r.output.Acts = append(r.output.Acts, ActOrder{id, d.Action, keys})
		}
	}
}

func sortedAssignments(m map[worker.Key]*assignment) []*assignment {
	list := make([]*assignment, 0, len(m))
	for _, a := range m {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *assignment) int { return compareKeys(a.task.Key, b.task.Key) })
	return list
}

func compareKeys(a, b worker.Key) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// isLessUrgent reports whether class a is less urgent than class b.
func isLessUrgent(a, b leverdyke.Class) bool { return a.Rank() > b.Rank() }
