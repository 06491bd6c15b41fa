// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"

	"github.com/leverdyke/leverdyke/internal/standin"
)

const fullClusterWorkers = 24

// requestsInFullCluster measures how long callers wait while batch tasks occupy the whole cluster and more of
// them are queued.
func requestsInFullCluster(binary string) error {
	fmt.Println("| requests in a full cluster | callers | answered/s | wait and service p50 / p99 / p99.9 / max | node's processor (ms a request) | control bytes/s a node |\n|---|---|---|---|---|---|")
	for _, callers := range []int{1, 24} {
		err := withCluster(binary, options{nodes: 3, racks: 6, workers: 4}, func(c *standin.Cluster) error {
			if err := submit(c, "s", "kind: service\ntasks: 12\neach: {milli_cpu: 100, memory_mib: 10}\nservice: s\nrequest: {milli_cpu: 10, memory_mib: 1}\n"); err != nil {
				return err
			}
			if err := awaitRunning(c, 12); err != nil {
				return err
			}
			if err := submit(c, "fill", "kind: batch\nclass: batch\ntasks: 20000\neach: {milli_cpu: 1000, memory_mib: 100}\nrun_time: 4s\n"); err != nil {
				return err
			}
			// Each worker has eight slots.
			if err := awaitRunning(c, 8*fullClusterWorkers); err != nil {
				return err
			}
			before := c.Platform.Oracle.Report()
			if err := loadRequests(c, "repeatable", false, callers); err != nil {
				return err
			}
			r := c.Platform.Oracle.Report()
			fmt.Printf("| attempts that ended meanwhile, stopped or finished | | %d, with %d running at the end | | | |\n", r.Stops-before.Stops, r.Running)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
