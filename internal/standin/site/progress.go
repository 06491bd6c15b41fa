// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform's rule on jobs that stand still.
const (
	// calmDelay is how long after a disturbance a standstill begins to count as one in calm.
	calmDelay = 4 * time.Second
	// restartAllowance is how long a long-running task may take to start again before its time away counts
	// as one in calm.
	restartAllowance = 6 * time.Second
)

// progressPeriod is the time between two looks at the jobs.
const progressPeriod = 50 * time.Millisecond

// standstillLimitName is the environment variable with the longest standstill in calm that is no violation.
const standstillLimitName = "LEVERDYKE_STANDSTILL"

// Standstill is the longest time in which nothing of a job ran although a task's turn had come and a worker
// had room for it.
type Standstill struct {
	// Longest is the longest one at any time, Calm the longest within calm.
	Longest, Calm time.Duration
	// LongestOf and CalmOf name what stood still: a job, or a long-running task.
	LongestOf, CalmOf string
}

func (s *Standstill) add(of string, longest, calm time.Duration) {
	if longest > s.Longest {
		s.Longest, s.LongestOf = longest, of
	}
	if calm > s.Calm {
		s.Calm, s.CalmOf = calm, of
	}
}

// String returns the durations and what stood still, for the logs of tests.
func (s Standstill) String() string {
	return fmt.Sprintf("%v (%s), in calm %v (%s)", s.Longest.Round(time.Millisecond), s.LongestOf, s.Calm.Round(time.Millisecond), s.CalmOf)
}

// progress measures how long accepted jobs and long-running tasks stand still. It is safe for concurrent use.
type progress struct {
	// limit is the longest standstill in calm that is no violation; 0 means that none is.
	limit time.Duration

	mu          sync.Mutex
	jobs        map[string]*jobProgress
	disturbedAt time.Time
	// ofJobs is the longest standstill of a job, ofLongRunning the longest absence of a long-running task.
	ofJobs, ofLongRunning Standstill
	// reported has what has a violation already.
	reported map[string]bool
}

// jobProgress is an accepted job that has not ended.
type jobProgress struct {
	steps []stepSpec
	tasks map[string]*taskProgress
	// taskCount is the number of tasks, done how many of them have succeeded, running how many runs are in
	// progress.
	taskCount, done, running int
	hasLongRunning, hasEnded bool
	// stoodSince is when something of the job last ran, or was last held back by a lack of room.
	stoodSince time.Time
}

type taskProgress struct {
	running   int
	isDone    bool
	awaySince time.Time
}

func newProgress() *progress {
	limit, _ := time.ParseDuration(os.Getenv(standstillLimitName))
	return &progress{limit: limit, jobs: map[string]*jobProgress{}, reported: map[string]bool{}}
}

// accept adds a job that was accepted.
func (p *progress) accept(job string, steps []stepSpec, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.job(job)
	if j.hasEnded {
		return
	}
	j.steps, j.stoodSince = steps, now
	for i := range steps {
		j.taskCount += steps[i].tasks
		j.hasLongRunning = j.hasLongRunning || steps[i].isLongRunning
	}
}

// job returns a job, which may have started before its acceptance is known. Callers must hold the lock.
func (p *progress) job(id string) *jobProgress {
	j := p.jobs[id]
	if j == nil {
		j = &jobProgress{tasks: map[string]*taskProgress{}}
		p.jobs[id] = j
	}
	return j
}

// forget removes a job that has ended, or need not go on.
func (p *progress) forget(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.job(job).hasEnded = true
}

// disturb records a disturbance of the platform or the nodes.
func (p *progress) disturb(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = now
}

// start records that a run of a task has begun.
func (p *progress) start(task string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, t := p.task(task)
	t.running++
	j.running++
	j.stoodSince = now
}

// end records that a run of a task has ended.
func (p *progress) end(task string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, t := p.task(task)
	t.running--
	j.running--
	j.stoodSince, t.awaySince = now, now
}

// succeed records that a run of a task has succeeded.
func (p *progress) succeed(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, t := p.task(task)
	if !t.isDone {
		j.done++
	}
	t.isDone = true
}

// task returns a task and its job. Callers must hold the lock.
func (p *progress) task(name string) (*jobProgress, *taskProgress) {
	job, _, _ := strings.Cut(name, ".")
	j := p.job(job)
	t := j.tasks[name]
	if t == nil {
		t = &taskProgress{}
		j.tasks[name] = t
	}
	return j, t
}

// observe looks at all jobs. hasRoom reports whether a worker has room for a task of a step. It returns what
// has stood still in calm for longer than the limit.
func (p *progress) observe(now time.Time, hasRoom func(step string, spec *stepSpec) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	violations := []string{}
	for id, j := range p.jobs {
		violations = append(violations, p.observeJob(id, j, now, hasRoom)...)
	}
	return violations
}

func (p *progress) observeJob(id string, j *jobProgress, now time.Time, hasRoom func(step string, spec *stepSpec) bool) []string {
	if j.hasEnded || j.done == j.taskCount {
		return nil
	}
	if j.running > 0 && !j.hasLongRunning {
		j.stoodSince = now
		return nil
	}
	violations := []string{}
	canStart := false
	for i := range j.steps {
		spec := &j.steps[i]
		if spec.fails || spec.crashes || !j.isDue(id, spec) {
			continue
		}
		name := fmt.Sprintf("%s.0.%d", id, i)
		waiting := j.waiting(name, spec)
		if len(waiting) == 0 {
			continue
		}
		roomFor := hasRoom(name, spec)
		canStart = canStart || roomFor
		if spec.isLongRunning {
			violations = append(violations, p.observeAway(j, waiting, now, roomFor)...)
		}
	}
	if !canStart || j.running > 0 {
		j.stoodSince = now
		return violations
	}
	calm := p.calmSince(j.stoodSince, now)
	p.ofJobs.add(id, now.Sub(j.stoodSince), calm)
	return append(violations, p.check(id, calm)...)
}

// observeAway looks at the tasks of a long-running step that do not run. One that never ran counts with its job only.
func (p *progress) observeAway(j *jobProgress, waiting []string, now time.Time, hasRoom bool) []string {
	violations := []string{}
	for _, name := range waiting {
		t := j.tasks[name]
		switch {
		case t == nil || t.awaySince.IsZero():
		case !hasRoom:
			t.awaySince = now
		default:
			calm := p.calmSince(t.awaySince.Add(restartAllowance), now)
			p.ofLongRunning.add(name, now.Sub(t.awaySince), calm)
			violations = append(violations, p.check(name, calm)...)
		}
	}
	return violations
}

// calmSince returns how much of the time since a moment was calm. Callers must hold the lock.
func (p *progress) calmSince(since, now time.Time) time.Duration {
	if calm := p.disturbedAt.Add(calmDelay); calm.After(since) {
		since = calm
	}
	return max(now.Sub(since), 0)
}

// check returns a violation, once for each name, if calm is beyond the limit. Callers must hold the lock.
func (p *progress) check(name string, calm time.Duration) []string {
	if p.limit == 0 || calm <= p.limit || p.reported[name] {
		return nil
	}
	p.reported[name] = true
	return []string{fmt.Sprintf("%s stands still for more than %v in calm, although a worker has room", name, p.limit)}
}

// isDue reports whether all steps that a step depends on are done.
func (j *jobProgress) isDue(id string, spec *stepSpec) bool {
	if !spec.startAt.IsZero() {
		return false
	}
	for _, d := range spec.dependsOn {
		if d < 0 || d >= len(j.steps) {
			return false
		}
		if !j.isStepDone(fmt.Sprintf("%s.0.%d", id, d), &j.steps[d]) {
			return false
		}
	}
	return true
}

// isStepDone reports whether all tasks of a step have succeeded. Those of a gang succeed together, so that the
// success of one counts for all, although members may be stopped before they have listed their own.
func (j *jobProgress) isStepDone(step string, spec *stepSpec) bool {
	done := 0
	for i := range spec.tasks {
		if t := j.tasks[step+"."+strconv.Itoa(i)]; t != nil && t.isDone {
			done++
		}
	}
	return done == spec.tasks || spec.isGang && done > 0
}

// waiting returns the tasks of a step that neither run nor are done.
func (j *jobProgress) waiting(step string, spec *stepSpec) []string {
	out := []string{}
	if j.isStepDone(step, spec) {
		return out
	}
	for i := range spec.tasks {
		name := step + "." + strconv.Itoa(i)
		if t := j.tasks[name]; t == nil || t.running == 0 && !t.isDone {
			out = append(out, name)
		}
	}
	return out
}

func (p *progress) standstills() (ofJobs, ofLongRunning Standstill) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ofJobs, p.ofLongRunning
}

// RecordAccepted records that the submission of a job was answered with success. From then on the job must not
// stand still.
func (s *Site) RecordAccepted(job string) {
	s.mu.Lock()
	steps := s.steps[job]
	s.mu.Unlock()
	s.oracle.progress.accept(job, steps, time.Now())
}

// RecordDisturbance records a disturbance that the stand-in does not cause itself.
func (s *Site) RecordDisturbance() { s.oracle.progress.disturb(time.Now()) }

// Standstills returns the longest standstill of an accepted job, and the longest absence of a long-running task.
func (s *Site) Standstills() (ofJobs, ofLongRunning Standstill) {
	return s.oracle.progress.standstills()
}

// runProgress looks at the progress of the jobs until Close.
func (s *Site) runProgress() {
	defer s.wg.Done()
	t := time.NewTicker(progressPeriod)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			s.observeProgress(now)
		}
	}
}

func (s *Site) observeProgress(now time.Time) {
	workers := s.Snapshot()
	o := s.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, o.progress.observe(now, func(step string, spec *stepSpec) bool {
		return o.isWithinLimit(step, spec) && s.hasRoom(workers, step, spec)
	})...)
}

// isWithinLimit reports whether the customer's limit admits one more task of a step. Callers must hold the lock.
func (o *Oracle) isWithinLimit(step string, spec *stepSpec) bool {
	job, _, _ := strings.Cut(step, ".")
	name := o.customerOfJob[job]
	if name == "" {
		return true
	}
	limit, ok := o.limits[name]
	return ok && (limit == 0 || o.used[name]+spec.cpu <= limit)
}

// hasRoom reports whether the workers have room for a task of a step, or twice over for all members of a gang.
func (s *Site) hasRoom(workers []WorkerState, step string, spec *stepSpec) bool {
	wanted := 1
	if spec.isGang {
		wanted = 2 * spec.tasks
	}
	for i := range workers {
		if w := &workers[i]; w.IsAccepting && s.Permits(step, w.ID) {
			wanted -= w.roomFor(spec, wanted)
		}
		if wanted <= 0 {
			return true
		}
	}
	return false
}

// roomFor returns how many tasks of a step the worker has room for, at most limit.
func (w *WorkerState) roomFor(spec *stepSpec, limit int) int {
	cpu, mem, n := w.FreeMilliCPU, w.FreeMemoryMiB, 0
	for n < limit && cpu >= spec.cpu && mem >= spec.mem {
		cpu, mem, n = cpu-spec.cpu, mem-spec.mem, n+1
	}
	return n
}
