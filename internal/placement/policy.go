// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package placement chooses a VM for a task and a rack for an ask. It is pure:
// the same input gives the same decision.
package placement

import (
	"github.com/leverdyke/leverdyke"
)

// Fill is the policy for tasks that end, whatever the office: filling VMs up
// gives both the shortest waits and the best packing (decision 0005).
var BestFit = Policy{Packing: 1}

// Policy is an office's weighing of its two aims, for services, which stay. The
// zero value weighs nothing: the first VM with room is taken.
type Policy struct {
	// Waiting prefers VMs with room left over; from 0 to 1.
	Waiting float64
	// Packing prefers VMs that the task fills up; from 0 to 1.
	Packing float64
}

const (
	// The spread of a service's tasks goes before every other aim: a VM, a rack
	// or an availability zone may be lost.
	vmSiblingWeight           = 2.0
	strandedAcceleratorWeight = 2.0
	rackSiblingWeight         = 2.0
	zoneSiblingWeight         = 1.0
)

// Candidate is a VM, or a rack's largest VM, that could take a task.
type Candidate struct {
	// Free and Capacity are what is left and what there is in all.
	Free, Capacity leverdyke.Resources
	// Siblings counts tasks of the same service that are there already.
	Siblings int
	// IsShut means that it takes nothing new: leaving, set aside, not known.
	IsUnavailable bool
}

// Best returns the index of the candidate to take and of the runner-up, or -1.
// Of equal ones the first is taken.
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

// Score rates a candidate that the task fits in; more is better.
func Score(p Policy, need leverdyke.Resources, c *Candidate) float64 {
	left := c.Free.Sub(need)
	// What is left of the scarcest dimension is what stops the next task. The
	// mean over all, and a penalty for uneven use, did worse (decision 0005).
	scarcest := min(
		fraction(left.MilliCPU, c.Capacity.MilliCPU), fraction(left.MemoryMiB, c.Capacity.MemoryMiB), fraction(left.Slots, c.Capacity.Slots),
	)
	score := (p.Waiting - p.Packing) * scarcest
	score -= vmSiblingWeight * float64(c.Siblings)
	if need.Accelerators == 0 && c.Capacity.Accelerators > 0 {
		// Room beside an accelerator is what a task with one needs later.
		score -= strandedAcceleratorWeight
	}
	return score
}

// fraction is 1 for a dimension that a VM does not have: it is never scarce.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// RackView is a rack's summary as the asking side has it; it may be seconds
// old, so that what was asked for since is taken off by the asking side.
type RackView struct {
	// Free is the sum over the rack, Largest the most on one VM.
	Free, Largest, Capacity leverdyke.Resources
	// Siblings and ZoneSiblings count tasks of the same service in the rack and
	// in its availability zone.
	Siblings, ZoneSiblings int
	// IsShut means that the rack refused or has no owner at the moment.
	IsUnavailable bool
}

// BestRack returns the index of the rack to ask, or -1. The offset turns the
// order of equals, so that several askers do not all choose the same rack;
// with tries above 0 only that many racks with room are compared.
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

// CanEverFit reports whether a VM of one of the capacities could hold the need
// when empty; otherwise it names what is lacking on the one that comes closest.
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
