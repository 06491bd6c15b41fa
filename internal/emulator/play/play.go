// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package play plays a day on a deployment: the nodes are processes of the product, all else is the
// emulator's.
package play

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
	Day        *scenario.Day
	Seed       uint64
	// Binary is the node's program; Dir is where settings and logs of the nodes go.
	Binary, Dir string
	// Progress takes a line now and then; nil drops them.
	Progress io.Writer
}

// Player plays one day. It is used once.
type Player struct {
	options Options
	site    *site.Site
	nodes   []*node
	tallies map[string]*tally
	began   time.Time

	mu sync.Mutex
	// rng is used by the callers and by the faults, each under the lock.
	rng     *rand.Rand
	calm    rules.Calm
	watch   *rules.LastingWatch
	stopped rules.CancelledWatch
	found   []rules.Violation
	open    []*openJob
	refused []string
	nextID  int
	// faults counts those that were played.
	faults  int
	version int
	born    int
	ends    []end
}

const (
	// readyPatience is how long nodes may take until all are ready.
	readyPatience = 30 * time.Second
	pollPause     = 50 * time.Millisecond
	// endPatience is how long jobs may take to end once all is healed.
	endPatience = 40 * time.Second
	// settleTime is how long tasks that last are watched once all is healed.
	settleTime = 17 * time.Second
)

// New starts the stand-ins and the nodes of a deployment. Close must be called.
func New(ctx context.Context, o Options) (*Player, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if _, err := os.Stat(o.Binary); err != nil {
		return nil, fmt.Errorf("play: the node's program: %w", err)
	}
	d := o.Deployment
	s, err := site.New(site.Options{
		Workers: d.Workers.Count, MilliCPU: d.Workers.MilliCPU, MemoryMiB: d.Workers.MemoryMiB, CPUShare: d.Nodes.CPUShare, HasPermissionService: d.AsksPermission, HasOwnGroup: true,
	})
	if err != nil {
		return nil, fmt.Errorf("play: %w", err)
	}
	p := &Player{
		options: o, site: s, rng: rand.New(rand.NewPCG(o.Seed, 1)), watch: rules.NewLastingWatch(s.Permits), tallies: map[string]*tally{}, version: 1,
		born: d.Workers.Count,
	}
	for i := range d.Jobs {
		p.tallies[d.Jobs[i].Name] = newTally(d.Jobs[i].Name)
	}
	if err := p.startNodes(ctx); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Close ends the nodes and the stand-ins.
func (p *Player) Close() {
	for _, n := range p.nodes {
		n.Kill()
	}
	p.site.Close()
}

// KillAll ends the nodes of all plays at once.
func KillAll() { site.KillAll() }

func (p *Player) startNodes(ctx context.Context) error {
	p.site.Configure(p.version)
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
	ctx, cancel := context.WithTimeout(ctx, readyPatience)
	defer cancel()
	for !n.IsReady(ctx) {
		if n.HasEnded() {
			return fmt.Errorf("play: %s ended by itself: %s", n.Name, lastLine(n.Log()))
		}
		if !pause(ctx, pollPause) {
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
func pause(ctx context.Context, d time.Duration) bool {
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
func (p *Player) Run(ctx context.Context) (*Result, error) {
	p.began = time.Now()
	if err := p.handInFirst(ctx); err != nil {
		return nil, err
	}
	p.began = time.Now()
	day, cancel := context.WithTimeout(ctx, p.options.Day.Length)
	defer cancel()
	watched, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	wg := sync.WaitGroup{}
	wg.Go(func() { p.runWatch(watched) })
	wg.Go(func() { p.runAsks(watched) })
	callers := sync.WaitGroup{}
	for i := range p.options.Deployment.Jobs {
		callers.Go(func() { p.runArrivals(day, ctx, &p.options.Deployment.Jobs[i]) })
	}
	p.runFaults(day)
	callers.Wait()
	p.heal(ctx)
	p.settle(ctx)
	stopWatch()
	wg.Wait()
	return p.result(ctx), nil
}

func (p *Player) now() time.Duration { return time.Since(p.began) }

// settle waits until accepted jobs have ended, and tasks that last had time to come back.
func (p *Player) settle(ctx context.Context) {
	healed := p.now()
	for p.now()-healed < endPatience && pause(ctx, pollPause) {
		if p.now()-healed >= settleTime && p.openCount() == 0 {
			return
		}
	}
}

func (p *Player) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// result puts together what the play showed.
func (p *Player) result(ctx context.Context) *Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.options
	r := &Result{
		Deployment: d.Deployment.Name, Day: d.Day.Name, Seed: d.Seed, Length: p.now(), Faults: p.faults, Starts: p.site.Starts(),
		LongestAway: p.watch.Longest(), Violations: slices.Clone(p.found), IsPartial: errors.Is(ctx.Err(), context.Canceled),
	}
	for i := range d.Deployment.Jobs {
		r.Kinds = append(r.Kinds, p.tallies[d.Deployment.Jobs[i].Name].take())
	}
	for _, what := range p.site.Violations() {
		r.Violations = append(r.Violations, rules.Violation{Rule: rules.Promises, At: p.now(), What: what})
	}
	for _, id := range p.refused {
		if p.site.HasStarted(id) {
			r.Violations = append(r.Violations, rules.Violation{Rule: rules.NotRun, At: p.now(), What: "job " + id + " ran though each answer said that it was not taken"})
		}
	}
	if r.IsPartial {
		return r
	}
	for _, j := range p.open {
		r.Violations = append(r.Violations, rules.Violation{Rule: rules.Ends, At: p.now(), What: fmt.Sprintf("job %s of %s has not ended %v after the day", j.id, j.kind.Name, endPatience)})
	}
	return r
}
