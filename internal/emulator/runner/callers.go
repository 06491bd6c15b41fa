// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package runner

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// submitTimeout is how long a caller keeps trying to submit a job, retryInterval the time between an
	// attempt's end and the next attempt, and requestTimeout the timeout of each request.
	submitTimeout  = 3 * time.Second
	retryInterval  = 300 * time.Millisecond
	requestTimeout = time.Second
	// jobPollInterval is the time between two rounds in which callers poll the states of their jobs,
	// pollConcurrency how many polls are in flight at once.
	jobPollInterval = 60 * time.Millisecond
	pollConcurrency = 8
	// cancelDelay is the time from a job's acceptance to its cancellation by its caller.
	cancelDelay = 400 * time.Millisecond
)

// openJob is an accepted job that no node has reported as ended yet.
type openJob struct {
	id        string
	kind      *scenario.JobKind
	arrivedAt time.Duration
	// isLongRunning means that the job has a long-running step, so that it ends only by cancellation.
	isLongRunning bool
}

// submitInitial submits the jobs that exist before the fault schedule starts.
func (p *Runner) submitInitial(ctx context.Context) error {
	for i := range p.options.Deployment.Jobs {
		k := &p.options.Deployment.Jobs[i]
		for range k.InitialCount {
			if !p.submitWithRetry(ctx, k) {
				return fmt.Errorf("runner: no node accepted an initial job of kind %s", k.Name)
			}
		}
	}
	return nil
}

// runArrivals submits jobs of a kind at random times until the arrivals context ends. The load is open:
// it does not depend on whether earlier submissions were answered. The other context bounds the
// submissions.
func (p *Runner) runArrivals(arrivals, ctx context.Context, k *scenario.JobKind) {
	wg := sync.WaitGroup{}
	defer wg.Wait()
	if k.PerSecond <= 0 {
		return
	}
	for sleep(arrivals, p.drawInterarrivalTime(k.PerSecond)) {
		wg.Go(func() { p.submitWithRetry(ctx, k) })
	}
}

// drawInterarrivalTime draws from an exponential distribution, so that arrivals are a Poisson process.
func (p *Runner) drawInterarrivalTime(perSecond float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// submitWithRetry submits a job of a kind, each attempt to a random node, and reports whether it was
// accepted.
func (p *Runner) submitWithRetry(ctx context.Context, k *scenario.JobKind) bool {
	arrivedAt := p.now()
	counter := p.counters[k.Name]
	job, isCancelled := p.drawJob(k)
	counter.update(func(r *KindResult) { r.Arrived++ })
	isRefused := true
	for p.now()-arrivedAt < submitTimeout {
		outcome := p.submitOnce(ctx, job)
		if outcome == site.OutcomeAccepted {
			counter.update(func(r *KindResult) { r.Accepted++ })
			counter.record(counter.submitLatency, p.now()-arrivedAt)
			p.handleAccepted(ctx, k, job, arrivedAt, isCancelled)
			return true
		}
		isRefused = isRefused && outcome == site.OutcomeRefused
		if !sleep(ctx, retryInterval) {
			break
		}
	}
	if isRefused {
		counter.update(func(r *KindResult) { r.Refused++ })
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refusedJobs = append(p.refusedJobs, job.ID)
		return false
	}
	counter.update(func(r *KindResult) { r.Unknown++ })
	return false
}

// submitOnce sends one request. An error leaves open whether the job was accepted.
func (p *Runner) submitOnce(ctx context.Context, job *site.Job) site.Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	outcome, err := p.site.Submit(ctx, p.randomNode(), job)
	if err != nil {
		return site.OutcomeUnknown
	}
	return outcome
}

func (p *Runner) randomNode() *site.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[p.rng.IntN(len(p.nodes))].Node
}

// drawJob draws a job of a kind, and whether its caller will cancel it.
func (p *Runner) drawJob(k *scenario.JobKind) (*site.Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastJobID++
	job := &site.Job{ID: fmt.Sprintf("%016x", p.lastJobID)}
	for i := range k.Steps {
		s := &k.Steps[i]
		step := site.Step{Tasks: s.Tasks, MilliCPU: s.MilliCPU, MemoryMiB: s.MemoryMiB, Duration: s.Duration, IsLongRunning: s.IsLongRunning}
		if s.IsTaskCountRandom {
			step.Tasks = p.drawTaskCount(s.Tasks)
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job, p.rng.Float64() < k.CancelShare
}

// drawTaskCount draws from a geometric distribution, cut off at four times its mean.
func (p *Runner) drawTaskCount(mean int) int {
	if mean <= 1 {
		return 1
	}
	n := 1 + int(math.Log(1-p.rng.Float64())/math.Log(1-1/float64(mean)))
	return min(n, 4*mean)
}

// handleAccepted records an accepted job, has its long-running steps checked, and cancels it after
// cancelDelay if isCancelled is set. A long-running job that is not cancelled never ends, and is not
// polled.
func (p *Runner) handleAccepted(ctx context.Context, k *scenario.JobKind, job *site.Job, arrivedAt time.Duration, isCancelled bool) {
	open := &openJob{id: job.ID, kind: k, arrivedAt: arrivedAt}
	p.mu.Lock()
	for i := range job.Steps {
		if s := &job.Steps[i]; s.IsLongRunning {
			open.isLongRunning = true
			p.monitorStep(job.ID, i, s, isCancelled)
		}
	}
	if !open.isLongRunning || isCancelled {
		p.openJobs = append(p.openJobs, open)
	}
	if !open.isLongRunning && !isCancelled {
		p.sizes.Add(job.ID, p.sizedJob(k, job, arrivedAt))
	}
	p.mu.Unlock()
	if isCancelled && sleep(ctx, cancelDelay) {
		p.cancel(ctx, open)
	}
}

// largestWave is the share of all processors above which the tasks of a step are expected to run in
// several waves.
const largestWave = 0.25

// sizedJob returns how large a job is, and until when its end is of use: as the platform defines it,
// for three times its objective, which follows its longest chain of tasks.
func (p *Runner) sizedJob(k *scenario.JobKind, job *site.Job, arrivedAt time.Duration) rules.SizedJob {
	workers := &p.options.Deployment.Workers
	room := largestWave * float64(workers.Count) * float64(workers.MilliCPU)
	work, chain := time.Duration(0), time.Duration(0)
	for i := range job.Steps {
		s := &job.Steps[i]
		milliCPU := float64(s.Tasks) * float64(s.MilliCPU)
		work += time.Duration(milliCPU / 1000 * float64(s.Duration))
		chain += time.Duration(max(math.Ceil(milliCPU/room), 1)) * s.Duration
	}
	objective := time.Duration(site.Stretch*float64(chain)) + site.TargetLatency
	return rules.SizedJob{Kind: k.Name, Work: work, ArrivedAt: arrivedAt, UsefulUntil: arrivedAt + served.MaxLateRatio*objective}
}

// monitorStep adds a long-running step to those that are checked, unless its job is about to be cancelled.
func (p *Runner) monitorStep(job string, i int, s *site.Step, isCancelled bool) {
	if isCancelled {
		return
	}
	name := fmt.Sprintf("%s.0.%d", job, i)
	p.longRunning.Add(rules.LongRunningStep{Name: name, Tasks: s.Tasks, MilliCPU: s.MilliCPU, MemoryMiB: s.MemoryMiB}, p.now())
}

// cancel cancels a job, and retries until a node acknowledges the cancellation or the context ends.
func (p *Runner) cancel(ctx context.Context, j *openJob) {
	for {
		attempt, cancelAttempt := context.WithTimeout(ctx, requestTimeout)
		outcome := p.randomNode().Cancel(attempt, j.id)
		cancelAttempt()
		if outcome == site.OutcomeAccepted {
			break
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelled.Add(j.id, p.now())
}

// pollJobs polls the states of the open jobs periodically until the context ends.
func (p *Runner) pollJobs(ctx context.Context) {
	for sleep(ctx, jobPollInterval) {
		p.pollOpenJobs(ctx)
	}
}

// pollOpenJobs polls each open job once.
func (p *Runner) pollOpenJobs(ctx context.Context) {
	p.mu.Lock()
	jobs := append([]*openJob{}, p.openJobs...)
	p.mu.Unlock()
	wg := sync.WaitGroup{}
	for k := range pollConcurrency {
		wg.Go(func() {
			for i := k; i < len(jobs); i += pollConcurrency {
				p.pollJob(ctx, jobs[i])
			}
		})
	}
	wg.Wait()
}

func (p *Runner) pollJob(ctx context.Context, j *openJob) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	state, ok := p.site.JobState(ctx, p.randomNode(), j.id)
	if !ok || !site.IsFinal(state) {
		return
	}
	p.handleEnded(j, state)
}

// handleEnded records the final state of a job. As no task of these jobs fails, a failed job is a
// violation.
func (p *Runner) handleEnded(j *openJob, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, open := range p.openJobs {
		if open == j {
			p.openJobs = append(p.openJobs[:i:i], p.openJobs[i+1:]...)
			break
		}
	}
	counter := p.counters[j.kind.Name]
	switch state {
	case site.Succeeded:
		p.sizes.Succeeded(j.id, p.now())
		counter.update(func(r *KindResult) { r.Succeeded++ })
		counter.record(counter.completionTime, p.now()-j.arrivedAt)
	case "cancelled":
		counter.update(func(r *KindResult) { r.Cancelled++ })
	default:
		counter.update(func(r *KindResult) { r.Failed++ })
		p.violations = append(p.violations, rules.Violation{Rule: rules.JobsEnd, At: p.now(), Description: fmt.Sprintf("job %s of %s is reported as %s although none of its tasks failed", j.id, j.kind.Name, state)})
	}
}
