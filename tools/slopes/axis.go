// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

const (
	patience = 30 * time.Second
	settle   = 3 * time.Second
	// longSettle is for what is told once, with the next report after a start,
	// and must not be counted as what a running task costs.
	longSettle = 9 * time.Second
)

// axis is one thing that grows while all else stays.
type axis struct {
	name string
	// unit is what x counts, per node.
	unit string
	// sizes are the settings; atSize is x for the two-year size and today.
	sizes         []int
	atSize, today float64
	// cell says what to start for a size, load what to do to it meanwhile.
	cell func(size int) standin.NewCellOptions
	load func(ctx context.Context, c *standin.Cell, size int) error
	// settle is how long to wait before the window; 0 means 3 s.
	settle time.Duration
	// x is the size per node.
	x func(size int) float64
}

// point is what one node costs at one size.
type point struct {
	x float64
	// cpu is a part of a core, rss in MiB, bytes a second both ways, appends a
	// second.
	cpu, rss, bytes, appends float64
}

// axisResult is a measured axis.
type axisResult struct {
	axis   axis
	points []point
}

const (
	nodes     = 3
	manyNodes = 8
)

func baseCell(racks, workers int) standin.NewCellOptions {
	return standin.NewCellOptions{
		Nodes: nodes,
		Platform: native.NewServerOptions{
			Zones: 1, Racks: racks, Workers: workers,
			Capacity: leverdyke.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20, Slots: 1000},
		},
	}
}

func axes() []axis {
	perNode := func(size int) float64 { return float64(size) / nodes }
	none := func(context.Context, *standin.Cell, int) error { return nil }
	return []axis{
		{
			name: "workers", unit: "workers", sizes: []int{24, 96, 240}, atSize: 1100.0 / 14, today: 96.0 / 14, x: perNode, load: none,
			cell: func(size int) standin.NewCellOptions { return baseCell(size/8, 8) },
		},
		{
			name: "tasks", unit: "running tasks", sizes: []int{0, 1000, 3000}, atSize: 10000.0 / 14, today: 400.0 / 14, x: perNode, settle: longSettle,
			cell: func(int) standin.NewCellOptions { return baseCell(6, 8) },
			load: func(ctx context.Context, c *standin.Cell, size int) error { return runService(ctx, c, size) },
		},
		{
			name: "starts", unit: "task starts a second", sizes: []int{0, 15, 45}, atSize: 110.0 / 14, today: 10.0 / 14, x: perNode,
			cell: func(int) standin.NewCellOptions { return baseCell(6, 8) },
			load: churn,
		},
		{
			name: "starts8", unit: "task starts a second, 8 nodes", sizes: []int{0, 24, 64}, atSize: 110.0 / 14, today: 10.0 / 14,
			x: func(size int) float64 { return float64(size) / manyNodes },
			cell: func(int) standin.NewCellOptions {
				o := baseCell(8, 4)
				o.Nodes = manyNodes
				return o
			},
			load: churn,
		},
		{
			name: "peers", unit: "peers", sizes: []int{2, 5, 10}, atSize: 13, today: 13, x: func(size int) float64 { return float64(size) }, load: none,
			cell: func(size int) standin.NewCellOptions {
				// As many racks a node at each size.
				o := baseCell(2*(size+1), 4)
				o.Nodes = size + 1
				return o
			},
		},
		{
			name: "records", unit: "documents a second in the log", sizes: []int{0, 4, 12}, atSize: 1, today: 0.1, x: func(size int) float64 { return float64(size) },
			cell: func(int) standin.NewCellOptions { return baseCell(3, 8) },
			load: publishAt,
		},
	}
}

func (a *axis) measure(binary string) (axisResult, error) {
	r := axisResult{axis: *a}
	for _, size := range a.sizes {
		p, err := a.measureOne(binary, size)
		if err != nil {
			return r, fmt.Errorf("at %d: %w", size, err)
		}
		r.points = append(r.points, p)
	}
	return r, nil
}

// measureOne starts a cell, waits until it is quiet, and reads what its nodes
// used in the window.
func (a *axis) measureOne(binary string, size int) (point, error) {
	dir, err := os.MkdirTemp("", "leverdyke-slopes-")
	if err != nil {
		return point{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o := a.cell(size)
	o.Binary, o.Dir = binary, dir
	c, err := standin.NewCell(o)
	if err != nil {
		return point{}, err
	}
	defer c.Close()
	if !c.AwaitOwned(patience, o.Platform.Racks, 16) {
		return point{}, fmt.Errorf("not all shards have an owner")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := prepare(ctx, c); err != nil {
		return point{}, err
	}
	if err := a.load(ctx, c, size); err != nil {
		return point{}, err
	}
	time.Sleep(max(a.settle, settle))
	before, err := usageOf(c)
	if err != nil {
		return point{}, err
	}
	time.Sleep(window)
	after, err := usageOf(c)
	if err != nil {
		return point{}, err
	}
	return after.since(before, a.x(size)), nil
}

func prepare(ctx context.Context, c *standin.Cell) error {
	for _, d := range [][2]string{
		{"office/head", "waiting: 0.5\npacking: 0.5\n"},
		{"team/t", "office: head\nquota: {milli_cpu: 100000000, memory_mib: 100000000, accelerators: 0, slots: 100000}\n"},
	} {
		if _, err := c.Client().Publish(ctx, d[0], &operator.PublishRequest{Body: d[1], Author: "slopes"}); err != nil {
			return err
		}
	}
	return nil
}

// runService runs tasks that stay, and waits until they do.
func runService(ctx context.Context, c *standin.Cell, tasks int) error {
	// In several jobs of several teams, so that several homes keep them.
	const parts = 10
	if tasks == 0 {
		return nil
	}
	for i := range parts {
		team := fmt.Sprintf("t%d", i)
		body := "office: head\nquota: {milli_cpu: 100000000, memory_mib: 100000000, accelerators: 0, slots: 100000}\n"
		if _, err := c.Client().Publish(ctx, "team/"+team, &operator.PublishRequest{Body: body, Author: "slopes"}); err != nil {
			return err
		}
		job := fmt.Sprintf("team: %s\nkind: service\ntasks: %d\neach: {milli_cpu: 1, memory_mib: 1}\n", team, tasks/parts)
		if _, err := c.Client().Submit(ctx, &operator.SubmitRequest{ID: "stay-" + team, File: "stay", Body: job}); err != nil {
			return err
		}
	}
	if !standin.Await(patience, func() bool { return c.Platform.Oracle.Report().Running >= tasks }) {
		return fmt.Errorf("%d of %d tasks run", c.Platform.Oracle.Report().Running, tasks)
	}
	return nil
}

// churn submits batches so that size tasks start a second.
func churn(ctx context.Context, c *standin.Cell, size int) error {
	if size == 0 {
		return nil
	}
	go func() {
		ticks := time.NewTicker(time.Second)
		defer ticks.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticks.C:
			}
			job := fmt.Sprintf("team: t\nkind: batch\ntasks: %d\neach: {milli_cpu: 1, memory_mib: 1}\nrun_time: 3s\n", size)
			_, _ = c.Client().Submit(ctx, &operator.SubmitRequest{ID: fmt.Sprint("churn-", i), File: "churn", Body: job})
		}
	}()
	return nil
}

// publishAt publishes size documents a second, each of its own.
func publishAt(ctx context.Context, c *standin.Cell, size int) error {
	body := "office: head\nquota: {milli_cpu: 1000, memory_mib: 1000, accelerators: 0, slots: 10}\n" + strings.Repeat("#", 200)
	for w := range size {
		go func() {
			ticks := time.NewTicker(time.Second)
			defer ticks.Stop()
			for base := uint64(0); ; base++ {
				select {
				case <-ctx.Done():
					return
				case <-ticks.C:
				}
				_, _ = c.Client().Publish(ctx, fmt.Sprintf("team/w%d", w), &operator.PublishRequest{Base: base, Body: body, Author: "slopes"})
			}
		}()
	}
	return nil
}
