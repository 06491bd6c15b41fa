// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/outlier"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/throughput"
	"github.com/leverdyke/leverdyke/internal/urgency"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// taskState is the scheduling state of a task.
type taskState string

const (
	taskWaiting taskState = "waiting"
	// taskPlaced means that the task has an attempt that is not known to have ended.
	taskPlaced taskState = "placed"
	taskDone   taskState = "done"
)

// job is a job and all that is known of its progress.
type job struct {
	spec *work.Spec
	// largeBytes is what the job counts for in Engine.largeJobBytes: LargeBytes until its rounds are dropped, then that of
	// spec alone. furtherBytes is what a further round counts for in Engine.furtherRoundBytes.
	largeBytes, furtherBytes int64
	state                    work.JobState
	// isPersisted means that the job is in the store; nothing of it starts before that.
	isPersisted bool
	// isFinalPersisted means that the final state is in the store; until then callers see the job
	// as running.
	isFinalPersisted bool
	// wasWithdrawn means that the job was cancelled before it was submitted. Callers were answered
	// that there is no such job, and are until the store has the job as cancelled.
	wasWithdrawn bool
	// mayHaveUnpersistedStarts means that a previous owner may have started tasks of the job before
	// their placements were persisted.
	mayHaveUnpersistedStarts bool
	// isDirty means that the job's progress is to be written, isUrgent that it must not wait for
	// the next periodic batch.
	isDirty, isUrgent bool
	hasBegun          bool
	acceptedAt        time.Time
	endedAt           time.Time
	// sizeClass is the class under which the job is counted in Engine.served; empty until it is
	// persisted, and for jobs that are not counted.
	sizeClass  served.Class
	rounds     map[int]*round
	roundsDone work.StepProgress
	nextRound  int
	roundsLeft int
	// outcomes tells whether failures of its tasks say anything about the workers.
	outcomes outlier.Job
	// attempts counts the attempts that are not known to have ended; idleSince is when the last
	// one was released, ranAt when the last one was that ran.
	attempts         int
	idleSince, ranAt time.Time
}

// step is a step in one round of a job.
type step struct {
	job       *job
	round     *round
	id        work.StepID
	spec      *work.Step
	tasks     []task
	tasksLeft int
	// isOpen means that all steps that this one depends on are done, so that its tasks may start.
	isOpen bool
	// isQueued means that the step is in Engine.stepQueue. priority is that of its job's queue as of
	// the last scheduling pass.
	isQueued bool
	priority int
	// rank orders the step among those of the same priority; it was computed at rankedAt.
	rank     urgency.Rank
	rankedAt time.Time
	// slack is how much earlier than its objective the step's chain of steps is expected to end if
	// the step starts on typical workers, as of rankedAt; hasObjective means that there is one.
	slack        time.Duration
	hasObjective bool
	// objective is the time within which the job should end, as of rankedAt; 0 if there is none.
	objective time.Duration
	// chainEnd and remainingEnd belong to the computation of a round's longest chain of dependent
	// steps: how long a chain up to this step takes, in all and without the steps that are done.
	chainEnd, remainingEnd time.Duration
	// waiting counts the tasks in the state taskWaiting.
	waiting int
	// openedAt is when all steps that this one depends on were done.
	openedAt time.Time
	// mayProbeEarly means that, as of the last scheduling pass, tasks of the step may be started
	// on ejected workers before their ejection time has ended.
	mayProbeEarly bool
	// isUnserved means that the step is idle (see isIdle) although there is capacity for it. It is
	// determined anew from unservedDueAt on.
	isUnserved    bool
	unservedDueAt time.Time
	// waitReason is what its tasks were waiting for in the last scheduling pass, triedAt when a pass last tried
	// to place them.
	waitReason waits.Reason
	triedAt    time.Time
	// noRoomElsewhereAt is when no worker outside of the drained zones was last found for a task.
	noRoomElsewhereAt time.Time
	// copiesWanted counts the tasks that want a speculative copy.
	copiesWanted int
	// doneTasks and doneRunTime are the number and the summed run times of the tasks that have
	// ended successfully and whose run time is known.
	doneTasks   int
	doneRunTime time.Duration
	// siblings has how long its tasks take, to tell a slow worker from a long step.
	siblings discard.Siblings
	// speeds has how long a task takes on a typical worker.
	speeds throughput.Step
	// permissions is what is known about which workers may run the step.
	permissions permit.Step
	// hasFailures means that a task of the step has failed, now or before.
	hasFailures bool
	// failedGangRuns has the runs of a gang in which a member failed.
	failedGangRuns map[uint64]bool
}

// task is one task of a step, with the attempts at it.
type task struct {
	state   taskState
	attempt *attempt
	// run is the highest run number of the task that is known.
	run uint64
	// orderedRun is the last run that this owner has ordered, on orderedOn; 0 if there is none.
	orderedRun uint64
	orderedOn  order.WorkerID
	failures   []work.Failure
	// crashes are the crashes of workers that had the task; lastCrashAt is when the last one was
	// recorded.
	crashes     []work.Crash
	lastCrashAt time.Time
	// checkpoint is the state that the task saved last; its next attempt resumes from it.
	checkpoint string
	// avoidWorker is where the task last failed, got stuck or was too slow.
	avoidWorker order.WorkerID
	// mayRunOn has the workers on which a previous owner may have started the task.
	mayRunOn []order.WorkerID
	// copy is a speculative copy, a second attempt that runs beside the first; wantsCopy requests
	// one.
	copy      *attempt
	wantsCopy bool
	// unwanted are further attempts that workers have reported and that are being stopped.
	unwanted []*attempt
	// replacements counts the attempts that were stopped as stuck or too slow.
	replacements int
	// lastFailedAt is when an attempt last failed, lastRanAt when one that ran was last released.
	lastFailedAt, lastRanAt time.Time
	// failuresInRow counts the failures of a long-running task since it was last at work. It is not started again before
	// restartAt.
	failuresInRow int
	restartAt     time.Time
	// preemptions counts the attempts that were preempted.
	preemptions int
}

const (
	// healthyWorkerTimeout is how long a task with one attempt left waits for a worker that has
	// not failed anything since its last success: with the last attempt the whole job fails.
	healthyWorkerTimeout = 1500 * time.Millisecond
	// otherWorkerTimeout is how long a task that has failed waits for a worker on which it has
	// not. Callers expect that no task stays not running for 3 s while there is free capacity.
	otherWorkerTimeout = 2200 * time.Millisecond
	// recheckInterval is the time between two scheduling passes over waiting tasks while no event
	// causes one.
	recheckInterval = 100 * time.Millisecond
)

// mayRetryOn reports whether a task that has failed, or is suspected of crashing its workers, may
// start on the worker now.
func (e *Engine) mayRetryOn(w *worker, s *step, t *task) bool {
	return e.mayRunSuspect(w, t) && e.mayRepeatOn(w, s, t, e.now)
}

// mayRepeatOn reports whether a task that has failed may start on the worker at that time.
func (e *Engine) mayRepeatOn(w *worker, s *step, t *task, at time.Time) bool {
	if len(t.failures) == 0 || s.spec.IsLongRunning {
		return true
	}
	if e.needsHealthyWorker(s, t, at) && !w.health.IsHealthy(e.now) {
		return false
	}
	failedHere := slices.ContainsFunc(t.failures, func(f work.Failure) bool { return f.Worker == string(w.ID) })
	return !failedHere || at.Sub(t.lastFailedAt) >= otherWorkerTimeout
}

// needsHealthyWorker reports whether at that time a task still waits for a worker that has not failed
// anything lately, because the job fails with the task's next failure.
func (e *Engine) needsHealthyWorker(s *step, t *task, at time.Time) bool {
	return len(t.failures) > 0 && e.isLastAttempt(s, t) && at.Sub(t.lastFailedAt) < healthyWorkerTimeout
}

// startableOn returns how many of the waiting tasks and wanted copies of the step may start on the worker at
// that time as far as their failures and attempts are concerned.
func (e *Engine) startableOn(w *worker, s *step, at time.Time) int {
	if !s.hasFailures && s.copiesWanted == 0 {
		return len(s.tasks)
	}
	n := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		isWaiting := t.state == taskWaiting || t.wantsCopy && t.attempt.worker != w
		if isWaiting && e.mayRepeatOn(w, s, t, at) {
			n++
		}
	}
	return n
}

// isLastAttempt reports whether the job fails if the task fails once more.
func (e *Engine) isLastAttempt(s *step, t *task) bool {
	limit := e.queues[s.job.spec.Queue].MaxAttempts
	return limit > 0 && !s.spec.IsLongRunning && limit-s.failuresOf(t) <= 1
}

// AddJob adds a job, which goes into the next batch, and reports whether it is new. A job that is
// known is not added again; if it was cancelled before it was submitted, it becomes cancelled. The
// job starts when its batch is committed.
func (e *Engine) AddJob(spec *work.Spec) bool {
	if j, ok := e.jobs[spec.ID]; ok {
		if j.state == work.JobWithdrawn {
			j.state, j.isFinalPersisted, j.wasWithdrawn = work.JobCancelled, false, true
			e.markUrgent(j)
		}
		return false
	}
	epoch := uint64(0)
	if e.inherited != nil {
		epoch = e.options.Epoch
	}
	if spec.Epoch != epoch {
		// The caller may submit the same specification to another owner.
		accepted := *spec
		accepted.Epoch = epoch
		spec = &accepted
	}
	j := e.newJob(spec)
	e.insertJob(j)
	b := e.currentBatch()
	b.NewJobs = append(b.NewJobs, spec)
	b.isUrgent = true
	e.queryNewJob(j)
	return true
}

// RestoreJob adds a job that was read from the store, with its progress, which may be nil.
func (e *Engine) RestoreJob(spec *work.Spec, p *work.Progress) {
	if _, ok := e.jobs[spec.ID]; ok {
		return
	}
	j := e.newJob(spec)
	j.acceptedAt = e.restoredAcceptTime(spec.AcceptedAt)
	e.insertJob(j)
	if p != nil {
		e.restoreProgress(j, p)
	}
	j.isPersisted = j.state != work.JobWithdrawn
	if j.state.IsFinal() {
		return
	}
	e.countAccepted(j)
	e.activeJobs = append(e.activeJobs, j)
	e.openRounds(j)
}

func (e *Engine) newJob(spec *work.Spec) *job {
	return &job{
		spec: spec, largeBytes: LargeBytes(spec), furtherBytes: furtherRoundBytes(spec), state: work.JobQueued, rounds: map[int]*round{}, acceptedAt: e.now, roundsLeft: max(spec.Rounds, 1),
	}
}

// restoreProgress restores the state of a job that was read from the store.
func (e *Engine) restoreProgress(j *job, p *work.Progress) {
	j.state = p.State
	if p.State.IsFinal() {
		j.isFinalPersisted, j.endedAt = true, e.now
		return
	}
	j.roundsDone = p.RoundsDone
	for k := range max(j.spec.Rounds, 1) {
		if p.RoundsDone.IsDone(k) {
			j.roundsLeft--
		}
	}
	for _, k := range slices.Sorted(maps.Keys(p.Rounds)) {
		steps := p.Rounds[k]
		if !slices.ContainsFunc(steps, hasProgress) {
			continue
		}
		r := e.openRound(j, k)
		for i := range min(len(steps), len(r.steps)) {
			e.restoreStep(r.steps[i], &steps[i])
		}
		e.openSteps(r)
	}
}

func (e *Engine) restoreStep(s *step, p *work.StepProgress) {
	for i := range s.tasks {
		s.tasks[i].run = p.Run
		if p.IsDone(i) && s.tasks[i].state == taskWaiting {
			s.tasks[i].state = taskDone
			s.tasksLeft--
			s.waiting--
			s.job.hasBegun = true
		}
	}
	for _, f := range p.Failures {
		if f.Index >= 0 && f.Index < len(s.tasks) {
			s.addFailure(f)
		}
	}
	for _, c := range p.Crashes {
		if c.Index >= 0 && c.Index < len(s.tasks) {
			e.restoreCrash(s, c)
		}
	}
	for i, checkpoint := range p.Checkpoints {
		if i >= 0 && i < len(s.tasks) {
			s.tasks[i].checkpoint = checkpoint
		}
	}
	for _, placement := range p.Placements {
		if placement.Index >= 0 && placement.Index < len(s.tasks) {
			s.tasks[placement.Index].run = max(s.tasks[placement.Index].run, placement.Run)
			e.addInheritedTask(work.TaskID{Job: s.id.Job, Round: s.id.Round, Step: s.id.Step, Index: placement.Index}, order.WorkerID(placement.Worker))
		}
	}
	if s.tasksLeft == 0 {
		s.round.stepsLeft--
	}
}

// findTask returns the step and the task, nil if there is no such task.
func (e *Engine) findTask(id work.TaskID) (*step, *task) {
	j := e.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	r := j.rounds[id.Round]
	if r == nil || id.Step < 0 || id.Step >= len(r.steps) {
		return nil, nil
	}
	s := r.steps[id.Step]
	if id.Index < 0 || id.Index >= len(s.tasks) {
		return nil, nil
	}
	return s, &s.tasks[id.Index]
}

// addFailure records a failed attempt and reports whether it was not recorded before.
func (s *step) addFailure(f work.Failure) bool {
	t := &s.tasks[f.Index]
	for _, known := range t.failures {
		if known.Worker == f.Worker && known.Run == f.Run {
			return false
		}
	}
	t.failures = append(t.failures, f)
	s.hasFailures = true
	if s.spec.IsGang {
		if s.failedGangRuns == nil {
			s.failedGangRuns = map[uint64]bool{}
		}
		s.failedGangRuns[f.Run] = true
	}
	return true
}

// failureCount returns how many of the allowed attempts the task has used up.
func (s *step) failureCount(i int) int { return s.failuresOf(&s.tasks[i]) }

func (s *step) failuresOf(t *task) int {
	if s.spec.IsGang {
		return len(s.failedGangRuns)
	}
	return len(t.failures)
}

// markTaskDone records that a task has ended successfully, once for each task.
func (e *Engine) markTaskDone(s *step, i int) {
	t := &s.tasks[i]
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting {
		s.waiting--
	}
	s.cancelCopyRequest(t)
	t.state = taskDone
	s.tasksLeft--
	e.markDirty(s.job)
	if s.tasksLeft > 0 {
		return
	}
	s.speeds.Finish(e.now, &e.throughput, e.correctedEstimate(s))
	e.needsScheduling = true
	s.round.stepsLeft--
	if s.round.stepsLeft > 0 {
		e.openSteps(s.round)
		return
	}
	e.markRoundDone(s.job, s.round)
}

func (e *Engine) markRoundDone(j *job, r *round) {
	j.roundsDone.SetDone(r.number)
	j.roundsLeft--
	e.currentBatch().isUrgent = true
	if j.roundsLeft > 0 {
		return
	}
	e.endJob(j, work.JobSucceeded, "all tasks have ended well")
}

// endJob sets the final state of a job and stops all its attempts.
func (e *Engine) endJob(j *job, state work.JobState, reason string) {
	if j.state.IsFinal() {
		return
	}
	j.state, j.endedAt = state, e.now
	e.countEnded(j)
	e.markUrgent(j)
	e.needsScheduling = true
	e.options.Log(events.JobEnded, "job", j.spec.ID, "queue", j.spec.Queue, "work", j.spec.Work(), "state", state, "why", reason,
		"took", e.now.Sub(j.acceptedAt), "objective", e.objectiveOf(j), "attempts", j.attempts)
	if j.attempts == 0 {
		return
	}
	for _, a := range j.currentAttempts() {
		e.stop(a, "job "+string(state))
	}
}

// currentAttempts returns the attempts of the job that are not known to have ended, in the order of
// its tasks.
func (j *job) currentAttempts() []*attempt {
	out := make([]*attempt, 0, j.attempts)
	for _, k := range slices.Sorted(maps.Keys(j.rounds)) {
		for _, s := range j.rounds[k].steps {
			for i := range s.tasks {
				t := &s.tasks[i]
				for _, a := range append([]*attempt{t.attempt, t.copy}, t.unwanted...) {
					if a != nil {
						out = append(out, a)
					}
				}
			}
		}
	}
	return out
}

// markDirty puts the progress of a job into the next batch.
func (e *Engine) markDirty(j *job) {
	if j.isDirty {
		return
	}
	j.isDirty = true
	b := e.currentBatch()
	b.jobs = append(b.jobs, j)
}

// markUrgent is markDirty for what must not wait for the next periodic batch: a placement that is
// to be started, or the end of the job.
func (e *Engine) markUrgent(j *job) {
	e.markDirty(j)
	j.isUrgent = true
	e.currentBatch().isUrgent = true
}

// MayAccess reports whether a caller may see, cancel and submit again the job of that ID. It is
// true if there is no such job.
func (e *Engine) MayAccess(id work.JobID, by work.Caller) bool {
	j := e.jobs[id]
	return j == nil || by.MayAccess(j.spec)
}

// Cancel cancels a job, whether it is known or not: its submission may still be in flight, or may
// have been refused and be sent again. It reports whether there is such a job. The cancellation is
// persisted once IsFinalPersisted reports true, and must not be acknowledged to the caller before.
func (e *Engine) Cancel(id work.JobID, by work.CustomerName) bool {
	j := e.jobs[id]
	if j == nil {
		j = e.newJob(&work.Spec{ID: id, Customer: by})
		e.insertJob(j)
		e.recordWithdrawal(j)
	}
	e.endJob(j, work.JobCancelled, "cancelled by its caller")
	return j.state != work.JobWithdrawn
}

// recordWithdrawal records that a job was cancelled that has not been accepted, so that it does
// not run if its submission arrives later.
func (e *Engine) recordWithdrawal(j *job) {
	j.state, j.endedAt = work.JobWithdrawn, e.now
	e.markUrgent(j)
}

// dropUnpersisted drops a job that is certainly not in the store. If it was cancelled meanwhile,
// that stays on record.
func (e *Engine) dropUnpersisted(j *job) {
	if j.state.IsFinal() {
		e.recordWithdrawal(j)
		return
	}
	e.removeJob(j)
}

// IsFinalPersisted reports whether the final state of a job is in the store.
func (e *Engine) IsFinalPersisted(id work.JobID) bool {
	j := e.jobs[id]
	return j != nil && j.state.IsFinal() && j.isFinalPersisted
}

// State returns the state of a job that callers are shown; false if there is no such job.
func (e *Engine) State(id work.JobID) (work.JobState, bool) {
	j := e.jobs[id]
	switch {
	case j == nil || j.state == work.JobWithdrawn || j.wasWithdrawn && !j.isFinalPersisted:
		return "", false
	case j.state.IsFinal() && j.isFinalPersisted:
		return j.state, true
	case j.hasBegun || j.state.IsFinal():
		return work.JobRunning, true
	}
	return work.JobQueued, true
}

// Pending returns how many accepted jobs of a queue have not begun.
func (e *Engine) Pending(queue string) int {
	n := 0
	for _, j := range e.activeJobs {
		if j.spec.Queue == queue && j.isPersisted && !j.hasBegun && !j.state.IsFinal() {
			n++
		}
	}
	return n
}
