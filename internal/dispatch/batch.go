// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"net/netip"
	"slices"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Batch is a set of changes that must be persisted together.
type Batch struct {
	// NewJobs are the specifications of newly submitted jobs.
	NewJobs []*work.Spec
	// Progress has the current progress of the jobs that have changed.
	Progress map[work.JobID]*work.Progress
	// ExpiredJobs are ended jobs whose state is no longer retained.
	ExpiredJobs []work.JobID
	// Queues and Customers are policies that have changed since they were last written.
	Queues    []order.Queue
	Customers []order.Customer
	// AddedWorkers and RemovedWorkers change the set of workers whose IDs are in the store. The removals come
	// first.
	AddedWorkers, RemovedWorkers []order.WorkerID
	// WorkerAddrs has the addresses of the added workers.
	WorkerAddrs map[order.WorkerID]netip.AddrPort

	// jobs are those whose progress is written with the batch.
	jobs []*job
	// handledEnds has, by worker, the number of the last end that was processed. The worker may
	// forget its ends up to that number once the batch is committed.
	handledEnds ordered.Map[*worker, uint64]
	// planned are the attempts whose placements are in Progress. Those that were not ordered yet
	// are ordered when the batch is committed.
	planned []*attempt
	// isUrgent means that the batch has new jobs, or jobs whose changes must not wait for
	// flushInterval.
	isUrgent bool
	// hasAllReports means that after this batch everything that workers have reported about a
	// previous owner's orders is persisted.
	hasAllReports bool
}

// IsEmpty reports whether the batch has nothing to persist.
func (b *Batch) IsEmpty() bool {
	return len(b.NewJobs) == 0 && len(b.Progress) == 0 && len(b.ExpiredJobs) == 0 && len(b.Queues) == 0 && len(b.Customers) == 0 && len(b.AddedWorkers) == 0 && len(b.RemovedWorkers) == 0
}

// currentBatch returns the batch that collects changes for the store.
func (e *Engine) currentBatch() *Batch {
	if e.batch == nil {
		e.batch = &Batch{}
	}
	return e.batch
}

// TakeBatch returns the batch to persist now, or nil. The caller must call Committed or Refused
// with it before it takes the next one.
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
	e.stored.takeInto(b)
	e.addPolicies(b)
	b.Progress = map[work.JobID]*work.Progress{}
	// A job that has been refused since is not persisted; by now another job may have its ID.
	b.jobs = slices.DeleteFunc(b.jobs, func(j *job) bool { return e.jobs[j.spec.ID] != j })
	for _, j := range b.jobs {
		j.isDirty, j.isUrgent = false, false
		b.Progress[j.spec.ID] = j.progress()
	}
	return b
}

// splitDeferrable removes from the batch what can wait for flushInterval, and returns it: jobs in
// which only single tasks have ended, and the confirmations of all ends. Deferring reduces the
// writes, since every write contains the whole progress of a job.
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

// Committed records that the batch is in the store, and starts what was waiting for that.
func (e *Engine) Committed(b *Batch) {
	if b.hasAllReports {
		e.hasUnpersistedReports = false
	}
	for _, spec := range b.NewJobs {
		j := e.jobs[spec.ID]
		if j == nil || j.isPersisted {
			continue
		}
		j.isPersisted = true
		e.countAccepted(j)
		if !j.state.IsFinal() {
			e.activeJobs = append(e.activeJobs, j)
			e.openRounds(j)
		}
	}
	for _, j := range b.jobs {
		e.progressPersisted(j, b.Progress[j.spec.ID].State)
	}
	e.workersCommitted(b)
	for w, n := range b.handledEnds.All() {
		e.confirmEnds(w, n)
	}
	for _, a := range b.planned {
		e.placementPersisted(a)
		e.queueStart(a)
	}
}

// progressPersisted records that a state of a job is in the store. A final state is visible to
// callers from then on. A withdrawn job may have been submitted since, which is not in the store yet.
func (e *Engine) progressPersisted(j *job, state work.JobState) {
	if e.jobs[j.spec.ID] != j || !state.IsFinal() || j.state != state {
		return
	}
	j.isFinalPersisted = true
	j.isPersisted = j.isPersisted || state != work.JobWithdrawn
}

// Refused records that the batch is certainly not in the store. Its new jobs are dropped as if
// never accepted; its progress goes into the next batch.
func (e *Engine) Refused(b *Batch) {
	for _, spec := range b.NewJobs {
		if j := e.jobs[spec.ID]; j != nil && !j.isPersisted {
			e.dropUnpersisted(j)
		}
	}
	next := e.currentBatch()
	next.ExpiredJobs = append(next.ExpiredJobs, b.ExpiredJobs...)
	next.planned = append(next.planned, b.planned...)
	e.stored.putBack(b)
	e.forgetPolicies(b)
	for _, j := range b.jobs {
		if e.jobs[j.spec.ID] == j {
			e.markUrgent(j)
		}
	}
	for w, n := range b.handledEnds.All() {
		next.handledEnds.Set(w, max(next.handledEnds.Get(w), n))
	}
}

// progress returns what must be persisted of a job.
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
				p.Placements = append(p.Placements, work.Placement{Index: i, Worker: string(a.worker.ID), Run: a.run})
			}
		}
		for _, id := range t.mayRunOn {
			p.Placements = append(p.Placements, work.Placement{Index: i, Worker: string(id), Run: t.run})
		}
		if !s.spec.IsLongRunning {
			p.Failures = append(p.Failures, t.failures...)
		}
		p.Crashes = append(p.Crashes, t.crashes...)
		if t.checkpoint != "" {
			if p.Checkpoints == nil {
				p.Checkpoints = map[int]string{}
			}
			p.Checkpoints[i] = t.checkpoint
		}
	}
	return p
}

// RefuseNew drops the new jobs of the batch that has not been taken yet and returns their IDs. They
// were never accepted. A job that was cancelled in the meantime stays recorded as withdrawn.
func (e *Engine) RefuseNew() []work.JobID {
	if e.batch == nil {
		return nil
	}
	refused := make([]work.JobID, 0, len(e.batch.NewJobs))
	for _, spec := range e.batch.NewJobs {
		refused = append(refused, spec.ID)
		if j := e.jobs[spec.ID]; j != nil {
			e.dropUnpersisted(j)
		}
	}
	e.batch.NewJobs = nil
	return refused
}

// Spec returns the specification of a job; nil if there is no such job.
func (e *Engine) Spec(id work.JobID) *work.Spec {
	if j := e.jobs[id]; j != nil {
		return j.spec
	}
	return nil
}

// IsPersisted reports whether a job is in the store.
func (e *Engine) IsPersisted(id work.JobID) bool {
	j := e.jobs[id]
	return j != nil && j.isPersisted
}
