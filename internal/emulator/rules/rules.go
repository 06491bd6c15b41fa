// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package rules checks, from outside the cluster, whether what callers, workers and operators observed
// keeps the scheduler's guarantees. It does no I/O and reads no clock: the caller passes the current
// time and the observed states, and gets back the violations.
package rules

import "time"

// Rule names a guarantee that is checked during an emulation.
type Rule string

// The rules. docs/EMULATOR.md describes each in full.
const (
	// WorkerInvariants: no task runs on two workers at a time, no worker runs more than its capacity
	// allows, a once-only task does not run twice, and a final state does not change. They are checked
	// from the workers' side. The rule also covers nodes whose process ends by itself.
	WorkerInvariants Rule = "promises"
	// JobsEnd: each accepted job without long-running tasks succeeds, or ends as cancelled, in time after
	// the last fault.
	JobsEnd Rule = "ends"
	// LongRunning: a long-running task that stops running is restarted in time while there is capacity.
	LongRunning Rule = "lasting"
	// RefusedNotRun: a job never runs if every attempt to submit it was answered with a refusal.
	RefusedNotRun Rule = "not-run"
	// CancelledStops: all tasks of a job stop soon after its cancellation was acknowledged.
	CancelledStops Rule = "cancelled"
	// ZoneDrained: nothing is started in an availability zone soon after its drain was published.
	ZoneDrained Rule = "drained"
	// SizesServed: in an overload, the large jobs of a kind are served at least half as often as the kind.
	SizesServed Rule = "sizes"
)

// All lists the rules in the order in which they are reported.
var All = []Rule{WorkerInvariants, JobsEnd, LongRunning, RefusedNotRun, CancelledStops, ZoneDrained, SizesServed}

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule Rule `json:"rule"`
	// At is the time since the start of the fault schedule.
	At          time.Duration `json:"at"`
	Description string        `json:"what"`
}
