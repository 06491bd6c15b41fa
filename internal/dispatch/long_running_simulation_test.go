// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// A long-running task must not be without a run for maxNotRunning, if workers have had free
	// capacity for two such tasks throughout the last steadyCapacityTime.
	maxNotRunning      = 9 * time.Second
	steadyCapacityTime = 3 * time.Second
)

// longRunningMonitor finds, from outside the engine, long-running tasks that are not running for
// too long although permitted workers have had free capacity all the while.
type longRunningMonitor struct {
	w *sim
	// notRunningSince is the time since when a task has had no run, capacitySince the time since
	// when a worker has had free capacity for a task of a step.
	notRunningSince map[work.TaskID]time.Duration
	capacitySince   map[placement]time.Duration
	// overdue has the tasks that were not running for too long, and for how long.
	overdue map[work.TaskID]time.Duration
}

// placement is a worker on which a task of a step may run.
type placement struct {
	step   work.StepID
	worker order.WorkerID
}

func newLongRunningMonitor(w *sim) *longRunningMonitor {
	return &longRunningMonitor{w: w, notRunningSince: map[work.TaskID]time.Duration{}, capacitySince: map[placement]time.Duration{}, overdue: map[work.TaskID]time.Duration{}}
}

// observe updates the monitor with the current state of the simulation.
func (l *longRunningMonitor) observe() {
	running := map[work.TaskID]bool{}
	for _, m := range l.w.allWorkers() {
		for id := range m.running {
			running[id] = running[id] || !m.isDead
		}
	}
	for _, job := range l.w.jobOrder {
		for s := range l.w.specs[job].Steps {
			if l.w.specs[job].Steps[s].IsLongRunning && l.w.acknowledged[job] == "" {
				l.observeStep(work.StepID{Job: job, Step: s}, running)
			}
		}
	}
}

func (l *longRunningMonitor) observeStep(step work.StepID, running map[work.TaskID]bool) {
	spec, now := &l.w.specs[step.Job].Steps[step.Step], l.w.elapsed()
	capacity := l.steadyCapacity(step, spec)
	for i := range spec.Count {
		id := work.TaskID{Job: step.Job, Round: step.Round, Step: step.Step, Index: i}
		if running[id] {
			delete(l.notRunningSince, id)
			continue
		}
		if _, ok := l.notRunningSince[id]; !ok {
			l.notRunningSince[id] = now
		}
		if notRunning := now - l.notRunningSince[id]; notRunning >= maxNotRunning && capacity >= 2 {
			l.overdue[id] = notRunning
		}
	}
}

// steadyCapacity returns for how many tasks of a step workers have had free capacity throughout
// steadyCapacityTime.
func (l *longRunningMonitor) steadyCapacity(step work.StepID, spec *work.Step) int {
	queue, now, n := l.w.queueOf(step.Job), l.w.elapsed(), 0
	for _, m := range l.w.allWorkers() {
		p := placement{step, m.entry.ID}
		fits := m.fittingTasks(step, spec)
		if fits == 0 || m.isDead || m.isPartitioned || m.isDegraded || m.entry.IsDraining || queue.Permission != nil && !l.w.isWorkerPermitted(queue, step, m.entry.ID) {
			delete(l.capacitySince, p)
			continue
		}
		if _, ok := l.capacitySince[p]; !ok {
			l.capacitySince[p] = now
		}
		if now-l.capacitySince[p] >= steadyCapacityTime {
			n += fits
		}
	}
	return n
}

// isWorkerPermitted reports whether a worker may run a step.
func (w *sim) isWorkerPermitted(q *order.Queue, s work.StepID, id order.WorkerID) bool {
	if w.isStepPermitted != nil {
		return w.isStepPermitted(q, s, id)
	}
	return w.isPermitted == nil || w.isPermitted(id)
}

// fittingTasks returns how many more tasks of a step fit on the worker.
func (m *modelWorker) fittingTasks(s work.StepID, spec *work.Step) int {
	free, need := m.entry.Capacity.Sub(m.used()), spec.Need
	free.Slots, need.Slots = 0, 0
	if !need.FitsIn(free) {
		return 0
	}
	n := int(need.Count(free))
	if spec.MaxPerWorker == 0 {
		return n
	}
	remaining := spec.MaxPerWorker
	for id := range m.running {
		if id.StepID() == s {
			remaining--
		}
	}
	return max(min(n, remaining), 0)
}

// longRunningFault is the fault that runLongRunning injects.
type longRunningFault string

const (
	degradedWorkers longRunningFault = "workers fail all for some seconds"
	crashes         longRunningFault = "workers crash"
	takeovers       longRunningFault = "another owner takes over"
)

// runLongRunning runs a minute of load with long-running tasks that fail after some seconds. It
// injects a fault six times in the first half of it, and monitors that no long-running task stays
// without a run.
func runLongRunning(seed uint64, fault longRunningFault) *longRunningMonitor {
	const short, long = 25.0, 5.0
	o := newLoadSim(seed, testWorkerCount)
	o.runWithoutArrivals(time.Second)
	for i := range 2 {
		s := work.Step{Count: max(int(o.drawLogNormal(12, 0.8, 18)), 1), Need: longStepNeed, Estimate: time.Hour, IsLongRunning: true, MaxUnavailable: -1}
		if o.rng.Float64() < 0.6 {
			s.MaxPerWorker = 1
		}
		o.submitTo("lasting", fmt.Sprintf("lasting%02d", i), s)
	}
	o.maxLongRunningFailureTime, o.longRunningFailureShare = 20*time.Second, 0.7
	o.crashWorkersOf(func(work.TaskID) bool { return false })
	l := newLongRunningMonitor(o.sim)
	o.runLoad(4*time.Second, short, long, noCustomer)
	o.failureShare = 0.02
	watch := func(until time.Duration) {
		for o.elapsed() < until {
			o.runLoad(50*time.Millisecond, short, long, noCustomer)
			l.observe()
		}
	}
	for range 6 {
		degraded := o.injectFault(fault)
		watch(o.elapsed() + time.Duration(3000+o.rng.IntN(4000))*time.Millisecond)
		for _, m := range degraded {
			m.isDegraded = false
		}
	}
	watch(time.Minute)
	return l
}

// injectFault injects a fault, which affects an eighth of the workers unless it is a takeover. It
// returns the workers that are degraded, so that the caller can end that.
func (o *loadSim) injectFault(fault longRunningFault) []*modelWorker {
	switch fault {
	case crashes:
		o.crashRandomWorkers(o.workerCount / 8)
	case takeovers:
		o.takeOver()
	case degradedWorkers:
		ids, degraded := o.liveWorkers(), []*modelWorker{}
		for range o.workerCount / 8 {
			m := o.workers[ids[o.rng.IntN(len(ids))]]
			m.isDegraded = true
			degraded = append(degraded, m)
		}
		return degraded
	}
	return nil
}
