// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import "time"

// shrinkGrace is how long after a worker's capacity has shrunk nodes may still start tasks by the old
// capacity: the 3 s within which every connected node applies an update, and one heartbeat more.
const shrinkGrace = 3*time.Second + heartbeatPeriod

// capacity is what a worker offers to tasks: processors in thousandths, memory in MiB.
type capacity struct{ cpu, mem int64 }

// previousCapacity is a capacity that a worker offered until a point in time.
type previousCapacity struct {
	capacity
	until time.Time
}

// Resize changes the worker's capacity and sends a heartbeat with the new one at once.
func (w *Worker) Resize(milliCPU, memoryMiB int64) {
	w.site.RecordDisturbance()
	w.mu.Lock()
	w.previousCapacities = append(w.previousCapacities, previousCapacity{w.capacity, time.Now()})
	w.capacity = capacity{milliCPU, memoryMiB}
	w.mu.Unlock()
	w.heartbeat()
}

// maxCapacity returns the highest capacity that nodes may still assume. Callers must hold the lock.
func (w *Worker) maxCapacity() capacity {
	highest := w.capacity
	for _, p := range w.previousCapacities {
		if time.Since(p.until) < shrinkGrace {
			highest.cpu, highest.mem = max(highest.cpu, p.cpu), max(highest.mem, p.mem)
		}
	}
	return highest
}
