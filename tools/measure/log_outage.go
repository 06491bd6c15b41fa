// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

const (
	// logOutageLease is short, but still long enough for a deputy to keep a rack alive, which takes some 5.5 s.
	logOutageLease = 8 * time.Second
	// logOutageTasksPerSecond is the rate of tasks that the cluster of this measurement can run.
	logOutageTasksPerSecond = 24
	// logOutageTasksPerJob is the maximum number of tasks of one job.
	logOutageTasksPerJob = 10000
)

// batchName returns the ID of the job whose first task has the given number.
func batchName(first int) string { return fmt.Sprint("batch-", first) }

// logOutage measures which requests and tasks still run while the log is unavailable, and which are refused. A
// node is killed halfway through the outage.
func logOutage(binary string) error {
	o := options{nodes: 3, racks: 3, workers: 4, settings: fmt.Sprintf("lease: %s\nsync: 500ms\n", logOutageLease)}
	return withCluster(binary, o, func(c *standin.Cluster) error {
		for _, name := range []string{"plain", "deeds"} {
			job := fmt.Sprintf("kind: service\ntasks: 6\neach: {milli_cpu: 100, memory_mib: 10}\nservice: %s\nrequest: {milli_cpu: 10, memory_mib: 1}\nrequest_once: %v\n", name, name == "deeds")
			if err := submit(c, name, job); err != nil {
				return err
			}
		}
		tasks := int(logOutageDuration.Seconds()) * logOutageTasksPerSecond
		for first := 0; first < tasks; first += logOutageTasksPerJob {
			job := fmt.Sprintf("kind: batch\ntasks: %d\neach: {milli_cpu: 1000, memory_mib: 10}\nrun_time: 4s\n", min(tasks-first, logOutageTasksPerJob))
			if err := submit(c, batchName(first), job); err != nil {
				return err
			}
		}
		if err := awaitRunning(c, 20); err != nil {
			return err
		}
		return printLogOutage(c, tasks)
	})
}

func printLogOutage(c *standin.Cluster, tasks int) error {
	c.Platform.Log.SetFaults(native.LogFaults{IsUnavailable: true})
	before := c.Platform.Oracle.Report()
	verdictCounts, startsAtKill, maxRSS := map[string]int{}, before.Starts, 0.0
	isKilled := false
	for deadline := time.Now().Add(*logOutageDuration); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if !isKilled && time.Until(deadline) < *logOutageDuration/2 {
			isKilled, startsAtKill = true, c.Platform.Oracle.Report().Starts
			c.Nodes[2].Signal(syscall.SIGKILL)
		}
		for _, service := range []string{"plain", "deeds"} {
			verdictCounts[service+" "+string(requestService(c.Nodes[0], service))]++
		}
		for _, n := range c.Nodes[:2] {
			rss, err := n.RSS()
			if err != nil {
				return err
			}
			maxRSS = max(maxRSS, rss)
		}
	}
	r := c.Platform.Oracle.Report()
	c.Platform.Log.SetFaults(native.LogFaults{})
	if err := c.Nodes[2].Start(); err != nil {
		return err
	}
	areDone := standin.Await(timeout+*logOutageDuration, func() bool {
		for first := 0; first < tasks; first += logOutageTasksPerJob {
			j, err := c.Client().Job(context.Background(), batchName(first))
			if err != nil || !j.IsEnded {
				return false
			}
		}
		return true
	})
	end := c.Platform.Oracle.Report()
	fmt.Printf("| log unavailable for %v (%.0f leases of %v), a node killed after half of it | |\n|---|---|\n", *logOutageDuration, float64(*logOutageDuration)/float64(logOutageLease), logOutageLease)
	fmt.Printf("| repeatable requests answered, not run | %d, %d |\n| once-only requests answered, not run | %d, %d |\n", verdictCounts["plain ran"], verdictCounts["plain not-run"], verdictCounts["deeds ran"], verdictCounts["deeds not-run"])
	fmt.Printf("| tasks started before the kill, after it | %d, %d |\n| leases expired | %d |\n", startsAtKill-before.Starts, r.Starts-startsAtKill, r.LeaseExpirations)
	fmt.Printf("| most resident memory of a node (MiB) | %.1f |\n| all %d tasks ended afterwards | %v |\n", maxRSS, tasks, areDone)
	fmt.Printf("| starts in all, double runs, over-commits | %d, %d, %d |\n", end.Starts, end.DoubleRuns, end.OverCommits)
	return nil
}
