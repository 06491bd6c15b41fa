// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package urgency orders waiting work of equal priority. It does no I/O and reads no clock; the
// caller passes times.
//
// It handles a load that for a while exceeds what can be done in time. In order of arrival, all
// work would then be late. Here the work with the earliest deadline goes first, and work that can
// no longer meet its deadline yields to work that still can.
package urgency

import (
	"cmp"
	"time"
)

// overdueFactor is how many times its objective a job may take in all before its result is of no
// use to its caller.
const overdueFactor = 3

// Work describes a piece of work that waits.
type Work struct {
	// Age is the time since it was submitted.
	Age time.Duration
	// Objective is the time from submission by which it should be done; 0 means that it has none.
	Objective time.Duration
	// Remaining is how long it still takes once it starts.
	Remaining time.Duration
	// IsImmediate means that it goes before all other work, whatever its age and objective.
	IsImmediate bool
	// MustNotYield means that it counts as on time, and does not yield to other work, even when
	// it is late.
	MustNotYield bool
}

// class says whether work that starts now would end in time. A lower class goes first.
type class int

const (
	// classImmediate is work that must not wait.
	classImmediate class = iota
	// classOnTime is work that can be done within its objective, or has no objective.
	classOnTime
	// classLate is work that misses its objective but still ends within overdueFactor times it.
	classLate
	// classOverdue is work that ends too late to be of use.
	classOverdue
)

// Rank is the position of work in the order. The zero value goes first.
type Rank struct {
	class class
	// dueIn is the time until the deadline of its class; 0 means that there is none.
	dueIn time.Duration
	age   time.Duration
}

// Rank returns the position of the work in the order.
func (w *Work) Rank() Rank {
	dueIn := w.Objective - w.Age
	overdueIn := overdueFactor*w.Objective - w.Age
	switch {
	case w.IsImmediate:
		return Rank{class: classImmediate, age: w.Age}
	case w.Objective <= 0:
		return Rank{class: classOnTime, age: w.Age}
	case dueIn >= w.Remaining || w.MustNotYield:
		return Rank{classOnTime, dueIn, w.Age}
	case overdueIn >= w.Remaining:
		return Rank{classLate, overdueIn, w.Age}
	}
	return Rank{class: classOverdue, age: w.Age}
}

// Compare is negative when the work of r goes before that of o.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.dueIn, o.dueIn), cmp.Compare(o.age, r.age))
}

// IsLate reports whether the work can no longer meet its objective and so yields to other work.
func (r Rank) IsLate() bool { return r.class >= classLate }

const (
	// In each latePeriod, late work goes first for lateFirstTime. Without this share, late work
	// would never run while the overload lasts.
	latePeriod    = time.Second
	lateFirstTime = 100 * time.Millisecond
)

// IsLateFirst reports whether late work goes before other work now. since is the time since any
// fixed moment, which must be the same for all calls.
func IsLateFirst(since time.Duration) bool { return since%latePeriod < lateFirstTime }
