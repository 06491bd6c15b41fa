// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package work has the jobs that callers hand in: steps of tasks that depend on
// each other, and what is known of how far they are.
package work

import (
	"cmp"
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke"
)

// JobID names a job. The caller chooses it; the same ID is the same job.
type JobID string

// TaskID names a task.
type TaskID struct {
	Job JobID
	// Round counts the times that a repeated job runs, from 0.
	Round int
	// Step and Index count from 0.
	Step  int
	Index int
}

// StepID names a step of one round.
type StepID struct {
	Job   JobID
	Round int
	Step  int
}

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Round, t.Step} }

// Compare orders tasks by job, round, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Round, o.Round), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// String returns the task as it is logged.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

// String returns the step as it is logged.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Round, s.Step) }

// Step is a set of like tasks.
type Step struct {
	// Count is how many tasks there are; at least 1.
	Count int
	// Need is what each task takes.
	Need leverdyke.Resources
	// Estimate is a rough guess of how long a task takes; it may be far off.
	Estimate time.Duration
	// After are steps of lower number that must be done before.
	After []int
	// IsResumable means that a stopped task can go on from where it was saved.
	IsResumable bool `msgpack:"KeepsProgress"`
	// IsGang means that the tasks only work together and end together.
	IsGang bool
	// IsSameRack asks for all tasks in one rack; elsewhere they are slower.
	IsSameRack bool
	// Label is one that the worker must have; empty means any worker.
	Label string
	// DataRack is the rack near the data; empty means none. Elsewhere it is slower.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int
	// AllowsSpeculation allows copies of a task to run side by side.
	AllowsSpeculation bool `msgpack:"MayDuplicate"`
	// IsLongRunning means that the tasks run until the job is cancelled.
	IsLongRunning bool `msgpack:"IsLasting"`
	// MaxUnavailable is how many lasting tasks may be away at once by our own doing;
	// negative means that no bound was given.
	MaxUnavailable int `msgpack:"MayMiss"`
	// Image names what the tasks run.
	Image string
	// TailTarget is the tail latency that the users of a lasting task may see; 0
	// means none.
	TailTarget time.Duration
	// IsBestEffort means that the processors it asks for are not set aside for it.
	IsBestEffort bool `msgpack:"IsFiller"`
}

// Charge returns what a task of the step takes of a worker's room.
func (s *Step) Charge() leverdyke.Resources {
	need := s.Need
	if s.IsBestEffort {
		need.MilliCPU = 0
	}
	return need
}

// Spec is a job as it was handed in. It never changes.
type Spec struct {
	ID JobID
	// Queue names the queue that it was handed in to.
	Queue string
	// Customer is whose job it is; empty means nobody's.
	Customer CustomerName `msgpack:",omitempty"`
	// Payload goes to each task as it is.
	Payload string
	Steps   []Step
	// Rounds is how often the steps run at set times; 0 means once, at once.
	Rounds int
	// StartAt is when round 0 is due, by the time of day.
	StartAt time.Time
	// Interval is the time between rounds.
	Interval time.Duration
	// AcceptedAt is when it was handed in, by the time of day of that node.
	AcceptedAt time.Time
}

// Limits of a job's shape. Above them a job is refused, so that one request can
// take neither the memory nor the time of a node.
const (
	maxSteps     = 256
	maxTasks     = 20_000
	maxRounds    = 10_000
	maxPayload   = 4_000
	maxMilliCPU  = 10_000_000
	maxMemoryMiB = 100_000_000
)

// FieldError says which field of a job is wrong and why.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the text of the error.
func (e *FieldError) Error() string { return fmt.Sprintf("work: %s: %s", e.Field, e.Reason) }

// Validate returns a *FieldError when the job cannot be taken.
func (s *Spec) Validate() error {
	if len(s.Payload) > maxPayload {
		return &FieldError{"payload", fmt.Sprintf("is %d bytes, at most %d are taken", len(s.Payload), maxPayload)}
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return &FieldError{"steps", fmt.Sprintf("there are %d, want 1 to %d", len(s.Steps), maxSteps)}
	}
	if s.Rounds < 0 || s.Rounds > maxRounds {
		return &FieldError{"rounds", fmt.Sprintf("is %d, want 0 to %d", s.Rounds, maxRounds)}
	}
	if s.Rounds > 1 && s.Interval <= 0 {
		return &FieldError{"interval", "must be positive for a job of several rounds"}
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > maxTasks {
		return &FieldError{"steps", fmt.Sprintf("have %d tasks, at most %d are taken", tasks, maxTasks)}
	}
	return nil
}

func (s *Step) validate(i int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }
	if s.Count < 1 || s.Count > maxTasks {
		return &FieldError{field("count"), fmt.Sprintf("is %d, want 1 to %d", s.Count, maxTasks)}
	}
	if s.Need.MilliCPU < 0 || s.Need.MilliCPU > maxMilliCPU {
		return &FieldError{field("cpu"), fmt.Sprintf("is %d, want 0 to %d", s.Need.MilliCPU, maxMilliCPU)}
	}
	if s.Need.MemoryMiB < 0 || s.Need.MemoryMiB > maxMemoryMiB {
		return &FieldError{field("memory"), fmt.Sprintf("is %d, want 0 to %d", s.Need.MemoryMiB, maxMemoryMiB)}
	}
	if s.Need.Accelerators < 0 || s.MaxPerWorker < 0 || s.Estimate < 0 || s.TailTarget < 0 {
		return &FieldError{field("accelerators, spread, estimate or target"), "is negative"}
	}
	for _, d := range s.After {
		if d < 0 || d >= i {
			return &FieldError{field("after"), fmt.Sprintf("names step %d, want an earlier step", d)}
		}
	}
	return nil
}
