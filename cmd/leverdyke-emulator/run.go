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

	"github.com/leverdyke/leverdyke/internal/emulator/play"
	"github.com/leverdyke/leverdyke/internal/emulator/report"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
)

// playOptions are those of all verbs that play.
type playOptions struct {
	binary, keepDir string
	seed            uint64
	isJSON          bool
}

func (o *playOptions) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&o.binary, "binary", defaultBinary(), "the node's program")
	f.StringVar(&o.keepDir, "keep", "", "a directory that exists, for settings and logs of the nodes of plays that break a rule")
	f.Uint64Var(&o.seed, "seed", 1, "what is drawn goes by it")
	f.BoolVar(&o.isJSON, "json", false, "print a line of JSON a play")
}

func newRun() *cobra.Command {
	o := playOptions{}
	isVaried := false
	cmd := &cobra.Command{
		Use: "run DEPLOYMENT DAY", Short: "Play one day", Args: cobra.ExactArgs(2),
		Example: "  leverdyke-emulator run deploy/emulator/small.yaml deploy/emulator/days/lasting.yaml",
		RunE: func(cmd *cobra.Command, args []string) error {
			deployment, err := scenario.LoadDeployment(args[0])
			if err != nil {
				return err
			}
			day, err := scenario.LoadDay(args[1])
			if err != nil {
				return err
			}
			if isVaried {
				day = day.Vary(rand.New(rand.NewPCG(o.seed, 3)))
			}
			r, err := o.play(cmd.Context(), deployment, day, o.seed, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return o.printResult(cmd.OutOrStdout(), r)
		},
	}
	o.addFlags(cmd)
	cmd.Flags().BoolVar(&isVaried, "vary", false, "draw moments and lengths anew by the seed")
	return cmd
}

// play plays one day. The logs of one that breaks a rule stay where they are to be kept.
func (o *playOptions) play(ctx context.Context, deployment *scenario.Deployment, day *scenario.Day, seed uint64, progress io.Writer) (*play.Result, error) {
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
	p, err := play.New(ctx, play.Options{Deployment: deployment, Day: day, Seed: seed, Binary: o.binary, Dir: dir, Progress: progress})
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
		_, _ = fmt.Fprintln(progress, "logs are kept in", dir)
		return r, day.Save(dir + "/day.yaml")
	}
	return r, nil
}

// tell prints a result. The error says that a rule was broken.
func (o *playOptions) printResult(w io.Writer, r *play.Result) error {
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

// brokenError says that rules were broken.
type violationError struct{ count int }

// Error tells how often.
func (e *violationError) Error() string {
	return fmt.Sprintf("emulator: rules were broken %d times", e.count)
}

// IsViolation tells such errors from others by having it.
func (*violationError) IsViolation() {}
