// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session

// Ends tracks which ends of one incarnation of a worker were accepted, by their numbers, which
// rise by one from 1, and which of these are stored, so that the worker may forget them. The
// zero value has none.
type Ends struct {
	// accepted is the number of the last end that was accepted, stored that up to which the ends
	// are stored.
	accepted, stored uint64
	// forgotten is the number up to which the worker has acknowledged that it forgets the ends.
	forgotten uint64
}

// AcceptEnd reports whether the end with that number is new, and if so records it as accepted. A
// worker reports an end again and again until it is confirmed.
func (e *Ends) AcceptEnd(number uint64) bool {
	if number <= e.accepted {
		return false
	}
	e.accepted = number
	return true
}

// LastAcceptedEnd returns the number of the last end that was accepted.
func (e *Ends) LastAcceptedEnd() uint64 { return e.accepted }

// MarkEndsStored records that the ends up to a number are stored.
func (e *Ends) MarkEndsStored(number uint64) { e.stored = max(e.stored, number) }

// AreEndsStored reports whether all ends that were accepted are stored.
func (e *Ends) AreEndsStored() bool { return e.stored >= e.accepted }

// MarkEndsForgotten records that the worker has answered a poll which confirmed the ends up to a
// number.
func (e *Ends) MarkEndsForgotten(number uint64) { e.forgotten = max(e.forgotten, number) }
