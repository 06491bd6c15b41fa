// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package play

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// end is the end of a fault.
type end struct {
	at time.Duration
	do func()
}

const (
	faultPause = 20 * time.Millisecond
	// aftermath is how long a fault is felt after its end: nodes start, and workers write themselves
	// into the list.
	aftermath = 2 * time.Second
	// muteCount is how many orders a worker carries out without an answer.
	muteCount = 3
	// restartClock is what the clock of a worker shows that has started again.
	restartClock = 3 * time.Hour
)

// runFaults begins and ends faults while the day lasts.
func (p *Player) runFaults(day context.Context) {
	next := 0
	for pause(day, faultPause) {
		p.endDue(p.now())
		for ; next < len(p.options.Day.Faults) && p.options.Day.Faults[next].At <= p.now(); next++ {
			p.begin(&p.options.Day.Faults[next])
		}
	}
}

// begin begins a fault. Faults are begun and ended by one goroutine.
func (p *Player) begin(f *scenario.Fault) {
	p.mu.Lock()
	p.faults++
	p.calm.Disturb(p.now(), p.now()+f.For+aftermath)
	p.mu.Unlock()
	count := max(f.Count, 1)
	switch f.Kind {
	case scenario.NodeKill:
		p.someNodes(count, func(n *node) { p.endNode(n, syscall.SIGKILL, f.For) })
	case scenario.NodeStop:
		p.someNodes(count, func(n *node) { p.endNode(n, syscall.SIGTERM, f.For) })
	case scenario.PowerLoss:
		p.someNodes(len(p.nodes), func(n *node) { p.endNode(n, syscall.SIGKILL, f.For) })
	case scenario.NodePause:
		p.someNodes(count, func(n *node) { p.pauseNode(n, f.For) })
	case scenario.StoreBusy:
		p.setStore(site.StoreBusy, f.For)
	case scenario.StoreSilent:
		p.setStore(site.StoreSilent, f.For)
	case scenario.StoreSlow:
		p.setStore(site.StoreSlow, f.For)
	case scenario.StoreLosesAnswers:
		p.site.Store.LoseAnswers(count)
	case scenario.ConfigChange:
		p.version++
		p.site.Configure(p.version)
	default:
		p.someWorkers(count, func(w *site.Worker) { p.harm(w, f) })
	}
}

// harm begins a fault of a worker.
func (p *Player) harm(w *site.Worker, f *scenario.Fault) {
	switch f.Kind {
	case scenario.WorkerCrash:
		w.Crash()
		p.born++
		_, _ = p.site.AddWorker(p.born)
	case scenario.WorkerRestart:
		w.Restart(f.For, restartClock)
	case scenario.WorkerFailsLasting:
		w.SetFailsLongRunning(true)
		w.FailLongRunning()
		p.later(f.For, func() { w.SetFailsLongRunning(false) })
	case scenario.WorkerMute:
		w.DropStartAnswers(muteCount)
	case scenario.WorkerHoldsUp:
		w.DelayStarts(muteCount, f.For)
	}
}

// someNodes does something to some nodes that are up.
func (p *Player) someNodes(count int, do func(*node)) {
	p.mu.Lock()
	up := slices.DeleteFunc(slices.Clone(p.nodes), func(n *node) bool { return n.isDown })
	p.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
	p.mu.Unlock()
	for _, n := range up[:min(count, len(up))] {
		do(n)
	}
}

// someWorkers does something to some workers that live.
func (p *Player) someWorkers(count int, do func(*site.Worker)) {
	live := slices.DeleteFunc(p.site.Workers(), (*site.Worker).IsDead)
	p.mu.Lock()
	p.rng.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	p.mu.Unlock()
	for _, w := range live[:min(count, len(live))] {
		do(w)
	}
}

// endNode ends a node, and starts it again a while after its end.
func (p *Player) endNode(n *node, sig syscall.Signal, after time.Duration) {
	p.setDown(n, true)
	if n.Signal(sig) != nil {
		return
	}
	p.later(after, func() { p.startAgain(n) })
}

func (p *Player) setDown(n *node, isDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.isDown = isDown
}

// startAgain starts a node once it has ended.
func (p *Player) startAgain(n *node) {
	if !n.HasEnded() {
		p.later(faultPause, func() { p.startAgain(n) })
		return
	}
	if n.Start() == nil {
		p.setDown(n, false)
	}
}

func (p *Player) pauseNode(n *node, d time.Duration) {
	if n.Signal(syscall.SIGSTOP) == nil {
		p.later(d, func() { _ = n.Signal(syscall.SIGCONT) })
	}
}

func (p *Player) setStore(mode site.StoreMode, d time.Duration) {
	p.site.Store.SetMode(mode)
	p.later(d, func() { p.site.Store.SetMode(site.StoreUp) })
}

// later does something after a while, or when all is healed.
func (p *Player) later(d time.Duration, do func()) { p.ends = append(p.ends, end{p.now() + d, do}) }

// endDue ends the faults that are due.
func (p *Player) endDue(now time.Duration) {
	due := []end{}
	p.ends = slices.DeleteFunc(p.ends, func(e end) bool {
		if e.at <= now {
			due = append(due, e)
		}
		return e.at <= now
	})
	for _, e := range due {
		e.do()
	}
}

// heal ends all faults, and waits until all nodes run.
func (p *Player) heal(ctx context.Context) {
	for len(p.ends) > 0 && pause(ctx, faultPause) {
		p.endDue(time.Duration(1<<62 - 1))
	}
	p.mu.Lock()
	p.calm.Disturb(p.now(), p.now())
	p.mu.Unlock()
}
