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

// Tasks that crash their workers: what is on a worker when its life ends is noted for each
// task, kept with its job, and judged by package crash. A worker that dies tells no end, so
// that nothing else would ever bound the starts of such a task.

// cutOff is a worker of which nothing was heard until its leases were over: it may have
// crashed, or only be cut off.
type cutOff struct {
	machine string
	// tasks are those under which that counts as a crash.
	tasks []work.TaskID
	since time.Time
}

// keepCutOff is how long it is kept in mind which tasks were on a worker that may have
// crashed: workers are back some seconds after a crash, and cuts last for seconds.
const keepCutOff = time.Minute

// isSuspect reports whether a task may be one that crashes its workers: one did, or the
// one that has just been told to start it is silent.
func isSuspect(t *task) bool {
	if crash.IsSuspect(t.crashes) {
		return true
	}
	a := t.attempt
	return a != nil && a.worker.session.IsSilent() && a.ran() < crash.FreshTime
}

// isChoosy reports whether a worker that suits other tasks of the step may not suit this
// one.
func isChoosy(t *task) bool { return len(t.failures) > 0 || len(t.crashes) > 0 || isSuspect(t) }

// hasCrashed reports whether a worker on that machine has crashed under the task.
func hasCrashed(t *task, machine string) bool {
	return machine != "" && slices.ContainsFunc(t.crashes, func(c work.Crash) bool { return c.Machine == machine })
}

// isQuiet reports whether a task that may crash the worker can be tried there: nothing else
// has just started, of which a crash could be the doing.
func (w *worker) isQuiet(now time.Time) bool { return now.Sub(w.orderedAt) >= crash.TrialTime }

// mayTryNow reports whether a task that may crash the worker can be tried there now.
func (e *Engine) mayTryNow(w *worker, t *task) bool {
	if !isSuspect(t) {
		return true
	}
	if hasCrashed(t, w.Machine) && e.now.Sub(t.crashedAt) < otherPatience {
		// A second crash there would prove nothing more.
		return false
	}
	isTurn := !crash.NeedsSolo(t.crashes) || !e.now.Before(e.soloProbeUntil)
	return isTurn && w.isQuiet(e.now) && e.now.Sub(w.triedAt) >= crash.SoonTime
}

// mayStartUnkept reports whether an attempt may be ordered before its place is in the store.
// A task against which anything tells waits for that, also where the store is slow or out:
// the next owner would start it as if nothing had happened.
func (e *Engine) mayStartUnkept(a *attempt) bool {
	return e.isWriteBehind && !crash.Tells(a.step.tasks[a.id.Index].crashes)
}

// clearOutlived forgets the crashes under a task that lasts which its run has outlived: it has no good
// end that would do so.
func (e *Engine) clearOutlived(a *attempt) {
	if a.step == nil || !a.step.spec.IsLasting || a.phase != phaseRunning {
		return
	}
	t := &a.step.tasks[a.id.Index]
	if len(t.crashes) == 0 {
		return
	}
	left := crash.Outlived(t.crashes, a.ran())
	if len(left) < len(t.crashes) {
		t.crashes = left
		e.touch(a.step.job)
	}
}

// keepQuiet keeps other steps off a worker for a moment, so that a task which may crash it can be
// tried there: where work comes all the time no worker is ever quiet. One worker is kept at a time.
func (e *Engine) keepQuiet(s *step, i int, q *order.Queue) {
	t := &s.tasks[i]
	if e.now.Before(e.probeReservedUntil) || !isSuspect(t) || e.now.Sub(t.crashedAt) < otherPatience || e.awayFor(s, t) < otherPatience {
		return
	}
	var best *worker
	bestScore := 0.0
	for _, w := range e.permittedWorkers(s, q) {
		if w.attempts.Get(s.taskID(i)) != nil || e.fitCount(w, s) == 0 || e.now.Sub(w.triedAt) < crash.SoonTime {
			continue
		}
		if score := e.score(w, s, t); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best != nil {
		e.probeReservedUntil = e.now.Add(keptTime)
		best.keptFor, best.keptUntil = s, e.probeReservedUntil
	}
}

// keptTime is how long a worker is kept for a trial: until it is quiet, and the next look.
const keptTime = 2 * crash.TrialTime

// noteTrial keeps other tasks off a worker for a while that is told to start one that may
// crash it.
func (e *Engine) noteTrial(a *attempt) {
	t := &a.step.tasks[a.id.Index]
	if !isSuspect(t) {
		return
	}
	a.worker.triedAt, a.worker.trialUntil = e.now, e.now.Add(crash.TrialTime)
	if crash.NeedsSolo(t.crashes) {
		e.soloProbeUntil = a.worker.trialUntil
	}
}

// ran returns how long the worker is known to have had the attempt. Of one that an earlier
// owner started that is not known, but it was there to be listed.
func (a *attempt) ran() time.Duration {
	ran := max(a.worker.session.HeardAt().Sub(a.orderedAt), 0)
	if a.isAdopted {
		return ran + crash.FreshTime
	}
	return ran
}

// mayHaveRun reports whether the order to start has left the engine.
func (a *attempt) mayHaveRun() bool {
	return a.phase != phasePlanned && (a.isHandedOut || a.isAdopted)
}

// endsAsPlanned reports whether the worker drains, or has left as planned.
func (w *worker) endsAsPlanned() bool { return w.IsDraining || w.hasLeft || w.isLeaving }

// noteCrashes notes for all tasks on a worker that it crashed under them, unless it ended
// as planned. isKnown is false when it may only be cut off. It returns these tasks.
func (e *Engine) noteCrashes(w *worker, isKnown bool) []work.TaskID {
	if w.endsAsPlanned() {
		return nil
	}
	tasks := []work.TaskID{}
	others := e.silences.Beside(w.ID, w.session.HeardAt(), e.now)
	suspect := w.lastSuspect()
	for id, a := range w.attempts.All() {
		if a.step == nil || !a.mayHaveRun() {
			continue
		}
		isExplained := suspect != nil && suspect.orderedAt.Sub(a.orderedAt) > sameTime
		e.noteCrash(a.step, work.Crash{
			Index: id.Index, Worker: string(w.ID), Machine: w.Machine, Run: a.run, Ran: a.ran(), IsKnown: isKnown, IsExplained: isExplained, Others: others,
		})
		tasks = append(tasks, id)
	}
	if !isKnown && len(tasks) > 0 {
		e.possiblyCrashed.Set(w.ID, &cutOff{w.Machine, tasks, e.now})
	}
	return tasks
}

// sameTime is how far apart the starts of tasks on a worker may be that count as one: a
// step's tasks are ordered within milliseconds, trials a second apart.
const sameTime = 50 * time.Millisecond

// lastSuspect returns the attempt of a task under which a worker has crashed before, and
// that had just been started on this one; nil when there is none.
func (w *worker) lastSuspect() *attempt {
	var last *attempt
	for id, a := range w.attempts.All() {
		if a.step == nil || !a.mayHaveRun() || a.ran() >= crash.FreshTime || !crash.IsSuspect(a.step.tasks[id.Index].crashes) {
			continue
		}
		if last == nil || a.orderedAt.After(last.orderedAt) {
			last = a
		}
	}
	return last
}

func (e *Engine) noteCrash(s *step, c work.Crash) {
	t := &s.tasks[c.Index]
	if t.state == taskDone || s.job.state.IsFinal() {
		return
	}
	t.crashes, t.crashedAt = crash.Note(t.crashes, c, s.spec.IsLasting), e.now
	e.touch(s.job)
}

// noteInheritedCrash notes that a worker on which an earlier owner may have started tasks
// is over. How long it had them is not known.
func (e *Engine) noteInheritedCrash(id order.WorkerID, tasks []work.TaskID, isKnown bool) {
	w := e.workers.Get(id)
	if w != nil && w.endsAsPlanned() {
		return
	}
	machine := ""
	if w != nil {
		machine = w.Machine
	}
	for _, task := range tasks {
		if s, t := e.find(task); t != nil {
			e.noteCrash(s, work.Crash{Index: task.Index, Worker: string(id), Machine: machine, Run: t.run, IsKnown: isKnown, IsInherited: true})
		}
	}
	if !isKnown {
		e.possiblyCrashed.Set(id, &cutOff{machine, tasks, e.now})
	}
	e.judgeCrash(id, tasks)
}

// restoreCrash takes a crash that an earlier owner has noted.
func (e *Engine) restoreCrash(s *step, c work.Crash) {
	s.tasks[c.Index].crashes = append(s.tasks[c.Index].crashes, c)
	if c.IsKnown {
		return
	}
	id := order.WorkerID(c.Worker)
	if e.possiblyCrashed.Get(id) == nil {
		e.possiblyCrashed.Set(id, &cutOff{machine: c.Machine, since: e.now})
	}
	e.possiblyCrashed.Get(id).tasks = append(e.possiblyCrashed.Get(id).tasks, s.taskID(c.Index))
}

// judgeCrash gives up the jobs of tasks that crash workers, of those on one that crashed.
func (e *Engine) judgeCrash(id order.WorkerID, tasks []work.TaskID) {
	steps := []*step{}
	suspects := []crash.Suspect{}
	for _, task := range tasks {
		s, t := e.find(task)
		if s == nil || s.job.state.IsFinal() || !isLastCrash(t, id) {
			continue
		}
		if s.spec.IsGang {
			task.Index = 0
		}
		steps = append(steps, s)
		suspects = append(suspects, crash.Suspect{Unit: task, Crashes: t.crashes, MayHaveMore: s.job.isInexact})
	}
	for _, i := range crash.Guilty(suspects) {
		crashes := suspects[i].Crashes
		e.options.Log(events.TaskCrashes, "task", suspects[i].Unit, "worker", id, "crashes", len(crashes), "ran", crashes[len(crashes)-1].Ran, "others", crashes[len(crashes)-1].Others, "beside", len(suspects)-1)
		e.endJob(steps[i].job, work.JobFailed, "workers crash under a task")
	}
}

func isLastCrash(t *task, id order.WorkerID) bool {
	return len(t.crashes) > 0 && t.crashes[len(t.crashes)-1].Worker == string(id)
}

// crashKnown says that a worker has begun a life: the one before it on its machine, or under
// its name, which may only have been cut off, is over.
func (e *Engine) crashKnown(w *worker) {
	for id, c := range e.possiblyCrashed.All() {
		isEarlier := c.machine == w.Machine && w.Machine != "" && id != w.ID || w.ID.IsOtherStart(id)
		if !isEarlier {
			continue
		}
		e.possiblyCrashed.Delete(id)
		for _, task := range c.tasks {
			if _, t := e.find(task); t != nil {
				t.confirmCrash(id)
			}
		}
		e.judgeCrash(id, c.tasks)
	}
}

// confirmCrash makes a crash that may have been a cut a known one, and the last one.
func (t *task) confirmCrash(id order.WorkerID) {
	i := slices.IndexFunc(t.crashes, func(c work.Crash) bool { return c.Worker == string(id) })
	if i < 0 {
		return
	}
	c := t.crashes[i]
	c.IsKnown = true
	t.crashes = append(slices.Delete(t.crashes, i, i+1), c)
}

// forgiveCrash says that a worker that was silent until its leases were over lives: it had
// only been cut off.
func (e *Engine) forgiveCrash(id order.WorkerID) {
	c := e.possiblyCrashed.Get(id)
	if c == nil {
		return
	}
	e.possiblyCrashed.Delete(id)
	for _, task := range c.tasks {
		if s, t := e.find(task); t != nil {
			t.crashes = slices.DeleteFunc(t.crashes, func(c work.Crash) bool { return c.Worker == string(id) })
			e.touch(s.job)
		}
	}
}

// forgetCutOff forgets workers that were cut off, or fell silent, long ago.
func (e *Engine) forgetCutOff() {
	e.silences.Forget(e.now.Add(-keepCutOff))
	for id, c := range e.possiblyCrashed.All() {
		if e.now.Sub(c.since) > keepCutOff {
			e.possiblyCrashed.Delete(id)
		}
	}
}
