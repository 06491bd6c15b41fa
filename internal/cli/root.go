// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package cli has the commands of leverdyke, the command line client for operators.
package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/operator"
)

const (
	// nodesVariable is the environment variable that replaces the flag --nodes.
	nodesVariable  = "LEVERDYKE_NODES"
	defaultTimeout = 15 * time.Second
	maxFileBytes   = 1 << 20
)

// app has the flags that all commands share.
type app struct {
	nodes   []string
	output  string
	timeout time.Duration
	isQuiet bool
	root    *cobra.Command
}

// NewRoot returns the root command with all its subcommands.
func NewRoot() *cobra.Command {
	a := &app{}
	a.root = &cobra.Command{
		Use: "leverdyke", Short: "Control a leverdyke cluster", Version: leverdyke.Version,
		SilenceUsage: true, SilenceErrors: true,
		Long: `leverdyke submits jobs, publishes templates and configuration, drains workers
and zones, and shows what the cell does. It asks the nodes one after the other until one
answers; changes may safely be sent again.

Exit codes: 0 done, 1 failed and nothing changed, 2 the arguments or a file are
at fault, 3 another operator changed the document first, 4 the change may have
taken effect: look, or send it again.`,
		Example: `  export ` + nodesVariable + `=10.0.0.7:7103,10.0.0.8:7103
  leverdyke job submit job.yaml
  leverdyke job explain 0192f0c1-...
  leverdyke config publish team/filings team.yaml --base 3`,
	}
	f := a.root.PersistentFlags()
	f.StringSliceVarP(&a.nodes, "nodes", "n", nil, "operators' addresses of some nodes (also "+nodesVariable+")")
	f.StringVarP(&a.output, "output", "o", string(command.FormatTable), "the output format: table, json, yaml")
	f.DurationVar(&a.timeout, "timeout", defaultTimeout, "timeout of a request to one node")
	f.BoolVarP(&a.isQuiet, "quiet", "q", false, "show no progress")
	a.root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &command.UsageError{Text: err.Error()} })
	a.root.AddCommand(a.newJob(), a.newTemplate(), a.newConfig(), a.newWorker(), a.newZone(), a.newNode(), a.newCheck(), a.newScheduler(), newReport(), newVersion())
	return a.root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "leverdyke", leverdyke.Version) },
	}
}

// checkArgs turns the error of one of cobra's checks of the number of arguments into a
// UsageError, so that the process ends with the exit code for invalid arguments.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &command.UsageError{Text: cmd.CommandPath() + ": " + err.Error()}
		}
		return nil
	}
}

// nodeNames returns the addresses of the flag --nodes or of the environment.
func (a *app) nodeNames() ([]string, error) {
	nodes := a.nodes
	if len(nodes) == 0 && os.Getenv(nodesVariable) != "" {
		nodes = strings.Split(os.Getenv(nodesVariable), ",")
	}
	if len(nodes) == 0 {
		return nil, &command.UsageError{Text: "--nodes: is missing (allowed: the IP numbers and ports at which nodes listen for operators, or " + nodesVariable + ")"}
	}
	for _, n := range nodes {
		if _, err := netip.ParseAddrPort(n); err != nil {
			return nil, &command.UsageError{Text: fmt.Sprintf("--nodes: %q is not an address (allowed: an IP number and a port)", n)}
		}
	}
	return nodes, nil
}

// client returns a client for the nodes of the flag --nodes or of the environment.
func (a *app) client(cmd *cobra.Command) (*operator.Client, error) {
	nodes, err := a.nodeNames()
	if err != nil {
		return nil, err
	}
	progress := func(text string) { fmt.Fprintln(cmd.ErrOrStderr(), "…", text) }
	if a.isQuiet {
		progress = nil
	}
	return operator.NewClient(nodes, a.timeout, progress), nil
}

// print writes a result in the format of the flag --output: t as a table, v otherwise.
func (a *app) print(cmd *cobra.Command, v any, t command.Table) error {
	return command.Print(cmd.OutOrStdout(), command.Format(a.output), v, t)
}

// withClient returns the RunE function of a command that sends requests to the cluster. It
// creates the client and calls f with it.
func (a *app) withClient(f func(ctx context.Context, c *operator.Client, cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, err := a.client(cmd)
		if err != nil {
			return err
		}
		ctx := cmd.Context()
		if ctx == nil {
			ctx = context.Background()
		}
		return f(ctx, c, cmd, args)
	}
}

// readFile reads a file, or standard input if path is "-".
func readFile(cmd *cobra.Command, path string) (string, error) {
	in := cmd.InOrStdin()
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return "", &command.UsageError{Text: err.Error()}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes))
	if err != nil {
		return "", &command.UsageError{Text: path + ": " + err.Error()}
	}
	return string(data), nil
}

// author returns the name that is recorded with a published document.
func author() string {
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "operator"
}
