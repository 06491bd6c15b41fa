// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package leverdyke

import "fmt"

// Resources is an amount of each resource dimension of a VM. The zero value is no resources.
// Methods do not change their receiver, so that values are safe for concurrent use.
type Resources struct {
	// MilliCPU is processor time in thousandths of a core; never negative.
	MilliCPU int64 `json:"milli_cpu,omitempty" yaml:"milli_cpu"`
	// MemoryMiB is memory in MiB; never negative.
	MemoryMiB int64 `json:"memory_mib,omitempty" yaml:"memory_mib"`
	// Accelerators counts whole devices; never negative.
	Accelerators int64 `json:"accelerators,omitempty" yaml:"accelerators"`
	// Slots is how many tasks and requests can run at once; never negative.
	Slots int64 `json:"slots,omitempty" yaml:"slots"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators, r.Slots + o.Slots}
}

// Sub returns r minus o; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators, r.Slots - o.Slots}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMiB * n, r.Accelerators * n, r.Slots * n}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators), max(r.Slots, o.Slots)}
}

// FitsIn reports whether r is at most o in every dimension.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators && r.Slots <= o.Slots
}

// Lacks names the first dimension in which r exceeds o, or returns "".
func (r Resources) Lacks(o Resources) string {
	switch {
	case r.MilliCPU > o.MilliCPU:
		return "processors"
	case r.MemoryMiB > o.MemoryMiB:
		return "memory"
	case r.Accelerators > o.Accelerators:
		return "accelerators"
	case r.Slots > o.Slots:
		return "slots"
	}
	return ""
}

// Count returns how many times r fits into o; 0 if r is the zero value.
func (r Resources) Count(o Resources) int64 {
	n := int64(-1)
	for _, d := range [...][2]int64{{r.MilliCPU, o.MilliCPU}, {r.MemoryMiB, o.MemoryMiB}, {r.Accelerators, o.Accelerators}, {r.Slots, o.Slots}} {
		if d[0] <= 0 {
			continue
		}
		if k := max(d[1], 0) / d[0]; n < 0 || k < n {
			n = k
		}
	}
	return max(n, 0)
}

// String returns the amounts in a human-readable form.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm mem=%dMiB acc=%d slots=%d", r.MilliCPU, r.MemoryMiB, r.Accelerators, r.Slots)
}
