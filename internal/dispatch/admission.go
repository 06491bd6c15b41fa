// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/admission"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// loadInterval is the time between two observations of the load for the admission of jobs.
	loadInterval = 100 * time.Millisecond
	// fullShare is the used fraction of a pool below which no job is refused, and its load is not
	// observed: walking over all tasks takes processor time that the owner needs for its orders.
	fullShare = 0.8
	// minDoneForAdmission is how many tasks must have ended before jobs are refused: until then the
	// run times of this owner's tasks are not known.
	minDoneForAdmission = 50
)

// Admit decides whether a job that is submitted now is accepted. A job that is known already, that
// has no objective or that does not run once is accepted.
func (e *Engine) Admit(spec *work.Spec) admission.Verdict {
	q, ok := e.queues[spec.Queue]
	if !ok || e.jobs[spec.ID] != nil || !e.mayRefuse() || e.poolUsage[q.Service] < fullShare {
		return admission.Verdict{}
	}
	c := e.admission.Get(q.Service)
	j, isFinite := e.admissionJob(spec, &q)
	if c == nil || !isFinite {
		return admission.Verdict{}
	}
	return c.Decide(e.now, j)
}

// mayRefuse reports whether enough is known to refuse jobs by a forecast.
func (e *Engine) mayRefuse() bool {
	return e.isEnabled(MechanismAdmission) && e.inherited == nil && e.isOwnershipConfirmed && !e.isPaused && e.counts.Done >= minDoneForAdmission
}

// admissionJob describes a job for the forecast. It returns false for a job without an objective, a
// periodic or long-running one, and one whose run time is not known.
func (e *Engine) admissionJob(spec *work.Spec, q *order.Queue) (*admission.Job, bool) {
	if q.Stretch <= 0 || spec.Rounds > 0 {
		return nil, false
	}
	j := &admission.Job{ID: spec.ID, Queue: q.Name, Priority: q.Priority, Customer: spec.Customer, Limit: e.quota.Usage(spec.Customer).Limit}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if s.IsLongRunning || s.Estimate <= 0 {
			return nil, false
		}
		duration := e.estimates[q.Name].Correct(s.Estimate)
		j.Steps = append(j.Steps, admission.Step{
			Count: s.Count, Need: s.Charge(), RunTime: duration, After: s.After, IsGang: s.IsGang, Label: s.Label,
			Duration: time.Duration(e.quota.Batches(spec.Customer, s.Need, s.Count))*duration + queryTime(q),
		})
	}
	j.Objective = q.TargetLatency + time.Duration(q.Stretch*float64(admission.ChainTime(j.Steps)))
	return j, true
}

// observeLoad passes the state of each pool to the admission of jobs. It is called at the end of a
// scheduling pass, when the capacity that is still free is not wanted by what waits.
func (e *Engine) observeLoad() {
	if e.now.Before(e.loadDueAt) || !e.isEnabled(MechanismAdmission) {
		return
	}
	e.loadDueAt = e.now.Add(loadInterval)
	pools := e.poolsWithObjectives()
	if pools.Len() == 0 {
		return
	}
	for _, w := range e.workers.All() {
		if p := pools.Get(w.Service); p != nil {
			e.observeWorker(p, w)
		}
	}
	for _, j := range e.activeJobs {
		e.observeWaiting(&pools, j)
	}
	for service, p := range pools.All() {
		c := e.admission.Get(service)
		if c == nil {
			c = &admission.Controller{}
			e.admission.Set(service, c)
		}
		c.Observe(e.now, *p)
	}
}

// poolsWithObjectives returns an empty pool for each service that runs a queue with an objective and
// has little free capacity.
func (e *Engine) poolsWithObjectives() ordered.Map[string, *admission.Pool] {
	shares := map[work.CustomerName]admission.Share{}
	for i := range e.customers {
		if c := &e.customers[i]; c.Weight > 0 {
			shares[c.Name] = admission.Share{Fraction: c.Weight / max(e.activeWeight, c.Weight), IsExceeded: e.overShare[c.Name]}
		}
	}
	services := []string{}
	for _, q := range e.queues {
		if q.Stretch > 0 && e.poolUsage[q.Service] >= fullShare {
			services = append(services, q.Service)
		}
	}
	slices.Sort(services)
	pools := ordered.Map[string, *admission.Pool]{}
	for _, s := range slices.Compact(services) {
		pools.Set(s, &admission.Pool{Shares: shares})
	}
	return pools
}

func (e *Engine) observeWorker(p *admission.Pool, w *worker) {
	if !e.isReachable(w) {
		return
	}
	p.Capacity = p.Capacity.Add(w.Capacity)
	if !w.health.IsPaused(e.now) && w.unknownRuns.Len() == 0 {
		p.Workers = append(p.Workers, admission.Worker{Labels: w.Labels, Free: w.Capacity.Sub(w.used)})
	}
	for _, a := range w.attempts.All() {
		if a.step != nil {
			p.AddRunning(a.step.priority, a.step.customer(), a.step.spec.IsLongRunning, a.charge)
		}
	}
}

// observeWaiting adds what has not started of a job, with the steps that wait for others.
func (e *Engine) observeWaiting(pools *ordered.Map[string, *admission.Pool], j *job) {
	q := e.queues[j.spec.Queue]
	p, r := pools.Get(q.Service), j.rounds[0]
	if p == nil || r == nil || j.spec.Rounds > 0 || j.state.IsFinal() {
		return
	}
	demand, objective := admission.Demand{}, time.Duration(0)
	for _, s := range r.steps {
		objective = max(objective, s.objective)
		if s.waiting > 0 && !s.spec.IsLongRunning {
			demand = demand.Add(admission.DemandOf(s.spec.Charge(), e.expectedDuration(s), s.waiting))
		}
	}
	if demand != (admission.Demand{}) {
		p.Waiting = append(p.Waiting, admission.Waiting{
			Priority: q.Priority, Customer: j.spec.Customer, UsefulFor: admission.UsefulFor(objective, e.now.Sub(j.acceptedAt)), Demand: demand,
		})
	}
}
