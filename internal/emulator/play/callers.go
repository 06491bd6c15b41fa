// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package play

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// callerPatience is how long a caller tries to hand in a job, tryPause the pause between two
	// tries, and tryTime how long one may take.
	callerPatience = 3 * time.Second
	tryPause       = 300 * time.Millisecond
	tryTime        = time.Second
	// askPause is the time between two rounds in which callers ask for their jobs, askers how many
	// ask at once.
	askPause = 60 * time.Millisecond
	askers   = 8
	// cancelPause is how long after a job was taken its caller cancels it.
	cancelPause = 400 * time.Millisecond
)

// openJob is an accepted job that was not shown as over yet.
type openJob struct {
	id     string
	kind   *scenario.JobKind
	cameAt time.Duration
	// isLasting means that it does not end by itself.
	isLasting bool
}

// handInFirst hands in the jobs that are there before the day.
func (p *Player) handInFirst(ctx context.Context) error {
	for i := range p.options.Deployment.Jobs {
		k := &p.options.Deployment.Jobs[i]
		for range k.AtStart {
			if !p.handIn(ctx, k) {
				return fmt.Errorf("play: no node takes a job of %s before the day", k.Name)
			}
		}
	}
	return nil
}

// runArrivals lets jobs of a kind come while the day lasts, whether earlier ones are answered or not.
func (p *Player) runArrivals(day, ctx context.Context, k *scenario.JobKind) {
	wg := sync.WaitGroup{}
	defer wg.Wait()
	if k.PerSecond <= 0 {
		return
	}
	for pause(day, p.drawPause(k.PerSecond)) {
		wg.Go(func() { p.handIn(ctx, k) })
	}
}

func (p *Player) drawPause(perSecond float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// handIn hands in a job of a kind at one node after the other, and reports whether it was taken.
func (p *Player) handIn(ctx context.Context, k *scenario.JobKind) bool {
	came := p.now()
	t := p.tallies[k.Name]
	job, isCancelled := p.draw(k)
	t.note(func(r *KindResult) { r.Came++ })
	isRefused := true
	for p.now()-came < callerPatience {
		outcome := p.try(ctx, job)
		if outcome == site.OutcomeAccepted {
			t.note(func(r *KindResult) { r.Accepted++ })
			t.took(t.answers, p.now()-came)
			p.accepted(ctx, k, job, came, isCancelled)
			return true
		}
		isRefused = isRefused && outcome == site.OutcomeRefused
		if !pause(ctx, tryPause) {
			break
		}
	}
	if isRefused {
		t.note(func(r *KindResult) { r.Refused++ })
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refused = append(p.refused, job.ID)
		return false
	}
	t.note(func(r *KindResult) { r.Unknown++ })
	return false
}

func (p *Player) try(ctx context.Context, job *site.Job) site.Outcome {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	outcome, err := p.site.Submit(ctx, p.anyNode(), job)
	if err != nil {
		return site.OutcomeUnknown
	}
	return outcome
}

func (p *Player) anyNode() *site.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[p.rng.IntN(len(p.nodes))].Node
}

// draw draws a job of a kind, and whether its caller will cancel it.
func (p *Player) draw(k *scenario.JobKind) (*site.Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	job := &site.Job{ID: fmt.Sprintf("%016x", p.nextID)}
	for i := range k.Steps {
		s := &k.Steps[i]
		step := site.Step{Tasks: s.Tasks, MilliCPU: s.MilliCPU, MemoryMiB: s.MemoryMiB, Duration: s.Takes, IsLongRunning: s.Lasts}
		if s.Varies {
			step.Tasks = p.drawCount(s.Tasks)
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job, p.rng.Float64() < k.CancelShare
}

// drawCount draws from a geometric distribution, of four times its mean at most.
func (p *Player) drawCount(mean int) int {
	if mean <= 1 {
		return 1
	}
	n := 1 + int(math.Log(1-p.rng.Float64())/math.Log(1-1/float64(mean)))
	return min(n, 4*mean)
}

// accepted takes a job that was taken.
func (p *Player) accepted(ctx context.Context, k *scenario.JobKind, job *site.Job, came time.Duration, isCancelled bool) {
	open := &openJob{id: job.ID, kind: k, cameAt: came}
	p.mu.Lock()
	for i := range job.Steps {
		if s := &job.Steps[i]; s.IsLongRunning {
			open.isLasting = true
			p.watchStep(job.ID, i, s, isCancelled)
		}
	}
	if !open.isLasting || isCancelled {
		p.open = append(p.open, open)
	}
	p.mu.Unlock()
	if isCancelled && pause(ctx, cancelPause) {
		p.cancel(ctx, open)
	}
}

// watchStep watches a step of tasks that last, unless its job is about to be cancelled.
func (p *Player) watchStep(job string, i int, s *site.Step, isCancelled bool) {
	if isCancelled {
		return
	}
	name := fmt.Sprintf("%s.0.%d", job, i)
	p.watch.Add(rules.LastingStep{Name: name, Tasks: s.Tasks, MilliCPU: s.MilliCPU, MemoryMiB: s.MemoryMiB}, p.now())
}

// cancel cancels a job, trying again until a node answers.
func (p *Player) cancel(ctx context.Context, j *openJob) {
	for {
		try, done := context.WithTimeout(ctx, tryTime)
		outcome := p.anyNode().Cancel(try, j.id)
		done()
		if outcome == site.OutcomeAccepted {
			break
		}
		if !pause(ctx, tryPause) {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped.Add(j.id, p.now())
}

// runAsks asks for the states of open jobs.
func (p *Player) runAsks(ctx context.Context) {
	for pause(ctx, askPause) {
		p.askAll(ctx)
	}
}

func (p *Player) askAll(ctx context.Context) {
	p.mu.Lock()
	jobs := append([]*openJob{}, p.open...)
	p.mu.Unlock()
	wg := sync.WaitGroup{}
	for k := range askers {
		wg.Go(func() {
			for i := k; i < len(jobs); i += askers {
				p.ask(ctx, jobs[i])
			}
		})
	}
	wg.Wait()
}

func (p *Player) ask(ctx context.Context, j *openJob) {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	state, ok := p.site.JobState(ctx, p.anyNode(), j.id)
	if !ok || !site.IsFinal(state) {
		return
	}
	p.ended(j, state)
}

// ended takes that a job was shown as over.
func (p *Player) ended(j *openJob, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.open {
		if o == j {
			p.open = append(p.open[:i:i], p.open[i+1:]...)
			break
		}
	}
	t := p.tallies[j.kind.Name]
	switch state {
	case site.Succeeded:
		t.note(func(r *KindResult) { r.Succeeded++ })
		t.took(t.ends, p.now()-j.cameAt)
	case "cancelled":
		t.note(func(r *KindResult) { r.Cancelled++ })
	default:
		t.note(func(r *KindResult) { r.Failed++ })
		p.found = append(p.found, rules.Violation{Rule: rules.Ends, At: p.now(), What: fmt.Sprintf("job %s of %s is shown as %s, and none of its tasks failed", j.id, j.kind.Name, state)})
	}
}
