// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"

	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Batch is what must be kept together.
type Batch struct {
	// NewJobs are new jobs.
	NewJobs []*work.Spec
	// Progress has, by job, what is known of it.
	Progress map[work.JobID]*work.Progress
	// ExpiredJobs are jobs that are over and no longer asked for.
	ExpiredJobs []work.JobID

	jobs        []*job
	handledEnds ordered.Map[*worker, uint64]
	// planned are attempts whose places are in Progress. Those that were not ordered
	// yet are when it is committed.
	planned []*attempt
	// isUrgent means that there are new jobs or urgent ones.
	isUrgent bool
	// hasAllReports means that nothing of what workers have told of an earlier owner's orders is
	// left to keep after it.
	hasAllReports bool
}

// IsEmpty reports whether the batch has nothing to keep.
func (b *Batch) IsEmpty() bool {
	return len(b.NewJobs) == 0 && len(b.Progress) == 0 && len(b.ExpiredJobs) == 0
}

func (e *Engine) currentBatch() *Batch {
	if e.batch == nil {
		e.batch = &Batch{}
	}
	return e.batch
}

// TakeBatch returns what is to be kept now, or nil. The caller must answer with
// Committed or Refused before it takes the next.
func (e *Engine) TakeBatch() *Batch {
	b := e.batch
	isDue := e.now.Sub(e.lastFlush) >= flushInterval
	if b == nil || !b.isUrgent && !isDue {
		return nil
	}
	e.batch = nil
	if isDue {
		e.lastFlush = e.now
		b.hasAllReports = e.hasUnpersistedReports
	} else {
		e.batch = b.splitDeferrable()
	}
	b.Progress = map[work.JobID]*work.Progress{}
	// A job that was refused meanwhile is not kept; another may have its ID by now.
	b.jobs = slices.DeleteFunc(b.jobs, func(j *job) bool { return e.jobs[j.spec.ID] != j })
	for _, j := range b.jobs {
		j.isDirty, j.isUrgent = false, false
		b.Progress[j.spec.ID] = j.progress()
	}
	return b
}

// splitDeferrable takes out of the batch what can wait for flushPause, and returns it: jobs
// of which only tasks have ended, and the confirmations of all ends. A job is written
// whole each time.
func (b *Batch) splitDeferrable() *Batch {
	deferred := &Batch{handledEnds: b.handledEnds}
	b.handledEnds = ordered.Map[*worker, uint64]{}
	isDeferrable := func(j *job) bool { return !j.isUrgent }
	for _, j := range b.jobs {
		if isDeferrable(j) {
			deferred.jobs = append(deferred.jobs, j)
		}
	}
	b.jobs = slices.DeleteFunc(b.jobs, isDeferrable)
	for _, a := range b.planned {
		if isDeferrable(a.step.job) {
			deferred.planned = append(deferred.planned, a)
		}
	}
	b.planned = slices.DeleteFunc(b.planned, func(a *attempt) bool { return isDeferrable(a.step.job) })
	return deferred
}

// Committed says that the batch is in the store.
func (e *Engine) Committed(b *Batch) {
	if b.hasAllReports {
		e.hasUnpersistedReports = false
	}
	for _, spec := range b.NewJobs {
		j := e.jobs[spec.ID]
		if j == nil || j.isKept {
			continue
		}
		j.isKept = true
		if !j.state.IsFinal() {
			e.activeJobs = append(e.activeJobs, j)
			e.openRounds(j)
		}
	}
	for _, j := range b.jobs {
		e.progressPersisted(j, b.Progress[j.spec.ID].State)
	}
	for w, n := range b.handledEnds.All() {
		e.confirm(w, n)
	}
	for _, a := range b.planned {
		e.placementPersisted(a)
		e.queueStart(a)
	}
}

// progressPersisted says that a state of a job is kept.
func (e *Engine) progressPersisted(j *job, state work.JobState) {
	if e.jobs[j.spec.ID] != j || !state.IsFinal() {
		return
	}
	j.isShown = true
	j.isKept = j.isKept || state != work.JobWithdrawn
}

// Refused says that the batch is certainly not in the store. Its new jobs are
// dropped as never accepted; its progress goes into the next batch.
func (e *Engine) Refused(b *Batch) {
	for _, spec := range b.NewJobs {
		if j := e.jobs[spec.ID]; j != nil && !j.isKept {
			e.dropNew(j)
		}
	}
	next := e.currentBatch()
	next.ExpiredJobs = append(next.ExpiredJobs, b.ExpiredJobs...)
	next.planned = append(next.planned, b.planned...)
	for _, j := range b.jobs {
		if e.jobs[j.spec.ID] == j {
			e.hurry(j)
		}
	}
	for w, n := range b.handledEnds.All() {
		next.handledEnds.Set(w, max(next.handledEnds.Get(w), n))
	}
}

// progress returns what must last of a job.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state}
	if j.state.IsFinal() {
		p.Customer = j.spec.Customer
		return p
	}
	p.RoundsDone.Done = append([]byte{}, j.roundsDone.Done...)
	p.Rounds = map[int][]work.StepProgress{}
	for k, r := range j.rounds {
		if j.roundsDone.IsDone(k) {
			continue
		}
		steps := make([]work.StepProgress, len(r.steps))
		for i, s := range r.steps {
			steps[i] = s.progress()
		}
		p.Rounds[k] = steps
	}
	return p
}

func (s *step) progress() work.StepProgress {
	p := work.StepProgress{}
	for i := range s.tasks {
		t := &s.tasks[i]
		p.Run = max(p.Run, t.run)
		if t.state == taskDone {
			p.SetDone(i)
			continue
		}
		for _, a := range []*attempt{t.attempt, t.copy} {
			if a != nil {
				p.Places = append(p.Places, work.Place{Index: i, Worker: string(a.worker.ID), Run: a.run})
			}
		}
		for _, id := range t.heldBy {
			p.Places = append(p.Places, work.Place{Index: i, Worker: string(id), Run: t.run})
		}
		if !s.spec.IsLasting {
			p.Failures = append(p.Failures, t.failures...)
		}
		p.Crashes = append(p.Crashes, t.crashes...)
		if t.saved != "" {
			if p.Saved == nil {
				p.Saved = map[int]string{}
			}
			p.Saved[i] = t.saved
		}
	}
	return p
}

// RefuseNew drops the new jobs of the batch that is not taken yet and returns
// them: they were never accepted. Those that were cancelled stay withdrawn.
func (e *Engine) RefuseNew() []work.JobID {
	if e.batch == nil {
		return nil
	}
	refused := make([]work.JobID, 0, len(e.batch.NewJobs))
	for _, spec := range e.batch.NewJobs {
		refused = append(refused, spec.ID)
		if j := e.jobs[spec.ID]; j != nil {
			e.dropNew(j)
		}
	}
	e.batch.NewJobs = nil
	return refused
}

// IsPersisted reports whether a job is in the store.
func (e *Engine) IsPersisted(id work.JobID) bool {
	j := e.jobs[id]
	return j != nil && j.isKept
}
