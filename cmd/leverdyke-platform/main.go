// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command leverdyke-platform is a fake of the platform around a cluster: a log, a list of VMs, workers, and an
// oracle that checks the scheduler's guarantees. It is for tests and the quickstart only.
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
		Use: "leverdyke-platform", Short: "A fake platform for tests and the quickstart", Version: leverdyke.Version,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		Example: "  leverdyke-platform --zones 2 --racks 2 --workers 3\n  curl -s http://127.0.0.1:7000/v1/oracle\n  curl -X PUT http://127.0.0.1:7000/v1/faults/log -d '{\"out\":true}'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			addr, err := netip.ParseAddrPort(listen)
			if err != nil {
				return &command.UsageError{Text: "--listen: " + err.Error() + " (allowed: an IP address and a port)"}
			}
			o.Listen = addr
			return run(cmd, o)
		},
	}
	f := root.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7000", "address of the log, the list of VMs and the fault injection")
	f.IntVar(&o.Regions, "regions", 1, "number of regions")
	f.IntVar(&o.Zones, "zones", 2, "number of availability zones per region")
	f.IntVar(&o.Racks, "racks", 2, "number of racks per availability zone")
	f.IntVar(&o.Workers, "workers", 3, "number of workers per rack")
	f.Int64Var(&o.Capacity.MilliCPU, "milli-cpu", 16000, "processors of a worker, in thousandths")
	f.Int64Var(&o.Capacity.MemoryMiB, "memory-mib", 32768, "memory of a worker, in MiB")
	f.Int64Var(&o.Capacity.Accelerators, "accelerators", 0, "accelerators of a worker")
	f.Int64Var(&o.Capacity.Slots, "slots", 8, "slots of a worker")
	f.DurationVar(&o.Retention, "retention", 0, "how long the log keeps records; 0 keeps them forever")
	f.DurationVar(&o.Lag, "lag", time.Second, "delay after which a change of a VM appears in the list of VMs")
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
