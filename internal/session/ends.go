// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session

// Ends tracks which ends of one incarnation of a worker were accepted, by their numbers, which
// rise by one from 1, and which of these are stored, so that the worker may forget them. A worker
// forgets all ends up to a number, so that only those are confirmed before which none is missing.
// The zero value has none.
type Ends struct {
	// accepted is the number up to which all ends were accepted or were forgotten by the worker
	// before; hasFirst is false until it is known which is the first that it still has. stored is
	// the number up to which the ends are stored.
	accepted, stored uint64
	hasFirst         bool
	// ahead are the accepted ends beyond the next one that is missing.
	ahead map[uint64]bool
	// forgotten is the number up to which the worker has acknowledged that it forgets the ends.
	forgotten uint64
}

// BeginListing records the number of the first end in a listing; 0 if it has none. isComplete means
// that the listing has all ends that the worker has not forgotten, and is the newest one: then it
// reports none before its first end again.
func (e *Ends) BeginListing(first uint64, isComplete bool) {
	switch {
	case first > 0 && (isComplete || !e.hasFirst):
		e.hasFirst = true
		e.accepted = max(e.accepted, first-1)
	case first == 0 && isComplete:
		for number := range e.ahead {
			e.accepted = max(e.accepted, number)
		}
	}
	e.closeGap()
}

// AcceptEnd reports whether the end with that number is new, and if so records it as accepted. A
// worker reports an end again and again until it is confirmed.
func (e *Ends) AcceptEnd(number uint64) bool {
	if number <= e.accepted || e.ahead[number] {
		return false
	}
	if e.ahead == nil {
		e.ahead = map[uint64]bool{}
	}
	e.ahead[number] = true
	e.closeGap()
	return true
}

// closeGap adds the ends before which none is missing any more to those up to accepted.
func (e *Ends) closeGap() {
	for number := range e.ahead {
		if number <= e.accepted {
			delete(e.ahead, number)
		}
	}
	for e.ahead[e.accepted+1] {
		e.accepted++
		delete(e.ahead, e.accepted)
	}
}

// LastAcceptedEnd returns the number up to which all ends were accepted.
func (e *Ends) LastAcceptedEnd() uint64 { return e.accepted }

// MarkEndsStored records that the ends up to a number are stored.
func (e *Ends) MarkEndsStored(number uint64) { e.stored = max(e.stored, number) }

// AreEndsStored reports whether all ends that were accepted are stored and may be confirmed.
func (e *Ends) AreEndsStored() bool { return e.stored >= e.accepted && len(e.ahead) == 0 }

// MarkEndsForgotten records that the worker has answered a poll which confirmed the ends up to a
// number.
func (e *Ends) MarkEndsForgotten(number uint64) { e.forgotten = max(e.forgotten, number) }
