// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package reserve

import "github.com/leverdyke/leverdyke"

// minShare is used for needs that are too small to count.
const minShare = 0.01

// DominantShare returns the fraction of a capacity that a need takes, in the dimension in which it is
// largest. The result is at least minShare, so never 0.
func DominantShare(need, capacity leverdyke.Resources) float64 {
	fraction := minShare
	for _, d := range [...][2]int64{
		{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMiB, capacity.MemoryMiB}, {need.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			fraction = max(fraction, float64(d[0])/float64(d[1]))
		}
	}
	return fraction
}
