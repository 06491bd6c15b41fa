// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"strings"
	"time"
)

// Customer is one whose callers carry keys.
type Customer struct {
	Name string
	// Keys are those in force.
	Keys []string
	// MilliCPU is what its tasks may take over all workers; 0 is no limit.
	MilliCPU int64
}

// limitGrace is how long after a limit has changed that before it may still be in force.
const limitGrace = 3 * time.Second

// SetCustomers sets the customers of the configurations that are published from now on. With
// none, callers have no keys.
func (s *Site) SetCustomers(customers ...Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.customers = customers
}

// tenants returns the customers in the platform's words, and notes their limits.
func (s *Site) tenantEntries() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []any{}
	limits := map[string]int64{}
	for _, c := range s.customers {
		entries = append(entries, map[string]any{"name": c.Name, "apiKeys": c.Keys, "weight": 1, "maxCount": map[string]any{"cpu": c.MilliCPU}})
		limits[c.Name] = c.MilliCPU
	}
	s.oracle.setLimits(limits)
	return entries
}

// KnowCustomer tells the stand-in whose a job is.
func (s *Site) SetJobCustomer(id, name string) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.oracle.customerOfJob[id] = name
}

// PeakOf returns the most processors that a customer had in use at once.
func (s *Site) PeakMilliCPU(name string) int64 {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	return s.oracle.peaks[name]
}

// earlierLimits are limits that were in force until then.
type previousLimits struct {
	limits map[string]int64
	until  time.Time
}

func (o *Oracle) setLimits(limits map[string]int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.previous = append(o.previous, previousLimits{o.limits, time.Now()})
	o.limits = limits
}

// use notes that a run of a customer's job began, and checks the customer's limit; the caller
// holds the lock.
func (o *Oracle) addUsage(task, worker string, cpu int64) {
	job, _, _ := strings.Cut(task, ".")
	name := o.customerOfJob[job]
	if name == "" {
		return
	}
	o.used[name] += cpu
	o.usageByRun[task+" "+worker] = customerUsage{name, cpu}
	o.peaks[name] = max(o.peaks[name], o.used[name])
	if limit := o.effectiveLimit(name); limit > 0 && o.used[name] > limit {
		o.violations = append(o.violations, fmt.Sprintf("%s on %s brings customer %s over its limit: %d of %d", task, worker, name, o.used[name], limit))
	}
}

// customerUse is what a run takes of a customer's limit.
type customerUsage struct {
	name string
	cpu  int64
}

// endUse notes that a run has ended; the caller holds the lock.
func (o *Oracle) removeUsage(task, worker string) {
	key := task + " " + worker
	u := o.usageByRun[key]
	delete(o.usageByRun, key)
	o.used[u.name] -= u.cpu
}

// limitOf returns the highest limit that may be in force, 0 for none.
func (o *Oracle) effectiveLimit(name string) int64 {
	limit := o.limits[name]
	for _, p := range o.previous {
		if old, ok := p.limits[name]; ok && time.Since(p.until) < limitGrace {
			if old == 0 || limit == 0 {
				return 0
			}
			limit = max(limit, old)
		}
	}
	return limit
}
