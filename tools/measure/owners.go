// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/standin"
)

// ownerless measures how long racks have no owner after a node was killed, stopped as planned or paused.
func ownerless(binary string) error {
	fmt.Println("| signal to the node | without an owner p50 / p99 / p99.9 / max | tasks that lost their lease |\n|---|---|---|")
	for _, stop := range []struct {
		name   string
		signal syscall.Signal
	}{{"SIGKILL", syscall.SIGKILL}, {"SIGTERM", syscall.SIGTERM}, {"SIGSTOP", syscall.SIGSTOP}} {
		err := withCluster(binary, options{nodes: 3, racks: 6, workers: 4, settings: "drain_wait: 100ms\n"}, func(c *standin.Cluster) error {
			if err := submit(c, "s", "kind: service\ntasks: 60\neach: {milli_cpu: 100, memory_mib: 10}\n"); err != nil {
				return err
			}
			if err := awaitRunning(c, 60); err != nil {
				return err
			}
			h := newHistogram()
			for range 6 {
				if err := stopAndRestart(c, busiest(c), stop.signal, h); err != nil {
					return err
				}
			}
			fmt.Printf("| %s, 6 times | %s | %d |\n", stop.name, quantiles(h), c.Platform.Oracle.Report().LeaseExpirations)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// stopAndRestart sends a signal to the i-th node and records how long it takes until the other nodes own all racks. Then
// it restarts or resumes the node, and waits until it is ready and no rack has two owners.
func stopAndRestart(c *standin.Cluster, i int, sig syscall.Signal, durations interface{ RecordValue(int64) error }) error {
	stopped := c.Nodes[i]
	began := time.Now()
	stopped.Signal(sig)
	if !standin.Await(timeout, func() bool { return racksOwnedWithout(c, i) >= 6 }) {
		return fmt.Errorf("the other nodes own %d of 6 racks", racksOwnedWithout(c, i))
	}
	_ = durations.RecordValue(time.Since(began).Microseconds())
	if sig == syscall.SIGSTOP {
		stopped.Signal(syscall.SIGCONT)
	} else {
		stopped.Wait(timeout)
		if err := stopped.Start(); err != nil {
			return err
		}
	}
	// A resumed node counts its former racks as its own until it has seen their new owners.
	standin.Await(timeout, func() bool {
		s, ok := status(stopped)
		return ok && s.IsReady && racksOwnedWithout(c, -1) == 6
	})
	return nil
}

// busiest returns the node that owns the most racks.
func busiest(c *standin.Cluster) int {
	best, highest := 0, -1
	for i, n := range c.Nodes {
		if s, ok := localStatus(n); ok && len(s.Racks) > highest {
			best, highest = i, len(s.Racks)
		}
	}
	return best
}

// racksOwnedWithout returns how many racks all nodes but one own; -1 excludes none.
func racksOwnedWithout(c *standin.Cluster, excluded int) int {
	sum := 0
	for j, n := range c.Nodes {
		if j == excluded {
			continue
		}
		if s, ok := localStatus(n); ok {
			sum += len(s.Racks)
		}
	}
	return sum
}

// configPropagation measures how long a configuration change takes until it is in force on all of 7 nodes.
func configPropagation(binary string) error {
	return withCluster(binary, options{nodes: 7, racks: 3, workers: 2}, func(c *standin.Cluster) error {
		h := newHistogram()
		const changes = 60
		for i := range changes {
			began := time.Now()
			body := fmt.Sprintf("waiting: 0.%d\npacking: 0.5\n", i+10)
			if _, err := c.Client().Publish(context.Background(), "office/o", &operator.PublishRequest{Base: uint64(i), Body: body, Author: "measure"}); err != nil {
				return err
			}
			for _, n := range c.Nodes {
				client := operator.NewClient([]string{n.Operators.String()}, time.Second, nil)
				standin.Await(timeout, func() bool {
					d, err := client.Doc(context.Background(), "office/o")
					return err == nil && d.Version > uint64(i)
				})
			}
			_ = h.RecordValue(time.Since(began).Microseconds())
		}
		fmt.Printf("| %d changes, 7 nodes | p50 / p99 / p99.9 / max |\n|---|---|\n| from the operator's call until in force on all nodes | %s |\n", changes, quantiles(h))
		return nil
	})
}

// recovery measures how long the successors of a killed node take until they know all running tasks, with several
// numbers of tasks.
func recovery(binary string) error {
	fmt.Println("| tasks running | successors own all racks after | all tasks of a rack known, after the claim (max) |\n|---|---|---|")
	for _, tasks := range []int{100, 1000, 10000} {
		capacity := leverdyke.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20, Slots: 400}
		err := withCluster(binary, options{nodes: 3, racks: 6, workers: 8, capacity: capacity}, func(c *standin.Cluster) error {
			if err := submit(c, "s", fmt.Sprintf("kind: service\ntasks: %d\neach: {milli_cpu: 1, memory_mib: 1}\n", tasks)); err != nil {
				return err
			}
			if err := awaitRunning(c, tasks); err != nil {
				return err
			}
			before := len(rackCompletionTimes(c))
			h := newHistogram()
			if err := stopAndRestart(c, 0, syscall.SIGKILL, h); err != nil {
				return err
			}
			standin.Await(timeout, func() bool { return len(rackCompletionTimes(c)) > before })
			longest := time.Duration(0)
			for _, d := range rackCompletionTimes(c)[before:] {
				longest = max(longest, d)
			}
			fmt.Printf("| %d | %v | %v |\n", tasks, time.Duration(h.Max())*time.Microsecond, longest)
			if got := c.Platform.Oracle.Report(); got.LeaseExpirations+got.DoubleRuns > 0 {
				return fmt.Errorf("%d leases expired, %d double runs", got.LeaseExpirations, got.DoubleRuns)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
