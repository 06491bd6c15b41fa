// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"strings"
	"time"
)

// Customer is a customer whose callers authenticate with API keys.
type Customer struct {
	Name string
	// Keys are the API keys that are valid now.
	Keys []string
	// MilliCPU limits the processors, in thousandths, that its tasks may use over all workers; 0 is no limit.
	MilliCPU int64
}

// limitGrace is how long after a change the previous limit may still be applied by nodes that have not
// read the new configuration.
const limitGrace = 3 * time.Second

// SetCustomers sets the customers for configurations that are published from now on. Without
// customers, requests need no API key.
func (s *Site) SetCustomers(customers ...Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.customers = customers
}

// tenantEntries returns the customers in the format of the platform's configuration, and sets the limits that the
// oracle checks.
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

// SetJobCustomer records the customer of a job, so that the oracle counts its tasks against the limit.
func (s *Site) SetJobCustomer(id, name string) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.oracle.customerOfJob[id] = name
}

// PeakMilliCPU returns the highest number of processors, in thousandths, that a customer used at once.
func (s *Site) PeakMilliCPU(name string) int64 {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	return s.oracle.peaks[name]
}

// previousLimits are limits, by customer, that were in force until a point in time.
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

// addUsage counts a started run against its customer and records a violation if the customer
// exceeds its limit. Callers must hold the lock.
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

// customerUsage is what a run uses of a customer's limit.
type customerUsage struct {
	name string
	cpu  int64
}

// removeUsage releases what an ended run used of its customer's limit. Callers must hold the lock.
func (o *Oracle) removeUsage(task, worker string) {
	key := task + " " + worker
	u := o.usageByRun[key]
	delete(o.usageByRun, key)
	o.used[u.name] -= u.cpu
}

// effectiveLimit returns the highest limit that a node may still apply: the current one, or one replaced
// within limitGrace. 0 means no limit.
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
