// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

const (
	callerCount  = 6
	serviceDelay = "5"
	maxMicros    = 60_000_000
)

// requestLog records the results of the callers' requests.
type requestLog struct {
	mu         sync.Mutex
	latencies  *hdrhistogram.Histogram
	verdicts   map[string]int
	mismatches []string
	// onceVerdicts has, by idempotency key, the verdict that the caller got for each request that must not run
	// twice.
	onceVerdicts map[string]leverdyke.Verdict
}

func (c *requestLog) run(ctx context.Context, cluster *standin.Cluster) {
	c.latencies = hdrhistogram.New(1, maxMicros, 3)
	c.onceVerdicts = map[string]leverdyke.Verdict{}
	wg := sync.WaitGroup{}
	for i := range callerCount {
		wg.Go(func() { c.sendRequests(ctx, cluster, i) })
	}
	wg.Wait()
}

// sendRequests sends requests until ctx ends, each through the next node. A quarter of them must not run twice; the
// others are repeatable.
func (c *requestLog) sendRequests(ctx context.Context, cluster *standin.Cluster, caller int) {
	for n := caller; ctx.Err() == nil; n++ {
		node := cluster.Nodes[n%len(cluster.Nodes)]
		if n%4 == 0 {
			c.sendTwice(ctx, cluster, n)
			continue
		}
		body := fmt.Sprintf("caller %d request %d", caller, n)
		c.send(ctx, node, "company-search", body, "")
	}
}

// sendTwice sends a request that must not run twice, and sends it again through another node under the same
// key, as a caller does that does not know whether the first one ran.
func (c *requestLog) sendTwice(ctx context.Context, cluster *standin.Cluster, n int) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	body := "deed " + key.String()
	first := c.send(ctx, cluster.Nodes[n%len(cluster.Nodes)], "filing-check", body, key.String())
	second := c.send(ctx, cluster.Nodes[(n+1)%len(cluster.Nodes)], "filing-check", body, key.String())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onceVerdicts[key.String()] = first
	if first == leverdyke.VerdictNotRun && second != "" {
		c.onceVerdicts[key.String()] = second
	}
}

func (c *requestLog) send(ctx context.Context, n *standin.Node, service, body, key string) leverdyke.Verdict {
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, "http://"+n.Callers.String()+"/s/"+service+"/check", strings.NewReader(body))
	if err != nil {
		return ""
	}
	req.Header.Set(native.DelayHeader, serviceDelay)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	began := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		c.record("no answer (node down)", 0, "")
		return leverdyke.VerdictMayHaveRun
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	verdict := leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader))
	if err != nil {
		c.record("answer truncated, and the caller noticed", 0, "")
		return leverdyke.VerdictMayHaveRun
	}
	if verdict != leverdyke.VerdictRan {
		c.record(string(verdict), 0, "")
		return verdict
	}
	want := "POST /check\n" + body
	mismatch := ""
	if string(got) != want {
		mismatch = fmt.Sprintf("got %q, want %q", got, want)
	}
	c.record(string(verdict), time.Since(began), mismatch)
	return verdict
}

func (c *requestLog) record(verdict string, latency time.Duration, mismatch string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts[verdict]++
	if latency > 0 {
		_ = c.latencies.RecordValue(latency.Microseconds())
	}
	if mismatch != "" {
		c.mismatches = append(c.mismatches, mismatch)
	}
}

func (c *requestLog) print() {
	fmt.Printf("requests by verdict: %v\n", c.verdicts)
	fmt.Printf("request time p50 %v, p99 %v, max %v (the service itself takes 5 ms)\n",
		time.Duration(c.latencies.ValueAtQuantile(50))*time.Microsecond, time.Duration(c.latencies.ValueAtQuantile(99))*time.Microsecond,
		time.Duration(c.latencies.Max())*time.Microsecond)
}

// verify compares the answers and verdicts that callers got with what ran according to the oracle.
func (c *requestLog) verify(o *native.Oracle) error {
	if len(c.mismatches) > 0 {
		return fmt.Errorf("%d wrong answers, the first: %s", len(c.mismatches), c.mismatches[0])
	}
	for key, verdict := range c.onceVerdicts {
		ran := o.RequestRuns(key)
		if verdict == leverdyke.VerdictRan && ran != 1 {
			return fmt.Errorf("request %s: the verdict is that it ran, but it ran %d times", key, ran)
		}
		if verdict == leverdyke.VerdictNotRun && ran != 0 {
			return fmt.Errorf("request %s: the verdict is that it did not run, but it ran", key)
		}
	}
	return nil
}
