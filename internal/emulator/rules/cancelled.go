// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import (
	"fmt"
	"strings"
	"time"
)

// cancelTimeout is how long a task of a job may still run after the job's cancellation was
// acknowledged, provided that there were no faults for that long.
const cancelTimeout = 6 * time.Second

// CancelledChecker finds tasks that still run after the cancellation of their job was acknowledged.
// The zero value has no cancelled jobs.
type CancelledChecker struct {
	// acknowledgedAt has, by job, the time of the acknowledgement; reported has the tasks for which a
	// violation was returned.
	acknowledgedAt map[string]time.Duration
	reported       map[string]bool
}

// Add records that the cancellation of a job was acknowledged.
func (c *CancelledChecker) Add(job string, now time.Duration) {
	if c.acknowledgedAt == nil {
		c.acknowledgedAt, c.reported = map[string]time.Duration{}, map[string]bool{}
	}
	c.acknowledgedAt[job] = now
}

// Check evaluates the state of all workers and returns the violations that were not returned before,
// at most one a task.
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
			violations = append(violations, Violation{CancelledStops, now, fmt.Sprintf("%s still runs on %s %v after the cancellation of its job was acknowledged", task, workers[i].ID, now-at)})
		}
	}
	return violations
}
