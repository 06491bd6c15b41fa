// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command leverdyked is a node of a leverdyke cluster. One runs on every entry VM, and all have the same role.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/caller"
	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/draining"
	"github.com/leverdyke/leverdyke/internal/listen"
	"github.com/leverdyke/leverdyke/internal/metrics"
	"github.com/leverdyke/leverdyke/internal/nodeserver"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/settings"
)

const (
	// handOverTimeout bounds the hand-over of racks and job shards to other nodes, leaveTimeout the last messages to a
	// peer and to the log. leaveTimeout also bounds the headers of operators' requests.
	handOverTimeout = 15 * time.Second
	leaveTimeout    = 3 * time.Second
	// gcPercent makes the garbage collector run often: memory is scarcer than processor time.
	gcPercent = 50
)

func main() { command.Exit(newRoot().Execute()) }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "leverdyked", Short: "A node of a leverdyke cluster", Version: leverdyke.Version,
		SilenceUsage: true, SilenceErrors: true,
		Long:    "leverdyked runs on every entry VM. It accepts callers' requests, decides which task runs on which worker,\nand applies the configuration that operators publish.\n\nExit codes: 0 stopped on request, 1 failed, 2 invalid settings.",
		Example: "  leverdyked run --settings node.yaml\n  leverdyked check --settings node.yaml",
	}
	file := ""
	run := &cobra.Command{
		Use: "run", Short: "Run the node until SIGTERM or SIGINT, then hand over and stop", Args: cobra.NoArgs,
		Example: "  leverdyked run --settings node.yaml -v=1",
		RunE:    func(*cobra.Command, []string) error { return runNode(file) },
	}
	check := &cobra.Command{
		Use: "check", Short: "Check a settings file without starting a node", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(file); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), file+": ok")
			return err
		},
	}
	version := &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "leverdyked", leverdyke.Version) },
	}
	for _, c := range []*cobra.Command{run, check} {
		c.Flags().StringVarP(&file, "settings", "s", "leverdyked.yaml", "path of the settings file")
	}
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	run.Flags().AddGoFlagSet(logFlags)
	root.AddCommand(run, check, version, newPlatform())
	return root
}

// daemon is the node with its two HTTP servers, one for callers and one for operators.
type daemon struct {
	settings  *settings.Node
	node      *nodeserver.Node
	handler   *caller.Handler
	callers   *draining.Server
	operators *draining.Server
	servers   *listen.Group
}

func runNode(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.MemoryLimitMiB << 20)
	debug.SetGCPercent(gcPercent)
	d, err := newDaemon(s)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case err := <-d.servers.Failed():
		d.node.Close()
		return err
	}
	d.stop()
	klog.Flush()
	return nil
}

func newDaemon(s *settings.Node) (*daemon, error) {
	m, err := metrics.NewSet()
	if err != nil {
		return nil, err
	}
	n, err := nodeserver.NewNode(s, m)
	if err != nil {
		return nil, err
	}
	d := &daemon{settings: s, node: n, servers: listen.NewGroup()}
	d.handler = caller.NewHandler(caller.NewHandlerOptions{
		Router: n.Router(), Keys: n, Metrics: m, IsReady: n.IsReady, MaxRequests: s.MaxRequests, MaxTimeout: s.MaxTimeout,
	})
	callers := caller.NewServer(d.handler)
	operators := &http.Server{Handler: operator.NewServer(n, m.Handler()), ReadHeaderTimeout: leaveTimeout}
	d.callers = draining.NewServer(callers, draining.NewServerOptions{})
	d.operators = draining.NewServer(operators, draining.NewServerOptions{})
	if err := registerGauges(m, n); err != nil {
		n.Close()
		return nil, err
	}
	for _, l := range []struct {
		server *http.Server
		addr   netip.AddrPort
		listen func(net.Listener) net.Listener
	}{{callers, s.CallersAddr, d.callers.Listen}, {operators, s.OperatorsAddr, d.operators.Listen}} {
		if err := d.servers.Open(l.server, l.addr, l.listen); err != nil {
			n.Close()
			return nil, err
		}
	}
	return d, nil
}

// stop stops the node as planned. The node reports that it is not ready and hands over what it owns. It keeps
// serving for DrainWait, and then finishes the requests in progress, for at most MaxTimeout. Last, it sends
// its stored answers to a peer and leaves the cluster.
func (d *daemon) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	d.node.Drain(ctx)
	d.callers.Begin()
	time.Sleep(d.settings.DrainWait)
	finish, cancelFinish := context.WithTimeout(context.Background(), d.settings.MaxTimeout)
	defer cancelFinish()
	_ = d.callers.Shutdown(finish)
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	d.node.HandOverAnswers(leave)
	d.node.Leave(leave)
	_ = d.operators.Shutdown(leave)
	d.node.Close()
}

func registerGauges(m *metrics.Set, n *nodeserver.Node) error {
	if err := m.Gauge("leverdyke.packing", "resource", n.Utilization); err != nil {
		return err
	}
	if err := m.Gauge("leverdyke.load", "what", n.Load); err != nil {
		return err
	}
	return nil
}
