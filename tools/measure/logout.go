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
	// logOutLease is as short as a deputy, who needs some 5.5 s, allows.
	logOutLease = 8 * time.Second
	// logOutTasks a second is what the cell of this measurement can run.
	logOutTasks = 24
	// logOutJob is how many of them are one job.
	logOutJob = 10000
)

func batchName(at int) string { return fmt.Sprint("batch-", at) }

// logOut measures what goes on and what is refused while the log is out, with
// a node killed in the middle.
func logOut(binary string) error {
	o := options{nodes: 3, racks: 3, workers: 4, settings: fmt.Sprintf("lease: %s\nsync: 500ms\n", logOutLease)}
	return withCell(binary, o, func(c *standin.Cluster) error {
		for _, name := range []string{"plain", "deeds"} {
			job := fmt.Sprintf("kind: service\ntasks: 6\neach: {milli_cpu: 100, memory_mib: 10}\nservice: %s\nrequest: {milli_cpu: 10, memory_mib: 1}\nrequest_once: %v\n", name, name == "deeds")
			if err := submit(c, name, job); err != nil {
				return err
			}
		}
		tasks := int(logOutTime.Seconds()) * logOutTasks
		for at := 0; at < tasks; at += logOutJob {
			job := fmt.Sprintf("kind: batch\ntasks: %d\neach: {milli_cpu: 1000, memory_mib: 10}\nrun_time: 4s\n", min(tasks-at, logOutJob))
			if err := submit(c, batchName(at), job); err != nil {
				return err
			}
		}
		if err := awaitRunning(c, 20); err != nil {
			return err
		}
		return logOutRows(c, tasks)
	})
}

func logOutRows(c *standin.Cluster, tasks int) error {
	c.Platform.Log.SetFaults(native.LogFaults{IsUnavailable: true})
	before := c.Platform.Oracle.Report()
	counts, killed, most := map[string]int{}, before.Starts, 0.0
	isKilled := false
	for until := time.Now().Add(*logOutTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if !isKilled && time.Until(until) < *logOutTime/2 {
			isKilled, killed = true, c.Platform.Oracle.Report().Starts
			c.Nodes[2].Signal(syscall.SIGKILL)
		}
		for _, service := range []string{"plain", "deeds"} {
			counts[service+" "+string(callService(c.Nodes[0], service))]++
		}
		for _, n := range c.Nodes[:2] {
			rss, err := n.RSS()
			if err != nil {
				return err
			}
			most = max(most, rss)
		}
	}
	r := c.Platform.Oracle.Report()
	c.Platform.Log.SetFaults(native.LogFaults{})
	if err := c.Nodes[2].Start(); err != nil {
		return err
	}
	isBack := standin.Await(patience+*logOutTime, func() bool {
		for at := 0; at < tasks; at += logOutJob {
			j, err := c.Client().Job(context.Background(), batchName(at))
			if err != nil || !j.IsEnded {
				return false
			}
		}
		return true
	})
	end := c.Platform.Oracle.Report()
	fmt.Printf("| the log out for %v (%.0f leases of %v), a node killed after half of it | |\n|---|---|\n", *logOutTime, float64(*logOutTime)/float64(logOutLease), logOutLease)
	fmt.Printf("| repeatable requests answered, not run | %d, %d |\n| once-only requests answered, not run | %d, %d |\n", counts["plain ran"], counts["plain not-run"], counts["deeds ran"], counts["deeds not-run"])
	fmt.Printf("| tasks started before the kill, after it | %d, %d |\n| leases lapsed | %d |\n", killed-before.Starts, r.Starts-killed, r.LeaseExpirations)
	fmt.Printf("| most resident memory of a node (MiB) | %.1f |\n| %d tasks done afterwards | %v |\n", most, tasks, isBack)
	fmt.Printf("| starts in all, double runs, over-commits | %d, %d, %d |\n", end.Starts, end.DoubleRuns, end.OverCommits)
	return nil
}
