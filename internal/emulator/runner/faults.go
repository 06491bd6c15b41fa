// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package runner

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// faultEnd is a scheduled action that ends a fault.
type faultEnd struct {
	at   time.Duration
	undo func()
}

const (
	faultPollInterval = 20 * time.Millisecond
	// recoveryTime is how long a fault may still have effects after its end, while nodes start and
	// workers register again.
	recoveryTime = 2 * time.Second
	// affectedStarts is how many orders to start a faulty worker carries out without an answer.
	affectedStarts = 3
	// restartedWorkerClock is what the clock of a restarted worker shows at its start.
	restartedWorkerClock = 3 * time.Hour
)

// runFaults starts the faults of the schedule and ends those that are due, until the arrivals context
// ends.
func (p *Runner) runFaults(arrivals context.Context) {
	next := 0
	for sleep(arrivals, faultPollInterval) {
		p.endDueFaults(p.now())
		for ; next < len(p.options.Schedule.Faults) && p.options.Schedule.Faults[next].At <= p.now(); next++ {
			p.startFault(&p.options.Schedule.Faults[next])
		}
	}
}

// startFault starts a fault. One goroutine starts and ends all faults.
func (p *Runner) startFault(f *scenario.Fault) {
	p.mu.Lock()
	p.faultCount++
	if f.Kind != scenario.ZoneDrain {
		p.faultWindows.Add(p.now(), p.now()+f.Duration+recoveryTime)
	}
	p.mu.Unlock()
	count := max(f.Count, 1)
	switch f.Kind {
	case scenario.NodeKill:
		p.forRandomNodes(count, func(n *node) { p.signalNode(n, syscall.SIGKILL, f.Duration) })
	case scenario.NodeStop:
		p.forRandomNodes(count, func(n *node) { p.signalNode(n, syscall.SIGTERM, f.Duration) })
	case scenario.PowerLoss:
		p.forRandomNodes(len(p.nodes), func(n *node) { p.signalNode(n, syscall.SIGKILL, f.Duration) })
	case scenario.NodePause:
		p.forRandomNodes(count, func(n *node) { p.pauseNode(n, f.Duration) })
	case scenario.StoreBusy:
		p.setStoreMode(site.StoreBusy, f.Duration)
	case scenario.StoreSilent:
		p.setStoreMode(site.StoreSilent, f.Duration)
	case scenario.StoreSlow:
		p.setStoreMode(site.StoreSlow, f.Duration)
	case scenario.StoreLosesReplies:
		p.site.Store.LoseAnswers(count)
	case scenario.ZoneDrain:
		p.drainZones(count, f.Duration)
	case scenario.ConfigChange:
		p.configVersion++
		p.site.Configure(p.configVersion)
	default:
		p.forRandomWorkers(count, func(w *site.Worker) { p.startWorkerFault(w, f) })
	}
}

// drainZones drains up to count random availability zones for d. It is planned work, not a fault: the
// rules go on meanwhile.
func (p *Runner) drainZones(count int, d time.Duration) {
	zones := p.site.Zones()
	p.mu.Lock()
	p.rng.Shuffle(len(zones), func(i, k int) { zones[i], zones[k] = zones[k], zones[i] })
	zones = zones[:min(count, len(zones))]
	for _, zone := range zones {
		p.site.DrainZone(zone)
		p.drained.Drain(zone, p.now())
	}
	p.mu.Unlock()
	p.scheduleEnd(d, func() { p.returnZones(zones) })
}

// returnZones takes back the drains of zones. Overlapping drains of a zone are not stacked.
func (p *Runner) returnZones(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, zone := range zones {
		p.drained.Return(zone)
		p.site.ReturnZone(zone)
	}
}

// startWorkerFault starts a fault of one worker. A crashed worker is replaced by a new one.
func (p *Runner) startWorkerFault(w *site.Worker, f *scenario.Fault) {
	switch f.Kind {
	case scenario.WorkerCrash:
		w.Crash()
		p.lastWorker++
		_, _ = p.site.AddWorker(p.lastWorker)
	case scenario.WorkerRestart:
		w.Restart(f.Duration, restartedWorkerClock)
	case scenario.WorkerFailsLongRunning:
		w.SetFailsLongRunning(true)
		w.FailLongRunning()
		p.scheduleEnd(f.Duration, func() { w.SetFailsLongRunning(false) })
	case scenario.WorkerDropsReplies:
		w.DropStartAnswers(affectedStarts)
	case scenario.WorkerDelaysStarts:
		w.DelayStarts(affectedStarts, f.Duration)
	}
}

// forRandomNodes calls a function for up to count random nodes that are not down.
func (p *Runner) forRandomNodes(count int, do func(*node)) {
	p.mu.Lock()
	up := slices.DeleteFunc(slices.Clone(p.nodes), func(n *node) bool { return n.isDown })
	p.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
	p.mu.Unlock()
	for _, n := range up[:min(count, len(up))] {
		do(n)
	}
}

// forRandomWorkers calls a function for up to count random workers that are alive.
func (p *Runner) forRandomWorkers(count int, do func(*site.Worker)) {
	live := slices.DeleteFunc(p.site.Workers(), (*site.Worker).IsDead)
	p.mu.Lock()
	p.rng.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	p.mu.Unlock()
	for _, w := range live[:min(count, len(live))] {
		do(w)
	}
}

// signalNode sends a terminating signal to a node, and schedules its restart after downTime.
func (p *Runner) signalNode(n *node, sig syscall.Signal, downTime time.Duration) {
	p.setDown(n, true)
	if n.Signal(sig) != nil {
		return
	}
	p.scheduleEnd(downTime, func() { p.restartNode(n) })
}

func (p *Runner) setDown(n *node, isDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.isDown = isDown
}

// restartNode starts a node; as long as its process has not ended, it reschedules itself.
func (p *Runner) restartNode(n *node) {
	if !n.HasEnded() {
		p.scheduleEnd(faultPollInterval, func() { p.restartNode(n) })
		return
	}
	if n.Start() == nil {
		p.setDown(n, false)
	}
}

// pauseNode suspends a node's process for d.
func (p *Runner) pauseNode(n *node, d time.Duration) {
	if n.Signal(syscall.SIGSTOP) == nil {
		p.scheduleEnd(d, func() { _ = n.Signal(syscall.SIGCONT) })
	}
}

// setStoreMode makes the store misbehave for d. Overlapping faults of the store are not stacked:
// the first to end restores the store.
func (p *Runner) setStoreMode(mode site.StoreMode, d time.Duration) {
	p.site.Store.SetMode(mode)
	p.scheduleEnd(d, func() { p.site.Store.SetMode(site.StoreUp) })
}

// scheduleEnd schedules the end of a fault; endAllFaults brings it forward.
func (p *Runner) scheduleEnd(d time.Duration, undo func()) {
	p.faultEnds = append(p.faultEnds, faultEnd{p.now() + d, undo})
}

// endDueFaults ends the faults that are due.
func (p *Runner) endDueFaults(now time.Duration) {
	due := []faultEnd{}
	p.faultEnds = slices.DeleteFunc(p.faultEnds, func(e faultEnd) bool {
		if e.at <= now {
			due = append(due, e)
		}
		return e.at <= now
	})
	for _, e := range due {
		e.undo()
	}
}

// endAllFaults ends all faults, due or not, and waits until all nodes were restarted.
func (p *Runner) endAllFaults(ctx context.Context) {
	for len(p.faultEnds) > 0 && sleep(ctx, faultPollInterval) {
		p.endDueFaults(time.Duration(1<<62 - 1))
	}
	p.mu.Lock()
	p.faultWindows.Add(p.now(), p.now())
	p.mu.Unlock()
}
