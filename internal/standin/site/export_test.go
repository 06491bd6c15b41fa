// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import "time"

// ClaimSlot claims an address slot as another process would. free releases it.
func ClaimSlot() (number int, free func() error, err error) {
	s, err := claimSlot()
	if err != nil {
		return 0, nil, err
	}
	return s.number, s.listener.Close, nil
}

// Progress is the measurement of how long jobs stand still, under times that the test gives.
type Progress struct{ p *progress }

// NewProgress returns a measurement with a limit for standstills in calm.
func NewProgress(limit time.Duration) *Progress {
	p := newProgress()
	p.limit = limit
	return &Progress{p}
}

// Accept adds a job of steps with one task each, of which each depends on the one before.
func (p *Progress) Accept(job string, steps int, now time.Time) {
	specs := make([]stepSpec, steps)
	for i := range specs {
		specs[i].tasks = 1
		if i > 0 {
			specs[i].dependsOn = []int{i - 1}
		}
	}
	p.p.accept(job, specs, now)
}

// AcceptGang adds a job of one gang.
func (p *Progress) AcceptGang(job string, tasks int, now time.Time) {
	p.p.accept(job, []stepSpec{{tasks: tasks, isGang: true}}, now)
}

// AcceptLongRunning adds a job of long-running tasks.
func (p *Progress) AcceptLongRunning(job string, tasks int, now time.Time) {
	p.p.accept(job, []stepSpec{{tasks: tasks, isLongRunning: true}}, now)
}

// Start records the start of a task.
func (p *Progress) Start(task string, now time.Time) { p.p.start(task, now) }

// End records the end of a task, and with isDone its success.
func (p *Progress) End(task string, isDone bool, now time.Time) {
	p.p.end(task, now)
	if isDone {
		p.p.succeed(task)
	}
}

// Forget records the end of a job.
func (p *Progress) Forget(job string) { p.p.forget(job) }

// Disturb records a disturbance.
func (p *Progress) Disturb(now time.Time) { p.p.disturb(now) }

// Observe looks at all jobs while the workers have room, or have none.
func (p *Progress) Observe(now time.Time, hasRoom bool) []string {
	return p.p.observe(now, func(string, *stepSpec) bool { return hasRoom })
}

// Standstills returns the longest standstill of a job and the longest absence of a long-running task.
func (p *Progress) Standstills() (ofJobs, ofLongRunning Standstill) { return p.p.standstills() }

// Start gives a worker an order to start a task, under a lease of 10 s, and returns the status of the answer.
func (w *Worker) Start(task string, run uint64, checkpoint string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renew(w.now() + 10*time.Second)
	status, _ := w.start(&order{Task: task, Run: run, Checkpoint: checkpoint})
	return status
}

// Ends returns how the runs on a worker have ended, with what they saved, as "TASK RESULT SAVED".
func (w *Worker) Ends() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := []string{}
	for _, e := range w.endedRuns {
		out = append(out, e.task+" "+e.result+" "+e.saved)
	}
	return out
}

// CheckpointOwner returns the part of a checkpoint that names the task, which is no member of a gang.
func CheckpointOwner(task string) string { return checkpointOwner(task, &stepSpec{}) }
