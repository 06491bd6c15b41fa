// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/report"
)

// defaultSlowest is how many of the slowest jobs the report lists by default.
const defaultSlowest = 10

// newReport returns the command that reads the logs of nodes and reports how long jobs took.
func newReport() *cobra.Command {
	slowest := defaultSlowest
	c := &cobra.Command{
		Use: "report LOG...", Short: "Show from the logs of nodes how much time jobs spent in each stage", Args: checkArgs(cobra.MinimumNArgs(1)),
		Example: "  leverdyke report node-*.log --slowest 20",
		RunE: func(cmd *cobra.Command, files []string) error {
			r := &report.Report{}
			for _, file := range files {
				if err := readLog(r, file); err != nil {
					return &command.UsageError{Text: err.Error()}
				}
			}
			return r.Write(cmd.OutOrStdout(), slowest)
		},
	}
	c.Flags().IntVar(&slowest, "slowest", slowest, "how many of the slowest jobs to show")
	return c
}

// readLog adds the events of a log file to the report.
func readLog(r *report.Report, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := r.Read(f); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
