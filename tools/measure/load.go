// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/standin"
)

const loadDuration = 8 * time.Second

// localStatus asks a node for its own status only, so that the answer does not depend on other nodes.
func localStatus(n *standin.Node) (operator.Status, bool) {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.Operators.String() + "/v1/nodes?local=1")
	if err != nil {
		return operator.Status{}, false
	}
	defer func() { _ = res.Body.Close() }()
	list := []operator.Status{}
	if json.NewDecoder(res.Body).Decode(&list) != nil || len(list) == 0 {
		return operator.Status{}, false
	}
	return list[0], true
}

// rackCompleteLine matches the log line of event LD0303, by which a node reports that it knows all tasks on a rack.
var rackCompleteLine = regexp.MustCompile(`"LD0303".* detail="([^"]+)"`)

// rackCompletionTimes returns, from the logs of all nodes, how long it took until a new owner knew all tasks that
// run on its rack.
func rackCompletionTimes(c *standin.Cluster) []time.Duration {
	list := []time.Duration{}
	for _, n := range c.Nodes {
		for _, m := range rackCompleteLine.FindAllStringSubmatch(n.Log(), -1) {
			if d, err := time.ParseDuration(m[1]); err == nil {
				list = append(list, d)
			}
		}
	}
	return list
}

// requests measures callers' requests through three nodes, repeatable ones and ones that must not run twice.
func requests(binary string) error {
	capacity := leverdyke.Resources{MilliCPU: 64000, MemoryMiB: 65536, Slots: 64}
	fmt.Println("| requests | callers | answered/s | wait and service p50 / p99 / p99.9 / max | node's processor (ms a request) | control bytes/s a node |\n|---|---|---|---|---|---|")
	for _, kind := range []struct {
		name    string
		isOnce  bool
		callers int
	}{{"repeatable", false, 1}, {"once-only", true, 1}, {"repeatable", false, 48}, {"once-only", true, 48}} {
		err := withCluster(binary, options{nodes: 3, racks: 3, workers: 4, capacity: capacity}, func(c *standin.Cluster) error {
			job := fmt.Sprintf("kind: service\ntasks: 12\neach: {milli_cpu: 100, memory_mib: 10}\nservice: s\nrequest: {milli_cpu: 10, memory_mib: 1}\nrequest_once: %v\n", kind.isOnce)
			if err := submit(c, "s", job); err != nil {
				return err
			}
			if err := awaitRunning(c, 12); err != nil {
				return err
			}
			return loadRequests(c, kind.name, kind.isOnce, kind.callers)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func loadRequests(c *standin.Cluster, name string, isOnce bool, callers int) error {
	h := newHistogram()
	mu := sync.Mutex{}
	refused := 0
	cpu, control := totalCPUSeconds(c), totalControlBytes(c)
	ctx, cancel := context.WithTimeout(context.Background(), loadDuration)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	wg := sync.WaitGroup{}
	for i := range callers {
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				began := time.Now()
				verdict := sendRequest(client, c.Nodes[n%len(c.Nodes)], isOnce)
				mu.Lock()
				if verdict == leverdyke.VerdictRan {
					_ = h.RecordValue(time.Since(began).Microseconds())
				} else {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	count := float64(h.TotalCount())
	fmt.Printf("| %s | %d | %.0f (%d refused) | %s | %.2f | %.0f |\n", name, callers, count/loadDuration.Seconds(), refused, quantiles(h),
		1000*(totalCPUSeconds(c)-cpu)/max(count, 1), (totalControlBytes(c)-control)/loadDuration.Seconds()/float64(len(c.Nodes)))
	if r := c.Platform.Oracle.Report(); r.OverCommits+r.Repeated > 0 {
		return errors.New(strings.Join(r.Violations, "; "))
	}
	return nil
}

func sendRequest(client *http.Client, n *standin.Node, isOnce bool) leverdyke.Verdict {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+"/s/s/x", strings.NewReader("body"))
	if err != nil {
		return ""
	}
	req.Header.Set("Leverdyke-Timeout", "3s")
	if key, err := uuid.NewV7(); isOnce && err == nil {
		req.Header.Set("Idempotency-Key", key.String())
	}
	res, err := client.Do(req)
	if err != nil {
		return leverdyke.VerdictMayHaveRun
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return leverdyke.VerdictMayHaveRun
	}
	return leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader))
}

// totalCPUSeconds returns the processor time of all nodes together, in seconds.
func totalCPUSeconds(c *standin.Cluster) float64 {
	sum := 0.0
	for _, n := range c.Nodes {
		sum += metric(n, `leverdyke_load{what="cpu_seconds"`)
	}
	return sum
}

// totalControlBytes returns the control traffic of all nodes together, in bytes.
func totalControlBytes(c *standin.Cluster) float64 {
	sum := 0.0
	for _, n := range c.Nodes {
		sum += metric(n, "leverdyke_control")
	}
	return sum
}

// metric returns the sum of the values of all lines of a node's metrics that begin with prefix.
func metric(n *standin.Node, prefix string) float64 {
	res, err := http.Get("http://" + n.Operators.String() + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	sum := 0.0
	for _, line := range strings.Split(string(data), "\n") {
		if !strings.HasPrefix(line, prefix) {
			continue
		}
		value := 0.0
		_, _ = fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &value)
		sum += value
	}
	return sum
}

var taskStartedLine = regexp.MustCompile(`"LD0402".*class="(\w+)" waited="([^"]+)"`)

// waits returns how many tasks of a class were started and how long they waited, from the logs of all nodes.
func waits(c *standin.Cluster, class string) string {
	h := newHistogram()
	for _, n := range c.Nodes {
		for _, m := range taskStartedLine.FindAllStringSubmatch(n.Log(), -1) {
			if d, err := time.ParseDuration(m[2]); err == nil && m[1] == class {
				_ = h.RecordValue(d.Microseconds())
			}
		}
	}
	return fmt.Sprintf("%d started, %s", h.TotalCount(), quantiles(h))
}

// urgent measures how long urgent tasks wait while batch tasks occupy the whole cluster.
func urgent(binary string) error {
	return withCluster(binary, options{nodes: 3, racks: 6, workers: 4}, func(c *standin.Cluster) error {
		if err := submit(c, "fill", "kind: batch\nclass: batch\ntasks: 1000\neach: {milli_cpu: 2000, memory_mib: 4096}\nrun_time: 10m\n"); err != nil {
			return err
		}
		if err := awaitRunning(c, 24*8); err != nil {
			return err
		}
		for i := range 40 {
			if err := submit(c, fmt.Sprint("urgent-", i), "kind: batch\nclass: urgent\ntasks: 2\neach: {milli_cpu: 2000, memory_mib: 2048}\nrun_time: 5s\n"); err != nil {
				return err
			}
		}
		standin.Await(20*time.Second, func() bool { return strings.HasPrefix(waits(c, "urgent"), "80 ") })
		r := c.Platform.Oracle.Report()
		fmt.Printf("| a full cluster of 24 workers | p50 / p99 / p99.9 / max |\n|---|---|\n| urgent tasks' wait (limit 3.4 s) | %s |\n| over-commits | %d |\n", waits(c, "urgent"), r.OverCommits)
		return nil
	})
}

// massCancellation measures the cancellation of 5,000 jobs in one call, and how long urgent tasks wait meanwhile.
func massCancellation(binary string) error {
	return withCluster(binary, options{nodes: 3, racks: 3, workers: 4, settings: "appends_per_second: 30\n"}, func(c *standin.Cluster) error {
		const jobs = 5000
		ids := make([]string, jobs)
		next := make(chan int, jobs)
		for i := range jobs {
			ids[i] = fmt.Sprintf("j%04d", i)
			next <- i
		}
		close(next)
		errs := make(chan error, 400)
		for range 400 {
			go func() {
				for i := range next {
					if err := submit(c, ids[i], "kind: batch\nclass: batch\ntasks: 1\neach: {milli_cpu: 8000, memory_mib: 100}\nrun_time: 10m\n"); err != nil {
						errs <- err
						return
					}
				}
				errs <- nil
			}()
		}
		for range 400 {
			if err := <-errs; err != nil {
				return err
			}
		}
		done := make(chan time.Duration, 1)
		go func() {
			began := time.Now()
			_, _ = c.Client().Cancel(context.Background(), ids)
			done <- time.Since(began)
		}()
		for i := range 20 {
			if err := submit(c, fmt.Sprint("other-", i), "kind: batch\nclass: urgent\ntasks: 1\neach: {milli_cpu: 100, memory_mib: 10}\nrun_time: 5s\n"); err != nil {
				return err
			}
		}
		duration := <-done
		standin.Await(20*time.Second, func() bool { return strings.HasPrefix(waits(c, "urgent"), "20 ") })
		fmt.Printf("| 5,000 cancellations in one call | |\n|---|---|\n| the call | %v |\n| wait of 20 urgent tasks submitted meanwhile, p50 / p99 / p99.9 / max | %s |\n", duration, waits(c, "urgent"))
		return nil
	})
}

func requestService(n *standin.Node, service string) leverdyke.Verdict {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+"/s/"+service+"/x", strings.NewReader("body"))
	if err != nil {
		return ""
	}
	req.Header.Set("Leverdyke-Timeout", "2s")
	if key, err := uuid.NewV7(); err == nil {
		req.Header.Set("Idempotency-Key", key.String())
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	_ = res.Body.Close()
	return leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader))
}
