// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import "strings"

// WorkerState is the state of a worker at one moment.
type WorkerState struct {
	ID, Zone string
	// Starts is how many tasks the worker has started.
	Starts int
	// IsAccepting means that the worker is neither leaving nor in a drained zone nor set to fail the long-running tasks
	// that it starts.
	IsAccepting bool
	// FreeMilliCPU and FreeMemoryMiB are the free capacity.
	FreeMilliCPU, FreeMemoryMiB int64
	// Running has the names of the running tasks.
	Running []string
}

// Snapshot returns the state of all workers that are not dead.
func (s *Site) Snapshot() []WorkerState {
	states := []WorkerState{}
	for _, w := range s.Workers() {
		if state, ok := w.state(); ok {
			states = append(states, state)
		}
	}
	return states
}

func (w *Worker) state() (WorkerState, bool) {
	isInDrainedZone := w.site.isDrained(w.machine.zone)
	w.mu.Lock()
	defer w.mu.Unlock()
	state := WorkerState{ID: w.id, Zone: w.machine.zone, Starts: w.starts, IsAccepting: !w.isLeaving && !w.failsLongRunning && !isInDrainedZone, FreeMilliCPU: w.capacity.cpu, FreeMemoryMiB: w.capacity.mem}
	for task, r := range w.running {
		state.Running = append(state.Running, task)
		state.FreeMilliCPU -= r.step.cpu
		state.FreeMemoryMiB -= r.step.mem
	}
	return state, !w.isDead
}

// Permits reports whether a worker may run a step. Workers whose ID ends in an even digit may run all steps;
// each other worker is excluded from a step if the first character of its permit for it is a multiple of 3 in ASCII.
// Without a permission service, every worker may run every step. Steps of the slow queue are permitted on the
// share of workers that Options.SlowPermission says.
func (s *Site) Permits(step, worker string) bool {
	if !s.options.HasPermissionService {
		return true
	}
	if p := s.slowPermissionOf(step); p != nil {
		return p.permits(step, worker)
	}
	return MayRunAllSteps(worker) || permitFor(step, worker)[0]%3 != 0
}

// MayRunAllSteps reports whether Permits lets a worker of that ID run every step.
func MayRunAllSteps(worker string) bool { return strings.ContainsAny(worker[len(worker)-1:], "02468") }
