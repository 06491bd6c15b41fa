// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package throughput

// Class is how fast a worker is compared with the others.
type Class string

// The classes of workers. One of which little is known is typical.
const (
	Fast    Class = "fast"
	Typical Class = "typical"
	Slow    Class = "slow"
)

const (
	// fastRatio and slowRatio are the ratios up to and from which a worker of which at least
	// minClassWeight is known counts as fast and slow.
	fastRatio, slowRatio = 0.92, 1.1
	minClassWeight       = 3.0
)

// Class returns the worker's class.
func (r *WorkerRatio) Class() Class {
	switch {
	case r.Weight < minClassWeight:
		return Typical
	case r.Ratio <= fastRatio:
		return Fast
	case r.Ratio >= slowRatio:
		return Slow
	}
	return Typical
}
