// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/urgency"
	"github.com/leverdyke/leverdyke/internal/waits"
	"github.com/leverdyke/leverdyke/internal/work"
)

// taskState is where a task is.
type taskState string

const (
	taskWaiting taskState = "waiting"
	// taskPlaced means that an attempt of it exists that is not known to be over.
	taskPlaced taskState = "placed"
	taskDone   taskState = "done"
)

// job is a job with all that is known of it.
type job struct {
	spec  *work.Spec
	state work.JobState
	// isKept means that the job is in the store; until then nothing starts.
	isKept bool
	// isShown means that the final state is in the store; until then callers are
	// told that the job runs.
	isShown bool
	// isInherited means that an earlier owner may have started tasks of it.
	isInherited bool
	// isInexact means that it had not kept all that it knew of them.
	isInexact bool
	// isDirty means that it is to be written, isUrgent that at once.
	isDirty, isUrgent bool
	hasBegun          bool
	acceptedAt        time.Time
	endedAt           time.Time
	rounds            map[int]*round
	roundsDone        work.StepProgress
	nextRound         int
	roundsLeft        int
	// attempts counts those of which it is not known that they are over; idleAt is when there was
	// one last.
	attempts int
	idleAt   time.Time
}

type round struct {
	number int
	dueAt  time.Time
	steps  []*step
	left   int
}

// step is a step of one round.
type step struct {
	job    *job
	round  *round
	id     work.StepID
	spec   *work.Step
	tasks  []task
	left   int
	isOpen bool
	// isQueued means that it is in Engine.queue, priority is that of its job's queue when it
	// was last looked at there.
	isQueued bool
	priority int
	// rank is its place among those of its priority, worked out at rankedAt.
	rank     urgency.Rank
	rankedAt time.Time
	// chainEnd and leftEnd are of Engine.chain.
	chainEnd, leftEnd time.Duration
	// waiting counts the tasks in the state waiting.
	waiting int
	openAt  time.Time
	// mayTryEarly is Engine.mayTryEarly when it was looked at last.
	mayTryEarly bool
	// waitsFor is what its tasks waited for when it was looked at last.
	waitsFor waits.Reason
	// copiesWanted counts the tasks that want a copy.
	copiesWanted int
	// doneRuns and doneTime are of the tasks that are done.
	doneRuns int
	doneTime time.Duration
	// permit is what is known of the workers that may run it.
	permit permit.Step
	// gangFailures counts the attempts of a gang in which a member failed.
	gangFailures map[uint64]bool
}

type task struct {
	state   taskState
	attempt *attempt
	// run is the highest run of the task that is known.
	run      uint64
	failures []work.Failure
	// crashes are the workers that crashed under it, crashedAt is when that was known last.
	crashes   []work.Crash
	crashedAt time.Time
	saved     string
	// avoid is where the task failed or hung last.
	avoid order.WorkerID
	// heldBy are workers on which an earlier owner may have started it.
	heldBy []order.WorkerID
	// copy is a second attempt beside the first; wantsCopy asks for one.
	copy      *attempt
	wantsCopy bool
	// unwanted are attempts besides these that a worker has told of and that are stopped.
	unwanted []*attempt
	// rescues counts attempts that were stopped as too slow.
	rescues int
	// failedAt is when an attempt failed last, ranAt when one that ran was over last.
	failedAt, ranAt time.Time
	// preemptions counts attempts that made way for a gang.
	preemptions int
}

const (
	// soundPatience is how long a task with one attempt left waits for a worker that
	// has not failed anything since its last success: with the last attempt the
	// whole job fails.
	soundPatience = 1500 * time.Millisecond
	// otherPatience is how long a task that has failed waits for a worker on which it
	// has not. Callers expect that nothing stands still for 3 s while there is room.
	otherPatience = 2200 * time.Millisecond
	// recheckPause is the time between two looks at tasks that wait while nothing
	// happens.
	recheckPause = 100 * time.Millisecond
)

// mayTry reports whether a task that has failed, or may crash its workers, may start on
// the worker now.
func (e *Engine) mayTry(w *worker, s *step, t *task) bool {
	if !e.mayTryNow(w, t) {
		return false
	}
	if len(t.failures) == 0 || s.spec.IsLasting {
		return true
	}
	if e.needsSound(s, t) && !w.health.IsSound(e.now) {
		return false
	}
	failedHere := slices.ContainsFunc(t.failures, func(f work.Failure) bool { return f.Worker == string(w.ID) })
	return !failedHere || e.now.Sub(t.failedAt) >= otherPatience
}

// needsSound reports whether a task still waits for a worker that has failed nothing
// lately, since the job fails with its next failure.
func (e *Engine) needsSound(s *step, t *task) bool {
	return len(t.failures) > 0 && e.isLastAttempt(s, t) && e.now.Sub(t.failedAt) < soundPatience
}

// isLastAttempt reports whether the job fails if the task fails once more.
func (e *Engine) isLastAttempt(s *step, t *task) bool {
	limit := e.queues[s.job.spec.Queue].MaxAttempts
	return limit > 0 && !s.spec.IsLasting && limit-s.failuresOf(t) <= 1
}

// AddJob takes a job that is to be kept. It reports whether the job is new; a
// job that is known is left as it is. The job starts when its batch is committed.
func (e *Engine) AddJob(spec *work.Spec) bool {
	if j, ok := e.jobs[spec.ID]; ok {
		if j.state == work.JobWithdrawn {
			j.state, j.isShown = work.JobCancelled, false
			e.hurry(j)
		}
		return false
	}
	j := e.newJob(spec)
	e.jobs[spec.ID] = j
	b := e.currentBatch()
	b.NewJobs = append(b.NewJobs, spec)
	b.isUrgent = true
	return true
}

// RestoreJob takes a job that the store has, with its progress, which may be nil.
func (e *Engine) RestoreJob(spec *work.Spec, p *work.Progress) {
	if _, ok := e.jobs[spec.ID]; ok {
		return
	}
	j := e.newJob(spec)
	j.acceptedAt = e.restoredAcceptTime(spec.AcceptedAt)
	e.jobs[spec.ID] = j
	if p != nil {
		e.restore(j, p)
	}
	j.isKept = j.state != work.JobWithdrawn
	if j.state.IsFinal() {
		return
	}
	e.activeJobs = append(e.activeJobs, j)
	e.openRounds(j)
}

func (e *Engine) newJob(spec *work.Spec) *job {
	return &job{
		spec: spec, state: work.JobQueued, rounds: map[int]*round{}, acceptedAt: e.now, roundsLeft: max(spec.Rounds, 1),
	}
}

func (e *Engine) restore(j *job, p *work.Progress) {
	j.state = p.State
	if p.State.IsFinal() {
		j.isShown, j.endedAt = true, e.now
		return
	}
	j.roundsDone = p.RoundsDone
	for k := range max(j.spec.Rounds, 1) {
		if p.RoundsDone.IsDone(k) {
			j.roundsLeft--
		}
	}
	for k, steps := range p.Rounds {
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
			s.left--
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
	for i, text := range p.Saved {
		if i >= 0 && i < len(s.tasks) {
			s.tasks[i].saved = text
		}
	}
	for _, place := range p.Places {
		if place.Index >= 0 && place.Index < len(s.tasks) {
			s.tasks[place.Index].run = max(s.tasks[place.Index].run, place.Run)
			e.holdTask(work.TaskID{Job: s.id.Job, Round: s.id.Round, Step: s.id.Step, Index: place.Index}, order.WorkerID(place.Worker))
		}
	}
	if s.left == 0 {
		s.round.left--
	}
}

// openRounds opens the rounds that are due.
func (e *Engine) openRounds(j *job) {
	if j.spec.Rounds == 0 {
		if j.rounds[0] == nil && j.roundsLeft > 0 {
			e.openRound(j, 0)
		}
		e.openSteps(j.rounds[0])
		return
	}
	for j.nextRound < j.spec.Rounds {
		due := j.dueAt(j.nextRound)
		if e.now.Add(e.wallClockOffset).Before(due) {
			return
		}
		k := j.nextRound
		j.nextRound++
		if j.roundsDone.IsDone(k) || j.rounds[k] != nil {
			continue
		}
		e.openSteps(e.openRound(j, k))
	}
}

func (j *job) dueAt(k int) time.Time {
	if j.spec.Rounds == 0 {
		return j.acceptedAt
	}
	return j.spec.StartAt.Add(time.Duration(k) * j.spec.Interval)
}

func (e *Engine) openRound(j *job, k int) *round {
	r := &round{number: k, dueAt: j.dueAt(k), left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{
			job: j, round: r, id: work.StepID{Job: j.spec.ID, Round: k, Step: i}, spec: spec,
			tasks: make([]task, spec.Count), left: spec.Count, waiting: spec.Count,
		}
		for t := range s.tasks {
			s.tasks[t].state = taskWaiting
		}
		r.steps = append(r.steps, s)
	}
	j.rounds[k] = r
	return r
}

// openSteps opens the steps whose earlier steps are all done.
func (e *Engine) openSteps(r *round) {
	if r == nil {
		return
	}
	for _, s := range r.steps {
		if s.isOpen || !r.areDone(s.spec.After) {
			continue
		}
		s.isOpen = true
		s.openAt, s.waitsFor = e.now, waits.Turn
		e.enqueue(s)
		e.needsScheduling = true
	}
}

func (r *round) areDone(steps []int) bool {
	for _, i := range steps {
		if r.steps[i].left > 0 {
			return false
		}
	}
	return true
}

// find returns the step and the task, or nil when there is none.
func (e *Engine) find(id work.TaskID) (*step, *task) {
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

// addFailure notes a failed attempt and reports whether it was not known before.
func (s *step) addFailure(f work.Failure) bool {
	t := &s.tasks[f.Index]
	for _, old := range t.failures {
		if old.Worker == f.Worker && old.Run == f.Run {
			return false
		}
	}
	t.failures = append(t.failures, f)
	if s.spec.IsGang {
		if s.gangFailures == nil {
			s.gangFailures = map[uint64]bool{}
		}
		s.gangFailures[f.Run] = true
	}
	return true
}

// failureCount returns how many of the allowed attempts the task has used.
func (s *step) failureCount(i int) int { return s.failuresOf(&s.tasks[i]) }

func (s *step) failuresOf(t *task) int {
	if s.spec.IsGang {
		return len(s.gangFailures)
	}
	return len(t.failures)
}

// taskEnded notes that a task has ended well, once.
func (e *Engine) taskEnded(s *step, i int) {
	t := &s.tasks[i]
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting {
		s.waiting--
	}
	s.cancelCopyRequest(t)
	t.state = taskDone
	s.left--
	e.touch(s.job)
	if s.left > 0 {
		return
	}
	e.needsScheduling = true
	s.round.left--
	if s.round.left > 0 {
		e.openSteps(s.round)
		return
	}
	e.roundEnded(s.job, s.round)
}

func (e *Engine) roundEnded(j *job, r *round) {
	j.roundsDone.SetDone(r.number)
	j.roundsLeft--
	e.currentBatch().isUrgent = true
	if j.roundsLeft > 0 {
		return
	}
	e.endJob(j, work.JobSucceeded, "all tasks have ended well")
}

// endJob sets the final state and stops all that still runs.
func (e *Engine) endJob(j *job, state work.JobState, why string) {
	if j.state.IsFinal() {
		return
	}
	j.state, j.endedAt = state, e.now
	e.hurry(j)
	e.needsScheduling = true
	e.options.Log(events.JobEnded, "job", j.spec.ID, "state", state, "why", why, "took", e.now.Sub(j.acceptedAt), "attempts", j.attempts)
	if j.attempts == 0 {
		return
	}
	for _, w := range e.workers.All() {
		for _, a := range w.attempts.All() {
			if a.step != nil && a.step.job == j {
				e.stop(a, "job "+string(state))
			}
		}
	}
}

func (e *Engine) touch(j *job) {
	if j.isDirty {
		return
	}
	j.isDirty = true
	b := e.currentBatch()
	b.jobs = append(b.jobs, j)
}

// hurry is touch of a job that must not wait: a place to start at, or its end.
func (e *Engine) hurry(j *job) {
	e.touch(j)
	j.isUrgent = true
	e.currentBatch().isUrgent = true
}

// MayAccess reports whether a caller may see, cancel and hand in again the job of that ID, or
// there is none.
func (e *Engine) MayAccess(id work.JobID, by work.Caller) bool {
	j := e.jobs[id]
	return j == nil || by.MayAccess(j.spec)
}

// Cancel cancels a job, whether it is known or not: its submission may still be on
// its way, or have been refused and be sent again. The cancelling is kept once
// IsSettledCancel says so, which is when a caller may hear of it. It reports whether
// there is such a job.
func (e *Engine) Cancel(id work.JobID, by work.CustomerName) bool {
	j := e.jobs[id]
	if j == nil {
		j = e.newJob(&work.Spec{ID: id, Customer: by})
		e.jobs[id] = j
		e.withdraw(j)
	}
	e.endJob(j, work.JobCancelled, "cancelled by its caller")
	return j.state != work.JobWithdrawn
}

// withdraw keeps in mind that a job that is not taken was cancelled.
func (e *Engine) withdraw(j *job) {
	j.state, j.endedAt = work.JobWithdrawn, e.now
	e.hurry(j)
}

// dropNew drops a job that is certainly not kept. One that was cancelled meanwhile
// stays withdrawn.
func (e *Engine) dropNew(j *job) {
	if j.state.IsFinal() {
		e.withdraw(j)
		return
	}
	delete(e.jobs, j.spec.ID)
}

// IsSettledCancel reports whether the final state of a job is kept.
func (e *Engine) IsSettledCancel(id work.JobID) bool {
	j := e.jobs[id]
	return j != nil && j.state.IsFinal() && j.isShown
}

// State returns what a caller is told of a job; false when there is none.
func (e *Engine) State(id work.JobID) (work.JobState, bool) {
	j := e.jobs[id]
	switch {
	case j == nil || j.state == work.JobWithdrawn:
		return "", false
	case j.state.IsFinal() && j.isShown:
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
		if j.spec.Queue == queue && j.isKept && !j.hasBegun && !j.state.IsFinal() {
			n++
		}
	}
	return n
}
