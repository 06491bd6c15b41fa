// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import (
	"fmt"
	"strings"
	"time"
)

// cancelledTime is how long something of a job may run after its cancelling was answered, where
// nothing is disturbed.
const cancelTimeout = 6 * time.Second

// CancelledWatch finds tasks of cancelled jobs that go on. The zero value knows none.
type CancelledChecker struct {
	acknowledgedAt map[string]time.Duration
	reported       map[string]bool
}

// Add notes that the cancelling of a job was answered.
func (c *CancelledChecker) Add(job string, now time.Duration) {
	if c.acknowledgedAt == nil {
		c.acknowledgedAt, c.reported = map[string]time.Duration{}, map[string]bool{}
	}
	c.acknowledgedAt[job] = now
}

// Look takes the state of all workers, and returns the violations that it shows for the first time.
func (c *CancelledChecker) Check(now time.Duration, workers []Worker, faults *FaultWindows) []Violation {
	if !faults.IsFaultFree(now-cancelTimeout, now) {
		return nil
	}
	violations := []Violation{}
	for i := range workers {
		for _, task := range workers[i].Running {
			job, _, _ := strings.Cut(task, ".")
			at, ok := c.acknowledgedAt[job]
			if !ok || now-at < cancelTimeout || c.reported[task] {
				continue
			}
			c.reported[task] = true
			violations = append(violations, Violation{CancelledStops, now, fmt.Sprintf("%s runs on %s %v after the cancelling of its job was answered", task, workers[i].ID, now-at)})
		}
	}
	return violations
}
