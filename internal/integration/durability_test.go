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

// The tests of this file check that what was acknowledged to callers, workers and operators survives
// the loss of all nodes' memory and of the workers that knew of it, also in an outage of the store.
// Decision 0015 has the table of what is acknowledged when.

// A job's end must be persisted before it is shown to callers. In an outage of the store callers were
// once shown that a job had succeeded although only the nodes' memory and one worker knew of it. When
// both were lost, the job's tasks ran again.
func TestSiteAcknowledgedEndsSurviveLossOfNodesAndWorkers(t *testing.T) {
	for name, removeWorker := range map[string]func(*site.Worker){
		"drained": func(w *site.Worker) { w.Drain(); w.Crash() },
		"crashed": func(w *site.Worker) { w.Crash() },
	} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 2})
			id := c.mustSubmit(smallStep(3, 1500))
			c.await("its tasks run", func() bool { return c.running() == 3 })
			c.Store.SetMode(site.StoreBusy)
			c.awaitLog("job is over", "succeeded")
			c.awaitLog("owner runs ahead", "ahead=true")
			c.await("a node shows the job's state", func() bool { return c.state(id) != "" })
			c.replaceWorkers(removeWorker)
			c.powerCycleNodes()
			c.awaitState(id, "succeeded")
		})
	}
}

// awaitLog waits until any node's log has a line that contains all texts.
func (c *siteCluster) awaitLog(texts ...string) {
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

// powerCycleNodes kills all nodes at once, ends the outage of the store, and starts the nodes again.
func (c *siteCluster) powerCycleNodes() {
	c.t.Helper()
	c.killAllNodes()
	c.Store.SetMode(site.StoreUp)
	c.startAllNodes()
	c.awaitReady(c.nodes...)
}

// killAllNodes kills all nodes at once and waits until their processes have ended.
func (c *siteCluster) killAllNodes() {
	c.t.Helper()
	for _, n := range c.nodes {
		c.signal(n, syscall.SIGKILL)
	}
	for _, n := range c.nodes {
		<-n.Done()
	}
}

func (c *siteCluster) startAllNodes() {
	c.t.Helper()
	for _, n := range c.nodes {
		if err := n.Start(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// replaceWorkers removes all workers and adds as many new ones.
func (c *siteCluster) replaceWorkers(removeWorker func(*site.Worker)) {
	c.t.Helper()
	for i, w := range c.Workers() {
		removeWorker(w)
		if _, err := c.AddWorker(10 + i); err != nil {
			c.t.Fatal(err)
		}
	}
}

// A job that was accepted before an outage of the store must run although all nodes and workers are
// lost in the outage. A job that is submitted in the outage must be refused, and must not run.
func TestSiteAcceptedJobsSurviveLossOfAllNodes(t *testing.T) {
	for _, mode := range []site.StoreMode{site.StoreBusy, site.StoreSilent} {
		t.Run(string(mode), func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 2})
			c.mustSubmit(smallStep(3, 1500))
			c.Store.SetMode(mode)
			refused, status := c.submit(c.nodes[0], "", smallStep(1, 100))
			if status == http.StatusOK {
				t.Error("a job that is not in the store: got: accepted, want: refused")
			}
			c.replaceWorkers((*site.Worker).Crash)
			c.powerCycleNodes()
			c.awaitAll()
			if c.HasStarted(refused) {
				t.Error("the refused job: got: run, want: not run")
			}
		})
	}
}

// A cancellation that was acknowledged must hold although all nodes and workers are lost. In an
// outage of the store a cancellation is not acknowledged, since it cannot be persisted.
func TestSiteCancelledJobsSurviveLossOfAllNodes(t *testing.T) {
	for name, isStoreOut := range map[string]bool{"the store serves": false, "the store is out": true} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 2})
			id := c.mustSubmit(smallStep(3, 4000))
			c.await("its tasks run", func() bool { return c.running() == 3 })
			if isStoreOut {
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
			if !isStoreOut {
				if got := <-answered; got != http.StatusOK {
					t.Errorf("cancel: got: %d, want: 200", got)
				}
			}
			c.replaceWorkers((*site.Worker).Crash)
			c.powerCycleNodes()
			if isStoreOut {
				if got := <-answered; got == http.StatusOK {
					t.Error("a cancellation that is not in the store: got: 200, want: no answer")
				}
				return
			}
			c.awaitState(id, "cancelled")
			c.mustSubmit(smallStep(2, 100))
			c.awaitState(c.accepted[len(c.accepted)-1], "succeeded")
		})
	}
}

// Workers keep the ends of their tasks until the owner has confirmed them, which it may only do once
// they are persisted. If an end were confirmed in an outage of the store, and all nodes and workers
// were then lost, no record of the end would remain, and the task would run again.
func TestSiteConfirmedEndsSurviveLossOfNodesAndWorkers(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 2})
	second := smallStep(2, 6000)
	second.DependsOn = []int{0}
	c.mustSubmit(smallStep(2, 1200), second)
	c.await("the first step runs", func() bool { return c.running() == 2 })
	c.Store.SetMode(site.StoreBusy)
	c.await("the second step runs", func() bool { return c.Starts() == 4 })
	for _, w := range c.Workers() {
		pollsBefore := w.ListingRequests()
		c.await("the worker is polled again", func() bool { return w.ListingRequests() >= pollsBefore+3 })
	}
	c.replaceWorkers(func(w *site.Worker) { w.Drain(); w.Crash() })
	c.powerCycleNodes()
	c.awaitAll()
}

// In an outage of the store tasks start before their placements are persisted (write-behind), so that
// the next owner finds no record of them. While a worker does not answer, it may run such a task. The
// next owner must not start the task elsewhere until that worker cannot run it any more.
func TestSiteWriteBehindStartsSurviveLossOfAllNodes(t *testing.T) {
	proxies := map[string]*toxiproxy.Proxy{}
	c := newSiteCluster(t, 3, site.Options{Workers: 4, Via: func(name, addr string) (string, error) {
		upstream, err := netip.ParseAddrPort(addr)
		if err != nil {
			return "", err
		}
		p, via, err := newProxy(name, upstream)
		proxies[name] = p
		return via.String(), err
	}})
	wholeWorker := jobStep{Count: 3, CPU: 4000, MemMb: 200, EstimatedMs: 30_000, DependsOn: []int{0}}
	id := c.mustSubmit(smallStep(1, 1200), wholeWorker)
	c.await("the first step runs", func() bool { return c.running() == 1 })
	c.Store.SetMode(site.StoreBusy)
	c.await("the second step runs on three of four workers", func() bool { return c.Starts() == 4 })
	i := slices.IndexFunc(c.Workers(), func(w *site.Worker) bool { return w.Starts() == 1 && w.Running() == 1 })
	silent := c.Workers()[i].ID()
	if _, err := proxies[silent].Toxics.AddToxicJson(strings.NewReader(`{"name":"silence","type":"timeout","attributes":{"timeout":0}}`)); err != nil {
		t.Fatal(err)
	}
	c.powerCycleNodes()
	c.await("the task of the silent worker starts on another worker", func() bool { return c.Starts() == 5 })
	c.awaitState(id, "running")
}

// Nodes that start in an outage of the store have no configuration. They must answer 503, and not
// that a queue is unknown (404), until they have read the newest configuration, and must not serve by
// an older one.
func TestSiteConfigurationSurvivesLossOfAllNodes(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 2})
	c.ConfigureQueue(2, "/new/")
	isNewQueueServed := func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *site.Node) bool {
			status, _, err := n.Do(t.Context(), http.MethodGet, "/new/", nil)
			return err != nil || status != http.StatusOK
		})
	}
	c.await("all nodes serve the queue of the new configuration", isNewQueueServed)
	c.killAllNodes()
	c.Store.SetMode(site.StoreBusy)
	c.startAllNodes()
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
	c.await("all nodes serve the queue of the new configuration", isNewQueueServed)
	for _, n := range c.nodes {
		if status, _, err := n.Do(t.Context(), http.MethodGet, site.QueuePrefix, nil); err != nil || status != http.StatusNotFound {
			t.Errorf("%s, the queue of the previous configuration: got: %d, %v, want: 404", n.Name, status, err)
		}
	}
}

// A worker that announced in an outage of the store that it is draining must get no new tasks after
// all nodes were killed, which loses what they knew of it.
func TestSiteDrainingSurvivesLossOfAllNodes(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 2})
	c.Store.SetMode(site.StoreBusy)
	c.Workers()[0].Drain()
	c.powerCycleNodes()
	c.mustSubmit(smallStep(6, 300))
	c.awaitAll()
	if got := c.Workers()[0].Starts(); got != 0 {
		t.Errorf("starts on the draining worker: got: %d, want: 0", got)
	}
}
