// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke/internal/emulator/report"
	"github.com/leverdyke/leverdyke/internal/emulator/runner"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
)

// runOptions are the options of all commands that play days.
type runOptions struct {
	binary, keepDir string
	seed            uint64
	isJSON          bool
}

func (o *runOptions) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&o.binary, "binary", defaultBinary(), "path of the node's program, leverdyked")
	f.StringVar(&o.keepDir, "keep", "", "existing directory in which the settings and logs of days with a broken rule are kept")
	f.Uint64Var(&o.seed, "seed", 1, "seed of everything random")
	f.BoolVar(&o.isJSON, "json", false, "print one line of JSON per day played")
}

func newRun() *cobra.Command {
	o := runOptions{}
	isVaried := false
	cmd := &cobra.Command{
		Use: "run DEPLOYMENT DAY", Short: "Play one day", Args: cobra.ExactArgs(2),
		Example: "  leverdyke-emulator run deploy/emulator/small.yaml deploy/emulator/days/lasting.yaml",
		RunE: func(cmd *cobra.Command, args []string) error {
			deployment, err := scenario.LoadDeployment(args[0])
			if err != nil {
				return err
			}
			day, err := scenario.LoadFaultSchedule(args[1])
			if err != nil {
				return err
			}
			if isVaried {
				day = day.WithVariedTimes(rand.New(rand.NewPCG(o.seed, 3)))
			}
			r, err := o.runDay(cmd.Context(), deployment, day, o.seed, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return o.printResult(cmd.OutOrStdout(), r)
		},
	}
	o.addFlags(cmd)
	cmd.Flags().BoolVar(&isVaried, "vary", false, "replace the times and durations of the faults by random ones that depend on the seed")
	return cmd
}

// runDay runs one day in a temporary directory. The directory is removed afterwards unless a rule was broken and
// --keep was given.
func (o *runOptions) runDay(ctx context.Context, deployment *scenario.Deployment, day *scenario.FaultSchedule, seed uint64, progress io.Writer) (*runner.Result, error) {
	dir, err := os.MkdirTemp(o.keepDir, "emulator-")
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	isKept := false
	defer func() {
		if !isKept {
			_ = os.RemoveAll(dir)
		}
	}()
	p, err := runner.New(ctx, runner.Options{Deployment: deployment, Schedule: day, Seed: seed, Binary: o.binary, Dir: dir, Progress: progress})
	if err != nil {
		return nil, err
	}
	defer p.Close()
	r, err := p.Run(ctx)
	if err != nil {
		return nil, err
	}
	isKept = o.keepDir != "" && len(r.Violations) > 0
	if isKept {
		_, _ = fmt.Fprintln(progress, "settings and logs are kept in", dir)
		return r, day.Save(dir + "/day.yaml")
	}
	return r, nil
}

// printResult prints a result. It returns a violationError if a rule was broken.
func (o *runOptions) printResult(w io.Writer, r *runner.Result) error {
	write := report.Screen
	if o.isJSON {
		write = report.JSON
	}
	if err := write(w, r); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return &violationError{count: len(r.Violations)}
	}
	return nil
}

// violationError reports how often rules were broken.
type violationError struct{ count int }

// Error implements error.
func (e *violationError) Error() string {
	return fmt.Sprintf("emulator: rules were broken %d times", e.count)
}

// IsViolation marks the error for command.Exit, which gives violations an exit code of their own.
func (*violationError) IsViolation() {}
