// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package witness tells the successor of an owner whether that one has started tasks ahead of the store. An owner names
// other processes in its record, its witnesses, and starts nothing ahead of the store without the consent of most of them.
// A witness that follows a later owner consents no more, and says whether it did before: once enough have said that they
// did not, the earlier owner never had, and never gets, the consent of most.
//
// Nothing here is stored: a process that has ended is no witness any more, and where too few are left the successor has to
// find out in another way. The types are pure and not safe for concurrent use.
package witness

import "slices"

// MaxWitnesses bounds the witnesses of an owner, which each of its records names.
const MaxWitnesses = 9

// CountOf returns how many of a number of processes are named as witnesses: an odd number, as one more would raise the number
// of those that have to consent, and not that of those that may be lost.
func CountOf(processes int) int {
	count := min(processes, MaxWitnesses)
	if count > 0 && count%2 == 0 {
		count--
	}
	return count
}

// Quorum names the witnesses of an owner. The zero value has none.
type Quorum struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch is the epoch of the owner.
	Epoch uint64
	// Witnesses are incarnations of nodes, without duplicates.
	Witnesses []string
}

// IsEmpty reports whether there are no witnesses.
func (q *Quorum) IsEmpty() bool { return len(q.Witnesses) == 0 }

// Equal reports whether both are the same witnesses of one owner.
func (q *Quorum) Equal(other *Quorum) bool {
	return q.Epoch == other.Epoch && slices.Equal(q.Witnesses, other.Witnesses)
}

// minConsents is how many witnesses have to consent: most of them.
func (q *Quorum) minConsents() int { return len(q.Witnesses)/2 + 1 }

// minRefusals is how many witnesses have to refuse so that the others are too few to consent.
func (q *Quorum) minRefusals() int { return len(q.Witnesses) - q.minConsents() + 1 }

// countIn returns how many of the witnesses are in a set.
func (q *Quorum) countIn(set map[string]bool) int {
	n := 0
	for _, w := range q.Witnesses {
		if set[w] {
			n++
		}
	}
	return n
}
