// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package play

import (
	"context"
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
)

const (
	watchPause    = 100 * time.Millisecond
	progressPause = 5 * time.Second
)

// runWatch looks at the workers and the nodes, and tells how far the play is.
func (p *Player) runWatch(ctx context.Context) {
	told := time.Now()
	for pause(ctx, watchPause) {
		p.look()
		if time.Since(told) >= progressPause {
			told = time.Now()
			p.tellProgress()
		}
	}
}

func (p *Player) look() {
	workers := []rules.Worker{}
	for _, s := range p.site.Snapshot() {
		workers = append(workers, rules.Worker{
			ID: s.ID, IsTaking: s.IsAccepting, FreeMilliCPU: s.FreeMilliCPU, FreeMemoryMiB: s.FreeMemoryMiB, Running: s.Running,
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.found = append(p.found, p.watch.Look(p.now(), workers, &p.calm)...)
	p.found = append(p.found, p.stopped.Look(p.now(), workers, &p.calm)...)
	for _, n := range p.nodes {
		// One that is down may be starting again.
		if !n.isDown && n.HasEnded() {
			n.isDown = true
			p.found = append(p.found, rules.Violation{Rule: rules.Promises, At: p.now(), What: n.Name + " ended by itself: " + lastLine(n.Log())})
		}
	}
}

func (p *Player) tellProgress() {
	p.mu.Lock()
	open, faults, broken := len(p.open), p.faults, len(p.found)
	p.mu.Unlock()
	_, _ = fmt.Fprintf(p.options.Progress, "%6v  %d faults played, %d jobs open, %d starts, %d rules broken\n",
		p.now().Round(time.Second), faults, open, p.site.Starts(), broken)
}
