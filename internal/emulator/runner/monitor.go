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

// runWatch looks at the workers and the nodes, and tells how far the play is.
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

func (p *Runner) checkRules() {
	workers := []rules.Worker{}
	for _, s := range p.site.Snapshot() {
		workers = append(workers, rules.Worker{
			ID: s.ID, IsAccepting: s.IsTaking, FreeMilliCPU: s.FreeMilliCPU, FreeMemoryMiB: s.FreeMemoryMiB, Running: s.Running,
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, p.longRunning.Check(p.now(), workers, &p.faultWindows)...)
	p.violations = append(p.violations, p.cancelled.Check(p.now(), workers, &p.faultWindows)...)
	for _, n := range p.nodes {
		// One that is down may be starting again.
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
	_, _ = fmt.Fprintf(p.options.Progress, "%6v  %d faults played, %d jobs open, %d starts, %d rules broken\n",
		p.now().Round(time.Second), faults, open, p.site.Starts(), violations)
}
