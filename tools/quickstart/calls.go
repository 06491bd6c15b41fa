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
	callers      = 6
	serviceDelay = "5"
	maxMicros    = 60_000_000
)

// calls is what became of the callers' requests.
type calls struct {
	mu       sync.Mutex
	waits    *hdrhistogram.Histogram
	verdicts map[string]int
	wrong    []string
	// sent has the keys of requests that may not be repeated, with the verdict
	// that their caller got.
	sent map[string]leverdyke.Verdict
}

func (c *calls) run(ctx context.Context, cell *standin.Cluster) {
	c.waits = hdrhistogram.New(1, maxMicros, 3)
	c.sent = map[string]leverdyke.Verdict{}
	wg := sync.WaitGroup{}
	for i := range callers {
		wg.Go(func() { c.runCaller(ctx, cell, i) })
	}
	wg.Wait()
}

// runCaller sends repeatable and once-only requests in turn, each through
// another node.
func (c *calls) runCaller(ctx context.Context, cell *standin.Cluster, caller int) {
	for n := caller; ctx.Err() == nil; n++ {
		node := cell.Nodes[n%len(cell.Nodes)]
		if n%4 == 0 {
			c.callOnce(ctx, cell, n)
			continue
		}
		body := fmt.Sprintf("caller %d request %d", caller, n)
		c.call(ctx, node, "company-search", body, "")
	}
}

// callOnce sends a request that may not be repeated, and once more through
// another node under the same key, as a caller does that is in doubt.
func (c *calls) callOnce(ctx context.Context, cell *standin.Cluster, n int) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	body := "deed " + key.String()
	first := c.call(ctx, cell.Nodes[n%len(cell.Nodes)], "filing-check", body, key.String())
	second := c.call(ctx, cell.Nodes[(n+1)%len(cell.Nodes)], "filing-check", body, key.String())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[key.String()] = first
	if first == leverdyke.VerdictNotRun && second != "" {
		c.sent[key.String()] = second
	}
}

func (c *calls) call(ctx context.Context, n *standin.Node, service, body, key string) leverdyke.Verdict {
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
		c.note("no answer (node down)", 0, "")
		return leverdyke.VerdictMayHaveRun
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	verdict := leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader))
	if err != nil {
		c.note("cut short, and seen to be", 0, "")
		return leverdyke.VerdictMayHaveRun
	}
	if verdict != leverdyke.VerdictRan {
		c.note(string(verdict), 0, "")
		return verdict
	}
	want := "POST /check\n" + body
	wrong := ""
	if string(got) != want {
		wrong = fmt.Sprintf("got %q, want %q", got, want)
	}
	c.note(string(verdict), time.Since(began), wrong)
	return verdict
}

func (c *calls) note(verdict string, took time.Duration, wrong string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts[verdict]++
	if took > 0 {
		_ = c.waits.RecordValue(took.Microseconds())
	}
	if wrong != "" {
		c.wrong = append(c.wrong, wrong)
	}
}

func (c *calls) print() {
	fmt.Printf("requests by verdict: %v\n", c.verdicts)
	fmt.Printf("request time p50 %v, p99 %v, max %v (the service works 5 ms)\n",
		time.Duration(c.waits.ValueAtQuantile(50))*time.Microsecond, time.Duration(c.waits.ValueAtQuantile(99))*time.Microsecond,
		time.Duration(c.waits.Max())*time.Microsecond)
}

// verify compares what callers were told with what ran.
func (c *calls) verify(o *native.Oracle) error {
	if len(c.wrong) > 0 {
		return fmt.Errorf("%d wrong answers, the first: %s", len(c.wrong), c.wrong[0])
	}
	for key, verdict := range c.sent {
		ran := o.RequestRuns(key)
		if verdict == leverdyke.VerdictRan && ran != 1 {
			return fmt.Errorf("request %s was said to have run, and ran %d times", key, ran)
		}
		if verdict == leverdyke.VerdictNotRun && ran != 0 {
			return fmt.Errorf("request %s was said not to have run, and ran", key)
		}
	}
	return nil
}
