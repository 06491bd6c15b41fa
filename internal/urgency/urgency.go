// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package urgency orders work of one priority that waits. It is pure.
//
// It answers the load in which more comes for a while than can be done in time. In the order
// of arrival all of it is late then. Here the earliest deadline goes first, and what cannot be
// done by its deadline any more makes way for what can.
package urgency

import (
	"cmp"
	"time"
)

// lateFactor is how many times its objective a job may take until its caller has no use for it.
const overdueFactor = 3

// Work is what is known of something that waits.
type Work struct {
	// Age is how long ago it came.
	Age time.Duration
	// Objective is how long after it came it should be done; 0 when there is none.
	Objective time.Duration
	// Remaining is how long it still takes once it begins.
	Remaining time.Duration
	// IsImmediate means that it goes before all that may wait, whatever its time.
	IsImmediate bool
	// MustNotYield means that it does not make way when it is late.
	MustNotYield bool
}

// class is what becomes of work that begins now. A lower one goes first.
type class int

const (
	// classPressing is work that may not wait.
	classImmediate class = iota
	// classInTime is work that can be done within its objective, or has none.
	classOnTime
	// classLate is work that is late, and of use all the same.
	classLate
	// classOverdue is all other work.
	classOverdue
)

// Rank is the place of work in the order. The zero value is the first.
type Rank struct {
	class class
	// dueIn is the time until its deadline; 0 where there is none.
	dueIn time.Duration
	age   time.Duration
}

// Rank returns the place of work.
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

// IsLate reports whether the work makes way for other work.
func (r Rank) IsLate() bool { return r.class >= classLate }

const (
	// turnPeriod is the time in which late work has a turn of its own, turnTime how much of it:
	// else it would never end where too much comes for good.
	latePeriod    = time.Second
	lateFirstTime = 100 * time.Millisecond
)

// IsLateFirst reports whether late work goes first now, by the time since any fixed moment.
func IsLateFirst(since time.Duration) bool { return since%latePeriod < lateFirstTime }
