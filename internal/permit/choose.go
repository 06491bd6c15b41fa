// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// goodShare is the part of the workers that is expected to be permitted, where
	// nothing is known yet.
	goodShare = 0.35
	// enough is how many times the room that is needed a call should bring.
	enough = 1.2
	// MaxAsked is the most workers that one call may name.
	MaxAsked = 100
	// considered is how many workers are looked at in order, some of which are not named.
	considered = 2 * MaxAsked
	// minAsked is the least that a call names, if there are so many.
	minAsked = 6
	// freedShare is how many tasks a worker without room is expected to have room for while
	// a permission holds, where it is permitted.
	freedShare = 0.4
)

// Candidate is a worker that could be asked about.
type Candidate struct {
	ID order.WorkerID
	// Fits is how many tasks fit now; 0 means that some would on an empty worker.
	Fits int
	// IsGood means that it is known to be permitted.
	IsGood bool
	// IsSuspect means that it is or was slow.
	IsSuspect bool
}

// Choose picks the workers that are likely to take the missing tasks. Those with room come
// before those where some may become free, and among either those known to be permitted.
func Choose(found []Candidate, policy *order.PermissionPolicy, missing int) []order.WorkerID {
	found = best(found, considered)
	out := []order.WorkerID{}
	expected := 0.0
	for _, c := range found {
		isEnough := expected >= enough*float64(missing) && (len(out) >= minAsked || c.IsGood)
		if len(out) >= MaxAsked || isEnough && !isCheap(policy) {
			break
		}
		out = append(out, c.ID)
		expected += c.expected()
	}
	return out
}

// expected returns how many tasks the worker is likely to take once it was asked about.
func (c *Candidate) expected() float64 {
	tasks := max(float64(c.Fits), freedShare)
	if c.IsGood {
		return tasks
	}
	return goodShare * tasks
}

// compare is negative when a is to be asked about before b.
func compare(a, b *Candidate) int {
	switch {
	case a.Fits == 0 != (b.Fits == 0):
		return first(a.Fits > 0)
	case a.IsGood != b.IsGood:
		return first(a.IsGood)
	case a.IsSuspect != b.IsSuspect:
		return first(b.IsSuspect)
	case a.Fits != b.Fits:
		return b.Fits - a.Fits
	}
	return cmp.Compare(a.ID, b.ID)
}

// first is negative when the first of two is the one with the property.
func first(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// best returns the n candidates to be asked about first, in order, and reorders found. A
// heap of n takes less time than to sort them all (BenchmarkChoose).
func best(found []Candidate, n int) []Candidate {
	if len(found) > n {
		h := worstFirst(found[:n])
		heap.Init(h)
		for i := n; i < len(found); i++ {
			if compare(&found[i], &h[0]) < 0 {
				h[0], found[i] = found[i], h[0]
				heap.Fix(h, 0)
			}
		}
		found = found[:n]
	}
	slices.SortFunc(found, func(a, b Candidate) int { return compare(&a, &b) })
	return found
}

// worstFirst is a heap of candidates with the last to be asked about on top. It keeps its
// length.
type worstFirst []Candidate

// Len, Less and Swap are those of a heap.
func (h worstFirst) Len() int { return len(h) }

// Less puts the candidate on top that is asked about last.
func (h worstFirst) Less(i, j int) bool { return compare(&h[i], &h[j]) > 0 }

// Swap swaps two candidates.
func (h worstFirst) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is not used.
func (worstFirst) Push(any) { panic("permit: the heap keeps its length") }

// Pop is not used.
func (worstFirst) Pop() any { panic("permit: the heap keeps its length") }
