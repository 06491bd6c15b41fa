// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package quota keeps customers within their limits: it counts what may be running for each
// of them over all workers, and tells what may start beside it. It is pure.
package quota

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Ledger has an account for each customer. The zero value has none, and limits nobody.
//
// What is charged may be running: from the order to start on until it is known that nothing of
// it is left. It is not safe for concurrent use.
type Ledger struct {
	accounts map[work.CustomerName]*account
	// unsure are the accounts in which something is in doubt.
	uncertain []*account
}

// account is what is known of one customer.
type account struct {
	// limit is 0 in the dimensions that have none.
	limit leverdyke.Resources
	// used is the sum of what is charged, lasting the part of it that ends only with its job.
	used, longRunning leverdyke.Resources
	// doubtful may be running besides. isUnknown means that tasks of an unknown size may.
	uncertain       leverdyke.Resources
	hasUnknownUsage bool
}

// SetLimits puts the limits of a configuration in force. A customer that is no longer in it
// keeps its last limit for the jobs that it has.
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

// Charge notes that something may run from now on. isLasting means that it ends only with its
// job.
func (l *Ledger) Charge(name work.CustomerName, r leverdyke.Resources, isLongRunning bool) {
	l.add(name, r, isLongRunning)
}

// Release notes that nothing is left of what was charged.
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

// AddUncertain notes that tasks of that size in all may be running besides what is charged, until
// ClearDoubts.
func (l *Ledger) AddUncertain(name work.CustomerName, r leverdyke.Resources) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.uncertain = a.uncertain.Add(r)
	l.uncertain = append(l.uncertain, a)
}

// MarkUnknownUsage notes that tasks of an unknown size may be running, until ClearDoubts.
func (l *Ledger) MarkUnknownUsage(name work.CustomerName) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.hasUnknownUsage = true
	l.uncertain = append(l.uncertain, a)
}

// ClearUncertain forgets what was in doubt.
func (l *Ledger) ClearUncertain() {
	for _, a := range l.uncertain {
		a.uncertain, a.hasUnknownUsage = leverdyke.Resources{}, false
	}
	l.uncertain = l.uncertain[:0]
}

// Admissible returns how many of n tasks that take each as much may start.
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

// Batches returns in how many waves n tasks that take each as much run when nothing else of their
// customer does; at least 1.
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

// IsOverLimit reports whether a customer has more than it may, as where its limit has fallen or
// tasks were found that an earlier owner had started.
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

// FitsEventually reports whether tasks that take so much in all can start once the others of
// their customer have ended, but for those that last.
func (l *Ledger) FitsEventually(name work.CustomerName, total leverdyke.Resources) bool {
	a := l.accounts[name]
	return a == nil || exceeded(total.Add(a.longRunning), a.limit) == ""
}

// Usage is what is known of a customer, for the log and for metrics.
type Usage struct {
	Used, Limit leverdyke.Resources
	// IsUncertain means that more may be running than Used.
	IsUncertain bool
}

// Usage returns what is known of a customer.
func (l *Ledger) Usage(name work.CustomerName) Usage {
	a := l.accounts[name]
	if a == nil {
		return Usage{}
	}
	return Usage{a.used, a.limit, a.hasUnknownUsage || a.uncertain != leverdyke.Resources{}}
}

// CustomerUtilization is what part of its limit a customer has in use, by the dimension of which it uses
// most.
type CustomerUtilization struct {
	Name     work.CustomerName
	Fraction float64
}

// MostUtilized returns the n customers with a limit that use most of it, the fullest first.
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

// CheckJob returns why a job can never run under the limit of its customer, or "": a task that
// takes more than the limit alone, or a gang whose members do together.
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

// dimension is one of the limit, of what may be running, and of what a task takes.
type dimension struct{ limit, used, need int64 }

func (a *account) dimensions(need leverdyke.Resources) [3]dimension {
	used := a.used.Add(a.uncertain)
	return [3]dimension{
		{a.limit.MilliCPU, used.MilliCPU, need.MilliCPU},
		{a.limit.MemoryMiB, used.MemoryMiB, need.MemoryMiB},
		{a.limit.Accelerators, used.Accelerators, need.Accelerators},
	}
}

// lacks names the first dimension in which need is over a limit, or returns "".
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
