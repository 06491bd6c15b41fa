// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import (
	"fmt"
	"time"
)

// drainTimeout is how long after the drain of an availability zone a task may still be started there,
// provided that there were no faults for that long.
const drainTimeout = 5 * time.Second

// DrainedChecker finds tasks that are started in drained zones. The zero value has no drained zones.
type DrainedChecker struct {
	// drainedAt has the drained zones; starts has, by worker, how many tasks had been started there at
	// the last check.
	drainedAt map[string]time.Duration
	starts    map[string]int
}

// Drain records that a zone is drained, Return that it is in use again.
func (c *DrainedChecker) Drain(zone string, now time.Duration) {
	if c.drainedAt == nil {
		c.drainedAt, c.starts = map[string]time.Duration{}, map[string]int{}
	}
	if _, isDrained := c.drainedAt[zone]; !isDrained {
		c.drainedAt[zone] = now
	}
}

// Return records that a zone is in use again.
func (c *DrainedChecker) Return(zone string) { delete(c.drainedAt, zone) }

// Check evaluates the state of all workers and returns a violation for each worker in a drained zone on
// which tasks were started since the last call.
func (c *DrainedChecker) Check(now time.Duration, workers []Worker, faults *FaultWindows) []Violation {
	violations := []Violation{}
	for i := range workers {
		w := &workers[i]
		at, isDrained := c.drainedAt[w.Zone]
		before, isKnown := c.starts[w.ID]
		if c.starts != nil {
			c.starts[w.ID] = w.Starts
		}
		if !isDrained || !isKnown || w.Starts <= before || now-at < drainTimeout || !faults.IsFaultFree(now-drainTimeout, now) {
			continue
		}
		violations = append(violations, Violation{ZoneDrained, now, fmt.Sprintf("%d tasks start on %s %v after its zone %s was drained", w.Starts-before, w.ID, now-at, w.Zone)})
	}
	return violations
}
