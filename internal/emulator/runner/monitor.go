// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
)

const (
	checkInterval    = 100 * time.Millisecond
	progressInterval = 5 * time.Second
)

// runMonitor checks the rules on the workers and nodes periodically, and prints the progress, until the
// context ends.
func (p *Runner) runMonitor(ctx context.Context) {
	printedAt := time.Now()
	for sleep(ctx, checkInterval) {
		p.checkRules()
		if time.Since(printedAt) >= progressInterval {
			printedAt = time.Now()
			p.printProgress()
		}
	}
}

// checkRules evaluates the rules on the present state of the workers, and reports nodes whose process has
// ended although no fault stopped it.
func (p *Runner) checkRules() {
	workers := []rules.Worker{}
	for _, s := range p.site.Snapshot() {
		workers = append(workers, rules.Worker{
			ID: s.ID, Zone: s.Zone, Starts: s.Starts, IsAccepting: s.IsAccepting, FreeMilliCPU: s.FreeMilliCPU, FreeMemoryMiB: s.FreeMemoryMiB, Running: s.Running,
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, p.longRunning.Check(p.now(), workers, &p.faultWindows)...)
	p.violations = append(p.violations, p.cancelled.Check(p.now(), workers, &p.faultWindows)...)
	p.violations = append(p.violations, p.drained.Check(p.now(), workers, &p.faultWindows)...)
	for _, n := range p.nodes {
		// A node that a fault has stopped may have ended, or be about to restart.
		if !n.isDown && n.HasEnded() {
			n.isDown = true
			p.violations = append(p.violations, rules.Violation{Rule: rules.WorkerInvariants, At: p.now(), Description: n.Name + " ended by itself: " + lastLine(n.Log())})
		}
	}
}

func (p *Runner) printProgress() {
	p.mu.Lock()
	open, faults, violations := len(p.openJobs), p.faultCount, len(p.violations)
	p.mu.Unlock()
	_, _ = fmt.Fprintf(p.options.Progress, "%6v  %d faults injected, %d jobs open, %d task starts, %d rule violations\n",
		p.now().Round(time.Second), faults, open, p.site.Starts(), violations)
}
