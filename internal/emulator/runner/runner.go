// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package runner runs an emulation: it executes a fault schedule on a deployment while jobs arrive. The
// nodes are real processes of the product; the workers, the store, the permission service and the
// callers are simulated in this process.
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

// Options configures an emulation. Deployment, Schedule, Binary and Dir must be set.
type Options struct {
	Deployment *scenario.Deployment
	Schedule   *scenario.FaultSchedule
	// Seed seeds the random choices of the callers and faults. They share a generator, so that the choices
	// also depend on the timing of the run.
	Seed uint64
	// Binary is the path of the node's executable; the settings files and logs of the nodes are written
	// to Dir.
	Binary, Dir string
	// Progress receives a line every progressInterval; nil discards them.
	Progress io.Writer
}

// Runner runs one emulation. It cannot be reused.
type Runner struct {
	options   Options
	site      *site.Site
	nodes     []*node
	counters  map[string]*kindCounter
	startedAt time.Time

	mu sync.Mutex
	// rng is shared by the callers and the fault injection, and guarded by mu.
	rng          *rand.Rand
	faultWindows rules.FaultWindows
	longRunning  *rules.LongRunningChecker
	cancelled    rules.CancelledChecker
	drained      rules.DrainedChecker
	sizes        *rules.SizesChecker
	violations   []rules.Violation
	// openJobs has the accepted jobs that must end and were not yet reported as ended.
	openJobs []*openJob
	// refusedJobs has the IDs of the jobs that were refused at every attempt to submit them.
	refusedJobs []string
	lastJobID   int
	// faultCount counts the faults that were started.
	faultCount int
	// configVersion is the published version of the configuration, lastWorker the number of the newest
	// worker. After New, only the goroutine of Run uses them and faultEnds.
	configVersion int
	lastWorker    int
	faultEnds     []faultEnd
}

const (
	// readyTimeout bounds the wait for each node to become ready.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// jobEndTimeout is how long accepted jobs may take to end after all faults have ended.
	jobEndTimeout = 40 * time.Second
	// observationTime is how long long-running tasks are checked at least after all faults have ended.
	observationTime = 17 * time.Second
)

// New starts the simulated platform and the nodes of a deployment, and waits until the nodes are ready.
// The caller must call Close.
func New(ctx context.Context, o Options) (*Runner, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if _, err := os.Stat(o.Binary); err != nil {
		return nil, fmt.Errorf("runner: node executable: %w", err)
	}
	d := o.Deployment
	s, err := site.New(site.Options{
		Workers: d.Workers.Count, Zones: d.Workers.Zones, MilliCPU: d.Workers.MilliCPU, MemoryMiB: d.Workers.MemoryMiB, CPUShare: d.Nodes.CPUShare, HasPermissionService: d.UsesPermissionService, HasOwnGroup: true,
	})
	if err != nil {
		return nil, fmt.Errorf("runner: %w", err)
	}
	p := &Runner{
		options: o, site: s, rng: rand.New(rand.NewPCG(o.Seed, 1)), longRunning: rules.NewLongRunningChecker(s.Permits), counters: map[string]*kindCounter{}, configVersion: 1,
		lastWorker: d.Workers.Count, sizes: rules.NewSizesChecker(float64(d.Workers.Count) * float64(d.Workers.MilliCPU) / 1000),
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

// Close kills the nodes and stops the simulated platform.
func (p *Runner) Close() {
	for _, n := range p.nodes {
		n.Kill()
	}
	p.site.Close()
}

// KillAll kills the nodes of all emulations of this process immediately.
func KillAll() { site.KillAll() }

func (p *Runner) startNodes(ctx context.Context) error {
	p.site.Configure(p.configVersion)
	for i := range p.options.Deployment.Nodes.Count {
		n, err := p.site.NewNode(p.options.Binary, p.options.Dir, i)
		if err != nil {
			return fmt.Errorf("runner: start node %d: %w", i, err)
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

// node is a node and the state that the fault injection keeps of it.
type node struct {
	*site.Node
	// isDown means that a fault has stopped the process and it was not restarted yet.
	isDown bool
}

func (n *node) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !n.IsReady(ctx) {
		if n.HasEnded() {
			return fmt.Errorf("runner: %s ended by itself: %s", n.Name, lastLine(n.Log()))
		}
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("runner: %s did not become ready: %w", n.Name, ctx.Err())
		}
	}
	return nil
}

func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}

// sleep waits for the duration, and reports false if the context ended first.
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

// Run runs the emulation and returns its result: it submits the initial jobs, lets jobs arrive and
// injects faults for the length of the schedule, ends all faults, and waits for the accepted jobs to
// end. If the context is cancelled before, the result is partial.
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

// awaitJobEnds waits until the accepted jobs have ended, for jobEndTimeout at most, and at least for
// observationTime, so that long-running tasks that are not restarted are found.
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

// result collects the result. A partial one does not report jobs that have not ended.
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
	for _, violation := range p.site.Violations() {
		r.Violations = append(r.Violations, rules.Violation{Rule: rules.WorkerInvariants, At: p.now(), Description: violation})
	}
	for _, id := range p.refusedJobs {
		if p.site.HasStarted(id) {
			r.Violations = append(r.Violations, rules.Violation{Rule: rules.RefusedNotRun, At: p.now(), Description: "job " + id + " ran although every attempt to submit it was refused"})
		}
	}
	if r.IsPartial {
		return r
	}
	r.Violations = append(r.Violations, p.sizes.Check(p.now())...)
	for _, j := range p.openJobs {
		r.Violations = append(r.Violations, rules.Violation{Rule: rules.JobsEnd, At: p.now(), Description: fmt.Sprintf("job %s of %s has not ended %v after the last fault", j.id, j.kind.Name, jobEndTimeout)})
	}
	return r
}
