// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/fairshare"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/reserve"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// limitLogInterval is the minimum time between two log lines about steps that are blocked by the
// limits of their customers.
const limitLogInterval = time.Second

// SetCustomers applies the limits and shares of a configuration. A customer that is missing from it keeps
// its last limit for the jobs that it still has.
func (e *Engine) SetCustomers(customers []order.Customer) {
	for i := range customers {
		e.knownCustomers[string(customers[i].Name)] = customers[i]
	}
	if e.storedCustomers.configured(e.knownCustomers) {
		e.currentBatch()
	}
	e.quota.SetLimits(slices.Collect(maps.Values(e.knownCustomers)))
	e.customers, e.sharesDueAt = customers, time.Time{}
	e.needsScheduling = true
}

// CheckJob returns the reason why a job can never run under the limit of its customer, or "" if it
// can.
func (e *Engine) CheckJob(spec *work.Spec) string { return e.quota.CheckJob(spec) }

// TopCustomersByUsage returns the n customers that use the largest part of their limits.
func (e *Engine) TopCustomersByUsage(n int) []quota.CustomerUtilization {
	return e.quota.MostUtilized(n)
}

// updateShares recomputes which customers use more than their share, if the last result is older
// than rankInterval.
func (e *Engine) updateShares() {
	if e.now.Before(e.sharesDueAt) || !e.isEnabled(MechanismShares) {
		return
	}
	e.sharesDueAt = e.now.Add(rankInterval)
	clear(e.overShare)
	isWaiting := map[work.CustomerName]bool{}
	for _, s := range e.stepQueue {
		isWaiting[s.customer()] = true
	}
	capacity := leverdyke.Resources{}
	for _, w := range e.workers.All() {
		capacity = capacity.Add(w.Capacity)
	}
	uses := make([]fairshare.Usage, 0, len(e.customers))
	for i := range e.customers {
		c := &e.customers[i]
		used := e.quota.Usage(c.Name).Used
		if c.Weight > 0 && (isWaiting[c.Name] || used != (leverdyke.Resources{})) {
			uses = append(uses, fairshare.Usage{Name: c.Name, Weight: c.Weight, Fraction: max(reserve.DominantShare(used, capacity), e.planner.Occupancy().Fraction(c.Name, e.now))})
		}
	}
	e.activeWeight = 0
	for i := range uses {
		e.activeWeight += uses[i].Weight
	}
	for _, name := range fairshare.OverShare(uses) {
		e.overShare[name] = true
	}
}

func (s *step) customer() work.CustomerName { return s.job.spec.Customer }

// chargeCustomer adds one task of the step to what its customer has in use.
func (e *Engine) chargeCustomer(s *step) {
	e.quota.Charge(s.customer(), s.spec.Need, s.spec.IsLongRunning)
}

func (e *Engine) releaseCustomer(s *step) {
	e.quota.Release(s.customer(), s.spec.Need, s.spec.IsLongRunning)
}

// updateUncertainUsage passes to the quota what may be running in addition to the known attempts:
// attempts of unknown size, and tasks that a previous owner may have started.
func (e *Engine) updateUncertainUsage() {
	e.quota.ClearUncertain()
	for _, w := range e.workers.All() {
		for task := range w.unknownRuns.All() {
			if j := e.jobs[task.Job]; j != nil {
				e.quota.MarkUnknownUsage(j.spec.Customer)
			}
		}
	}
	if e.inherited == nil {
		return
	}
	for _, j := range e.activeJobs {
		e.quota.AddUncertain(j.spec.Customer, e.blockedNeed(j))
	}
}

// blockedNeed returns the resources needed by the job's tasks that are neither done nor have an
// attempt, and that may run all the same.
func (e *Engine) blockedNeed(j *job) leverdyke.Resources {
	sum := leverdyke.Resources{}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if e.isBlocked(s) {
				sum = sum.Add(s.spec.Need.Times(int64(s.waiting)))
			}
		}
	}
	return sum
}

// minimumNeed returns the least that the step takes once anything of it starts: one task, or a
// whole gang.
func (s *step) minimumNeed() leverdyke.Resources {
	if s.spec.IsGang {
		return s.spec.Need.Times(int64(len(s.tasks)))
	}
	return s.spec.Need
}

// allowedByQuota returns how many tasks of the step may start under the limit of its customer. For
// a gang it is all or none.
func (e *Engine) allowedByQuota(s *step) int {
	n := e.quota.Admissible(s.customer(), s.spec.Need, len(s.tasks))
	if s.spec.IsGang && n < len(s.tasks) {
		return 0
	}
	return n
}

// withinLimits returns the steps that are not blocked by the limits of their customers. If a step is
// blocked and will fit later, the later steps of the same customer are blocked too. Otherwise a wide
// step would starve as long as small ones keep arriving.
func (e *Engine) withinLimits(steps []*step) []*step {
	isBlocked := map[work.CustomerName]bool{}
	out := e.admittedBuffer[:0]
	for _, s := range steps {
		name := s.customer()
		if !isBlocked[name] && e.allowedByQuota(s) > 0 {
			out = append(out, s)
			continue
		}
		s.waitReason = waits.Limit
		if !isBlocked[name] {
			isBlocked[name] = e.quota.FitsEventually(name, s.minimumNeed())
			e.logBlockedByLimit(s)
		}
	}
	e.admittedBuffer = out
	return out
}

// logBlockedByLimit logs that a step is blocked by the limit of its customer. The engine writes at
// most one such line per limitLogInterval, whichever step and customer it is about, so that some
// blocked steps are not logged.
func (e *Engine) logBlockedByLimit(s *step) {
	if e.now.Before(e.limitLogDueAt) {
		return
	}
	e.limitLogDueAt = e.now.Add(limitLogInterval)
	u := e.quota.Usage(s.customer())
	e.options.Log(events.StepBlockedByLimit, "step", s.id, "customer", s.customer(), "used", u.Used, "limit", u.Limit, "needs", s.minimumNeed(), "waited", e.now.Sub(s.openedAt), "unsure", u.IsUncertain)
}
