// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// OnReport applies a worker's report: it ends what the worker no longer runs,
// adopts what a previous owner started, and reconciles the worker if the report
// lists all its tasks.
func (r *Rack) OnReport(now time.Time, id worker.ID, rep *worker.Report) {
	v := r.vms[id]
	if v == nil {
		return
	}
	isRestarted := v.bootID != "" && v.bootID != rep.Incarnation
	if isRestarted {
		// The restart ended everything that ran on the worker.
		r.markAllLost(now, v)
	}
	if v.capacity != rep.Capacity || v.isLeaving != rep.IsLeaving || !v.isReconciled {
		r.isSummaryChanged = true
	}
	if rep.IsLeaving && !v.isLeaving {
		r.event(EventWorkerLeaving, v.id, worker.Key{}, "")
	}
	r.isSummaryChanged = r.isSummaryChanged || v.isUnresponsive
	v.isUnresponsive = false
	v.bootID, v.workerTime, v.reportedAt = rep.Incarnation, rep.Now, now
	v.capacity, v.isLeaving = rep.Capacity, rep.IsLeaving
	for i := range rep.Tasks {
		r.observe(now, v, &rep.Tasks[i])
	}
	if !rep.IsFullList {
		return
	}
	r.markMissingLost(now, v, rep)
	if !v.isReconciled {
		v.isReconciled = true
		r.reportIfComplete(now)
	}
}

// observe applies what a worker reports about one attempt or grant.
func (r *Rack) observe(now time.Time, v *vm, t *worker.Task) {
	a := v.assignments[t.Key]
	if a == nil {
		r.adopt(now, v, t)
		return
	}
	if a.phase == phaseEnded {
		return
	}
	r.isSummaryChanged = true
	isUnthrottlePending := a.pendingAction == worker.ActionUnthrottle && t.IsThrottled
	if !isUnthrottlePending {
		a.task.IsThrottled = t.IsThrottled
	}
	if (a.pendingAction == worker.ActionThrottle && t.IsThrottled) || (a.pendingAction == worker.ActionUnthrottle && !t.IsThrottled) {
		a.pendingAction = ""
	}
	a.task.Usage = t.Usage
	r.recordUsage(a)
	if t.State != worker.StateRunning {
		r.markEnded(now, a, t.State)
		return
	}
	r.markRunning(now, a)
}

// adopt records an attempt or grant that a previous owner of the rack started.
func (r *Rack) adopt(now time.Time, v *vm, t *worker.Task) {
	if t.State == worker.StateRunning && v.isReconciled {
		// The worker has been reconciled, so whatever it ran is known. An
		// unknown attempt was recorded as lost because its lease counted as
		// expired. It must be stopped.
		r.event(EventLateTask, v.id, t.Key, "")
		r.output.Acts = append(r.output.Acts, ActOrder{v.id, worker.ActionStop, []worker.Key{t.Key}})
		return
	}
	if t.JobShard == "" && t.Holder == "" {
		// This is the end of an attempt that was forgotten here while the
		// worker was unreachable. If the worker kept listing it, every later
		// owner would report it to the job shard again.
		r.output.Forgets = append(r.output.Forgets, ForgetOrder{v.id, []worker.Key{t.Key}})
		return
	}
	a := &assignment{task: *t, vm: v, phase: phaseRunning, since: now}
	r.addAssignment(a)
	r.recordUsage(a)
	if t.State != worker.StateRunning {
		r.markEnded(now, a, t.State)
	}
	r.isSummaryChanged = true
}

func (r *Rack) addAssignment(a *assignment) {
	a.vm.assignments[a.task.Key] = a
	r.assignments[a.task.Key] = a
	if a.task.Holder == "" {
		r.byTask[a.task.Key.Task] = a.task.Key
	}
}

func (r *Rack) removeAssignment(a *assignment) {
	delete(a.vm.assignments, a.task.Key)
	delete(r.assignments, a.task.Key)
	if r.byTask[a.task.Key.Task] == a.task.Key {
		delete(r.byTask, a.task.Key.Task)
	}
}

// markRunning records that an assignment runs, and answers whoever requested
// it.
func (r *Rack) markRunning(now time.Time, a *assignment) {
	if a.phase != phaseStarting {
		return
	}
	a.phase = phaseRunning
	a.since = now
	if a.task.Holder != "" {
		r.sendGrant(a)
		return
	}
	r.answerStarted(a)
}

// markEnded records the end of an assignment. Its capacity is free from then
// on.
func (r *Rack) markEnded(now time.Time, a *assignment, s worker.TaskState) {
	isStarting := a.phase == phaseStarting
	a.task.State = s
	a.phase = phaseEnded
	a.since = now
	r.isSummaryChanged = true
	if a.task.Holder != "" {
		r.forgetGrant(a)
		return
	}
	r.recordHealth(now, a)
	if isStarting {
		r.answerStarted(a)
	}
	a.lastSentAt = now
	r.sendUpdate(a)
	r.stopGrantsWithoutReplica(now, a.vm)
}

// recordHealth passes the end of an attempt to the health detector, which
// decides whether the worker or the job is at fault. A lost attempt has the
// state stopped, which says nothing about its worker.
func (r *Rack) recordHealth(now time.Time, a *assignment) {
	f := r.health.Ended(now, a.vm.id, a.task.Key, a.task.State, len(r.vms))
	a.isWorkerAtFault = f.IsWorkerAtFault
	if f.IsReadmitted {
		r.event(EventWorkerReadmitted, a.vm.id, worker.Key{}, "")
	}
	if f.EjectedFor > 0 {
		r.event(EventWorkerEjected, a.vm.id, worker.Key{}, f.EjectedFor.String())
	}
}

// markLost ends an assignment whose worker restarted, no longer lists it or let
// its lease expire.
func (r *Rack) markLost(now time.Time, a *assignment) {
	if a.phase == phaseEnded {
		return
	}
	a.isLost = true
	r.markEnded(now, a, worker.StateStopped)
}

func (r *Rack) markAllLost(now time.Time, v *vm) {
	for _, a := range sortedAssignments(v.assignments) {
		r.markLost(now, a)
	}
}

// markMissingLost marks as lost the running assignments that a worker's full
// report does not list. An assignment that is still starting may be missing
// only because the order has not arrived yet.
func (r *Rack) markMissingLost(now time.Time, v *vm, rep *worker.Report) {
	listed := make(map[worker.Key]bool, len(rep.Tasks))
	for i := range rep.Tasks {
		listed[rep.Tasks[i].Key] = true
	}
	for _, a := range sortedAssignments(v.assignments) {
		if a.phase == phaseRunning && !listed[a.task.Key] {
			r.markLost(now, a)
		}
	}
}

// expireWorkers marks as lost everything on workers that have been silent for
// longer than a lease can last. The silence counts only up to soleOwnerAsOf,
// the last time at which no other owner can have renewed the leases: a later
// owner may keep tasks alive on a worker that this owner cannot reach.
func (r *Rack) expireWorkers(now time.Time) {
	if r.soleOwnerSince.IsZero() {
		return
	}
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		lastPossibleRenewal := later(later(v.reportedAt, r.soleOwnerSince), v.addedAt)
		if v.isReconciled {
			lastPossibleRenewal = v.reportedAt
		}
		if r.soleOwnerAsOf.Sub(lastPossibleRenewal) <= r.leaseExpiry() {
			continue
		}
		if len(v.assignments) > 0 && hasLiveAssignment(v) {
			r.event(EventWorkerLost, v.id, worker.Key{}, "")
		}
		r.markAllLost(now, v)
		if !v.isReconciled {
			v.isReconciled = true
			r.reportIfComplete(now)
		}
	}
	r.dropRemoved(now)
}

// dropRemoved deletes the workers that are no longer on the platform's list,
// once nothing can run on them.
func (r *Rack) dropRemoved(now time.Time) {
	remaining := r.sortedIDs[:0]
	for _, id := range r.sortedIDs {
		v := r.vms[id]
		if v.isRemoved && v.isReconciled && len(v.assignments) == 0 && now.Sub(v.reportedAt) > r.leaseExpiry() {
			delete(r.vms, id)
			r.health.Forget(id)
			continue
		}
		remaining = append(remaining, id)
	}
	r.sortedIDs = remaining
}

func hasLiveAssignment(v *vm) bool {
	for _, a := range v.assignments {
		if a.phase != phaseEnded {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Tick does what is due at the current time: it expires reservations and
// waiting starts, decides on queued requests, and runs maintain each
// maintenancePeriod.
func (r *Rack) Tick(now time.Time) {
	r.expireReservations(now)
	r.expireUrgentStarts(now)
	if now.Sub(r.maintainedAt) >= maintenancePeriod {
		r.maintainedAt = now
		r.maintain(now)
	}
	r.Flush(now)
}

// maintain handles expired leases, unacknowledged orders and updates, grants
// and overuse. It visits every assignment, which takes too long to do at each
// tick.
func (r *Rack) maintain(now time.Time) {
	r.expireWorkers(now)
	for _, id := range r.health.ReadmitProbed(now) {
		r.event(EventWorkerReadmitted, id, worker.Key{}, "")
		r.isSummaryChanged = true
	}
	for _, id := range r.sortedIDs {
		r.retryOrders(now, r.vms[id])
	}
	r.resendUpdates(now)
	r.recallGrantsOfLeaving(now)
	r.checkGrants(now)
	r.relieveOverused(now)
	r.unthrottle(now)
}

// retryOrders sends the orders again that a worker has not confirmed. Orders
// are identified by attempt, so a repeated one has no effect.
func (r *Rack) retryOrders(now time.Time, v *vm) {
	actions := map[worker.Action][]worker.Key{}
	for _, a := range sortedAssignments(v.assignments) {
		if a.phase == phaseEnded || now.Sub(a.lastSentAt) < orderRetryPeriod {
			continue
		}
		switch {
		case a.phase == phaseStarting:
			if !a.isStartPending {
				r.orderStart(now, a)
			}
		case a.pendingAction != "":
			a.lastSentAt = now
			action := r.escalate(now, a)
			actions[action] = append(actions[action], a.task.Key)
		}
	}
	for _, d := range []worker.Action{worker.ActionUnthrottle, worker.ActionThrottle, worker.ActionCheckpoint, worker.ActionStop} {
		if len(actions[d]) > 0 {
			r.output.Acts = append(r.output.Acts, ActOrder{v.id, d, actions[d]})
		}
	}
}

// OnStartResults applies a worker's answer to a start order.
func (r *Rack) OnStartResults(now time.Time, id worker.ID, results []worker.StartResult) {
	v := r.vms[id]
	if v == nil {
		return
	}
	for _, s := range results {
		a := v.assignments[s.Key]
		if a == nil || a.phase != phaseStarting {
			continue
		}
		a.isStartPending = false
		if s.Refused == "" {
			r.markRunning(now, a)
			continue
		}
		r.refuseStart(a, s.Refused)
	}
	r.isSummaryChanged = true
}

// OnStartFailed records that a start order failed without an answer, so that it
// is not known whether the worker received it. The order may then be sent
// again.
func (r *Rack) OnStartFailed(id worker.ID, tasks []worker.Task) {
	v := r.vms[id]
	if v == nil {
		return
	}
	for i := range tasks {
		if a := v.assignments[tasks[i].Key]; a != nil {
			a.isStartPending = false
		}
	}
}

// refuseStart removes an assignment that its worker refused to start, and
// refuses the request for it.
func (r *Rack) refuseStart(a *assignment, reason string) {
	r.removeAssignment(a)
	if a.task.Holder != "" {
		r.refuseGrant(a, reason)
		return
	}
	r.answerRefused(a.request, a.task.Key, "the worker refused: "+reason)
}

func (r *Rack) event(kind EventKind, w worker.ID, k worker.Key, detail string) {
	r.output.Events = append(r.output.Events, Event{kind, w, k, detail})
}

// IsComplete reports whether this owner knows of every attempt that may run in
// the rack.
func (r *Rack) IsComplete() bool {
	for _, v := range r.vms {
		if !v.isReconciled {
			return false
		}
	}
	return true
}

// reportIfComplete reports the completion of the rack as an event and to every
// job shard that has synced.
func (r *Rack) reportIfComplete(now time.Time) {
	if !r.IsComplete() {
		return
	}
	r.event(EventComplete, "", worker.Key{}, now.Sub(r.createdAt).Round(time.Millisecond).String())
	for _, jobShard := range slices.Sorted(maps.Keys(r.syncedShards)) {
		r.sendFullUpdate(jobShard)
	}
}

// siblings returns the number of live assignments of a job on a worker.
func siblings(v *vm, job string) int {
	n := 0
	for _, a := range v.assignments {
		if a.phase != phaseEnded && a.task.Key.Task.Job == job {
			n++
		}
	}
	return n
}

// zero is the empty resource vector.
var zero leverdyke.Resources
