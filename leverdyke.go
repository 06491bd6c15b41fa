// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package leverdyke holds the public vocabulary of the leverdyke cluster
// scheduler: what a job is, what it needs, and what a verdict promises.
//
// Everything that runs lives below internal/; the programs are in cmd/.
package leverdyke

// Version is the release of the programs built from this tree.
const Version = "0.1.0"

// Kind says how a job's tasks are run. The zero value is not valid.
type Kind string

// The kinds of jobs.
const (
	// KindService keeps its tasks running until it is cancelled.
	KindService Kind = "service"
	// KindBatch runs each task to its end, in any order.
	KindBatch Kind = "batch"
	// KindGang starts all its tasks together or none of them.
	KindGang Kind = "all-at-once"
)

// Class is the urgency of a job or request. The zero value is not valid.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBatch  Class = "batch"
)

// Rank orders classes: 0 is the most urgent; unknown classes come last.
// It is safe for concurrent use.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return 1
	}
	return 2
}
