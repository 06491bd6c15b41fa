// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import "strings"

// WorkerState is what a worker is and runs at one moment.
type WorkerState struct {
	ID string
	// IsTaking means that it lives, does not leave, and does not fail what it starts.
	IsAccepting bool
	// FreeMilliCPU and FreeMemoryMiB are the room that is left.
	FreeMilliCPU, FreeMemoryMiB int64
	// Running are the names of the tasks that run.
	Running []string
}

// Snapshot returns the state of all workers, those of lives that are over left out.
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
	w.mu.Lock()
	defer w.mu.Unlock()
	state := WorkerState{ID: w.id, IsAccepting: !w.isLeaving && !w.failsLongRunning, FreeMilliCPU: w.capacity.cpu, FreeMemoryMiB: w.capacity.mem}
	for task, r := range w.running {
		state.Running = append(state.Running, task)
		state.FreeMilliCPU -= r.step.cpu
		state.FreeMemoryMiB -= r.step.mem
	}
	return state, !w.isDead
}

// Permits reports whether a worker may run a step, by the step's name.
func (s *Site) Permits(step, worker string) bool {
	if !s.options.HasPermissionService {
		return true
	}
	return strings.ContainsAny(worker[len(worker)-1:], "02468") || permitFor(step, worker)[0]%3 != 0
}
