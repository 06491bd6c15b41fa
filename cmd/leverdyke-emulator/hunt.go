// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/emulator/runner"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
)

// maxJobs bounds the days that are played at once: each has processes of its own.
const maxJobs = 16

// hunt plays days that are drawn.
type hunt struct {
	playOptions
	days, jobs int
	length     time.Duration
	isShrunk   bool
	deployment *scenario.Deployment

	mu sync.Mutex
	// next is the number of the next day, played counts those that were played whole, broken those
	// that broke a rule.
	next, played, broken int
	failed               error
	out, progress        io.Writer
}

func newHunt() *cobra.Command {
	h := &hunt{}
	cmd := &cobra.Command{
		Use: "hunt DEPLOYMENT", Short: "Play days drawn from all kinds of faults, to find broken rules", Args: cobra.ExactArgs(1),
		Example: "  leverdyke-emulator hunt deploy/emulator/small.yaml --days 20 --jobs 3 --keep /tmp/found",
		RunE: func(cmd *cobra.Command, args []string) error {
			if h.days < 1 || h.jobs < 1 || h.jobs > maxJobs || h.length < time.Second {
				return &command.UsageError{Text: fmt.Sprintf("--days %d --jobs %d --length %v (allowed: 1 day or more, 1 to %d jobs, 1s or more)", h.days, h.jobs, h.length, maxJobs)}
			}
			deployment, err := scenario.LoadDeployment(args[0])
			if err != nil {
				return err
			}
			h.deployment, h.out, h.progress = deployment, cmd.OutOrStdout(), cmd.ErrOrStderr()
			return h.run(cmd.Context())
		},
	}
	h.add(cmd)
	f := cmd.Flags()
	f.IntVar(&h.days, "days", 10, "how many days")
	f.IntVar(&h.jobs, "jobs", 2, "how many are played at once")
	f.DurationVar(&h.length, "length", 30*time.Second, "how long each is")
	f.BoolVar(&h.isShrunk, "shrink", false, "play a day that broke a rule again without one fault after the other")
	return cmd
}

// run plays the days, some at once.
func (h *hunt) run(ctx context.Context) error {
	wg := sync.WaitGroup{}
	for range h.jobs {
		wg.Go(func() { h.loop(ctx) })
	}
	wg.Wait()
	_, _ = fmt.Fprintf(h.progress, "%d days on %s, %d with a rule broken\n", h.played, h.deployment.Name, h.broken)
	switch {
	case h.failed != nil:
		return h.failed
	case h.broken > 0:
		return &brokenError{count: h.broken}
	}
	return nil
}

func (h *hunt) loop(ctx context.Context) {
	for i, ok := h.take(ctx); ok; i, ok = h.take(ctx) {
		seed := h.seed + uint64(i)
		day := scenario.RandomFaultSchedule(fmt.Sprintf("drawn-%d", seed), h.length, rand.New(rand.NewPCG(seed, 2)))
		r, err := h.play(ctx, h.deployment, day, seed, io.Discard)
		h.note(r, err)
		if err == nil && len(r.Violations) > 0 && h.isShrunk {
			h.shrink(ctx, day, seed)
		}
	}
}

// take returns the number of the next day; false when there is none.
func (h *hunt) take(ctx context.Context) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next >= h.days || h.failed != nil || ctx.Err() != nil {
		return 0, false
	}
	h.next++
	return h.next - 1, true
}

func (h *hunt) note(r *runner.Result, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failed = err
		return
	}
	if !r.IsPartial {
		h.played++
	}
	if len(r.Violations) > 0 {
		h.broken++
	}
	if h.isJSON || len(r.Violations) > 0 {
		_ = h.tell(h.out, r)
		return
	}
	_, _ = fmt.Fprintf(h.progress, "%s: %d faults, all rules held\n", r.Schedule, r.Faults)
}

// shrink plays a day again without one fault after the other, and tells the least that still breaks a
// rule.
func (h *hunt) shrink(ctx context.Context, day *scenario.FaultSchedule, seed uint64) {
	for i := 0; i < len(day.Faults) && ctx.Err() == nil; {
		less := day.WithoutFault(i)
		r, err := h.play(ctx, h.deployment, less, seed, io.Discard)
		if err == nil && len(r.Violations) > 0 {
			day = less
			continue
		}
		i++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(h.out, "%s, shrunk to %d faults:\n", day.Name, len(day.Faults))
	for _, f := range day.Faults {
		_, _ = fmt.Fprintf(h.out, "  - {at: %v, kind: %s, for: %v, count: %d}\n", f.At, f.Kind, f.Duration, f.Count)
	}
}
