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
	// capacityFactor is how many times the capacity that is needed the workers of a call should
	// be expected to have.
	capacityFactor = 1.2
	// MaxWorkersPerCall is the most workers that one call may name.
	MaxWorkersPerCall = 100
	// maxConsidered is how many candidates are sorted; some of them are not named.
	maxConsidered = 2 * MaxWorkersPerCall
	// minWorkersPerCall is the least workers that a call names, if there are that many
	// candidates.
	minWorkersPerCall = 6
	// freedTasks is the number of tasks for which a worker without free capacity is expected to
	// get some while a permit is valid, if it is permitted.
	freedTasks = 0.4
)

// Candidate is a worker that a call could name.
type Candidate struct {
	ID order.WorkerID
	// Fits is how many tasks fit on the worker now; 0 means that some would fit if it were empty.
	Fits int
	// Claimed is how many of these tasks will on average have no capacity left, because of the steps
	// whose calls are in flight. It is at most Fits.
	Claimed float64
	// IsPermitted means that the worker is known to be permitted.
	IsPermitted bool
	// HasPermit means that the step has a permit of the worker that is still valid when a call could be
	// answered.
	HasPermit bool
	// IsDegraded means that the worker is or was slow, or gets no tasks now because of its
	// health.
	IsDegraded bool
	// IsRemote means that the data of the step is not in the worker's rack.
	IsRemote bool
}

const (
	// fastConfidence and slowConfidence are the probabilities with which the workers that a call
	// names are to take all missing tasks. A further worker makes a slow call much longer.
	fastConfidence = 0.99
	slowConfidence = 0.85
	// staysFree is the probability that capacity that is free when the call is made is still free
	// when it is answered.
	staysFree = 0.9
	// minChance is the least probability with which a permitted worker that has free capacity takes
	// tasks, however many calls name it: most of these do not use all that they name.
	minChance = 0.2
)

// ChooseWorkers picks the workers that a call names: as few as will run the missing tasks with high
// probability, if share is the share of workers that are permitted. Workers with free capacity come
// before those that may get some, and among either those that are known to be permitted.
func ChooseWorkers(candidates []Candidate, policy *order.PermissionPolicy, missing int, share float64) []order.WorkerID {
	confidence := slowConfidence
	if isFast(policy) {
		confidence = fastConfidence
	}
	c := newCoverage(missing)
	out := []order.WorkerID{}
	for _, candidate := range best(candidates, maxConsidered) {
		if len(out) >= MaxWorkersPerCall || c.all() >= confidence {
			break
		}
		out = append(out, candidate.ID)
		c.add(max(candidate.Fits, 1), candidate.chance(share))
	}
	return out
}

// chance returns the probability that the worker runs tasks when a call has named it.
func (c *Candidate) chance(share float64) float64 {
	chance := freedTasks
	if c.Fits > 0 {
		chance = max(staysFree*c.free()/float64(c.Fits), minChance)
	}
	if c.IsPermitted {
		return chance
	}
	return share * chance
}

// free returns how many tasks fit on the worker on average once the steps whose calls are in flight
// have started theirs.
func (c *Candidate) free() float64 { return float64(c.Fits) - c.Claimed }

// isFree reports whether a task is more likely than not to fit on the worker.
func (c *Candidate) isFree() bool { return c.free() >= 0.5 }

// canStart reports whether the workers have the capacity to take a task now, or, of tasks that must
// start together, whether they can be expected to take all if share is the share of workers that are
// permitted. It may ignore the claims of the calls in flight, which not all use what they name.
func canStart(found []Candidate, tasks int, share float64, ignoresClaims bool) bool {
	if tasks == 1 {
		share = 1
	}
	expected := 0.0
	for i := range found {
		fits := found[i].free()
		if ignoresClaims {
			fits = float64(found[i].Fits)
		}
		if !found[i].IsPermitted {
			fits *= share
		}
		expected += fits
	}
	return expected >= float64(tasks)
}

// ChooseWorkersUnlearned is ChooseWorkers without a learned share: a fast call names as many workers
// as it can, a slow one as many as are needed on average, with a margin.
func ChooseWorkersUnlearned(candidates []Candidate, policy *order.PermissionPolicy, missing int) []order.WorkerID {
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

// expected returns how many tasks the worker is likely to run when a call has named it.
func (c *Candidate) expected() float64 {
	tasks := max(c.free(), freedTasks)
	if c.IsPermitted {
		return tasks
	}
	return assumedShare * tasks
}

// compare is negative when a is to be named before b.
func compare(a, b *Candidate) int {
	switch {
	case a.isFree() != b.isFree():
		return prefer(a.isFree())
	case a.IsPermitted != b.IsPermitted:
		return prefer(a.IsPermitted)
	case a.IsDegraded != b.IsDegraded:
		return prefer(b.IsDegraded)
	case a.IsRemote != b.IsRemote:
		return prefer(b.IsRemote)
	case a.free() != b.free():
		return cmp.Compare(b.free(), a.free())
	}
	return cmp.Compare(a.ID, b.ID)
}

// prefer is the result of compare: negative when the first of two candidates is preferred, else
// positive.
func prefer(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// best returns the n candidates to be named first, sorted, and reorders its argument. Keeping a
// heap of n takes less time than sorting them all (BenchmarkChooseWorkers).
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

// worstFirst is a heap of candidates with the one to be named last on top. Its length is fixed.
type worstFirst []Candidate

// Len returns the number of candidates.
func (h worstFirst) Len() int { return len(h) }

// Less puts the candidate on top that is to be named last.
func (h worstFirst) Less(i, j int) bool { return compare(&h[i], &h[j]) > 0 }

// Swap swaps two candidates.
func (h worstFirst) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is not used.
func (worstFirst) Push(any) { panic("permit: Push on a heap of fixed length") }

// Pop is not used.
func (worstFirst) Pop() any { panic("permit: Pop on a heap of fixed length") }
