// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package sizes learns from reports what tasks take whose declared sizes are
// too small (decision 0005). It is pure: it has no clock and no I/O.
package sizes

import "github.com/leverdyke/leverdyke"

// maxJobs bounds the jobs whose use is remembered.
const maxJobs = 512

// Learned has the largest reported use of a task by job, for the jobs that use
// more than they declare. It belongs to one goroutine.
type Estimator struct {
	usedByJob map[string]leverdyke.Resources
}

// NewLearned returns what is learned from no report.
func NewEstimator() *Estimator { return &Estimator{usedByJob: map[string]leverdyke.Resources{}} }

// Report takes what a task of a job declared and has used. The next task of the
// job will most likely use as much.
func (l *Estimator) Observe(job string, declared, used leverdyke.Resources) {
	if used.FitsIn(declared) {
		return
	}
	if _, ok := l.usedByJob[job]; !ok && len(l.usedByJob) >= maxJobs {
		clear(l.usedByJob)
	}
	l.usedByJob[job] = l.usedByJob[job].Max(used)
}

// Expected returns what a task of a job will most likely take: what it
// declares, or what others of its job have used. It is never more than the
// largest VM has, so that a task that can run is not kept from running; slots
// and accelerators are always what is declared.
func (l *Estimator) Estimate(job string, declared, largest leverdyke.Resources) leverdyke.Resources {
	used, ok := l.usedByJob[job]
	if !ok {
		return declared
	}
	need := declared
	need.MilliCPU = max(need.MilliCPU, min(used.MilliCPU, largest.MilliCPU))
	need.MemoryMiB = max(need.MemoryMiB, min(used.MemoryMiB, largest.MemoryMiB))
	return need
}
