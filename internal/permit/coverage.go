// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

// coverage is the probability distribution of how many tasks the workers named so far will take.
type coverage struct {
	// chances[k] is the probability that they take k tasks; the last element is the probability
	// that they take all.
	chances []float64
}

// newCoverage returns the distribution for that many tasks while no worker is named.
func newCoverage(tasks int) coverage {
	c := coverage{make([]float64, max(tasks, 0)+1)}
	c.chances[0] = 1
	return c
}

// add names a worker that takes that many tasks with probability p, and otherwise none. tasks is
// positive.
func (c *coverage) add(tasks int, p float64) {
	last := len(c.chances) - 1
	for k := max(last-tasks, 0); k < last; k++ {
		c.chances[last] += p * c.chances[k]
	}
	for k := last - 1; k >= 0; k-- {
		c.chances[k] *= 1 - p
		if k >= tasks {
			c.chances[k] += p * c.chances[k-tasks]
		}
	}
}

// all returns the probability that the workers take all tasks.
func (c *coverage) all() float64 { return c.chances[len(c.chances)-1] }
