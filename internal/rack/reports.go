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

// OnReport takes a worker's report. asked is when the Sync was sent that the
// report answers.
func (r *Rack) OnReport(now time.Time, id worker.ID, rep *worker.Report) {
	v := r.vms[id]
	if v == nil {
		return
	}
	isRestarted := v.bootID != "" && v.bootID != rep.Boot
	if isRestarted {
		// The restart ended all that ran there.
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
	v.bootID, v.workerTime, v.reportedAt = rep.Boot, rep.Now, now
	v.capacity, v.isLeaving = rep.Capacity, rep.IsLeaving
	for i := range rep.Tasks {
		r.observe(now, v, &rep.Tasks[i])
	}
	if !rep.IsWhole {
		return
	}
	r.markMissingLost(now, v, rep)
	if !v.isReconciled {
		v.isReconciled = true
		r.reportIfComplete(now)
	}
}

// observe takes what a worker says of one attempt.
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
	isUnthrottlePending := a.pendingAction == worker.DeedUnthrottle && t.IsThrottled
	if !isUnthrottlePending {
		a.task.IsThrottled = t.IsThrottled
	}
	if (a.pendingAction == worker.DeedThrottle && t.IsThrottled) || (a.pendingAction == worker.DeedUnthrottle && !t.IsThrottled) {
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

// adopt takes over an attempt that an earlier owner started.
func (r *Rack) adopt(now time.Time, v *vm, t *worker.Task) {
	if t.State == worker.StateRunning && v.isReconciled {
		// Nothing that this owner does not know may run on a worker that has
		// told all: its lease was taken to have lapsed. It must end.
		r.event(EventLateTask, v.id, t.Key, "")
		r.output.Acts = append(r.output.Acts, ActOrder{v.id, worker.DeedStop, []worker.Key{t.Key}})
		return
	}
	if t.Home == "" && t.Holder == "" {
		// The end of an attempt that was forgotten here while the worker was out
		// of reach. Left in its list, it would be news to every later owner.
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

// started notes that an attempt runs, and tells whoever asked for it.
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

// end notes that an attempt is over; its room is free from now on.
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

// judge learns from the end of an attempt whether its worker or its job is at
// fault. A lost one counts as stopped: its state says so.
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

// lose ends an attempt that went with its worker or its lease.
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

// dropMissing loses what the worker's whole list does not have. An attempt
// whose start is still under way may yet come.
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

// lapseWorkers gives up the workers that have been silent for longer than any
// lease there can last. The time that counts is the last at which nobody else
// can have renewed them: a later owner may keep alive what this one cannot see.
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

// Tick does what is due: lapses, orders that were not answered, news that were
// not acknowledged.
func (r *Rack) Tick(now time.Time) {
	r.expireReservations(now)
	r.expireUrgentStarts(now)
	if now.Sub(r.maintainedAt) >= maintenancePeriod {
		r.maintainedAt = now
		r.maintain(now)
	}
	r.Flush(now)
}

// upkeep looks at every attempt, which takes too long to be done at each tick.
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

// retryOrders gives again what a worker has not confirmed. Orders are keyed by
// attempt, so that a second copy does nothing.
func (r *Rack) retryOrders(now time.Time, v *vm) {
	actions := map[worker.Deed][]worker.Key{}
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
	for _, d := range []worker.Deed{worker.DeedUnthrottle, worker.DeedThrottle, worker.DeedCheckpoint, worker.DeedStop} {
		if len(actions[d]) > 0 {
			r.output.Acts = append(r.output.Acts, ActOrder{v.id, d, actions[d]})
		}
	}
}

// OnStartResults takes a worker's answer to a start.
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

// OnStartFailed notes that it is not known whether a worker got a start.
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

// IsComplete reports whether no worker may run an attempt that this owner does
// not know of.
func (r *Rack) IsComplete() bool {
	for _, v := range r.vms {
		if !v.isReconciled {
			return false
		}
	}
	return true
}

func (r *Rack) reportIfComplete(now time.Time) {
	if !r.IsComplete() {
		return
	}
	r.event(EventComplete, "", worker.Key{}, now.Sub(r.createdAt).Round(time.Millisecond).String())
	for _, jobShard := range slices.Sorted(maps.Keys(r.syncedShards)) {
		r.sendFullUpdate(jobShard)
	}
}

// siblings counts the live attempts of a job on a worker.
func siblings(v *vm, job string) int {
	n := 0
	for _, a := range v.assignments {
		if a.phase != phaseEnded && a.task.Key.Task.Job == job {
			n++
		}
	}
	return n
}

// zero is nothing at all.
var zero leverdyke.Resources
