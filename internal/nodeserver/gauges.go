// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package nodeserver

import (
	"syscall"

	"github.com/leverdyke/leverdyke/internal/core"
)

// Utilization returns the used fraction, from 0 to 1, of each resource of the racks that
// this node owns. Resources that these racks do not have are left out.
func (n *Node) Utilization() map[string]float64 {
	return query(n, func(c *core.Core) map[string]float64 {
		used, capacity := c.Used()
		fractions := map[string]float64{}
		for _, d := range []struct {
			name              string
			usedAmount, total int64
		}{
			{"processors", used.MilliCPU, capacity.MilliCPU},
			{"memory", used.MemoryMiB, capacity.MemoryMiB},
			{"accelerators", used.Accelerators, capacity.Accelerators},
			{"slots", used.Slots, capacity.Slots},
		} {
			if d.total > 0 {
				fractions[d.name] = float64(d.usedAmount) / float64(d.total)
			}
		}
		return fractions
	})
}

// Load returns the node's gauges by name: what it owns, what waits and runs, and what it
// has consumed.
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

// cpuSeconds returns the processor time that the process has used, in seconds.
func cpuSeconds() float64 {
	u := syscall.Rusage{}
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}
