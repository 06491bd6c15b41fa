// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package leverdyke

import "time"

// JobSpec is what an operator asks for. It is not changed once accepted.
type JobSpec struct {
	// ID is unique in the cell; the client makes it, so that a submit that is
	// sent again is the same job.
	ID string `json:"id" yaml:"id"`
	// Team owns the job and its quota pays for it; never empty.
	Team string `json:"team" yaml:"team"`
	// Customer is whom the job is for; empty means the office itself.
	Customer string `json:"customer,omitempty" yaml:"customer"`
	// Region is where the job's tasks run; never empty once accepted.
	Region string `json:"region" yaml:"region"`
	// Kind is one of the job kinds.
	Kind Kind `json:"kind" yaml:"kind"`
	// Class is one of the classes.
	Class Class `json:"class" yaml:"class"`
	// Tasks is how many tasks the job has; at least 1.
	Tasks int `json:"tasks" yaml:"tasks"`
	// Each is what one task needs; Slots is at least 1.
	Each Resources `json:"each" yaml:"each"`
	// RunTime is the declared run time of a task; it may be wrong, and 0 means
	// that none was declared.
	RunTime time.Duration `json:"run_time" yaml:"run_time"`
	// Deadline is how long after acceptance the job must have started; 0 means
	// that there is none.
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline"`
	// IsOnce means that no task of the job may start a second time.
	IsOnce bool `json:"once" yaml:"once"`
	// MaxFailures is how many failed attempts the job may have in all before
	// it is given up; 0 means the cell's default.
	MaxFailures int `json:"max_failures,omitempty" yaml:"max_failures"`
	// Service names what callers ask for; empty unless callers may reach it.
	Service string `json:"service,omitempty" yaml:"service"`
	// Request is what one caller's request needs on the service's worker.
	Request Resources `json:"request" yaml:"request"`
	// IsRequestOnce means that requests that change something may not be
	// repeated and need an idempotency key.
	IsRequestOnce bool `json:"request_once" yaml:"request_once"`
}

// TaskID names one task of a job.
type TaskID struct {
	// Job is the job's ID.
	Job string `json:"job"`
	// Index is the task's number in its job, from 0.
	Index int `json:"index"`
}

// TaskState is where a task is in its life.
type TaskState string

// The states of a task.
const (
	// TaskWaiting waits for a place.
	TaskWaiting TaskState = "waiting"
	// TaskAsked has been asked for at a rack that has not answered yet.
	TaskAsked TaskState = "asked"
	// TaskRunning runs on a worker.
	TaskRunning TaskState = "running"
	// TaskDone has ended well.
	TaskDone TaskState = "done"
	// TaskFailed has failed for good.
	TaskFailed TaskState = "failed"
	// TaskCancelled was cancelled.
	TaskCancelled TaskState = "cancelled"
	// TaskUnknown may have run and is not run again; a person has to look.
	TaskUnknown TaskState = "fate-unknown"
)

// IsFinal reports whether the state is never left.
func (s TaskState) IsFinal() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled || s == TaskUnknown
}
