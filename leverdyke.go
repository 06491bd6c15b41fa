// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package leverdyke defines the public types of the leverdyke cluster scheduler: jobs, the
// resources that they need, and the verdicts that say whether a request may have run.
//
// The implementation is below internal/; the programs are in cmd/.
package leverdyke

// Version is the release of the programs built from this tree.
const Version = "0.1.0"

// Kind is how the tasks of a job are run. The zero value is not valid.
type Kind string

// The kinds of jobs.
const (
	// KindService keeps all tasks running until the job is cancelled.
	KindService Kind = "service"
	// KindBatch runs each task until it ends, in any order.
	KindBatch Kind = "batch"
	// KindGang starts either all tasks together or none of them.
	KindGang Kind = "all-at-once"
)

// Class is the urgency of a job or request. The zero value is not valid.
type Class string

// The classes, the most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBatch  Class = "batch"
)

// Rank returns the position of the class in the order of urgency: 0 is the most urgent, and unknown
// classes rank with the least urgent. It is safe for concurrent use.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return 1
	}
	return 2
}
