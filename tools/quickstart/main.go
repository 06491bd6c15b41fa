// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command quickstart runs a whole cluster on loopback for half a minute and checks the scheduler's guarantees.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

const (
	racks      = 4
	jobShards  = 16
	nodes      = 3
	timeout    = 15 * time.Second
	workersCPU = 16000
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	keep := flag.Bool("keep", false, "keep the cluster running until interrupted")
	flag.Parse()
	if err := run(*bin, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart failed:", err)
		os.Exit(1)
	}
}

// quickstart is one run of the quickstart.
type quickstart struct {
	cluster  *standin.Cluster
	bin      string
	requests requestLog
}

func run(bin string, keep bool) error {
	dir, err := os.MkdirTemp("", "leverdyke-quickstart-")
	if err != nil {
		return err
	}
	cluster, err := standin.NewCluster(standin.NewClusterOptions{
		Binary: filepath.Join(bin, "leverdyked"), Dir: dir, Nodes: nodes,
		Platform: native.NewServerOptions{Zones: 2, Racks: 2, Workers: 3, Lag: time.Second},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	q := &quickstart{cluster: cluster, bin: bin, requests: requestLog{verdicts: map[string]int{}}}
	began := time.Now()
	for _, step := range []struct {
		name string
		do   func() error
	}{
		{"every rack and job shard has an owner", q.awaitOwners},
		{"templates and configuration are published", q.publish},
		{"a service, a batch and an all-at-once job are submitted", q.submit},
		{"callers' requests go through every node, and one node is killed", q.callAndKill},
		{"a job is cancelled", q.cancel},
		{"the guarantees hold", q.check},
	} {
		if err := step.do(); err != nil {
			return fmt.Errorf("%s: %w (logs are in %s)", step.name, err, dir)
		}
		fmt.Printf("%6.1fs  %s\n", time.Since(began).Seconds(), step.name)
	}
	if keep {
		q.keepRunning(dir)
		return nil
	}
	return os.RemoveAll(dir)
}

func (q *quickstart) awaitOwners() error {
	if !q.cluster.AwaitOwned(timeout, racks, jobShards) {
		return errors.New("not all racks and job shards have an owner")
	}
	return nil
}

// client runs the operators' client and returns its output.
func (q *quickstart) client(args ...string) (string, error) {
	addrs := []string{}
	for _, n := range q.cluster.Nodes {
		addrs = append(addrs, n.Operators.String())
	}
	c := exec.Command(filepath.Join(q.bin, "leverdyke"), append([]string{"--quiet", "--nodes", strings.Join(addrs, ",")}, args...)...)
	out, err := c.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("leverdyke %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}

func (q *quickstart) publish() error {
	for _, d := range [][2]string{
		{"office/head", "office-head"},
		{"office/brescia", "office-brescia"},
		{"team/filings", "team-filings"},
		{"team/reconciliation", "team-reconciliation"},
	} {
		if _, err := q.client("config", "publish", d[0], "examples/"+d[1]+".yaml"); err != nil {
			return err
		}
	}
	_, err := q.client("template", "publish", "nightly-reconciliation", "examples/template-reconciliation.yaml")
	return err
}

func (q *quickstart) submit() error {
	for _, j := range []string{"service", "service-repeatable", "batch", "all-at-once"} {
		if _, err := q.client("job", "submit", "examples/"+j+".yaml", "--id", j, "--wait", "10s"); err != nil {
			return err
		}
	}
	return nil
}

// callAndKill sends requests through all nodes while one of them is killed and started again.
func (q *quickstart) callAndKill() error {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.requests.run(ctx, q.cluster)
	}()
	killed := q.cluster.Nodes[nodes-1]
	time.Sleep(1500 * time.Millisecond)
	killed.Signal(syscall.SIGKILL)
	killed.Wait(timeout)
	time.Sleep(1500 * time.Millisecond)
	if err := killed.Start(); err != nil {
		return err
	}
	<-done
	if !standin.Await(timeout, killed.IsReady) {
		return errors.New("the killed node is not ready again after its restart")
	}
	return nil
}

func (q *quickstart) cancel() error {
	if _, err := q.client("job", "cancel", "service-repeatable"); err != nil {
		return err
	}
	if !standin.Await(timeout, func() bool { return q.cluster.Platform.Oracle.Report().Running == 3 }) {
		return fmt.Errorf("%d tasks run, want 3: those of the service that was not cancelled", q.cluster.Platform.Oracle.Report().Running)
	}
	return nil
}

// check prints tables of the jobs, the workers and the requests, and returns an error if a guarantee was violated.
func (q *quickstart) check() error {
	r := q.cluster.Platform.Oracle.Report()
	jobs, err := q.client("job", "list", "--all")
	if err != nil {
		return err
	}
	workers, err := q.client("worker", "list")
	if err != nil {
		return err
	}
	fmt.Printf("\n%s\n%s\n", jobs, workers)
	q.requests.print()
	fmt.Printf("tasks started %d, requests run %d, over-commits %d, double runs %d, repeated %d, starts on leaving VMs %d, expired leases %d\n\n",
		r.Starts, r.Requests, r.OverCommits, r.DoubleRuns, r.Repeated, r.StartsOnLeaving, r.LeaseExpirations)
	if r.OverCommits+r.DoubleRuns+r.Repeated+r.StartsOnLeaving > 0 {
		return fmt.Errorf("violated: %s", strings.Join(r.Violations, "; "))
	}
	if r.LeaseExpirations > 0 {
		return fmt.Errorf("%d tasks lost their lease because a node was killed", r.LeaseExpirations)
	}
	return q.requests.verify(q.cluster.Platform.Oracle)
}

// keepRunning keeps the cluster running until it is interrupted, and prints commands to try.
func (q *quickstart) keepRunning(dir string) {
	n := q.cluster.Nodes
	fmt.Printf("The cluster keeps running; Ctrl-C ends it. Logs and settings are in %s. Try:\n\n", dir)
	fmt.Printf("  export LEVERDYKE_NODES=%s,%s\n", n[0].Operators, n[1].Operators)
	fmt.Printf("  %s/leverdyke node list\n  %s/leverdyke job submit examples/batch.yaml --wait 10s\n", q.bin, q.bin)
	fmt.Printf("  curl -i http://%s/s/filing-check/hello\n", n[0].Callers)
	fmt.Printf("  curl -s http://%s/v1/oracle\n", q.cluster.Platform.Addr())
	fmt.Printf("  curl -X PUT http://%s/v1/faults/log -d '{\"out\":true}'\n", q.cluster.Platform.Addr())
	fmt.Printf("  kill -9 %d\n", n[0].Pid())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
