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

// pendingAsk is one attempt that is asked for, until the next Flush.
type pendingStart struct {
	request *node.Ask
	item    *node.AskItem
}

// The reasons for refusing an attempt. None of them lets it be started later.
const (
	refusedWrongEpoch    = "the ask is for another epoch of the rack"
	refusedOldShardOwner = "another node is the home now"
	refusedByDeputy      = "the rack is kept alive by a deputy while the log is out"
	refusedNoCapacity    = "no room"
	refusedOtherAttempt  = "another attempt of the task is here"
	refusedForGang       = "the room is kept for an all-at-once job"
	refusedNoReservation = "the held place has lapsed"
)

// settled are a home's attempts that must not start any more.
type closedAttempts struct {
	floor   uint64
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

// raiseFloor forgets what no late ask can bring back.
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

// acceptHome reports whether the epoch is the home's highest seen here.
func (r *Rack) acceptShardEpoch(jobShard state.ShardID, epoch uint64) bool {
	if epoch < r.shardEpochs[jobShard] {
		return false
	}
	r.shardEpochs[jobShard] = epoch
	return true
}

// OnStartRequest takes an ask; it is settled with the others at the next Flush.
func (r *Rack) OnStartRequest(request *node.Ask) {
	reason := ""
	switch {
	case request.RackEpoch != r.Epoch:
		reason = refusedWrongEpoch
	case !r.acceptShardEpoch(request.Home, request.HomeEpoch):
		reason = refusedOldShardOwner
	case r.options.IsDeputy:
		reason = refusedByDeputy
	}
	if reason == "" {
		r.closedAttemptsOf(request.Home).raiseFloor(request.Floor)
	}
	for i := range request.Items {
		if reason != "" {
			r.answerRefused(request, request.Items[i].Task.Key, reason)
			continue
		}
		r.pendingStarts = append(r.pendingStarts, pendingStart{request, &request.Items[i]})
	}
}

// Flush settles the asks that came since the last one: class, then the team's
// share of its quota, then age.
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

// settle starts one attempt or refuses it. An attempt that is here already is
// answered as it stands, so that an ask may be sent again.
func (r *Rack) decide(now time.Time, p pendingStart) {
	key := p.item.Task.Key
	s := r.closedAttemptsOf(p.request.Home)
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
	if p.item.HoldID != 0 {
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

// choose returns the worker to take and the runner-up, or nil.
func (r *Rack) chooseWorker(now time.Time, item *node.AskItem) (best, runnerUp *vm) {
	candidates := make([]placement.Candidate, len(r.sortedIDs))
	for i, id := range r.sortedIDs {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) || r.isReservedAgainst(now, v, item) {
			candidates[i].IsShut = true
			continue
		}
		candidates[i] = placement.Candidate{Free: r.free(v), Capacity: v.capacity}
		if item.Task.RunTime == 0 {
			candidates[i].Siblings = siblings(v, item.Task.Key.Task.Job)
		}
	}
	b, s := placement.Best(placement.Policy{Waiting: item.Waiting, Packing: item.Packing}, r.expected(&item.Task), candidates)
	if b >= 0 {
		best = r.vms[r.sortedIDs[b]]
	}
	if s >= 0 {
		runnerUp = r.vms[r.sortedIDs[s]]
	}
	return best, runnerUp
}

func (r *Rack) place(now time.Time, p pendingStart, v, runnerUp *vm, reason string) {
	a := &assignment{task: p.item.Task, vm: v, phase: phaseStarting, since: now, lastSentAt: now, request: p.request}
	a.task.State = worker.StateRunning
	// Until it reports itself, it counts for what others of its job have used.
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

// orderStart adds a start to the orders, joined with others for the same worker.
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

func (r *Rack) answerStarted(a *assignment) {
	if a.request == nil {
		return
	}
	r.answer(a.request, node.AnswerResult{Key: a.task.Key, Worker: a.vm.id})
	a.request = nil
}

func (r *Rack) answerRefused(request *node.Ask, key worker.Key, reason string) {
	r.refuseAttempt(request, node.AnswerResult{Key: key, Refused: reason})
}

func (r *Rack) refuseAttempt(request *node.Ask, result node.AnswerResult) {
	if request == nil {
		return
	}
	r.closedAttemptsOf(request.Home).reasons[result.Key.Attempt] = result.Refused
	r.answer(request, result)
}

// refuseForRoom refuses an ask for which there is no room, and tells the home
// if more was needed than the task declares.
func (r *Rack) refuseForCapacity(p pendingStart) {
	result := node.AnswerResult{Key: p.item.Task.Key, Refused: refusedNoCapacity}
	if need := r.expected(&p.item.Task); need != p.item.Task.Each {
		result.Expected = &need
	}
	r.refuseAttempt(p.request, result)
}

// answer adds a result to the answers, joined with others for the same home.
func (r *Rack) answer(request *node.Ask, result node.AnswerResult) {
	for i := range r.output.ToJobShards {
		m := &r.output.ToJobShards[i]
		if m.JobShard == request.Home && m.Message.Answer != nil {
			m.Message.Answer.Results = append(m.Message.Answer.Results, result)
			return
		}
	}
	a := &node.Answer{Home: request.Home, Rack: r.ID, RackEpoch: request.RackEpoch, Results: []node.AnswerResult{result}}
	r.output.ToJobShards = append(r.output.ToJobShards, JobShardMessage{request.Home, node.Message{Answer: a}})
}

// OnAction does a home's deed to its attempts. Attempts that are not here are
// left out: the home learns of them by news.
func (r *Rack) OnAction(now time.Time, d *node.Deed) {
	if !r.acceptShardEpoch(d.Home, d.HomeEpoch) {
		return
	}
	orders := map[worker.ID][]worker.Key{}
	for _, k := range d.Keys {
		r.cancelUrgentStart(k)
		a := r.assignments[k]
		if a == nil || a.phase == phaseEnded {
			continue
		}
		a.pendingAction = d.Deed
		a.lastSentAt = now
		orders[a.vm.id] = append(orders[a.vm.id], k)
	}
	for _, id := range r.sortedIDs {
		if keys := orders[id]; len(keys) > 0 {
			r.output.Acts = append(r.output.Acts, ActOrder{id, d.Deed, keys})
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

// isLower reports whether a is less urgent than b.
func isLessUrgent(a, b leverdyke.Class) bool { return a.Rank() > b.Rank() }
