// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import "time"

// shrinkGrace is how long a start may go by room that a worker no longer has: the 3 s in
// which nodes in touch take things up, and one entry more.
const shrinkGrace = 3*time.Second + heartbeatPeriod

// room is what a worker has for tasks.
type capacity struct{ cpu, mem int64 }

// earlierRoom is what a worker had until then.
type previousCapacity struct {
	capacity
	until time.Time
}

// Resize changes the worker's room, and tells it at once.
func (w *Worker) Resize(milliCPU, memoryMiB int64) {
	w.mu.Lock()
	w.previousCapacities = append(w.previousCapacities, previousCapacity{w.capacity, time.Now()})
	w.capacity = capacity{milliCPU, memoryMiB}
	w.mu.Unlock()
	w.heartbeat()
}

// allowed returns the most room that a start may go by; the caller holds the lock.
func (w *Worker) maxCapacity() capacity {
	highest := w.capacity
	for _, p := range w.previousCapacities {
		if time.Since(p.until) < shrinkGrace {
			highest.cpu, highest.mem = max(highest.cpu, p.cpu), max(highest.mem, p.mem)
		}
	}
	return highest
}
