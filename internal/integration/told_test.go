// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/Shopify/toxiproxy"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// What callers, workers and operators were told outlasts all nodes' memory and the
// workers that knew of it, also in an outage of the store: the table is in decision 0015.

// While the store was out, callers were told that a job had succeeded which only
// the nodes' memory and one worker knew: when both were gone, its tasks ran again.
func TestSiteToldEndsSurviveAllNodesAndTheWorker(t *testing.T) {
	for name, leave := range map[string]func(*site.Worker){
		"drained": func(w *site.Worker) { w.Drain(); w.Crash() },
		"crashed": func(w *site.Worker) { w.Crash() },
	} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCell(t, 3, site.Options{Workers: 2})
			id := c.mustSubmit(small(3, 1500))
			c.await("its tasks run", func() bool { return c.running() == 3 })
			c.Store.SetMode(site.StoreBusy)
			c.awaitLog("job is over", "succeeded")
			c.awaitLog("owner runs ahead", "ahead=true")
			c.await("the job's state is told", func() bool { return c.state(id) != "" })
			c.replaceWorkers(leave)
			c.losePower()
			c.awaitState(id, "succeeded")
		})
	}
}

// awaitLog waits until a line of any node's log has all texts.
func (c *siteCell) awaitLog(texts ...string) {
	c.t.Helper()
	c.await(fmt.Sprintf("a node logs %q", texts), func() bool {
		for _, n := range c.nodes {
			for line := range strings.Lines(n.Log()) {
				if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
					return true
				}
			}
		}
		return false
	})
}

// losePower ends all nodes at once, and starts them again when the store is back.
func (c *siteCell) losePower() {
	c.t.Helper()
	c.killAll()
	c.Store.SetMode(site.StoreUp)
	c.startAll()
	c.awaitReady(c.nodes...)
}

// killAll ends all nodes at once.
func (c *siteCell) killAll() {
	c.t.Helper()
	for _, n := range c.nodes {
		c.signal(n, syscall.SIGKILL)
	}
	for _, n := range c.nodes {
		<-n.Done()
	}
}

func (c *siteCell) startAll() {
	c.t.Helper()
	for _, n := range c.nodes {
		if err := n.Start(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// replaceWorkers makes all workers leave, and others come.
func (c *siteCell) replaceWorkers(leave func(*site.Worker)) {
	c.t.Helper()
	for i, w := range c.Workers() {
		leave(w)
		if _, err := c.AddWorker(10 + i); err != nil {
			c.t.Fatal(err)
		}
	}
}

// A job that is handed in as the store goes out is refused, or runs.
func TestSiteAcceptedJobsSurviveAllNodes(t *testing.T) {
	for _, mode := range []site.StoreMode{site.StoreBusy, site.StoreSilent} {
		t.Run(string(mode), func(t *testing.T) {
			c := newSiteCell(t, 3, site.Options{Workers: 2})
			c.mustSubmit(small(3, 1500))
			c.Store.SetMode(mode)
			refused, status := c.submit(c.nodes[0], "", small(1, 100))
			if status == http.StatusOK {
				t.Error("a job that the store does not have: got: accepted, want: refused")
			}
			c.replaceWorkers((*site.Worker).Crash)
			c.losePower()
			c.awaitAll()
			if c.HasStarted(refused) {
				t.Error("the refused job: got: run, want: not run")
			}
		})
	}
}

// A cancelling in an outage waits for the store; one that was answered holds.
func TestSiteCancelledJobsSurviveAllNodes(t *testing.T) {
	for name, isOut := range map[string]bool{"the store serves": false, "the store is out": true} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCell(t, 3, site.Options{Workers: 2})
			id := c.mustSubmit(small(3, 4000))
			c.await("its tasks run", func() bool { return c.running() == 3 })
			if isOut {
				c.Store.SetMode(site.StoreBusy)
			}
			answered := make(chan int, 1)
			go func() {
				status, _, _ := c.nodes[0].Do(t.Context(), http.MethodDelete, site.QueuePrefix+id, nil)
				if status == http.StatusOK {
					c.RecordShownState(id, "cancelled")
				}
				answered <- status
			}()
			c.awaitLog("job is over", "cancelled")
			if !isOut {
				if got := <-answered; got != http.StatusOK {
					t.Errorf("cancel: got: %d, want: 200", got)
				}
			}
			c.replaceWorkers((*site.Worker).Crash)
			c.losePower()
			if isOut {
				if got := <-answered; got == http.StatusOK {
					t.Error("a cancelling that the store does not have: got: 200, want: none")
				}
				return
			}
			c.awaitState(id, "cancelled")
			c.mustSubmit(small(2, 100))
			c.awaitState(c.accepted[len(c.accepted)-1], "succeeded")
		})
	}
}

// Workers keep their ends until the store has them: with an end that was confirmed
// too soon its task would run again when the worker is gone.
func TestSiteConfirmedEndsSurviveAllNodesAndTheWorker(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 2})
	second := small(2, 6000)
	second.DependsOn = []int{0}
	c.mustSubmit(small(2, 1200), second)
	c.await("the first step runs", func() bool { return c.running() == 2 })
	c.Store.SetMode(site.StoreBusy)
	c.await("the second step runs", func() bool { return c.Starts() == 4 })
	for _, w := range c.Workers() {
		asked := w.ListingRequests()
		c.await("the worker is asked again", func() bool { return w.ListingRequests() >= asked+3 })
	}
	c.replaceWorkers(func(w *site.Worker) { w.Drain(); w.Crash() })
	c.losePower()
	c.awaitAll()
}

// Tasks that were started ahead of the store are in no record: the next owner starts
// them nowhere else before a worker that does not answer can run them no more.
func TestSiteStartsAheadOfTheStoreSurviveAllNodes(t *testing.T) {
	proxies := map[string]*toxiproxy.Proxy{}
	c := newSiteCell(t, 3, site.Options{Workers: 4, Via: func(name, addr string) (string, error) {
		upstream, err := netip.ParseAddrPort(addr)
		if err != nil {
			return "", err
		}
		p, via, err := newProxy(name, upstream)
		proxies[name] = p
		return via.String(), err
	}})
	whole := jobStep{Count: 3, CPU: 4000, MemMb: 200, EstimatedMs: 30_000, DependsOn: []int{0}}
	id := c.mustSubmit(small(1, 1200), whole)
	c.await("the first step runs", func() bool { return c.running() == 1 })
	c.Store.SetMode(site.StoreBusy)
	c.await("the second step runs on three of four workers", func() bool { return c.Starts() == 4 })
	i := slices.IndexFunc(c.Workers(), func(w *site.Worker) bool { return w.Starts() == 1 && w.Running() == 1 })
	silent := c.Workers()[i].ID()
	if _, err := proxies[silent].Toxics.AddToxicJson(strings.NewReader(`{"name":"silence","type":"timeout","attributes":{"timeout":0}}`)); err != nil {
		t.Fatal(err)
	}
	c.losePower()
	c.await("the task of the silent worker starts elsewhere", func() bool { return c.Starts() == 5 })
	c.awaitState(id, "running")
}

// Nodes without memory serve by the newest configuration or not at all, and never
// say that a queue is unknown before they have one.
func TestSiteConfigurationSurvivesAllNodes(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 2})
	c.ConfigureQueue(2, "/new/")
	isInForce := func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *site.Node) bool {
			status, _, err := n.Do(t.Context(), http.MethodGet, "/new/", nil)
			return err != nil || status != http.StatusOK
		})
	}
	c.await("the new configuration is in force", isInForce)
	c.killAll()
	c.Store.SetMode(site.StoreBusy)
	c.startAll()
	for _, n := range c.nodes {
		c.await(n.Name+" answers", func() bool {
			status, _, err := n.Do(t.Context(), http.MethodGet, "/new/", nil)
			if err == nil && status != http.StatusServiceUnavailable {
				t.Errorf("%s without a configuration: got: %d, want: 503", n.Name, status)
			}
			return err == nil
		})
	}
	c.Store.SetMode(site.StoreUp)
	c.awaitReady(c.nodes...)
	c.await("the new configuration is in force", isInForce)
	for _, n := range c.nodes {
		if status, _, err := n.Do(t.Context(), http.MethodGet, site.QueuePrefix, nil); err != nil || status != http.StatusNotFound {
			t.Errorf("%s, the queue of the earlier configuration: got: %d, %v, want: 404", n.Name, status, err)
		}
	}
}

// A worker that said that it leaves gets nothing new from nodes without memory.
func TestSiteDrainingSurvivesAllNodes(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 2})
	c.Store.SetMode(site.StoreBusy)
	c.Workers()[0].Drain()
	c.losePower()
	c.mustSubmit(small(6, 300))
	c.awaitAll()
	if got := c.Workers()[0].Starts(); got != 0 {
		t.Errorf("starts on the leaving worker: got: %d, want: 0", got)
	}
}
