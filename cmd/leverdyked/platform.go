// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/platform"
)

// newPlatform returns the command that runs a node with the services of the users' platform.
func newPlatform() *cobra.Command {
	file := ""
	options := platform.RunOptions{}
	advertise := ""
	c := &cobra.Command{
		Use: "platform", Short: "Run a node on the users' platform until SIGTERM or SIGINT", Args: cobra.NoArgs,
		Example: "  leverdyked platform --settings node.yaml",
		RunE: func(*cobra.Command, []string) error {
			if advertise != "" {
				addr, err := netip.ParseAddrPort(advertise)
				if err != nil {
					return fmt.Errorf("leverdyked: --advertise: %w", err)
				}
				options.AdvertiseAddr = addr
			}
			sink, err := events.NewSink(os.Stdout)
			if err != nil {
				return err
			}
			defer sink.Close()
			return platform.Run(file, options)
		},
	}
	c.Flags().StringVarP(&file, "settings", "s", platform.SettingsPath(), "path of the platform's settings file")
	c.Flags().Uint16Var(&options.MetricsPort, "metrics-port", 0, "port on which metrics are served; 0 serves none")
	c.Flags().StringVar(&advertise, "advertise", "", "address and port at which other nodes reach this one, if they differ from the listen address")
	c.Flags().StringVar(&options.Disabled, "disable", "", "mechanisms that are switched off, separated by commas")
	c.Flags().DurationVar(&options.ClockShift, "clock-shift", 0, "how far the wall clock is ahead of the real one, for tests with clocks that differ")
	check := &cobra.Command{
		Use: "check", Short: "Check the platform's settings file without starting a node", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := platform.LoadSettings(file); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), file+": ok")
			return err
		},
	}
	check.Flags().StringVarP(&file, "settings", "s", platform.SettingsPath(), "path of the platform's settings file")
	c.AddCommand(check)
	return c
}
