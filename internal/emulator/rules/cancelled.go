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
const cancelledTime = 6 * time.Second

// CancelledWatch finds tasks of cancelled jobs that go on. The zero value knows none.
type CancelledWatch struct {
	answered map[string]time.Duration
	told     map[string]bool
}

// Add notes that the cancelling of a job was answered.
func (c *CancelledWatch) Add(job string, now time.Duration) {
	if c.answered == nil {
		c.answered, c.told = map[string]time.Duration{}, map[string]bool{}
	}
	c.answered[job] = now
}

// Look takes the state of all workers, and returns the violations that it shows for the first time.
func (c *CancelledWatch) Look(now time.Duration, workers []Worker, calm *Calm) []Violation {
	if !calm.IsCalm(now-cancelledTime, now) {
		return nil
	}
	found := []Violation{}
	for i := range workers {
		for _, task := range workers[i].Running {
			job, _, _ := strings.Cut(task, ".")
			at, ok := c.answered[job]
			if !ok || now-at < cancelledTime || c.told[task] {
				continue
			}
			c.told[task] = true
			found = append(found, Violation{Cancelled, now, fmt.Sprintf("%s runs on %s %v after the cancelling of its job was answered", task, workers[i].ID, now-at)})
		}
	}
	return found
}
