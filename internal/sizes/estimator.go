// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package sizes estimates the resources of tasks that use more than they
// declare, from the usage that workers report for tasks of the same job
// (decision 0005). It does no I/O and reads no clock.
package sizes

import "github.com/leverdyke/leverdyke"

// maxJobs bounds the number of jobs whose usage is remembered.
const maxJobs = 512

// Estimator remembers, for each job that uses more than it declares, the
// largest usage reported for one of its tasks. It is not safe for concurrent
// use.
type Estimator struct {
	// usedByJob has the maximum in each dimension by job ID.
	usedByJob map[string]leverdyke.Resources
}

// NewEstimator returns an estimator without any observed usage.
func NewEstimator() *Estimator { return &Estimator{usedByJob: map[string]leverdyke.Resources{}} }

// Observe records what a task of a job declared and what it used. Usage within
// the declared resources is not recorded. When maxJobs jobs are remembered, a
// further job clears all others.
func (l *Estimator) Observe(job string, declared, used leverdyke.Resources) {
	if used.FitsIn(declared) {
		return
	}
	if _, ok := l.usedByJob[job]; !ok && len(l.usedByJob) >= maxJobs {
		clear(l.usedByJob)
	}
	l.usedByJob[job] = l.usedByJob[job].Max(used)
}

// Estimate returns the resources that a task of a job is expected to use: the
// declared ones, raised to the largest usage observed for the job. CPU and
// memory are raised at most to the capacity of the largest VM, since an estimate
// above it would keep the task from ever being placed. Slots and accelerators
// are always as declared.
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
