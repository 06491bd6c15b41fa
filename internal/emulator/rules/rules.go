// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package rules judges from outside what callers, workers and operators saw of a cell. It is pure:
// times and states come in, violations go out.
package rules

import "time"

// Rule names a promise.
type Rule string

// The rules. docs/EMULATOR.md tells each in full.
const (
	// Promises are those that the workers see: one run at a time, room, once only, states that stay.
	WorkerInvariants Rule = "promises"
	// Ends: each accepted job that does not last ends well once the day is over.
	JobsEnd Rule = "ends"
	// Lasting: each task that lasts runs again in time while there is room.
	LongRunning Rule = "lasting"
	// NotRun: a job of which each answer was a refusal never runs.
	RefusedNotRun Rule = "not-run"
	// Cancelled: nothing of a job runs for long after its cancelling was answered.
	CancelledStops Rule = "cancelled"
)

// All are the rules, in the order in which they are told.
var All = []Rule{WorkerInvariants, JobsEnd, LongRunning, RefusedNotRun, CancelledStops}

// Violation is a rule that was broken.
type Violation struct {
	Rule Rule `json:"rule"`
	// At is the time since the begin of the day.
	At          time.Duration `json:"at"`
	Description string        `json:"what"`
}
