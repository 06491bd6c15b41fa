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
	longestAway = 9 * time.Second
	roomTime    = 3 * time.Second
	calmTime    = 7 * time.Second
)

// Worker is a worker at one moment.
type Worker struct {
	ID string
	// IsTaking means that it can be given something.
	IsTaking bool
	// FreeMilliCPU and FreeMemoryMiB are the room that is left.
	FreeMilliCPU, FreeMemoryMiB int64
	// Running are the names of the tasks that run.
	Running []string
}

// LastingStep is a step of tasks that last.
type LastingStep struct {
	// Name is the part of its tasks' names that is the same, without the last dot.
	Name                string
	Tasks               int
	MilliCPU, MemoryMiB int64
}

// LastingWatch finds tasks that last of which nothing runs for too long.
type LastingWatch struct {
	permits func(step, worker string) bool
	steps   []LastingStep
	// awayFrom is since when nothing of a task runs, roomFrom since when a worker has room for a
	// task of a step.
	awayFrom map[string]time.Duration
	roomFrom map[[2]string]time.Duration
	told     map[string]bool
	longest  time.Duration
}

// NewLastingWatch returns a watch of no steps. permits tells whether a worker may run a step.
func NewLastingWatch(permits func(step, worker string) bool) *LastingWatch {
	return &LastingWatch{permits: permits, awayFrom: map[string]time.Duration{}, roomFrom: map[[2]string]time.Duration{}, told: map[string]bool{}}
}

// Add watches a step that was accepted at a time.
func (l *LastingWatch) Add(s LastingStep, now time.Duration) {
	l.steps = append(l.steps, s)
	for i := range s.Tasks {
		l.awayFrom[s.task(i)] = now
	}
}

// Longest returns the longest time for which nothing of a task ran, whatever the reason.
func (l *LastingWatch) Longest() time.Duration { return l.longest }

func (s *LastingStep) task(i int) string { return fmt.Sprintf("%s.%d", s.Name, i) }

// Look takes the state of all workers, and returns the violations that it shows for the first time.
func (l *LastingWatch) Look(now time.Duration, workers []Worker, calm *Calm) []Violation {
	running := map[string]bool{}
	for i := range workers {
		for _, task := range workers[i].Running {
			running[task] = true
		}
	}
	found := []Violation{}
	for i := range l.steps {
		found = append(found, l.lookAt(&l.steps[i], now, workers, running, calm)...)
	}
	return found
}

func (l *LastingWatch) lookAt(s *LastingStep, now time.Duration, workers []Worker, running map[string]bool, calm *Calm) []Violation {
	places := l.standing(s, now, workers)
	isCalm := calm.IsCalm(now-calmTime, now)
	found := []Violation{}
	for i := range s.Tasks {
		task := s.task(i)
		if running[task] {
			delete(l.awayFrom, task)
			continue
		}
		if _, ok := l.awayFrom[task]; !ok {
			l.awayFrom[task] = now
		}
		away := now - l.awayFrom[task]
		l.longest = max(l.longest, away)
		if away < longestAway || places < 2 || !isCalm || l.told[task] {
			continue
		}
		l.told[task] = true
		found = append(found, Violation{Lasting, now, fmt.Sprintf("nothing of task %s has run for %v, with room for %d such tasks", task, away.Round(time.Millisecond), places)})
	}
	return found
}

// standing returns for how many tasks of a step workers have had room for all of roomTime.
func (l *LastingWatch) standing(s *LastingStep, now time.Duration, workers []Worker) int {
	places := 0
	for i := range workers {
		w := &workers[i]
		key := [2]string{s.Name, w.ID}
		fits := w.fits(s)
		if fits == 0 || !w.IsTaking || !l.permits(s.Name, w.ID) {
			delete(l.roomFrom, key)
			continue
		}
		if _, ok := l.roomFrom[key]; !ok {
			l.roomFrom[key] = now
		}
		if now-l.roomFrom[key] >= roomTime {
			places += fits
		}
	}
	return places
}

// mostFits bounds what a worker has room for: tasks may need nothing.
const mostFits = 1000

// fits returns for how many tasks of a step the worker has room.
func (w *Worker) fits(s *LastingStep) int {
	n := int64(mostFits)
	if s.MilliCPU > 0 {
		n = min(n, w.FreeMilliCPU/s.MilliCPU)
	}
	if s.MemoryMiB > 0 {
		n = min(n, w.FreeMemoryMiB/s.MemoryMiB)
	}
	return int(max(n, 0))
}
