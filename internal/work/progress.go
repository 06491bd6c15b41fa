// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package work

import "time"

// JobState is the state of a job as callers see it.
type JobState string

// The states.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobWithdrawn is the state of a job that was cancelled before it was known or accepted.
	// Callers are answered that there is no such job. It never runs: if it is submitted
	// later, it is cancelled.
	JobWithdrawn JobState = "withdrawn"
)

// IsFinal reports whether the state never changes again: the job has ended.
func (s JobState) IsFinal() bool {
	switch s {
	case JobSucceeded, JobFailed, JobCancelled, JobWithdrawn:
		return true
	case JobQueued, JobRunning:
	}
	return false
}

// Failure, Placement and Crash are stored as arrays, without the names of their fields, to keep
// records small: an owner writes the record of a job again each time one of its tasks ends. Fields
// must not be added to them or moved, as an array of another length cannot be read: a new field
// needs a list of its own in StepProgress.

// Failure is an attempt of a task that failed. Worker and Run together identify the attempt, so
// that a failure that is reported twice counts once.
type Failure struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index  int
	Worker string
	Run    uint64
}

// Placement is a worker on which an attempt of a task may run.
type Placement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index  int
	Worker string
	Run    uint64
}

// Crash is a worker that crashed, or stopped answering and did not return, while an attempt of a
// task was on it.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index  int
	Worker string
	// Machine is the machine of which the worker was one incarnation; empty when it is not known.
	Machine string
	Run     uint64
	// RunTime is for how long the worker is known to have run the attempt; 0 when that is not known.
	RunTime time.Duration
	// IsConfirmed means that the worker is known to have crashed. Otherwise it may only have been
	// unreachable until its leases expired.
	IsConfirmed bool
	// IsInherited means that a previous owner had started the attempt: OthersSilent is then not known,
	// and RunTime only if that owner handed it on.
	IsInherited bool
	// IsExplained means that another task probably caused the crash: one that had been on a worker
	// that crashed before, and was started on this worker later than the attempt.
	IsExplained bool
	// OthersSilent is how many other workers stopped answering at the same time.
	OthersSilent int
}

// StepProgress is the state of a step.
type StepProgress struct {
	// Done has a bit for each task, which is set when the task has succeeded.
	Done []byte
	// Failures are the attempts that failed.
	Failures []Failure
	// Crashes are the workers that crashed while tasks of the step were on them.
	Crashes []Crash `msgpack:",omitempty"`
	// Placements are where tasks may run.
	Placements []Placement `msgpack:"Places"`
	// Checkpoints are the saved states from which tasks can resume, by the index of the task.
	Checkpoints map[int]string `msgpack:"Saved"`
	// Run is the highest run number that is known of any task.
	Run uint64
}

// IsDone reports whether task i has succeeded.
func (p *StepProgress) IsDone(i int) bool {
	return i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0
}

// SetDone records that task i has succeeded.
func (p *StepProgress) SetDone(i int) {
	for i/8 >= len(p.Done) {
		p.Done = append(p.Done, 0)
	}
	p.Done[i/8] |= 1 << (i % 8)
}

// Progress is the state of a job that is stored in addition to its Spec.
type Progress struct {
	State JobState
	// Customer is the job's customer. It is set when the job has ended, since its Spec is then no
	// longer stored.
	Customer CustomerName `msgpack:",omitempty"`
	// Rounds has the steps of each round that has begun, by the number of the round.
	Rounds map[int][]StepProgress
	// RoundsDone has a bit for each round, which is set when all its steps have succeeded; such
	// a round is no longer in Rounds.
	RoundsDone StepProgress
	// IsSegmented means that Rounds is stored in segments of their own (package jobrecord), and that Runs has the Run of each of
	// the steps.
	IsSegmented bool             `msgpack:",omitempty"`
	Runs        map[int][]uint64 `msgpack:",omitempty"`
}
