// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/inspect"
)

// newScheduler returns the commands that show what the scheduler on the users' platform does now.
func (a *app) newScheduler() *cobra.Command {
	c := &cobra.Command{
		Use: "scheduler", Short: "Show what the scheduler on the users' platform does now",
		Long: "The nodes of --nodes are asked at the port on which they serve metrics, one after the\nother, until the owner of the shard answers.",
	}
	c.AddCommand(
		a.newSchedulerView("waits", "Show which tasks wait for what, and for how long", waitsTable),
		a.newSchedulerView("served", "Show what became of the accepted jobs, by queue and size", servedTable),
		a.newSchedulerView("refusals", "Show which jobs were refused lately, why and until when", refusalsTable),
		a.newSchedulerView("workers", "Show which workers count as fast and slow", workersTable),
	)
	return c
}

// newSchedulerView returns a command that shows a part of the report.
func (a *app) newSchedulerView(use, short string, table func(*inspect.Report) (any, command.Table)) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: checkArgs(cobra.NoArgs),
		Example: "  leverdyke scheduler " + use + " --nodes 10.0.0.7:7735,10.0.0.8:7735",
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := a.fetchReport(cmd.Context())
			if err != nil {
				return err
			}
			v, t := table(report)
			return a.print(cmd, v, t)
		},
	}
}

func (a *app) fetchReport(ctx context.Context) (*inspect.Report, error) {
	names, err := a.nodeNames()
	if err != nil {
		return nil, err
	}
	nodes := make([]netip.AddrPort, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, netip.MustParseAddrPort(name))
	}
	if ctx == nil {
		ctx = context.Background()
	}
	return inspect.Fetch(ctx, &http.Client{Timeout: a.timeout}, nodes)
}

func waitsTable(r *inspect.Report) (any, command.Table) {
	t := command.Table{Header: []string{"QUEUE", "CUSTOMER", "REASON", "STEPS", "TASKS", "LONGEST"}}
	for _, w := range r.Waiting {
		t.Rows = append(t.Rows, []string{
			w.Queue, string(w.Customer), string(w.Reason), fmt.Sprint(w.Steps), fmt.Sprint(w.Tasks), w.Longest.Round(time.Millisecond).String(),
		})
	}
	return r.Waiting, t
}

func servedTable(r *inspect.Report) (any, command.Table) {
	t := command.Table{Header: []string{"QUEUE", "SIZE", "ACCEPTED", "IN TIME", "LATE", "TOO LATE", "FAILED", "CANCELLED", "OPEN", "OLDEST"}}
	for i := range r.Served {
		c := &r.Served[i]
		row := []string{c.Queue, string(c.Class)}
		for _, n := range []int{c.Accepted, c.InTime, c.Late, c.TooLate, c.Failed, c.Cancelled, c.Open} {
			row = append(row, fmt.Sprint(n))
		}
		t.Rows = append(t.Rows, append(row, c.Oldest.Round(time.Millisecond).String()))
	}
	return r.Served, t
}

func refusalsTable(r *inspect.Report) (any, command.Table) {
	t := command.Table{Header: []string{"AT", "JOB", "QUEUE", "CUSTOMER", "REASON", "RETRY AT"}}
	for _, f := range r.Refusals {
		retryAt := ""
		if !f.RetryAt.IsZero() {
			retryAt = f.RetryAt.Format(time.RFC3339)
		}
		t.Rows = append(t.Rows, []string{f.At.Format(time.RFC3339Nano), string(f.Job), f.Queue, string(f.Customer), f.Reason, retryAt})
	}
	return r.Refusals, t
}

func workersTable(r *inspect.Report) (any, command.Table) {
	t := command.Table{Header: []string{"WORKER", "CLASS", "RATIO", "OBSERVATIONS"}}
	for _, w := range r.Workers {
		t.Rows = append(t.Rows, []string{string(w.ID), w.Class, fmt.Sprintf("%.2f", w.Ratio), fmt.Sprintf("%.0f", w.Observations)})
	}
	return r.Workers, t
}
