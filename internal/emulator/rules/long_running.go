// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import (
	"fmt"
	"time"
)

// Bounds of the rule on long-running tasks.
const (
	// maxNotRunning is how long a task may be without a running attempt. The bound applies if for the
	// last capacityTime the same workers had free capacity for at least two such tasks, and there were
	// no faults for the last faultFreeTime.
	maxNotRunning = 9 * time.Second
	capacityTime  = 3 * time.Second
	faultFreeTime = 7 * time.Second
)

// Worker is the state of a worker at one point in time.
type Worker struct {
	ID   string
	Zone string
	// Starts is how many tasks have been started on the worker so far.
	Starts int
	// IsAccepting means that the worker can be sent new tasks.
	IsAccepting bool
	// FreeMilliCPU and FreeMemoryMiB are the free capacity.
	FreeMilliCPU, FreeMemoryMiB int64
	// Running has the names of the running tasks.
	Running []string
}

// LongRunningStep is a step whose tasks run until their job is cancelled.
type LongRunningStep struct {
	// Name is the common prefix of the names of its tasks: a task is called Name, a dot, its index.
	Name  string
	Tasks int
	// MilliCPU and MemoryMiB are what each task needs.
	MilliCPU, MemoryMiB int64
}

// LongRunningChecker finds long-running tasks that are not restarted in time.
type LongRunningChecker struct {
	permits func(step, worker string) bool
	steps   []LongRunningStep
	// notRunningSince has, by task, since when no attempt of it has run.
	notRunningSince map[string]time.Duration
	// capacitySince has, by step and worker, since when the worker has had free capacity for at least
	// one task of the step.
	capacitySince map[[2]string]time.Duration
	// reported has the tasks for which a violation was returned.
	reported      map[string]bool
	longestOutage time.Duration
}

// NewLongRunningChecker returns a checker without steps. permits reports whether a worker may run a step.
func NewLongRunningChecker(permits func(step, worker string) bool) *LongRunningChecker {
	return &LongRunningChecker{permits: permits, notRunningSince: map[string]time.Duration{}, capacitySince: map[[2]string]time.Duration{}, reported: map[string]bool{}}
}

// Add adds a step whose job was accepted at the given time. Its tasks count as not running from then on.
func (l *LongRunningChecker) Add(s LongRunningStep, now time.Duration) {
	l.steps = append(l.steps, s)
	for i := range s.Tasks {
		l.notRunningSince[s.taskName(i)] = now
	}
}

// LongestOutage returns the longest time for which a task had no running attempt, whatever the reason:
// times with faults or without capacity count too.
func (l *LongRunningChecker) LongestOutage() time.Duration { return l.longestOutage }

func (s *LongRunningStep) taskName(i int) string { return fmt.Sprintf("%s.%d", s.Name, i) }

// Check evaluates the state of all workers and returns the violations that were not returned before,
// at most one a task.
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
		violations = append(violations, Violation{LongRunning, now, fmt.Sprintf("no attempt of task %s has run for %v, with free capacity for %d such tasks", task, outage.Round(time.Millisecond), capacity)})
	}
	return violations
}

// stableCapacity returns how many tasks of a step fit on the workers that have had free capacity for
// the step throughout the last capacityTime.
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

// maxTasksPerWorker bounds the result of taskCapacity, which would be infinite for tasks that need
// neither processors nor memory.
const maxTasksPerWorker = 1000

// taskCapacity returns how many tasks of a step fit into the worker's free capacity.
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
