// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package placement chooses a VM for a task and a rack for a placement request.
// It does no I/O, reads no clock and uses no random numbers: the same input
// gives the same decision.
package placement

import (
	"github.com/leverdyke/leverdyke"
)

// BestFit is the policy for tasks that end by themselves, whatever the weights
// of the team's office: placing each task on the VM that it fills up most gives
// both the shortest waits and the best packing (decision 0005).
var BestFit = Policy{Packing: 1}

// Policy is how an office weighs its two aims, short waits and dense packing. It
// applies to services, whose tasks run until they are stopped. With the zero
// value both weights are 0: of VMs that rate equally otherwise, the first one
// with enough free capacity is chosen.
type Policy struct {
	// Waiting prefers VMs that keep the most free capacity, so that later tasks
	// wait less; from 0 to 1.
	Waiting float64
	// Packing prefers VMs that keep the least free capacity; from 0 to 1.
	Packing float64
}

const (
	// Siblings are tasks of the same service. Spreading them takes precedence over
	// the aims of a Policy, because a VM, a rack or an availability zone may be
	// lost.
	vmSiblingWeight           = 2.0
	strandedAcceleratorWeight = 2.0
	rackSiblingWeight         = 2.0
	zoneSiblingWeight         = 1.0
)

// Candidate is a VM, or a rack's largest VM, that could take a task.
type Candidate struct {
	// Free is the free capacity, Capacity the total.
	Free, Capacity leverdyke.Resources
	// Siblings is the number of tasks of the same service that run there.
	Siblings int
	// IsUnavailable means that the task may not be placed there, for example
	// because the worker is leaving, is ejected or has not reported yet.
	IsUnavailable bool
}

// Best returns the index of the candidate with the highest score and of the
// runner-up; -1 stands for none. Of candidates with equal scores the first one
// wins.
func Best(p Policy, need leverdyke.Resources, candidates []Candidate) (best, second int) {
	best, second = -1, -1
	bestScore, secondScore := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.IsUnavailable || !need.FitsIn(c.Free) {
			continue
		}
		score := Score(p, need, c)
		switch {
		case best < 0 || score > bestScore:
			second, secondScore = best, bestScore
			best, bestScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	return best, second
}

// Score rates a candidate on which the task fits; higher is better.
func Score(p Policy, need leverdyke.Resources, c *Candidate) float64 {
	left := c.Free.Sub(need)
	// The scarcest dimension is the one that keeps the next task from fitting.
	// Scoring the mean over all dimensions, and a penalty for uneven use, gave
	// worse results (decision 0005).
	scarcest := min(
		fraction(left.MilliCPU, c.Capacity.MilliCPU), fraction(left.MemoryMiB, c.Capacity.MemoryMiB), fraction(left.Slots, c.Capacity.Slots),
	)
	score := (p.Waiting - p.Packing) * scarcest
	score -= vmSiblingWeight * float64(c.Siblings)
	if need.Accelerators == 0 && c.Capacity.Accelerators > 0 {
		// A task that needs the accelerator later also needs CPU and memory on
		// this VM; without them the accelerator is stranded.
		score -= strandedAcceleratorWeight
	}
	return score
}

// fraction returns part divided by whole. For a dimension that a VM does not
// have it returns 1, so that the dimension never counts as the scarcest.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// RackView is a rack's summary as a job shard knows it. The summary may be
// seconds old; the job shard has to subtract what it has requested from the
// rack since.
type RackView struct {
	// Free is the free capacity of the whole rack. Largest is the most that is
	// free on one VM, and Capacity the most that one VM has, in each dimension.
	Free, Largest, Capacity leverdyke.Resources
	// Siblings and ZoneSiblings are the numbers of tasks of the same service in
	// the rack and in its availability zone.
	Siblings, ZoneSiblings int
	// IsUnavailable means that the rack has refused a request recently, or that
	// no summary of it is known because it has no owner.
	IsUnavailable bool
}

// BestRack returns the index of the rack to send a placement request to, or -1.
// The comparison starts at offset and wraps around: since the first of equally
// good racks wins, job shards with different offsets do not all choose the same
// one. If maxCompared is above 0, only that many racks with enough free capacity
// are compared.
func BestRack(p Policy, need leverdyke.Resources, racks []RackView, offset, maxCompared int) int {
	best, bestScore, compared := -1, 0.0, 0
	for i := range racks {
		index := (i + offset) % len(racks)
		r := &racks[index]
		if r.IsUnavailable || !need.FitsIn(r.Largest) || !need.FitsIn(r.Free) {
			continue
		}
		score := Score(p, need, &Candidate{Free: r.Largest, Capacity: r.Capacity})
		score -= rackSiblingWeight*float64(r.Siblings) + zoneSiblingWeight*float64(r.ZoneSiblings)
		if best < 0 || score > bestScore {
			best, bestScore = index, score
		}
		compared++
		if maxCompared > 0 && compared >= maxCompared {
			break
		}
	}
	return best
}

// CanEverFit reports whether an empty VM of one of the capacities could run a
// task that needs these resources. If not, it names a resource that the last of
// them lacks.
func CanEverFit(need leverdyke.Resources, capacities []leverdyke.Resources) (lacks string, ok bool) {
	lacks = "any worker"
	for _, c := range capacities {
		l := need.Lacks(c)
		if l == "" {
			return "", true
		}
		lacks = l
	}
	return lacks, false
}
