// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package outlier

import "slices"

const (
	// minSuspectWorkers is on how many workers tasks of a job must have failed for the job to be suspect.
	minSuspectWorkers = 3
	// maxFailedWorkers bounds the workers that are remembered of a job.
	maxFailedWorkers = 64
)

// Job tells whether the failures of a job's tasks are evidence against the workers on which they failed. They are none once the
// job's tasks have failed on several workers without any other outcome: few workers are degraded at a time.
type Job struct {
	// failedOn has the workers on which tasks have failed since one last succeeded, without duplicates.
	failedOn []string
}

// RecordFailure records that a task of the job has failed on a worker.
func (j *Job) RecordFailure(worker string) {
	if len(j.failedOn) < maxFailedWorkers && !slices.Contains(j.failedOn, worker) {
		j.failedOn = append(j.failedOn, worker)
	}
}

// RecordSuccess records that a task of the job has succeeded, or that a long-running one is at work.
func (j *Job) RecordSuccess() { j.failedOn = nil }

// IsSuspect reports whether the job itself probably makes its tasks fail. running is how many of its tasks run: as long as they
// outnumber the workers on which others have failed, those workers are the more likely cause.
func (j *Job) IsSuspect(running int) bool {
	n := len(j.failedOn)
	return n >= minSuspectWorkers && (n > running || n == maxFailedWorkers)
}
