// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package work defines the jobs that callers submit, which consist of steps of tasks, with
// dependencies between the steps, and the progress of these jobs.
package work

import (
	"cmp"
	"fmt"
	"time"
	"unsafe"

	"github.com/leverdyke/leverdyke"
)

// JobID identifies a job. The caller chooses it: a second submission with the same ID is the same
// job.
type JobID string

// TaskID identifies a task.
type TaskID struct {
	Job JobID
	// Round is the number of the round of a job that runs repeatedly, from 0.
	Round int
	// Step is the number of the step in the job, and Index that of the task in the step, both
	// from 0.
	Step  int
	Index int
}

// StepID identifies a step of one round of a job.
type StepID struct {
	Job   JobID
	Round int
	Step  int
}

// StepID returns the step to which the task belongs.
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

// Step is a set of tasks of the same kind. The names of its fields are stored.
type Step struct {
	// Count is the number of tasks; at least 1.
	Count int
	// Need is the resources that each task needs.
	Need leverdyke.Resources
	// Estimate is the caller's rough estimate of a task's run time; it may be far off.
	Estimate time.Duration
	// After has the numbers of earlier steps whose tasks must all succeed before this step starts.
	After []int
	// IsResumable means that a stopped task can continue from a checkpoint.
	IsResumable bool `msgpack:"KeepsProgress"`
	// IsGang means that the tasks only run together: they start together and end together.
	IsGang bool
	// IsSameRack asks for all tasks to be placed in one rack; spread over racks they are slower.
	IsSameRack bool
	// Label is a label that the worker must have; empty means any worker.
	Label string
	// DataRack is the rack near the tasks' data; in other racks they are slower. Empty means none.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int
	// AllowsSpeculation allows speculative copies, which run beside the first attempt of a task.
	AllowsSpeculation bool `msgpack:"MayDuplicate"`
	// IsLongRunning means that the tasks run until the job is cancelled.
	IsLongRunning bool `msgpack:"IsLasting"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler may itself cause not
	// to run at the same time; negative means that no bound was given.
	MaxUnavailable int `msgpack:"MayMiss"`
	// Image names what the tasks run.
	Image string
	// TailTarget is the highest tail latency that the users of a long-running task should see;
	// 0 means none.
	TailTarget time.Duration
	// IsBestEffort means that no processors are reserved for the tasks: they run on those that
	// other tasks leave idle.
	IsBestEffort bool `msgpack:"IsFiller"`
}

// Charge returns the resources of a worker that are reserved for each task of the step.
func (s *Step) Charge() leverdyke.Resources {
	need := s.Need
	if s.IsBestEffort {
		need.MilliCPU = 0
	}
	return need
}

// Work returns the processor time of all tasks of the step as its caller estimates it, as that of one
// processor. It is 0 for a step that is long-running or has no estimate.
func (s *Step) Work() time.Duration {
	if s.IsLongRunning {
		return 0
	}
	return time.Duration(float64(s.Count) * float64(s.Need.MilliCPU) / 1000 * float64(s.Estimate))
}

// Spec is a job as it was submitted. It never changes. The names of its fields are stored.
type Spec struct {
	ID JobID
	// Queue names the queue to which the job was submitted.
	Queue string
	// Customer is the customer that the job belongs to; empty means none.
	Customer CustomerName `msgpack:",omitempty"`
	// Payload is passed to each task unchanged.
	Payload string
	Steps   []Step
	// Rounds is the number of rounds, each of which runs all steps at a set time. 0 means that
	// the steps run once, immediately.
	Rounds int
	// StartAt is the time of day at which round 0 is due.
	StartAt time.Time
	// Interval is the time between the starts of two rounds.
	Interval time.Duration
	// AcceptedAt is when the job was accepted, by the time of day of the node that accepted it.
	AcceptedAt time.Time
	// Epoch is that of the owner that accepted the job, which sets it while it is in doubt about what earlier owners have
	// started; otherwise 0.
	Epoch uint64 `msgpack:",omitempty"`
}

// Work returns the sum of the work of the steps, in one round.
func (s *Spec) Work() time.Duration {
	sum := time.Duration(0)
	for i := range s.Steps {
		sum += s.Steps[i].Work()
	}
	return sum
}

// MaxSteps is how many steps a job may have.
const MaxSteps = 256

// Limits of a job's size. A larger job is refused, so that a single request cannot exhaust the
// memory or the processor time of a node.
const (
	maxTasks   = 20_000
	maxRounds  = 10_000
	maxPayload = 4_000
	// maxNameBytes bounds the labels, racks and images of all steps. A job must fit into one record
	// of the store.
	maxNameBytes = 64 << 10
	maxMilliCPU  = 10_000_000
	maxMemoryMiB = 100_000_000
)

// MemoryBytes returns about how much memory the job takes.
func (s *Spec) MemoryBytes() int64 {
	n := int(unsafe.Sizeof(*s)) + len(s.Payload) + cap(s.Steps)*int(unsafe.Sizeof(Step{}))
	for i := range s.Steps {
		n += s.Steps[i].nameBytes() + cap(s.Steps[i].After)*int(unsafe.Sizeof(0))
	}
	return int64(n)
}

// nameBytes returns how long the names in the step are.
func (s *Step) nameBytes() int { return len(s.Label) + len(s.DataRack) + len(s.Image) }

// FieldError says which field of a job is wrong and why.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the text of the error.
func (e *FieldError) Error() string { return fmt.Sprintf("work: %s: %s", e.Field, e.Reason) }

// Validate returns a *FieldError if the job cannot be accepted.
func (s *Spec) Validate() error {
	if len(s.Payload) > maxPayload {
		return &FieldError{"payload", fmt.Sprintf("is %d bytes, at most %d are accepted", len(s.Payload), maxPayload)}
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return &FieldError{"steps", fmt.Sprintf("has %d steps, want 1 to %d", len(s.Steps), MaxSteps)}
	}
	if s.Rounds < 0 || s.Rounds > maxRounds {
		return &FieldError{"rounds", fmt.Sprintf("is %d, want 0 to %d", s.Rounds, maxRounds)}
	}
	if s.Rounds > 1 && s.Interval <= 0 {
		return &FieldError{"interval", "must be positive for a job with more than one round"}
	}
	tasks, nameBytes := 0, 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
		nameBytes += s.Steps[i].nameBytes()
	}
	if nameBytes > maxNameBytes {
		return &FieldError{"steps", fmt.Sprintf("have names of %d bytes, at most %d are accepted", nameBytes, maxNameBytes)}
	}
	if tasks > maxTasks {
		return &FieldError{"steps", fmt.Sprintf("have %d tasks, at most %d are accepted", tasks, maxTasks)}
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
			return &FieldError{field("after"), fmt.Sprintf("refers to step %d, want the number of an earlier step", d)}
		}
	}
	return nil
}
