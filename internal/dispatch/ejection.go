// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

const (
	// maxEjectedShare bounds the workers of a pool that are ejected or on probation at the same time: where more of them seem
	// degraded, the cause is likely none of theirs.
	maxEjectedShare = 0.5
	// ejectedCountInterval is how long a count of the ejected workers of a pool is used.
	ejectedCountInterval = 50 * time.Millisecond
	// minRestartDelay is how long a long-running task waits after its second failure in a row before it is started again.
	// The time doubles with each further one, up to maxRestartDelay.
	minRestartDelay = 200 * time.Millisecond
	maxRestartDelay = 1600 * time.Millisecond
)

// ejectedCount is how many workers of a pool there are, and how many of these are ejected or on probation.
type ejectedCount struct {
	ejected, all int
	countedAt    time.Time
}

// eject ejects a worker, unless too many others of its pool are.
func (e *Engine) eject(w *worker) {
	c := e.ejectedCounts[w.Service]
	if c == nil {
		c = &ejectedCount{}
		e.ejectedCounts[w.Service] = c
	}
	if c.countedAt.IsZero() || e.now.Sub(c.countedAt) >= ejectedCountInterval {
		e.countEjected(w.Service, c)
	}
	if !w.health.IsOnProbation {
		if limit := max(int(maxEjectedShare*float64(c.all)), 1); c.ejected >= limit {
			return
		}
		c.ejected++
	}
	w.health.Eject(e.now)
}

func (e *Engine) countEjected(pool string, c *ejectedCount) {
	*c = ejectedCount{countedAt: e.now}
	for _, w := range e.workers.All() {
		if w.Service != pool || !e.isReachable(w) {
			continue
		}
		c.all++
		if w.health.IsOnProbation {
			c.ejected++
		}
	}
}

// recordFailure records what a failed attempt says about its worker, its job and its task. That on a worker on which others have
// failed, too, says nothing about the job.
func (e *Engine) recordFailure(w *worker, s *step, index int) {
	j, t := s.job, &s.tasks[index]
	if w.health.IsHealthy(e.now) {
		j.outcomes.RecordFailure(string(w.ID))
	}
	if e.isEnabled(MechanismHealth) && !e.isSuspectJob(j) && w.health.RecordFailure(e.now, j.spec.ID) {
		e.eject(w)
	}
	t.avoidWorker, t.lastFailedAt = w.ID, e.now
	if s.spec.IsLongRunning {
		t.failuresInRow++
		t.restartAt = e.now.Add(restartDelay(t.failuresInRow))
	}
}

// isSuspectJob reports whether the failures of a job's tasks say nothing about the workers.
func (e *Engine) isSuspectJob(j *job) bool { return j.outcomes.IsSuspect(j.attempts) }

// restartDelay returns how long a long-running task that has failed waits until it is started again.
func restartDelay(failuresInRow int) time.Duration {
	if failuresInRow < 2 {
		return 0
	}
	return min(minRestartDelay<<min(failuresInRow-2, 8), maxRestartDelay)
}

// mayStartTask reports whether a waiting task may be started now as far as other attempts and earlier failures of it are concerned.
func (e *Engine) mayStartTask(t *task) bool {
	return t.state == taskWaiting && len(t.mayRunOn) == 0 && !e.now.Before(t.restartAt)
}

// delayedTasks counts the waiting tasks of a step that are not started again yet.
func (e *Engine) delayedTasks(s *step) int {
	if !s.spec.IsLongRunning {
		return 0
	}
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskWaiting && e.now.Before(t.restartAt) {
			n++
		}
	}
	return n
}

// observeAtWork records that a long-running task has been at work for a while. Such a task has no successful end, so that this
// shows in its place that the worker, the job and the task are sound. Attempts from before the worker's last failure prove
// nothing: they may go on where no new one can start.
func (e *Engine) observeAtWork(a *attempt) {
	if a.step == nil || !a.step.spec.IsLongRunning || a.phase != phaseRunning || a.isStopping || a.percent < 100 {
		return
	}
	if a.worker.session.ListedAt().Sub(a.percentChangedAt) < longRunningProbation {
		return
	}
	health := &a.worker.health
	if health.IsProbe(a.orderedAt) || !health.IsOnProbation && !a.orderedAt.Before(health.LastFailedAt()) {
		health.Readmit()
	}
	if !a.wasAtWork {
		a.wasAtWork = true
		a.step.job.outcomes.RecordSuccess()
		a.step.tasks[a.id.Index].failuresInRow = 0
	}
}
