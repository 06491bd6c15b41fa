// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check DEPLOYMENT [DAY...]", Short: "Check the files of a deployment and of days without playing them", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			deployment, err := scenario.LoadDeployment(args[0])
			if err != nil {
				return err
			}
			for _, path := range args[1:] {
				if _, err := scenario.LoadFaultSchedule(path); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %d nodes, %d workers, %d days: valid\n", deployment.Name, deployment.Nodes.Count, deployment.Workers.Count, len(args)-1)
			return err
		},
	}
}
