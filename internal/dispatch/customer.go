// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/fairshare"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// heldLogPause is the time between two lines on what the limits of customers hold back.
const heldLogPause = time.Second

// SetCustomers puts the limits and shares of a configuration in force.
func (e *Engine) SetCustomers(customers []order.Customer) {
	e.quota.SetLimits(customers)
	e.customers, e.sharesAt = customers, time.Time{}
	e.isDirty = true
}

// CheckJob returns why a job can never run under the limit of its customer, or "".
func (e *Engine) CheckJob(spec *work.Spec) string { return e.quota.CheckJob(spec) }

// FullestCustomers returns the n customers that use most of their limits.
func (e *Engine) FullestCustomers(n int) []quota.CustomerUtilization { return e.quota.MostUtilized(n) }

// noteShares finds out now and then which customers have more in use than their share.
func (e *Engine) noteShares() {
	if e.now.Before(e.sharesAt) || !e.has(MechanismShares) {
		return
	}
	e.sharesAt = e.now.Add(rankPause)
	clear(e.overShare)
	isWaiting := map[work.CustomerName]bool{}
	for _, s := range e.queue {
		isWaiting[s.customer()] = true
	}
	room := leverdyke.Resources{}
	for _, w := range e.workers.All() {
		room = room.Add(w.Capacity)
	}
	uses := make([]fairshare.Usage, 0, len(e.customers))
	for i := range e.customers {
		c := &e.customers[i]
		used := e.quota.Usage(c.Name).Used
		if c.Weight > 0 && (isWaiting[c.Name] || used != (leverdyke.Resources{})) {
			uses = append(uses, fairshare.Usage{Name: c.Name, Weight: c.Weight, Fraction: share(used, room)})
		}
	}
	for _, name := range fairshare.OverShare(uses) {
		e.overShare[name] = true
	}
}

func (s *step) customer() work.CustomerName { return s.job.spec.Customer }

// chargeCustomer notes that a task of the step may be running.
func (e *Engine) chargeCustomer(s *step) {
	e.quota.Charge(s.customer(), s.spec.Need, s.spec.IsLongRunning)
}

func (e *Engine) releaseCustomer(s *step) {
	e.quota.Release(s.customer(), s.spec.Need, s.spec.IsLongRunning)
}

// noteDoubts tells the quota what may be running besides the attempts that are known.
func (e *Engine) noteDoubts() {
	e.quota.ClearUncertain()
	for _, w := range e.workers.All() {
		for task := range w.unknownRuns {
			if j := e.jobs[task.Job]; j != nil {
				e.quota.MarkUnknownUsage(j.spec.Customer)
			}
		}
	}
	if e.inherited == nil {
		return
	}
	for _, j := range e.live {
		if e.isBlocked(j) {
			e.quota.AddUncertain(j.spec.Customer, j.unplaced())
		}
	}
}

// unplaced returns what the tasks of the job take that are not done and have no attempt.
func (j *job) unplaced() leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			sum = sum.Add(s.spec.Need.Times(int64(s.waiting)))
		}
	}
	return sum
}

// least returns what the step takes at least when anything of it starts.
func (s *step) least() leverdyke.Resources {
	if s.spec.IsGang {
		return s.spec.Need.Times(int64(len(s.tasks)))
	}
	return s.spec.Need
}

// quotaRoom returns how many tasks of the step may start under the limit of its customer: all
// of a gang or none.
func (e *Engine) quotaRoom(s *step) int {
	n := e.quota.Admissible(s.customer(), s.spec.Need, len(s.tasks))
	if s.spec.IsGang && n < len(s.tasks) {
		return 0
	}
	return n
}

// withinLimits returns the steps that the limits of their customers do not hold back. Behind
// one that is held back and will fit later, no other step of its customer gets what becomes
// free: a wide one would wait for as long as small ones come.
func (e *Engine) withinLimits(steps []*step) []*step {
	held := map[work.CustomerName]bool{}
	out := e.admitted[:0]
	for _, s := range steps {
		name := s.customer()
		if !held[name] && e.quotaRoom(s) > 0 {
			out = append(out, s)
			continue
		}
		s.waitReason = waits.Limit
		if !held[name] {
			held[name] = e.quota.FitsEventually(name, s.least())
			e.logHeld(s)
		}
	}
	e.admitted = out
	return out
}

// logHeld tells which limit holds a step back, now and then.
func (e *Engine) logHeld(s *step) {
	if e.now.Before(e.heldLogAt) {
		return
	}
	e.heldLogAt = e.now.Add(heldLogPause)
	u := e.quota.Usage(s.customer())
	e.options.Log(events.StepHeldByLimit, "step", s.id, "customer", s.customer(), "used", u.Used, "limit", u.Limit, "needs", s.least(), "waited", e.now.Sub(s.openedAt), "unsure", u.IsUncertain)
}
