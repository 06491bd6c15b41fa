// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Oracle watches from the workers' side that the promises hold. It is safe for
// concurrent use.
type Oracle struct {
	mu sync.Mutex
	// places has, by task, the workers on which it runs.
	runningOn map[string][]string
	// good has, by task, the ends that were good.
	successes  map[string][]*successfulRun
	startCount int
	// jobs are those of which a task began.
	startedJobs map[string]bool
	// told has, by job, the final state that a caller was shown: it holds for good.
	shownStates map[string]string
	violations  []string
	// crashes counts, by task, the workers that crashed under it, and again its starts since
	// there were crashesAllowed.
	crashes, startsAfterCrashes map[string]int
	// owners has, by job, its customer; used what a customer has in use now, peaks at most,
	// and uses by which runs. limits are those in force, earlier those before.
	customerOfJob map[string]string
	used, peaks   map[string]int64
	usageByRun    map[string]customerUsage
	limits        map[string]int64
	previous      []previousLimits
}

// A task under which crashesAllowed workers have crashed is started fewer than moreStarts
// times more.
const (
	maxCrashes              = 3
	startsAfterCrashesLimit = 3
)

func newOracle() *Oracle {
	return &Oracle{
		runningOn: map[string][]string{}, successes: map[string][]*successfulRun{}, startedJobs: map[string]bool{}, shownStates: map[string]string{},
		crashes: map[string]int{}, startsAfterCrashes: map[string]int{},
		customerOfJob: map[string]string{}, used: map[string]int64{}, peaks: map[string]int64{}, usageByRun: map[string]customerUsage{},
	}
}

// began notes a start; the worker's lock is held.
func (o *Oracle) recordStart(task string, w *Worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startCount++
	job, _, _ := strings.Cut(task, ".")
	o.startedJobs[job] = true
	if state := o.shownStates[job]; state != "" {
		o.violations = append(o.violations, fmt.Sprintf("%s starts on %s after its job was shown as %s", task, w.incarnation, state))
	}
	if running := o.runningOn[task]; len(running) > 0 {
		o.violations = append(o.violations, fmt.Sprintf("%s starts on %s while it runs on %v", task, w.incarnation, running))
	}
	if o.crashes[task] >= maxCrashes {
		if o.startsAfterCrashes[task]++; o.startsAfterCrashes[task] >= startsAfterCrashesLimit {
			o.violations = append(o.violations, fmt.Sprintf("%s starts %d times more after %d workers have crashed under it", task, o.startsAfterCrashes[task], maxCrashes))
		}
	}
	for _, s := range o.successes[task] {
		s.startedOn = append(s.startedOn, w.incarnation)
		o.checkNoStartAfter(task, s)
	}
	o.runningOn[task] = append(o.runningOn[task], w.incarnation)
	o.addUsage(task, w.incarnation, w.running[task].step.cpu)
	cpu, mem := int64(0), int64(0)
	for _, r := range w.running {
		cpu += r.step.cpu
		mem += r.step.mem
	}
	if available := w.maxCapacity(); cpu > available.cpu || mem > available.mem {
		o.violations = append(o.violations, fmt.Sprintf("%s is over its room with %s: %d, %d", w.incarnation, task, cpu, mem))
	}
}

// crashed notes that a worker crashed under a task that crashes workers.
func (o *Oracle) recordCrash(task string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashes[task]++
}

// crashesUnder returns how many workers crashed under a task.
func (o *Oracle) crashesDuring(task string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.crashes[task]
}

func (o *Oracle) recordEnd(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runningOn[task] = slices.DeleteFunc(o.runningOn[task], func(id string) bool { return id == worker })
	o.removeUsage(task, worker)
}

// goodEnd is a run that ended well. It counts once a node has taken note of it,
// unless the worker's lease was over before: then nobody had to know of it.
type successfulRun struct {
	worker              string
	isConfirmed, isVoid bool
	startedOn           []string
}

func (o *Oracle) recordSuccess(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.successes[task] = append(o.successes[task], &successfulRun{worker: worker})
}

// noted says that a node has confirmed a worker's end of a task.
func (o *Oracle) recordConfirmation(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.successes[task] {
		if s.worker == worker && !s.isVoid {
			s.isConfirmed = true
			o.checkNoStartAfter(task, s)
		}
	}
}

// lapsed says that a worker's lease is over.
func (o *Oracle) recordLeaseExpiry(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, runs := range o.successes {
		for _, s := range runs {
			if s.worker == worker && !s.isConfirmed {
				s.isVoid = true
			}
		}
	}
}

// judge tells a start after an end that counts; the caller holds the lock.
func (o *Oracle) checkNoStartAfter(task string, s *successfulRun) {
	if s.isConfirmed && len(s.startedOn) > 0 {
		o.violations = append(o.violations, fmt.Sprintf("%s starts on %v after it was done on %s", task, s.startedOn, s.worker))
		s.startedOn = nil
	}
}

// shown notes the final state of a job that a caller was shown.
func (o *Oracle) recordShownState(job, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if before := o.shownStates[job]; before != "" && before != state {
		o.violations = append(o.violations, fmt.Sprintf("%s is shown as %s after %s", job, state, before))
	}
	o.shownStates[job] = state
}

func (o *Oracle) addViolation(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, text)
}

func (o *Oracle) listViolations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

func (o *Oracle) hasStarted(job string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.startedJobs[job]
}

func (o *Oracle) starts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.startCount
}
