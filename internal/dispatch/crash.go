// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Detection of tasks that crash their workers: when an incarnation of a worker ends, that is
// recorded for each task on it, persisted with the task's job, and judged by package crash. A
// worker that crashes does not report its tasks as failed, so nothing else would bound the number
// of starts of such a task.

// possibleCrash is a worker that did not answer until its leases had expired: it may have crashed,
// or only be unreachable.
type possibleCrash struct {
	machine string
	// tasks are those for which a crash was recorded.
	tasks []work.TaskID
	since time.Time
}

// possibleCrashRetention is how long the tasks on a worker that may have crashed are remembered:
// workers return some seconds after a crash, and network partitions last for seconds.
const possibleCrashRetention = time.Minute

// isSuspect reports whether a task is suspected of crashing its workers: recorded crashes suggest
// it, or the worker that was just ordered to start it does not answer.
func isSuspect(t *task) bool {
	if crash.IsSuspect(t.crashes) {
		return true
	}
	a := t.attempt
	return a != nil && a.worker.session.IsSilent() && a.observedRunTime() < crash.StrongWindow
}

// needsIndividualPlacement reports whether a worker that suits other tasks of the step may not
// suit this one.
func needsIndividualPlacement(t *task) bool {
	return len(t.failures) > 0 || len(t.crashes) > 0 || isSuspect(t)
}

// hasCrashedOn reports whether a worker on that machine has crashed while it had the task.
func hasCrashedOn(t *task, machine string) bool {
	return machine != "" && slices.ContainsFunc(t.crashes, func(c work.Crash) bool { return c.Machine == machine })
}

// hasNoRecentStart reports whether a suspect can be run on the worker: nothing else has just
// started there that could be the cause of a crash instead.
func (w *worker) hasNoRecentStart(now time.Time) bool {
	return now.Sub(w.lastStartAt) >= crash.IsolationTime
}

// mayRunSuspect reports whether the task may start on the worker now as far as crashes are
// concerned. A suspect only starts where a crash would be evidence against it.
func (e *Engine) mayRunSuspect(w *worker, t *task) bool {
	if !isSuspect(t) {
		return true
	}
	if hasCrashedOn(t, w.Machine) && e.now.Sub(t.lastCrashAt) < otherWorkerTimeout {
		// A second crash on the same machine would be no further evidence.
		return false
	}
	isAllowedNow := !crash.NeedsSoloProbe(t.crashes) || !e.now.Before(e.soloProbeUntil)
	return isAllowedNow && w.hasNoRecentStart(e.now) && e.now.Sub(w.lastSuspectAt) >= crash.WeakWindow
}

// mayStartUnpersisted reports whether an attempt may be ordered before its placement is in the
// store. If there is any evidence that the task crashes workers, it has to wait for that even
// while the store is slow or unavailable: the next owner would otherwise not know of the start,
// and would run the task again as if nothing had happened.
func (e *Engine) mayStartUnpersisted(a *attempt) bool {
	if a.step.spec.IsLongRunning {
		// The next owner would hold it back until all workers have reported, which takes as long as
		// their leases last where some are lost.
		return false
	}
	return e.isWriteBehind && e.isWorkerStored(a.worker.ID) && !crash.HasEvidence(a.step.tasks[a.id.Index].crashes)
}

// clearRefutedCrashes clears the crashes recorded for a long-running task that its current run has
// refuted by lasting long enough. Such a task has no successful end that would do so.
func (e *Engine) clearRefutedCrashes(a *attempt) {
	if a.step == nil || !a.step.spec.IsLongRunning || a.phase != phaseRunning {
		return
	}
	t := &a.step.tasks[a.id.Index]
	if len(t.crashes) == 0 {
		return
	}
	remaining := crash.Unrefuted(t.crashes, a.observedRunTime())
	if len(remaining) < len(t.crashes) {
		t.crashes = remaining
		e.markDirty(a.step.job)
	}
}

// reserveForSuspect keeps other steps off a worker for suspectReservationTime, so that a suspect can be run
// there: where tasks arrive all the time, every worker has a recent start. One worker is reserved
// in this way at a time.
func (e *Engine) reserveForSuspect(s *step, i int, q *order.Queue) {
	t := &s.tasks[i]
	if e.now.Before(e.probeReservedUntil) || !isSuspect(t) || e.now.Sub(t.lastCrashAt) < otherWorkerTimeout || e.notRunningFor(s, t) < otherWorkerTimeout {
		return
	}
	var best *worker
	bestScore := 0.0
	for _, w := range e.permittedWorkers(s, q) {
		if w.attempts.Get(s.taskID(i)) != nil || e.fitCount(w, s) == 0 || e.now.Sub(w.lastSuspectAt) < crash.WeakWindow {
			continue
		}
		if score := e.score(w, s, t); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best != nil {
		e.probeReservedUntil = e.now.Add(suspectReservationTime)
		best.exclusiveStep, best.exclusiveUntil = s, e.probeReservedUntil
	}
}

// suspectReservationTime is how long a worker is reserved for a suspect: long enough for it to
// have no recent start, and for the next scheduling pass to follow.
const suspectReservationTime = 2 * crash.IsolationTime

// isolateSuspect keeps other tasks off a worker for crash.IsolationTime when it is ordered to start
// a suspect.
func (e *Engine) isolateSuspect(a *attempt) {
	t := &a.step.tasks[a.id.Index]
	if !isSuspect(t) {
		return
	}
	a.worker.lastSuspectAt, a.worker.isolatedUntil = e.now, e.now.Add(crash.IsolationTime)
	if crash.NeedsSoloProbe(t.crashes) {
		e.soloProbeUntil = a.worker.isolatedUntil
	}
}

// runTimeOf returns how long the worker is known to have had the attempt, by this owner or a previous one.
func (e *Engine) runTimeOf(a *attempt) time.Duration {
	if a.isAdopted && e.hasOutlasted(a.id, a.run, a.worker.ID) {
		return max(a.observedRunTime(), crash.WeakWindow)
	}
	return a.observedRunTime()
}

// observedRunTime returns how long the worker is known to have had the attempt. For an attempt
// that a previous owner started that is not known; it had run before it was first listed, so that
// crash.StrongWindow is added.
func (a *attempt) observedRunTime() time.Duration {
	ran := max(a.worker.session.LastHeardAt().Sub(a.orderedAt), 0)
	if a.isAdopted {
		return ran + crash.StrongWindow
	}
	return ran
}

// mayHaveRun reports whether the order to start has been sent.
func (a *attempt) mayHaveRun() bool {
	return a.phase != phasePlanned && (a.isSent || a.isAdopted)
}

// isPlannedShutdown reports whether the worker is draining, or has shut down as planned.
func (w *worker) isPlannedShutdown() bool { return w.IsDraining || w.hasShutDown || w.isShuttingDown }

// recordCrashes records a crash of the worker for all tasks on it, unless it shut down as planned,
// and returns these tasks. isConfirmed is false if the worker may only be unreachable.
func (e *Engine) recordCrashes(w *worker, isConfirmed bool) []work.TaskID {
	if w.isPlannedShutdown() {
		return nil
	}
	tasks := []work.TaskID{}
	others := e.silences.CountOverlapping(w.ID, w.session.LastHeardAt(), e.now)
	suspect := w.latestSuspect()
	for id, a := range w.attempts.All() {
		if a.step == nil || !a.mayHaveRun() {
			continue
		}
		isExplained := suspect != nil && suspect.orderedAt.Sub(a.orderedAt) > sameStartWindow
		e.recordCrash(a.step, work.Crash{
			Index: id.Index, Worker: string(w.ID), Machine: w.Machine, Run: a.run, RunTime: e.runTimeOf(a), IsConfirmed: isConfirmed, IsExplained: isExplained, OthersSilent: others,
		})
		tasks = append(tasks, id)
	}
	if !isConfirmed && len(tasks) > 0 {
		e.possiblyCrashed.Set(w.ID, &possibleCrash{w.Machine, tasks, e.now})
	}
	return tasks
}

// sameStartWindow is how far apart the starts of tasks on a worker may be to count as
// simultaneous: a step's tasks are ordered within milliseconds, suspects a second apart.
const sameStartWindow = 50 * time.Millisecond

// latestSuspect returns the attempt of a task for which a crash counts as evidence, and which had
// just been started on this worker; the latest one if there are several, nil if there is none.
func (w *worker) latestSuspect() *attempt {
	var latest *attempt
	for id, a := range w.attempts.All() {
		if a.step == nil || !a.mayHaveRun() || a.observedRunTime() >= crash.StrongWindow || !crash.IsSuspect(a.step.tasks[id.Index].crashes) {
			continue
		}
		if latest == nil || a.orderedAt.After(latest.orderedAt) {
			latest = a
		}
	}
	return latest
}

// recordCrash records a crash for a task, unless the task or its job has ended.
func (e *Engine) recordCrash(s *step, c work.Crash) {
	t := &s.tasks[c.Index]
	if t.state == taskDone || s.job.state.IsFinal() {
		return
	}
	t.crashes, t.lastCrashAt = crash.Add(t.crashes, c, s.spec.IsLongRunning), e.now
	e.markDirty(s.job)
}

// recordInheritedCrashes records that a worker on which a previous owner may have started tasks
// has ended.
func (e *Engine) recordInheritedCrashes(id order.WorkerID, tasks []work.TaskID, isConfirmed bool) {
	w := e.workers.Get(id)
	if w != nil && w.isPlannedShutdown() {
		return
	}
	machine := ""
	if w != nil {
		machine = w.Machine
	}
	for _, task := range tasks {
		if s, t := e.findTask(task); t != nil {
			ran := time.Duration(0)
			if e.hasOutlasted(task, t.run, id) {
				ran = crash.WeakWindow
			}
			e.recordCrash(s, work.Crash{Index: task.Index, Worker: string(id), Machine: machine, Run: t.run, RunTime: ran, IsConfirmed: isConfirmed, IsInherited: true})
		}
	}
	if !isConfirmed {
		e.possiblyCrashed.Set(id, &possibleCrash{machine, tasks, e.now})
	}
	e.failCrashingJobs(id, tasks)
}

// restoreCrash restores a crash that a previous owner recorded.
func (e *Engine) restoreCrash(s *step, c work.Crash) {
	s.tasks[c.Index].crashes = append(s.tasks[c.Index].crashes, c)
	if c.IsConfirmed {
		return
	}
	id := order.WorkerID(c.Worker)
	if e.possiblyCrashed.Get(id) == nil {
		e.possiblyCrashed.Set(id, &possibleCrash{machine: c.Machine, since: e.now})
	}
	e.possiblyCrashed.Get(id).tasks = append(e.possiblyCrashed.Get(id).tasks, s.taskID(c.Index))
}

// failCrashingJobs fails the jobs of those tasks on a crashed worker that are found to crash
// workers.
func (e *Engine) failCrashingJobs(id order.WorkerID, tasks []work.TaskID) {
	steps := []*step{}
	suspects := []crash.Suspect{}
	for _, task := range tasks {
		s, t := e.findTask(task)
		if s == nil || s.job.state.IsFinal() || !isLatestCrash(t, id) {
			continue
		}
		if s.spec.IsGang {
			task.Index = 0
		}
		steps = append(steps, s)
		suspects = append(suspects, crash.Suspect{Unit: task, Crashes: t.crashes, MayHaveUnknown: s.job.mayHaveUnpersistedStarts})
	}
	for _, i := range crash.Culprits(suspects) {
		crashes := suspects[i].Crashes
		e.options.Log(events.TaskCrashes, "task", suspects[i].Unit, "worker", id, "crashes", len(crashes), "ran", crashes[len(crashes)-1].RunTime, "others", crashes[len(crashes)-1].OthersSilent, "beside", len(suspects)-1)
		e.endJob(steps[i].job, work.JobFailed, "workers crash under a task")
	}
}

func isLatestCrash(t *task, id order.WorkerID) bool {
	return len(t.crashes) > 0 && t.crashes[len(t.crashes)-1].Worker == string(id)
}

// confirmCrashes handles the first answer of an incarnation of a worker. Those before it on its
// machine or under its name have ended, so that crashes of them that were only possible are
// confirmed.
func (e *Engine) confirmCrashes(w *worker) {
	for id, c := range e.possiblyCrashed.All() {
		isPrevious := c.machine == w.Machine && w.Machine != "" && id != w.ID || w.ID.IsOtherIncarnation(id)
		if !isPrevious {
			continue
		}
		e.possiblyCrashed.Delete(id)
		for _, task := range c.tasks {
			if _, t := e.findTask(task); t != nil {
				t.confirmCrash(id)
			}
		}
		e.failCrashingJobs(id, c.tasks)
	}
}

// confirmCrash turns a possible crash into a confirmed one, and makes it the last of the task's
// crashes.
func (t *task) confirmCrash(id order.WorkerID) {
	i := slices.IndexFunc(t.crashes, func(c work.Crash) bool { return c.Worker == string(id) })
	if i < 0 {
		return
	}
	c := t.crashes[i]
	c.IsConfirmed = true
	t.crashes = append(slices.Delete(t.crashes, i, i+1), c)
}

// retractCrash removes the recorded crash of a worker that answers again after its leases had
// expired: it was only unreachable.
func (e *Engine) retractCrash(id order.WorkerID) {
	c := e.possiblyCrashed.Get(id)
	if c == nil {
		return
	}
	e.possiblyCrashed.Delete(id)
	for _, task := range c.tasks {
		if s, t := e.findTask(task); t != nil {
			t.crashes = slices.DeleteFunc(t.crashes, func(c work.Crash) bool { return c.Worker == string(id) })
			e.markDirty(s.job)
		}
	}
}

// expirePossibleCrashes forgets workers that possibly crashed, or became silent, too long ago.
func (e *Engine) expirePossibleCrashes() {
	e.silences.DropBefore(e.now.Add(-possibleCrashRetention))
	for id, c := range e.possiblyCrashed.All() {
		if e.now.Sub(c.since) > possibleCrashRetention {
			e.possiblyCrashed.Delete(id)
		}
	}
}
