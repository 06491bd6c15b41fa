// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package quota enforces the resource limits of customers. It counts the resources that may be in
// use for each customer over all workers, and answers how many more tasks may start within the
// limit. It does no I/O and reads no clock.
package quota

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Ledger has an account for each customer. The zero value has no accounts and limits nobody.
//
// The caller charges a task's resources when it orders the task to start, and releases them when
// it is known that nothing of the task runs any more: an order without an answer may have been
// carried out, so its resources stay charged. A Ledger is not safe for concurrent use.
type Ledger struct {
	accounts map[work.CustomerName]*account
	// uncertain are the accounts to which AddUncertain or MarkUnknownUsage has added something
	// since the last ClearUncertain.
	uncertain []*account
}

// account is the limit of one customer and the resources that may be in use for it.
type account struct {
	// limit is 0 in the dimensions that have no limit.
	limit leverdyke.Resources
	// used is the sum of what is charged. longRunning is the part of it that belongs to
	// long-running tasks, which end only when their job is cancelled.
	used, longRunning leverdyke.Resources
	// uncertain may be in use in addition to used. hasUnknownUsage means that tasks whose size
	// is not known may be running as well.
	uncertain       leverdyke.Resources
	hasUnknownUsage bool
}

// SetLimits puts the limits of a configuration in force. A customer that is no longer in the
// configuration keeps its last limit for the jobs that it still has.
func (l *Ledger) SetLimits(customers []order.Customer) {
	for i := range customers {
		l.account(customers[i].Name).limit = customers[i].Limit
	}
}

func (l *Ledger) account(name work.CustomerName) *account {
	if l.accounts == nil {
		l.accounts = map[work.CustomerName]*account{}
	}
	a := l.accounts[name]
	if a == nil {
		a = &account{}
		l.accounts[name] = a
	}
	return a
}

// Charge adds the resources of a task that may run from now on. isLongRunning means that the task
// ends only when its job is cancelled.
func (l *Ledger) Charge(name work.CustomerName, r leverdyke.Resources, isLongRunning bool) {
	l.add(name, r, isLongRunning)
}

// Release subtracts the resources of a task of which nothing runs any more. The arguments must
// be those of its Charge.
func (l *Ledger) Release(name work.CustomerName, r leverdyke.Resources, isLongRunning bool) {
	l.add(name, r.Times(-1), isLongRunning)
}

func (l *Ledger) add(name work.CustomerName, r leverdyke.Resources, isLongRunning bool) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.used = a.used.Add(r)
	if isLongRunning {
		a.longRunning = a.longRunning.Add(r)
	}
}

// AddUncertain adds the resources of tasks that may be running in addition to those charged. They
// count until ClearUncertain.
func (l *Ledger) AddUncertain(name work.CustomerName, r leverdyke.Resources) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.uncertain = a.uncertain.Add(r)
	l.uncertain = append(l.uncertain, a)
}

// MarkUnknownUsage records that tasks whose size is not known may be running. Until ClearUncertain
// no further task of a customer with a limit may start.
func (l *Ledger) MarkUnknownUsage(name work.CustomerName) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.hasUnknownUsage = true
	l.uncertain = append(l.uncertain, a)
}

// ClearUncertain undoes all calls of AddUncertain and MarkUnknownUsage.
func (l *Ledger) ClearUncertain() {
	for _, a := range l.uncertain {
		a.uncertain, a.hasUnknownUsage = leverdyke.Resources{}, false
	}
	l.uncertain = l.uncertain[:0]
}

// Admissible returns how many of n tasks may start within the limit; each is what one of them needs.
func (l *Ledger) Admissible(name work.CustomerName, each leverdyke.Resources, n int) int {
	a := l.accounts[name]
	if a == nil || !a.isLimited() {
		return n
	}
	if a.hasUnknownUsage {
		return 0
	}
	for _, d := range a.dimensions(each) {
		if d.limit <= 0 || d.need <= 0 {
			continue
		}
		free := max(d.limit-d.used, 0)
		n = min(n, int(free/d.need))
	}
	return n
}

// Batches returns in how many batches, one after the other, n tasks have to run under the limit if
// nothing else of the customer runs; at least 1. A task that exceeds the limit counts as a batch
// of its own. each is what one task needs.
func (l *Ledger) Batches(name work.CustomerName, each leverdyke.Resources, n int) int {
	a := l.accounts[name]
	if a == nil {
		return 1
	}
	batches := 1
	for _, d := range a.dimensions(each) {
		if d.limit > 0 && d.need > 0 {
			atOnce := max(d.limit/d.need, 1)
			batches = max(batches, int((int64(n)+atOnce-1)/atOnce))
		}
	}
	return batches
}

// IsOverLimit reports whether a customer may have more in use than its limit. That happens when
// the limit was lowered, or when tasks were found that a previous owner had started.
func (l *Ledger) IsOverLimit(name work.CustomerName) bool {
	a := l.accounts[name]
	if a == nil {
		return false
	}
	for _, d := range a.dimensions(leverdyke.Resources{}) {
		if d.limit > 0 && d.used > d.limit {
			return true
		}
	}
	return false
}

// FitsEventually reports whether tasks that need total together can start once all other tasks of
// their customer have ended, except the long-running ones, which do not end by themselves.
func (l *Ledger) FitsEventually(name work.CustomerName, total leverdyke.Resources) bool {
	a := l.accounts[name]
	return a == nil || exceeded(total.Add(a.longRunning), a.limit) == ""
}

// Usage is what a customer uses and may use, for the log and for metrics.
type Usage struct {
	Used, Limit leverdyke.Resources
	// IsUncertain means that more may be in use than Used.
	IsUncertain bool
}

// Usage returns the usage of a customer; the zero value for one that is not known.
func (l *Ledger) Usage(name work.CustomerName) Usage {
	a := l.accounts[name]
	if a == nil {
		return Usage{}
	}
	return Usage{a.used, a.limit, a.hasUnknownUsage || a.uncertain != leverdyke.Resources{}}
}

// CustomerUtilization is the fraction of its limit that a customer has in use, in the dimension in
// which that fraction is largest.
type CustomerUtilization struct {
	Name     work.CustomerName
	Fraction float64
}

// MostUtilized returns the n customers with a limit that use the largest fraction of it, in
// descending order.
func (l *Ledger) MostUtilized(n int) []CustomerUtilization {
	out := []CustomerUtilization{}
	for name, a := range l.accounts {
		if !a.isLimited() {
			continue
		}
		utilization := CustomerUtilization{Name: name}
		for _, d := range a.dimensions(leverdyke.Resources{}) {
			if d.limit > 0 {
				utilization.Fraction = max(utilization.Fraction, float64(d.used)/float64(d.limit))
			}
		}
		out = append(out, utilization)
	}
	slices.SortFunc(out, func(a, b CustomerUtilization) int {
		return cmp.Or(cmp.Compare(b.Fraction, a.Fraction), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(n, len(out))]
}

// CheckJob returns why a job can never run under the limit of its customer, or "" if it can. A job
// can never run if one of its tasks needs more than the limit, or if it has a gang whose tasks
// together do.
func (l *Ledger) CheckJob(s *work.Spec) string {
	a := l.accounts[s.Customer]
	if a == nil || s.Customer == "" {
		return ""
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		need, what := step.Need, "a task of it takes"
		if step.IsGang {
			need, what = need.Times(int64(step.Count)), "its tasks, which only run together, take"
		}
		if d := exceeded(need, a.limit); d != "" {
			return fmt.Sprintf("steps[%d]: %s more %s than customer %s may have running: %s of %s", i, what, d, s.Customer, need, a.limit)
		}
	}
	return ""
}

func (a *account) isLimited() bool {
	return a.limit.MilliCPU > 0 || a.limit.MemoryMiB > 0 || a.limit.Accelerators > 0
}

// dimension is one resource dimension of an account: its limit, what may be in use, including what
// is uncertain, and what a task needs.
type dimension struct{ limit, used, need int64 }

func (a *account) dimensions(need leverdyke.Resources) [3]dimension {
	used := a.used.Add(a.uncertain)
	return [3]dimension{
		{a.limit.MilliCPU, used.MilliCPU, need.MilliCPU},
		{a.limit.MemoryMiB, used.MemoryMiB, need.MemoryMiB},
		{a.limit.Accelerators, used.Accelerators, need.Accelerators},
	}
}

// exceeded names the first dimension in which need exceeds the limit, or returns "".
func exceeded(need, limit leverdyke.Resources) string {
	for _, d := range [...]struct {
		need, limit int64
		name        string
	}{{need.MilliCPU, limit.MilliCPU, "processors"}, {need.MemoryMiB, limit.MemoryMiB, "memory"}, {need.Accelerators, limit.Accelerators, "accelerators"}} {
		if d.limit > 0 && d.need > d.limit {
			return d.name
		}
	}
	return ""
}
