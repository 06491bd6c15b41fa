// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

// Mechanism is a part of the scheduling decisions that can be switched off to measure its benefit.
type Mechanism string

// The mechanisms.
const (
	// MechanismReservations reserves capacity for large tasks and gangs.
	MechanismReservations Mechanism = "reservations"
	// MechanismPreemption stops tasks that save their state to make capacity for large tasks and
	// gangs.
	MechanismPreemption Mechanism = "preemption"
	// MechanismEarlyPermission queries which workers are permitted before they have free capacity.
	MechanismEarlyPermission Mechanism = "advice ahead"
	// MechanismClaims discounts the capacity that permission queries in flight are likely to use
	// when the workers for the next query are chosen.
	MechanismClaims Mechanism = "claims"
	// MechanismUrgency orders steps by their deadlines, the earliest first, and puts those that
	// will miss theirs last.
	MechanismUrgency Mechanism = "urgency"
	// MechanismShares places the steps of customers that use more than their share after those of
	// the others.
	MechanismShares Mechanism = "shares"
	// MechanismSpeculativeCopies starts speculative copies of attempts that are slow or may be
	// lost.
	MechanismSpeculativeCopies Mechanism = "copies"
	// MechanismHealth counts the failures of tasks against their workers, which are ejected after
	// failures in a row.
	MechanismHealth Mechanism = "health"
	// MechanismSpeed detects slow workers.
	MechanismSpeed Mechanism = "speed"
	// MechanismThroughput places work, and expects its end, by how fast each worker is.
	MechanismThroughput Mechanism = "throughput"
	// MechanismDiscard compares tasks with their siblings on other workers before they are replaced,
	// and weighs copies and preemptions by the time that callers have left. Without it tasks are
	// compared with estimates alone, every wanted copy is started, and waiting time that does not
	// make a step late counts for preemption as well.
	MechanismDiscard Mechanism = "discard"
	// MechanismEvacuation moves long-running tasks off workers that drain.
	MechanismEvacuation Mechanism = "evacuation"
	// MechanismWriteBehind starts tasks before their placements are persisted.
	MechanismWriteBehind Mechanism = "ahead of the store"
	// MechanismStateWait makes queries for the state of a job that is about to end wait for the end.
	MechanismStateWait Mechanism = "state wait"
	// MechanismLateDelegates moves workers off delegates that answer late.
	MechanismLateDelegates Mechanism = "late delegates"
	// MechanismLearned lets an owner begin with what the previous one had learned.
	MechanismLearned Mechanism = "learned"
	// MechanismPermissionPlan makes permission queries by what was learned from earlier ones, and
	// before a step can start.
	MechanismPermissionPlan Mechanism = "permission plan"
)
