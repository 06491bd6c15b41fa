// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import (
	"fmt"
	"time"
)

// Bounds of the rule on tasks that last.
const (
	// longestAway is how long nothing of a task may run, if in the last roomTime of that there was
	// room for it twice over on the same workers, and nothing was disturbed in the last calmTime.
	maxNotRunning = 9 * time.Second
	capacityTime  = 3 * time.Second
	faultFreeTime = 7 * time.Second
)

// Worker is a worker at one moment.
type Worker struct {
	ID string
	// IsTaking means that it can be given something.
	IsAccepting bool
	// FreeMilliCPU and FreeMemoryMiB are the room that is left.
	FreeMilliCPU, FreeMemoryMiB int64
	// Running are the names of the tasks that run.
	Running []string
}

// LastingStep is a step of tasks that last.
type LongRunningStep struct {
	// Name is the part of its tasks' names that is the same, without the last dot.
	Name                string
	Tasks               int
	MilliCPU, MemoryMiB int64
}

// LastingWatch finds tasks that last of which nothing runs for too long.
type LongRunningChecker struct {
	permits func(step, worker string) bool
	steps   []LongRunningStep
	// awayFrom is since when nothing of a task runs, roomFrom since when a worker has room for a
	// task of a step.
	notRunningSince map[string]time.Duration
	capacitySince   map[[2]string]time.Duration
	reported        map[string]bool
	longestOutage   time.Duration
}

// NewLastingWatch returns a watch of no steps. permits tells whether a worker may run a step.
func NewLongRunningChecker(permits func(step, worker string) bool) *LongRunningChecker {
	return &LongRunningChecker{permits: permits, notRunningSince: map[string]time.Duration{}, capacitySince: map[[2]string]time.Duration{}, reported: map[string]bool{}}
}

// Add watches a step that was accepted at a time.
func (l *LongRunningChecker) Add(s LongRunningStep, now time.Duration) {
	l.steps = append(l.steps, s)
	for i := range s.Tasks {
		l.notRunningSince[s.taskName(i)] = now
	}
}

// Longest returns the longest time for which nothing of a task ran, whatever the reason.
func (l *LongRunningChecker) LongestOutage() time.Duration { return l.longestOutage }

func (s *LongRunningStep) taskName(i int) string { return fmt.Sprintf("%s.%d", s.Name, i) }

// Look takes the state of all workers, and returns the violations that it shows for the first time.
func (l *LongRunningChecker) Check(now time.Duration, workers []Worker, faults *FaultWindows) []Violation {
	running := map[string]bool{}
	for i := range workers {
		for _, task := range workers[i].Running {
			running[task] = true
		}
	}
	violations := []Violation{}
	for i := range l.steps {
		violations = append(violations, l.checkStep(&l.steps[i], now, workers, running, faults)...)
	}
	return violations
}

func (l *LongRunningChecker) checkStep(s *LongRunningStep, now time.Duration, workers []Worker, running map[string]bool, faults *FaultWindows) []Violation {
	capacity := l.stableCapacity(s, now, workers)
	isFaultFree := faults.IsFaultFree(now-faultFreeTime, now)
	violations := []Violation{}
	for i := range s.Tasks {
		task := s.taskName(i)
		if running[task] {
			delete(l.notRunningSince, task)
			continue
		}
		if _, ok := l.notRunningSince[task]; !ok {
			l.notRunningSince[task] = now
		}
		outage := now - l.notRunningSince[task]
		l.longestOutage = max(l.longestOutage, outage)
		if outage < maxNotRunning || capacity < 2 || !isFaultFree || l.reported[task] {
			continue
		}
		l.reported[task] = true
		violations = append(violations, Violation{LongRunning, now, fmt.Sprintf("nothing of task %s has run for %v, with room for %d such tasks", task, outage.Round(time.Millisecond), capacity)})
	}
	return violations
}

// standing returns for how many tasks of a step workers have had room for all of roomTime.
func (l *LongRunningChecker) stableCapacity(s *LongRunningStep, now time.Duration, workers []Worker) int {
	capacity := 0
	for i := range workers {
		w := &workers[i]
		key := [2]string{s.Name, w.ID}
		count := w.taskCapacity(s)
		if count == 0 || !w.IsAccepting || !l.permits(s.Name, w.ID) {
			delete(l.capacitySince, key)
			continue
		}
		if _, ok := l.capacitySince[key]; !ok {
			l.capacitySince[key] = now
		}
		if now-l.capacitySince[key] >= capacityTime {
			capacity += count
		}
	}
	return capacity
}

// mostFits bounds what a worker has room for: tasks may need nothing.
const maxTasksPerWorker = 1000

// fits returns for how many tasks of a step the worker has room.
func (w *Worker) taskCapacity(s *LongRunningStep) int {
	n := int64(maxTasksPerWorker)
	if s.MilliCPU > 0 {
		n = min(n, w.FreeMilliCPU/s.MilliCPU)
	}
	if s.MemoryMiB > 0 {
		n = min(n, w.FreeMemoryMiB/s.MemoryMiB)
	}
	return int(max(n, 0))
}
