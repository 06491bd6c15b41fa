// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Oracle checks the scheduler's guarantees by what workers and callers observe, and collects violations. It
// is safe for concurrent use.
type Oracle struct {
	mu sync.Mutex
	// runningOn has, by task, the incarnations of the workers on which it runs.
	runningOn map[string][]string
	// successes has, by task, the runs that succeeded.
	successes  map[string][]*successfulRun
	startCount int
	// startedJobs has the jobs of which at least one task was started.
	startedJobs map[string]bool
	// shownStates has, by job, the final state that a caller was shown: from then on it must not change.
	shownStates map[string]string
	// cancelledAt has, by job, when the cancellation was acknowledged to its caller.
	cancelledAt map[string]time.Time
	violations  []string
	// crashes counts, by task, the workers that crashed while it ran. startsAfterCrashes counts the starts
	// of a task since crashes reached maxCrashes.
	crashes, startsAfterCrashes map[string]int
	// customerOfJob has the customer of each job. used and peaks have, by customer, the processors in use
	// now and their maximum, in thousandths; usageByRun says which run uses them. limits are in force now,
	// previous were before.
	customerOfJob map[string]string
	used, peaks   map[string]int64
	usageByRun    map[string]customerUsage
	limits        map[string]int64
	previous      []previousLimits
	// progress measures how long jobs stand still.
	progress *progress
}

// Once maxCrashes workers have crashed while they ran a task, it must be started fewer than
// startsAfterCrashesLimit times more.
const (
	maxCrashes              = 3
	startsAfterCrashesLimit = 3
)

// maxStartDelay is the longest time for which an order to start may be on its way: longer than the
// lease that it carries (6 s), and than workers delay orders in the tests (5 s).
const maxStartDelay = 6500 * time.Millisecond

func newOracle() *Oracle {
	return &Oracle{
		runningOn: map[string][]string{}, successes: map[string][]*successfulRun{}, startedJobs: map[string]bool{}, shownStates: map[string]string{}, cancelledAt: map[string]time.Time{},
		crashes: map[string]int{}, startsAfterCrashes: map[string]int{},
		customerOfJob: map[string]string{}, used: map[string]int64{}, peaks: map[string]int64{}, usageByRun: map[string]customerUsage{},
		progress: newProgress(),
	}
}

// recordStart records the start of a task and checks it against all guarantees. Callers must hold the worker's
// lock.
func (o *Oracle) recordStart(task string, w *Worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startCount++
	o.progress.start(task, time.Now())
	job, _, _ := strings.Cut(task, ".")
	o.startedJobs[job] = true
	if state := o.shownStates[job]; state != "" {
		o.violations = append(o.violations, fmt.Sprintf("%s starts on %s after its job was shown as %s", task, w.incarnation, state))
	}
	if at, ok := o.cancelledAt[job]; ok && time.Since(at) > maxStartDelay {
		o.violations = append(o.violations, fmt.Sprintf("%s starts on %s %v after the cancellation of its job was acknowledged", task, w.incarnation, time.Since(at)))
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
		o.violations = append(o.violations, fmt.Sprintf("%s has less capacity than its tasks need with %s: cpu %d, memory %d", w.incarnation, task, cpu, mem))
	}
}

// recordCancel records that the cancellation of a job was acknowledged to its caller. No order to start one of its
// tasks may leave a node from then on.
func (o *Oracle) recordCancel(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancelledAt[job] = time.Now()
	o.progress.forget(job)
}

// recordCrash records that a task of the kind that crashes workers has crashed one.
func (o *Oracle) recordCrash(task string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashes[task]++
}

// crashesDuring returns how many workers crashed while they ran a task.
func (o *Oracle) crashesDuring(task string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.crashes[task]
}

func (o *Oracle) recordEnd(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.progress.end(task, time.Now())
	o.runningOn[task] = slices.DeleteFunc(o.runningOn[task], func(id string) bool { return id == worker })
	o.removeUsage(task, worker)
}

// successfulRun is a run that succeeded. Once a node has confirmed to the worker that it received the
// result, the task must not start again. If the worker's lease expired before that, isVoid is set: the owner
// may have treated the run as lost, and may start the task again.
type successfulRun struct {
	worker              string
	isConfirmed, isVoid bool
	startedOn           []string
}

func (o *Oracle) recordSuccess(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.successes[task] = append(o.successes[task], &successfulRun{worker: worker})
	o.progress.succeed(task)
}

// recordConfirmation records that a node has confirmed to a worker the success of a task.
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

// recordLeaseExpiry records that a worker's lease has expired: its unconfirmed successes no longer count.
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

// checkNoStartAfter records a violation if a task was started after a confirmed success. Callers must hold
// the lock.
func (o *Oracle) checkNoStartAfter(task string, s *successfulRun) {
	if s.isConfirmed && len(s.startedOn) > 0 {
		o.violations = append(o.violations, fmt.Sprintf("%s starts on %v after its success on %s was confirmed", task, s.startedOn, s.worker))
		s.startedOn = nil
	}
}

// recordShownState records the final state of a job that a caller was shown, and checks that it did not change.
func (o *Oracle) recordShownState(job, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if before := o.shownStates[job]; before != "" && before != state {
		o.violations = append(o.violations, fmt.Sprintf("%s is shown as %s after %s", job, state, before))
	}
	o.shownStates[job] = state
	o.progress.forget(job)
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
