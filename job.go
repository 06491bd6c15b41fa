// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package leverdyke

import "time"

// JobSpec is a job as it was submitted. It does not change once it is accepted.
type JobSpec struct {
	// ID is unique in the cluster. The client chooses it, so that a submission that is retried is
	// the same job.
	ID string `json:"id" yaml:"id"`
	// Team owns the job, which counts against the team's quota; never empty.
	Team string `json:"team" yaml:"team"`
	// Customer is the customer for whom the job runs; empty means that it runs for the office
	// itself.
	Customer string `json:"customer,omitempty" yaml:"customer"`
	// Region is the region in which the job's tasks run; never empty once the job is accepted.
	Region string `json:"region" yaml:"region"`
	// Kind is how the job's tasks are run.
	Kind Kind `json:"kind" yaml:"kind"`
	// Class is how urgent the job is.
	Class Class `json:"class" yaml:"class"`
	// Tasks is the number of tasks; at least 1.
	Tasks int `json:"tasks" yaml:"tasks"`
	// Each is the resources that one task needs; its Slots is at least 1.
	Each Resources `json:"each" yaml:"each"`
	// RunTime is the run time of a task as the submitter declared it, which may be wrong; 0 means
	// that none was declared.
	RunTime time.Duration `json:"run_time" yaml:"run_time"`
	// Deadline is the time from acceptance within which the job must start; 0 means that there
	// is none.
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline"`
	// IsOnce means that no task of the job may start a second time.
	IsOnce bool `json:"once" yaml:"once"`
	// MaxFailures is the number of failed attempts, over all tasks, at which the job fails. It also
	// fails when one of its tasks was lost with its worker that many times. A service does
	// not fail for either reason. 0 means the cluster's default.
	MaxFailures int `json:"max_failures,omitempty" yaml:"max_failures"`
	// Service is the name under which callers send requests to the job; empty means that they
	// cannot.
	Service string `json:"service,omitempty" yaml:"service"`
	// Request is the resources that one caller's request needs on a worker of the service.
	Request Resources `json:"request" yaml:"request"`
	// IsRequestOnce means that requests that change state may not be repeated and need an
	// idempotency key.
	IsRequestOnce bool `json:"request_once" yaml:"request_once"`
}

// TaskID identifies one task of a job.
type TaskID struct {
	// Job is the job's ID.
	Job string `json:"job"`
	// Index is the number of the task in its job, from 0.
	Index int `json:"index"`
}

// TaskState is the state of a task.
type TaskState string

// The states of a task.
const (
	// TaskWaiting means that the task waits to be placed on a worker.
	TaskWaiting TaskState = "waiting"
	// TaskAsked means that a rack has been asked to place the task and has not answered yet.
	TaskAsked TaskState = "asked"
	// TaskRunning means that the task runs on a worker.
	TaskRunning TaskState = "running"
	// TaskDone means that the task has succeeded.
	TaskDone TaskState = "done"
	// TaskFailed means that the task has failed and is not tried again.
	TaskFailed TaskState = "failed"
	// TaskCancelled means that the task was cancelled.
	TaskCancelled TaskState = "cancelled"
	// TaskUnknown means that the task may have run and is not run again: an operator has to find
	// out whether it did.
	TaskUnknown TaskState = "fate-unknown"
)

// IsFinal reports whether a task in this state never changes its state again.
func (s TaskState) IsFinal() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled || s == TaskUnknown
}
