// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command leverdyke-platform is a stand-in for the platform: a log, a list of
// VMs, workers, and an oracle. It is for tests and the quickstart only.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

func main() { command.Exit(newRoot().Execute()) }

func newRoot() *cobra.Command {
	o := native.NewServerOptions{}
	listen := ""
	root := &cobra.Command{
		Use: "leverdyke-platform", Short: "A stand-in for the platform, for tests and the quickstart", Version: leverdyke.Version,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		Example: "  leverdyke-platform --zones 2 --racks 2 --workers 3\n  curl -s http://127.0.0.1:7000/v1/oracle\n  curl -X PUT http://127.0.0.1:7000/v1/faults/log -d '{\"out\":true}'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			addr, err := netip.ParseAddrPort(listen)
			if err != nil {
				return &command.UsageError{Text: "--listen: " + err.Error() + " (allowed: an IP number and a port)"}
			}
			o.Listen = addr
			return run(cmd, o)
		},
	}
	f := root.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7000", "where the log, the list of VMs and the faults are")
	f.IntVar(&o.Regions, "regions", 1, "how many regions")
	f.IntVar(&o.Zones, "zones", 2, "how many availability zones a region has")
	f.IntVar(&o.Racks, "racks", 2, "how many racks an availability zone has")
	f.IntVar(&o.Workers, "workers", 3, "how many workers a rack has")
	f.Int64Var(&o.Capacity.MilliCPU, "milli-cpu", 16000, "a worker's processors, in thousandths")
	f.Int64Var(&o.Capacity.MemoryMiB, "memory-mib", 32768, "a worker's memory")
	f.Int64Var(&o.Capacity.Accelerators, "accelerators", 0, "a worker's accelerators")
	f.Int64Var(&o.Capacity.Slots, "slots", 8, "a worker's slots")
	f.DurationVar(&o.Retention, "retention", 0, "how long the log keeps records; 0 is for ever")
	f.DurationVar(&o.Lag, "lag", time.Second, "by how much the list of VMs is late")
	return root
}

func run(cmd *cobra.Command, o native.NewServerOptions) error {
	s, err := native.NewServer(o)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Fprintln(cmd.OutOrStdout(), "platform at", s.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}
