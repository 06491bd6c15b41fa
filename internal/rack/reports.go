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
	isNewBoot := v.boot != "" && v.boot != rep.Incarnation
	if isNewBoot {
		// The restart ended all that ran there.
		r.loseAll(now, v)
	}
	if v.capacity != rep.Capacity || v.isLeaving != rep.IsLeaving || !v.isKnown {
		r.isChanged = true
	}
	if rep.IsLeaving && !v.isLeaving {
		r.event(EventWorkerLeaving, v.id, worker.Key{}, "")
	}
	r.isChanged = r.isChanged || v.isSilent
	v.isSilent = false
	v.boot, v.asOf, v.heardAt = rep.Incarnation, rep.Now, now
	v.capacity, v.isLeaving = rep.Capacity, rep.IsLeaving
	for i := range rep.Tasks {
		r.observe(now, v, &rep.Tasks[i])
	}
	if !rep.IsFullList {
		return
	}
	r.dropMissing(now, v, rep)
	if !v.isKnown {
		v.isKnown = true
		r.tellIfComplete(now)
	}
}

// observe takes what a worker says of one attempt.
func (r *Rack) observe(now time.Time, v *vm, t *worker.Task) {
	h := v.held[t.Key]
	if h == nil {
		r.adopt(now, v, t)
		return
	}
	if h.phase == phaseEnded {
		return
	}
	r.isChanged = true
	isOwnThrottle := h.deed == worker.ActionUnthrottle && t.IsThrottled
	if !isOwnThrottle {
		h.task.IsThrottled = t.IsThrottled
	}
	if (h.deed == worker.ActionThrottle && t.IsThrottled) || (h.deed == worker.ActionUnthrottle && !t.IsThrottled) {
		h.deed = ""
	}
	h.task.Usage = t.Usage
	r.learn(h)
	if t.State != worker.StateRunning {
		r.end(now, h, t.State)
		return
	}
	r.started(now, h)
}

// adopt takes over an attempt that an earlier owner started.
func (r *Rack) adopt(now time.Time, v *vm, t *worker.Task) {
	if t.State == worker.StateRunning && v.isKnown {
		// Nothing that this owner does not know may run on a worker that has
		// told all: its lease was taken to have lapsed. It must end.
		r.event(EventLateTask, v.id, t.Key, "")
		r.out.Acts = append(r.out.Acts, ActOrder{v.id, worker.ActionStop, []worker.Key{t.Key}})
		return
	}
	if t.JobShard == "" && t.Holder == "" {
		// The end of an attempt that was forgotten here while the worker was out
		// of reach. Left in its list, it would be news to every later owner.
		r.out.Forgets = append(r.out.Forgets, ForgetOrder{v.id, []worker.Key{t.Key}})
		return
	}
	h := &held{task: *t, vm: v, phase: phaseRunning, since: now}
	r.add(h)
	r.learn(h)
	if t.State != worker.StateRunning {
		r.end(now, h, t.State)
	}
	r.isChanged = true
}

func (r *Rack) add(h *held) {
	h.vm.held[h.task.Key] = h
	r.held[h.task.Key] = h
	if h.task.Holder == "" {
		r.byTask[h.task.Key.Task] = h.task.Key
	}
}

func (r *Rack) remove(h *held) {
	delete(h.vm.held, h.task.Key)
	delete(r.held, h.task.Key)
	if r.byTask[h.task.Key.Task] == h.task.Key {
		delete(r.byTask, h.task.Key.Task)
	}
}

// started notes that an attempt runs, and tells whoever asked for it.
func (r *Rack) started(now time.Time, h *held) {
	if h.phase != phaseStarting {
		return
	}
	h.phase = phaseRunning
	h.since = now
	if h.task.Holder != "" {
		r.tellGrant(h)
		return
	}
	r.answerStarted(h)
}

// end notes that an attempt is over; its room is free from now on.
func (r *Rack) end(now time.Time, h *held, s worker.TaskState) {
	isStarting := h.phase == phaseStarting
	h.task.State = s
	h.phase = phaseEnded
	h.since = now
	r.isChanged = true
	if h.task.Holder != "" {
		r.grantEnded(h)
		return
	}
	r.judge(now, h)
	if isStarting {
		r.answerStarted(h)
	}
	h.told = now
	r.tellNews(h)
	r.dropGrantsWithout(now, h.vm)
}

// judge learns from the end of an attempt whether its worker or its job is at
// fault. A lost one counts as stopped: its state says so.
func (r *Rack) judge(now time.Time, h *held) {
	f := r.health.Ended(now, h.vm.id, h.task.Key, h.task.State, len(r.vms))
	h.isBlamed = f.IsWorkerAtFault
	if f.IsReadmitted {
		r.event(EventWorkerBack, h.vm.id, worker.Key{}, "")
	}
	if f.EjectedFor > 0 {
		r.event(EventWorkerSetAside, h.vm.id, worker.Key{}, f.EjectedFor.String())
	}
}

// lose ends an attempt that went with its worker or its lease.
func (r *Rack) lose(now time.Time, h *held) {
	if h.phase == phaseEnded {
		return
	}
	h.isLost = true
	r.end(now, h, worker.StateStopped)
}

func (r *Rack) loseAll(now time.Time, v *vm) {
	for _, h := range sortedHeld(v.held) {
		r.lose(now, h)
	}
}

// dropMissing loses what the worker's whole list does not have. An attempt
// whose start is still under way may yet come.
func (r *Rack) dropMissing(now time.Time, v *vm, rep *worker.Report) {
	listed := make(map[worker.Key]bool, len(rep.Tasks))
	for i := range rep.Tasks {
		listed[rep.Tasks[i].Key] = true
	}
	for _, h := range sortedHeld(v.held) {
		if h.phase == phaseRunning && !listed[h.task.Key] {
			r.lose(now, h)
		}
	}
}

// lapseWorkers gives up the workers that have been silent for longer than any
// lease there can last. The time that counts is the last at which nobody else
// can have renewed them: a later owner may keep alive what this one cannot see.
func (r *Rack) lapseWorkers(now time.Time) {
	if r.soleSince.IsZero() {
		return
	}
	for _, id := range r.order {
		v := r.vms[id]
		last := later(later(v.heardAt, r.soleSince), v.addedAt)
		if v.isKnown {
			last = v.heardAt
		}
		if r.soleAsOf.Sub(last) <= r.lapse() {
			continue
		}
		if len(v.held) > 0 && hasLive(v) {
			r.event(EventWorkerLost, v.id, worker.Key{}, "")
		}
		r.loseAll(now, v)
		if !v.isKnown {
			v.isKnown = true
			r.tellIfComplete(now)
		}
	}
	r.dropGone(now)
}

func (r *Rack) dropGone(now time.Time) {
	kept := r.order[:0]
	for _, id := range r.order {
		v := r.vms[id]
		if v.isGone && v.isKnown && len(v.held) == 0 && now.Sub(v.heardAt) > r.lapse() {
			delete(r.vms, id)
			r.health.Forget(id)
			continue
		}
		kept = append(kept, id)
	}
	r.order = kept
}

func hasLive(v *vm) bool {
	for _, h := range v.held {
		if h.phase != phaseEnded {
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
	r.expireHolds(now)
	r.expireUrgents(now)
	if now.Sub(r.upkeptAt) >= upkeepPeriod {
		r.upkeptAt = now
		r.upkeep(now)
	}
	r.Flush(now)
}

// upkeep looks at every attempt, which takes too long to be done at each tick.
func (r *Rack) upkeep(now time.Time) {
	r.lapseWorkers(now)
	for _, id := range r.health.ReadmitProbed(now) {
		r.event(EventWorkerBack, id, worker.Key{}, "")
		r.isChanged = true
	}
	for _, id := range r.order {
		r.retryOrders(now, r.vms[id])
	}
	r.resendNews(now)
	r.recallLeaving(now)
	r.checkGrants(now)
	r.relieve(now)
	r.unthrottle(now)
}

// retryOrders gives again what a worker has not confirmed. Orders are keyed by
// attempt, so that a second copy does nothing.
func (r *Rack) retryOrders(now time.Time, v *vm) {
	acts := map[worker.Action][]worker.Key{}
	for _, h := range sortedHeld(v.held) {
		if h.phase == phaseEnded || now.Sub(h.told) < retryPeriod {
			continue
		}
		switch {
		case h.phase == phaseStarting:
			if !h.isOrdered {
				r.orderStart(now, h)
			}
		case h.deed != "":
			h.told = now
			deed := r.escalate(now, h)
			acts[deed] = append(acts[deed], h.task.Key)
		}
	}
	for _, d := range []worker.Action{worker.ActionUnthrottle, worker.ActionThrottle, worker.ActionCheckpoint, worker.ActionStop} {
		if len(acts[d]) > 0 {
			r.out.Acts = append(r.out.Acts, ActOrder{v.id, d, acts[d]})
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
		h := v.held[s.Key]
		if h == nil || h.phase != phaseStarting {
			continue
		}
		h.isOrdered = false
		if s.Refused == "" {
			r.started(now, h)
			continue
		}
		r.refuseStart(h, s.Refused)
	}
	r.isChanged = true
}

// OnStartFailed notes that it is not known whether a worker got a start.
func (r *Rack) OnStartFailed(id worker.ID, tasks []worker.Task) {
	v := r.vms[id]
	if v == nil {
		return
	}
	for i := range tasks {
		if h := v.held[tasks[i].Key]; h != nil {
			h.isOrdered = false
		}
	}
}

func (r *Rack) refuseStart(h *held, why string) {
	r.remove(h)
	if h.task.Holder != "" {
		r.refuseGrant(h, why)
		return
	}
	r.answerRefused(h.asked, h.task.Key, "the worker refused: "+why)
}

func (r *Rack) event(kind EventKind, w worker.ID, k worker.Key, detail string) {
	r.out.Events = append(r.out.Events, Event{kind, w, k, detail})
}

// IsComplete reports whether no worker may run an attempt that this owner does
// not know of.
func (r *Rack) IsComplete() bool {
	for _, v := range r.vms {
		if !v.isKnown {
			return false
		}
	}
	return true
}

func (r *Rack) tellIfComplete(now time.Time) {
	if !r.IsComplete() {
		return
	}
	r.event(EventComplete, "", worker.Key{}, now.Sub(r.began).Round(time.Millisecond).String())
	for _, home := range slices.Sorted(maps.Keys(r.synced)) {
		r.tellWhole(home)
	}
}

// siblings counts the live attempts of a job on a worker.
func siblings(v *vm, job string) int {
	n := 0
	for _, h := range v.held {
		if h.phase != phaseEnded && h.task.Key.Task.Job == job {
			n++
		}
	}
	return n
}

// zero is nothing at all.
var zero leverdyke.Resources
