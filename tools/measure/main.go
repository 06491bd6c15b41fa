// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command measure runs clusters of real processes and prints the figures of docs/MEASUREMENTS.md as tables.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

const timeout = 60 * time.Second

// measurement is a named measurement that prints its table.
type measurement struct {
	name string
	run  func(binary string) error
}

var logOutageDuration = flag.Duration("logout", time.Minute, "how long the log is unavailable; 24m is as many leases of 8 s as an hour is of 20 s")

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	only := flag.String("only", "", "run only the measurement with this name")
	flag.Parse()
	for _, m := range []measurement{
		{"ownerless", ownerless},
		{"config", configPropagation},
		{"requests", requests},
		{"recovery", recovery},
		{"urgent", urgent},
		{"wave", massCancellation},
		{"mixed", mixed},
		{"counter", requestsInFullCluster},
		{"logout", logOutage},
	} {
		if *only != "" && *only != m.name {
			continue
		}
		fmt.Printf("\n### %s\n\n", m.name)
		if err := m.run(filepath.Join(*bin, "leverdyked")); err != nil {
			fmt.Fprintf(os.Stderr, "measure %s: %v\n", m.name, err)
			os.Exit(1)
		}
	}
}

// options configures the cluster of a measurement.
type options struct {
	nodes, racks, workers int
	capacity              leverdyke.Resources
	settings              string
}

// withCluster starts a cluster with one team, calls run with it, and closes it.
func withCluster(binary string, o options, run func(c *standin.Cluster) error) error {
	dir, err := os.MkdirTemp("", "leverdyke-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := standin.NewCluster(standin.NewClusterOptions{
		Binary: binary, Dir: dir, Nodes: o.nodes, Settings: o.settings,
		Platform: native.NewServerOptions{Zones: 1, Racks: o.racks, Workers: o.workers, Capacity: o.capacity},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	if !c.AwaitOwned(timeout, o.racks, 16) {
		return fmt.Errorf("not all racks and job shards have an owner")
	}
	for _, d := range [][2]string{
		{"office/head", "waiting: 0.5\npacking: 0.5\n"},
		{"team/t", "office: head\nquota: {milli_cpu: 100000000, memory_mib: 100000000, accelerators: 0, slots: 100000}\n"},
	} {
		if _, err := c.Client().Publish(context.Background(), d[0], &operator.PublishRequest{Body: d[1], Author: "measure"}); err != nil {
			return err
		}
	}
	return run(c)
}

func submit(c *standin.Cluster, id, body string) error {
	_, err := c.Client().Submit(context.Background(), &operator.SubmitRequest{ID: id, File: id, Body: "team: t\n" + body})
	return err
}

func awaitRunning(c *standin.Cluster, n int) error {
	if !standin.Await(timeout, func() bool { return c.Platform.Oracle.Report().Running >= n }) {
		return fmt.Errorf("%d of %d tasks are running", c.Platform.Oracle.Report().Running, n)
	}
	return nil
}

// status asks a node for the status of all nodes and returns its own.
func status(n *standin.Node) (operator.Status, bool) {
	list, err := operator.NewClient([]string{n.Operators.String()}, time.Second, nil).Nodes(context.Background())
	if err != nil {
		return operator.Status{}, false
	}
	for _, s := range list {
		if s.Node == n.Link.String() {
			return s, true
		}
	}
	return operator.Status{}, false
}

// newHistogram returns a histogram of microseconds, up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// quantiles formats the median, the 99th and 99.9th percentiles and the maximum.
func quantiles(h *hdrhistogram.Histogram) string {
	parts := []string{}
	for _, q := range []float64{50, 99, 99.9, 100} {
		parts = append(parts, (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(10*time.Microsecond).String())
	}
	return strings.Join(parts, " / ")
}
