// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"syscall"

	"github.com/leverdyke/leverdyke/internal/core"
)

// Packing returns the used part of each resource of the racks that this node
// owns, from 0 to 1.
func (n *Node) Packing() map[string]float64 {
	return ask(n, func(c *core.Core) map[string]float64 {
		used, capacity := c.Used()
		parts := map[string]float64{}
		for _, d := range []struct {
			name       string
			part, full int64
		}{
			{"processors", used.MilliCPU, capacity.MilliCPU},
			{"memory", used.MemoryMiB, capacity.MemoryMiB},
			{"accelerators", used.Accelerators, capacity.Accelerators},
			{"slots", used.Slots, capacity.Slots},
		} {
			if d.full > 0 {
				parts[d.name] = float64(d.part) / float64(d.full)
			}
		}
		return parts
	})
}

// Load returns counts of what the node has and does.
func (n *Node) Load() map[string]float64 {
	s := n.Status()
	waiting, inUse, slots := n.router.Load()
	return map[string]float64{
		"racks": float64(len(s.Racks)), "homes": float64(len(s.JobShards)), "tasks_running": float64(s.Running),
		"jobs_waiting": float64(s.Waiting), "requests_waiting": float64(waiting), "requests_in_progress": float64(inUse),
		"slots_granted": float64(slots), "log_applied": float64(s.Applied), "appends": float64(n.writer.Appends()),
		"cpu_seconds": cpuSeconds(),
	}
}

// cpuSeconds is the processor time that the process has used.
func cpuSeconds() float64 {
	u := syscall.Rusage{}
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}
