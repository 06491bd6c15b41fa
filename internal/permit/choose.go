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
	permittedShare = 0.35
	// enough is how many times the room that is needed a call should bring.
	capacityFactor = 1.2
	// MaxWorkersPerCall is the most workers that one call may name.
	MaxWorkersPerCall = 100
	// considered is how many workers are looked at in order, some of which are not named.
	maxConsidered = 2 * MaxWorkersPerCall
	// minAsked is the least that a call names, if there are so many.
	minWorkersPerCall = 6
	// freedShare is how many tasks a worker without room is expected to have room for while
	// a permission holds, where it is permitted.
	freedTasks = 0.4
)

// Candidate is a worker that could be asked about.
type Candidate struct {
	ID order.WorkerID
	// Fits is how many tasks fit now; 0 means that some would on an empty worker.
	Fits int
	// IsPermitted means that it is known to be permitted.
	IsPermitted bool
	// IsDegraded means that it is or was slow.
	IsDegraded bool
}

// ChooseWorkers picks the workers that are likely to take the missing tasks. Those with room come
// before those where some may become free, and among either those known to be permitted.
func ChooseWorkers(candidates []Candidate, policy *order.PermissionPolicy, missing int) []order.WorkerID {
	candidates = best(candidates, maxConsidered)
	out := []order.WorkerID{}
	expected := 0.0
	for _, c := range candidates {
		isEnough := expected >= capacityFactor*float64(missing) && (len(out) >= minWorkersPerCall || c.IsPermitted)
		if len(out) >= MaxWorkersPerCall || isEnough && !isFast(policy) {
			break
		}
		out = append(out, c.ID)
		expected += c.expected()
	}
	return out
}

// expected returns how many tasks the worker is likely to take once it was asked about.
func (c *Candidate) expected() float64 {
	tasks := max(float64(c.Fits), freedTasks)
	if c.IsPermitted {
		return tasks
	}
	return permittedShare * tasks
}

// compare is negative when a is to be asked about before b.
func compare(a, b *Candidate) int {
	switch {
	case a.Fits == 0 != (b.Fits == 0):
		return prefer(a.Fits > 0)
	case a.IsPermitted != b.IsPermitted:
		return prefer(a.IsPermitted)
	case a.IsDegraded != b.IsDegraded:
		return prefer(b.IsDegraded)
	case a.Fits != b.Fits:
		return b.Fits - a.Fits
	}
	return cmp.Compare(a.ID, b.ID)
}

// first is negative when the first of two is the one with the property.
func prefer(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// best returns the n candidates to be asked about first, in order, and reorders found. A
// heap of n takes less time than to sort them all (BenchmarkChoose).
func best(candidates []Candidate, n int) []Candidate {
	if len(candidates) > n {
		h := worstFirst(candidates[:n])
		heap.Init(h)
		for i := n; i < len(candidates); i++ {
			if compare(&candidates[i], &h[0]) < 0 {
				h[0], candidates[i] = candidates[i], h[0]
				heap.Fix(h, 0)
			}
		}
		candidates = candidates[:n]
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return compare(&a, &b) })
	return candidates
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
