// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package native

import (
	"fmt"
	"sync"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const maxViolations = 100

// Oracle checks the scheduler's guarantees by what all workers execute, and counts violations. It is safe for
// concurrent use.
type Oracle struct {
	mu sync.Mutex
	// running has the placement of each running task; a second one is a violation.
	running map[leverdyke.TaskID]placement
	// onceStarts has the attempt that was started of each task that may run only once, and requestRuns how
	// often the request with each idempotency key ran.
	onceStarts  map[leverdyke.TaskID]worker.Key
	requestRuns map[string]int
	report      OracleReport
}

type placement struct {
	worker  string
	attempt uint64
}

// OracleReport has the counts of what happened and of the violations, and the texts of the first maxViolations.
type OracleReport struct {
	OverCommits      int      `json:"over_commits"`
	DoubleRuns       int      `json:"double_runs"`
	Repeated         int      `json:"repeated"`
	StartsOnLeaving  int      `json:"starts_on_leaving"`
	Starts           int      `json:"starts"`
	Requests         int      `json:"requests"`
	LeaseExpirations int      `json:"lapses"`
	Fenced           int      `json:"fenced"`
	Stops            int      `json:"stops"`
	Violations       []string `json:"violations"`
	Running          int      `json:"running"`
}

// NewOracle returns an oracle without any records.
func NewOracle() *Oracle {
	return &Oracle{running: map[leverdyke.TaskID]placement{}, onceStarts: map[leverdyke.TaskID]worker.Key{}, requestRuns: map[string]int{}}
}

// Report returns a copy of what was recorded so far.
func (o *Oracle) Report() OracleReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.report
	r.Violations = append([]string{}, r.Violations...)
	r.Running = len(o.running)
	return r
}

func (o *Oracle) recordStart(w string, t *worker.Task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Starts++
	if t.Holder != "" {
		return
	}
	if p, ok := o.running[t.Key.Task]; ok {
		o.report.DoubleRuns++
		o.addViolation("double run: %v on %s while attempt %d runs on %s", t.Key, w, p.attempt, p.worker)
	}
	o.running[t.Key.Task] = placement{w, t.Key.Attempt}
	if !t.IsOnce {
		return
	}
	if k, ok := o.onceStarts[t.Key.Task]; ok {
		o.report.Repeated++
		o.addViolation("repeated: %v after %v", t.Key, k)
	}
	o.onceStarts[t.Key.Task] = t.Key
}

func (o *Oracle) recordEnd(w string, k worker.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[k.Task] == (placement{w, k.Attempt}) {
		delete(o.running, k.Task)
	}
}

func (o *Oracle) recordRequest(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Requests++
	if key == "" {
		return
	}
	o.requestRuns[key]++
	if o.requestRuns[key] > 1 {
		o.report.Repeated++
		o.addViolation("repeated: request %s ran %d times", key, o.requestRuns[key])
	}
}

func (o *Oracle) recordOverCommit(w, missing string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.OverCommits++
	o.addViolation("over-commit: %s on %s", missing, w)
}

func (o *Oracle) recordStartOnLeaving(w string, k worker.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.StartsOnLeaving++
	o.addViolation("start on leaving: %v on %s", k, w)
}

func (o *Oracle) update(f func(r *OracleReport)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.report)
}

func (o *Oracle) addViolation(format string, args ...any) {
	if len(o.report.Violations) < maxViolations {
		o.report.Violations = append(o.report.Violations, fmt.Sprintf(format, args...))
	}
}

// RequestRuns returns how many times the request with an idempotency key ran.
func (o *Oracle) RequestRuns(key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.requestRuns[key]
}
