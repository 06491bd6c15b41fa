// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package work

import "time"

// JobState is what a caller is told of a job.
type JobState string

// The states.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobWithdrawn is a job that was cancelled while it was not known, or not taken.
	// Callers are told that there is none. It never runs: handed in later, it is
	// cancelled.
	JobWithdrawn JobState = "withdrawn"
)

// IsFinal reports whether no task of the job runs any more.
func (s JobState) IsFinal() bool {
	switch s {
	case JobSucceeded, JobFailed, JobCancelled, JobWithdrawn:
		return true
	case JobQueued, JobRunning:
	}
	return false
}

// Places and failures are kept as arrays without the names of their fields: an owner
// writes each job again with each task that ends. A field that is new needs a list of its own:
// arrays of other lengths are not read.

// Failure is one attempt of a task that failed. Worker and run together name the
// attempt, so that an end that is told twice counts once.
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

// Crash is a worker that crashed, or went silent for good, under an attempt of a task.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index  int
	Worker string
	// Machine is what the worker was a life of; empty when that is not known.
	Machine string
	Run     uint64
	// RunTime is how long the worker is known to have had the attempt.
	RunTime time.Duration
	// IsConfirmed means that the worker is known to have crashed. Otherwise it may only have
	// been cut off until its leases were over.
	IsConfirmed bool
	// IsInherited means that an earlier owner had started the attempt: Ran and Others are
	// not known.
	IsInherited bool
	// IsExplained means that a task under which a worker had crashed before was started there
	// later.
	IsExplained bool
	// OthersSilent is how many other workers fell silent in the same moment.
	OthersSilent int
}

// StepProgress is what is known of a step.
type StepProgress struct {
	// Done has a bit for each task that has ended well.
	Done []byte
	// Failures are the attempts that failed.
	Failures []Failure
	// Crashes are the workers that crashed under tasks.
	Crashes []Crash `msgpack:",omitempty"`
	// Placements is where tasks may run.
	Placements []Placement `msgpack:"Places"`
	// Checkpoints is where tasks can go on from, by their index.
	Checkpoints map[int]string `msgpack:"Saved"`
	// Run is the highest run of any task that is known.
	Run uint64
}

// IsDone reports whether task i has ended well.
func (p *StepProgress) IsDone(i int) bool {
	return i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0
}

// SetDone notes that task i has ended well.
func (p *StepProgress) SetDone(i int) {
	for i/8 >= len(p.Done) {
		p.Done = append(p.Done, 0)
	}
	p.Done[i/8] |= 1 << (i % 8)
}

// Progress is what must last of a job beside its Spec.
type Progress struct {
	State JobState
	// Customer is whose job it is once it is over: its Spec is not kept any longer.
	Customer CustomerName `msgpack:",omitempty"`
	// Rounds has the steps of each round that has begun, by its number.
	Rounds map[int][]StepProgress
	// RoundsDone has a bit for each round whose steps have all ended well; such
	// a round is no longer in Rounds.
	RoundsDone StepProgress
}
