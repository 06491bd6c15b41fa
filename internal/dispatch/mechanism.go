// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

// Mechanism is a part of the decisions that can be switched off, so that what it is
// worth can be measured.
type Mechanism string

// The mechanisms.
const (
	// MechanismReservations keeps room for large tasks and gangs.
	MechanismReservations Mechanism = "reservations"
	// MechanismPreemption lets tasks that save their state make way for these.
	MechanismPreemption Mechanism = "preemption"
	// MechanismEarlyPermission asks who is permitted before there is room.
	MechanismEarlyPermission Mechanism = "advice ahead"
	// MechanismClaims keeps the room of workers that calls for permission are likely to use.
	MechanismClaims Mechanism = "claims"
	// MechanismUrgency puts the earliest deadline first, and what is late last.
	MechanismUrgency Mechanism = "urgency"
	// MechanismShares puts customers that have more in use than their share behind the others.
	MechanismShares Mechanism = "shares"
	// MechanismSpeculativeCopies starts copies of stragglers.
	MechanismSpeculativeCopies Mechanism = "copies"
	// MechanismHealth judges workers by what became of their tasks.
	MechanismHealth Mechanism = "health"
	// MechanismSpeed finds workers that are slow.
	MechanismSpeed Mechanism = "speed"
	// MechanismEvacuation moves lasting tasks off workers that leave.
	MechanismEvacuation Mechanism = "evacuation"
	// MechanismWriteBehind orders starts before their places are kept.
	MechanismWriteBehind Mechanism = "ahead of the store"
)
