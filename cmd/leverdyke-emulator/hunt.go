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

// maxParallel is the maximum number of days run at once: each day starts processes of its own.
const maxParallel = 16

// hunt runs randomly generated days to find violations of the rules.
type hunt struct {
	runOptions
	dayCount, parallelDays int
	length                 time.Duration
	isShrunk               bool
	deployment             *scenario.Deployment

	mu sync.Mutex
	// nextIndex is the index of the next day. completedDays counts the days that were run to the end,
	// violatedDays those in which a rule was broken.
	nextIndex, completedDays, violatedDays int
	// failure is the last error because of which a day could not be run. No further day is begun after one.
	failure       error
	out, progress io.Writer
}

func newHunt() *cobra.Command {
	h := &hunt{}
	cmd := &cobra.Command{
		Use: "hunt DEPLOYMENT", Short: "Play days with random faults of all kinds, to find broken rules", Args: cobra.ExactArgs(1),
		Example: "  leverdyke-emulator hunt deploy/emulator/small.yaml --days 20 --jobs 3 --keep /tmp/found",
		RunE: func(cmd *cobra.Command, args []string) error {
			if h.dayCount < 1 || h.parallelDays < 1 || h.parallelDays > maxParallel || h.length < time.Second {
				return &command.UsageError{Text: fmt.Sprintf("--days %d --jobs %d --length %v (allowed: 1 day or more, 1 to %d jobs, 1s or more)", h.dayCount, h.parallelDays, h.length, maxParallel)}
			}
			deployment, err := scenario.LoadDeployment(args[0])
			if err != nil {
				return err
			}
			h.deployment, h.out, h.progress = deployment, cmd.OutOrStdout(), cmd.ErrOrStderr()
			return h.run(cmd.Context())
		},
	}
	h.addFlags(cmd)
	f := cmd.Flags()
	f.IntVar(&h.dayCount, "days", 10, "number of days to play")
	f.IntVar(&h.parallelDays, "jobs", 2, "number of days played at once")
	f.DurationVar(&h.length, "length", 30*time.Second, "length of each day")
	f.BoolVar(&h.isShrunk, "shrink", false, "after a day with a broken rule, look for fewer faults that still break one, by playing the day again without each of its faults")
	return cmd
}

// run runs the days, up to parallelDays at once, and prints a summary.
func (h *hunt) run(ctx context.Context) error {
	wg := sync.WaitGroup{}
	for range h.parallelDays {
		wg.Go(func() { h.runDays(ctx) })
	}
	wg.Wait()
	_, _ = fmt.Fprintf(h.progress, "%d days on %s, %d with a rule broken\n", h.completedDays, h.deployment.Name, h.violatedDays)
	switch {
	case h.failure != nil:
		return h.failure
	case h.violatedDays > 0:
		return &violationError{count: h.violatedDays}
	}
	return nil
}

func (h *hunt) runDays(ctx context.Context) {
	for i, ok := h.nextDay(ctx); ok; i, ok = h.nextDay(ctx) {
		seed := h.seed + uint64(i)
		day := scenario.RandomFaultSchedule(fmt.Sprintf("drawn-%d", seed), h.length, rand.New(rand.NewPCG(seed, 2)))
		r, err := h.runDay(ctx, h.deployment, day, seed, io.Discard)
		h.record(r, err)
		if err == nil && len(r.Violations) > 0 && h.isShrunk {
			h.shrink(ctx, day, seed)
		}
	}
}

// nextDay returns the index of the next day. It reports false when all days have been begun, a day could not be run, or
// ctx has ended.
func (h *hunt) nextDay(ctx context.Context) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.nextIndex >= h.dayCount || h.failure != nil || ctx.Err() != nil {
		return 0, false
	}
	h.nextIndex++
	return h.nextIndex - 1, true
}

// record counts a result and prints it. A result without a violation is printed in full only with --json.
func (h *hunt) record(r *runner.Result, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failure = err
		return
	}
	if !r.IsPartial {
		h.completedDays++
	}
	if len(r.Violations) > 0 {
		h.violatedDays++
	}
	if h.isJSON || len(r.Violations) > 0 {
		_ = h.printResult(h.out, r)
		return
	}
	_, _ = fmt.Fprintf(h.progress, "%s: %d faults, all rules held\n", r.Schedule, r.Faults)
}

// shrink tries to remove the faults of a day one at a time, each time by running the day with the rest. A fault
// without which a rule is still broken stays removed. shrink prints the remaining faults.
func (h *hunt) shrink(ctx context.Context, day *scenario.FaultSchedule, seed uint64) {
	for i := 0; i < len(day.Faults) && ctx.Err() == nil; {
		reduced := day.WithoutFault(i)
		r, err := h.runDay(ctx, h.deployment, reduced, seed, io.Discard)
		if err == nil && len(r.Violations) > 0 {
			day = reduced
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
