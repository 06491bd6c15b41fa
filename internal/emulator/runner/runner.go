// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package runner plays a day on a deployment: the nodes are processes of the product, all else is the
// emulator's.
package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Options says what is played. Deployment, Day, Binary and Dir must be set.
type Options struct {
	Deployment *scenario.Deployment
	Schedule   *scenario.FaultSchedule
	Seed       uint64
	// Binary is the node's program; Dir is where settings and logs of the nodes go.
	Binary, Dir string
	// Progress takes a line now and then; nil drops them.
	Progress io.Writer
}

// Player plays one day. It is used once.
type Runner struct {
	options   Options
	site      *site.Site
	nodes     []*node
	counters  map[string]*kindCounter
	startedAt time.Time

	mu sync.Mutex
	// rng is used by the callers and by the faults, each under the lock.
	rng          *rand.Rand
	faultWindows rules.FaultWindows
	longRunning  *rules.LongRunningChecker
	cancelled    rules.CancelledChecker
	violations   []rules.Violation
	openJobs     []*openJob
	refusedJobs  []string
	lastJobID    int
	// faults counts those that were played.
	faultCount    int
	configVersion int
	lastWorker    int
	faultEnds     []faultEnd
}

const (
	// readyPatience is how long nodes may take until all are ready.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// endPatience is how long jobs may take to end once all is healed.
	jobEndTimeout = 40 * time.Second
	// settleTime is how long tasks that last are watched once all is healed.
	observationTime = 17 * time.Second
)

// New starts the stand-ins and the nodes of a deployment. Close must be called.
func New(ctx context.Context, o Options) (*Runner, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if _, err := os.Stat(o.Binary); err != nil {
		return nil, fmt.Errorf("play: the node's program: %w", err)
	}
	d := o.Deployment
	s, err := site.New(site.Options{
		Workers: d.Workers.Count, MilliCPU: d.Workers.MilliCPU, MemoryMiB: d.Workers.MemoryMiB, CPUShare: d.Nodes.CPUShare, HasAdvice: d.UsesPermissionService, HasOwnGroup: true,
	})
	if err != nil {
		return nil, fmt.Errorf("play: %w", err)
	}
	p := &Runner{
		options: o, site: s, rng: rand.New(rand.NewPCG(o.Seed, 1)), longRunning: rules.NewLongRunningChecker(s.Permits), counters: map[string]*kindCounter{}, configVersion: 1,
		lastWorker: d.Workers.Count,
	}
	for i := range d.Jobs {
		p.counters[d.Jobs[i].Name] = newKindCounter(d.Jobs[i].Name)
	}
	if err := p.startNodes(ctx); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Close ends the nodes and the stand-ins.
func (p *Runner) Close() {
	for _, n := range p.nodes {
		n.Kill()
	}
	p.site.Close()
}

// KillAll ends the nodes of all plays at once.
func KillAll() { site.KillAll() }

func (p *Runner) startNodes(ctx context.Context) error {
	p.site.Configure(p.configVersion)
	for i := range p.options.Deployment.Nodes.Count {
		n, err := p.site.NewNode(p.options.Binary, p.options.Dir, i)
		if err != nil {
			return fmt.Errorf("play: node %d: %w", i, err)
		}
		p.nodes = append(p.nodes, &node{Node: n})
	}
	for _, n := range p.nodes {
		if err := n.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// node is a node with what the player does to it.
type node struct {
	*site.Node
	// isDown means that it was told to end and is not started yet.
	isDown bool
}

func (n *node) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !n.IsReady(ctx) {
		if n.HasEnded() {
			return fmt.Errorf("play: %s ended by itself: %s", n.Name, lastLine(n.Log()))
		}
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("play: %s is not ready: %w", n.Name, ctx.Err())
		}
	}
	return nil
}

func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}

// pause waits, and reports false when the context was over before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Run plays the day and returns what it showed. When the context ends before, the result is
// partial.
func (p *Runner) Run(ctx context.Context) (*Result, error) {
	p.startedAt = time.Now()
	if err := p.submitInitial(ctx); err != nil {
		return nil, err
	}
	p.startedAt = time.Now()
	arrivals, cancel := context.WithTimeout(ctx, p.options.Schedule.Length)
	defer cancel()
	monitoring, stopMonitoring := context.WithCancel(ctx)
	defer stopMonitoring()
	wg := sync.WaitGroup{}
	wg.Go(func() { p.runMonitor(monitoring) })
	wg.Go(func() { p.pollJobs(monitoring) })
	callers := sync.WaitGroup{}
	for i := range p.options.Deployment.Jobs {
		callers.Go(func() { p.runArrivals(arrivals, ctx, &p.options.Deployment.Jobs[i]) })
	}
	p.runFaults(arrivals)
	callers.Wait()
	p.endAllFaults(ctx)
	p.awaitJobEnds(ctx)
	stopMonitoring()
	wg.Wait()
	return p.result(ctx), nil
}

func (p *Runner) now() time.Duration { return time.Since(p.startedAt) }

// settle waits until accepted jobs have ended, and tasks that last had time to come back.
func (p *Runner) awaitJobEnds(ctx context.Context) {
	start := p.now()
	for p.now()-start < jobEndTimeout && sleep(ctx, pollInterval) {
		if p.now()-start >= observationTime && p.openJobCount() == 0 {
			return
		}
	}
}

func (p *Runner) openJobCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.openJobs)
}

// result puts together what the play showed.
func (p *Runner) result(ctx context.Context) *Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.options
	r := &Result{
		Deployment: d.Deployment.Name, Schedule: d.Schedule.Name, Seed: d.Seed, Length: p.now(), Faults: p.faultCount, Starts: p.site.Starts(),
		LongestOutage: p.longRunning.LongestOutage(), Violations: slices.Clone(p.violations), IsPartial: errors.Is(ctx.Err(), context.Canceled),
	}
	for i := range d.Deployment.Jobs {
		r.Kinds = append(r.Kinds, p.counters[d.Deployment.Jobs[i].Name].snapshot())
	}
	for _, violation := range p.site.Broken() {
		r.Violations = append(r.Violations, rules.Violation{Rule: rules.WorkerInvariants, At: p.now(), Description: violation})
	}
	for _, id := range p.refusedJobs {
		if p.site.HasRun(id) {
			r.Violations = append(r.Violations, rules.Violation{Rule: rules.RefusedNotRun, At: p.now(), Description: "job " + id + " ran though each answer said that it was not taken"})
		}
	}
	if r.IsPartial {
		return r
	}
	for _, j := range p.openJobs {
		r.Violations = append(r.Violations, rules.Violation{Rule: rules.JobsEnd, At: p.now(), Description: fmt.Sprintf("job %s of %s has not ended %v after the day", j.id, j.kind.Name, jobEndTimeout)})
	}
	return r
}
