// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session

// Ends is which ends of a start of a worker were taken in, by their numbers, which rise by
// one from 1, and which of these are kept, so that the worker may forget them. The zero value
// has none.
type Ends struct {
	accepted, stored uint64
	// forgotten is the number up to which the worker has answered that it forgets them.
	forgotten uint64
}

// AcceptEnd takes an end, and reports whether it was not taken in before: the worker tells ends
// again until they are confirmed.
func (e *Ends) AcceptEnd(number uint64) bool {
	if number <= e.accepted {
		return false
	}
	e.accepted = number
	return true
}

// LastAcceptedEnd returns the number of the last end that was taken in.
func (e *Ends) LastAcceptedEnd() uint64 { return e.accepted }

// MarkEndsStored takes that the ends up to a number are kept.
func (e *Ends) MarkEndsStored(number uint64) { e.stored = max(e.stored, number) }

// AreEndsStored reports whether all that were taken in are kept.
func (e *Ends) AreEndsStored() bool { return e.stored >= e.accepted }

// MarkEndsForgotten takes that the worker has answered a question that let it forget ends up to a number.
func (e *Ends) MarkEndsForgotten(number uint64) { e.forgotten = max(e.forgotten, number) }
