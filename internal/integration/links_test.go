// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

// linksWhere returns a function that lists the link proxies of a cluster whose sender and receiver
// satisfy isAffected.
func linksWhere(isAffected func(from, to int) bool) func(c *cluster) []*toxiproxy.Proxy {
	return func(c *cluster) []*toxiproxy.Proxy {
		list := []*toxiproxy.Proxy{}
		for ends, p := range c.linkProxies {
			if isAffected(ends[0], ends[1]) {
				list = append(list, p)
			}
		}
		return list
	}
}

// linkFault returns a fault that adds a toxic to links, in the direction in which messages are sent.
func linkFault(name, kind, attributes string, links func(c *cluster) []*toxiproxy.Proxy) fault {
	return fault{
		name,
		func(c *cluster) {
			for _, p := range links(c) {
				c.addToxic(p, kind, "upstream", attributes)
			}
		},
		func(c *cluster) {
			for _, p := range links(c) {
				p.Toxics.ResetToxics()
			}
		}, false,
	}
}

const blackhole = `{"timeout":0}`

var (
	oneWayPartition = linkFault("node 1 receives nothing from node 0", "timeout", blackhole,
		linksWhere(func(from, to int) bool { return from == 0 && to == 1 }))
	outboundPartition = linkFault("no node receives anything from node 0", "timeout", blackhole,
		linksWhere(func(from, _ int) bool { return from == 0 }))
	inboundPartition = linkFault("node 1 receives nothing from any node", "timeout", blackhole,
		linksWhere(func(_, to int) bool { return to == 1 }))
	isolatedNode = linkFault("node 2 is partitioned from the others", "timeout", blackhole,
		linksWhere(func(from, to int) bool { return from == 2 || to == 2 }))
	slowLinks = linkFault("messages between nodes are slow", "latency", `{"latency":700,"jitter":300}`,
		linksWhere(func(_, _ int) bool { return true }))
	truncatedLinks = linkFault("links between nodes break in the middle of a frame", "limit_data", `{"bytes":1500}`,
		linksWhere(func(_, _ int) bool { return true }))
)

// All nodes reach the log and all workers, but messages between nodes are lost, slow or truncated.
// No task may lose its lease or be started twice because of that.
func TestFaultsBetweenNodes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "")
	c.startLoad()
	for _, faults := range [][]fault{
		{oneWayPartition},
		{outboundPartition},
		{inboundPartition},
		{isolatedNode},
		{slowLinks},
		{truncatedLinks},
		{outboundPartition, logUnavailable},
		{isolatedNode, logUnavailable},
		{isolatedNode, killNode(1)},
		{truncatedLinks, pauseNode(2)},
	} {
		name := faults[0].name
		if len(faults) > 1 {
			name += " and " + faults[1].name
		}
		t.Run(name, func(t *testing.T) {
			c.t = t
			silent, owned := c.countEvent("LD0110"), c.countEvent("LD0300")
			c.injectFaults(faults...)
			c.verify()
			t.Logf("%d peers fell silent, %d shards changed their owner", c.countEvent("LD0110")-silent, c.countEvent("LD0300")-owned)
		})
	}
	c.t = t
	c.stopLoad()
	c.verify()
}

// countEvent returns how many lines of an event all nodes' logs have together.
func (c *cluster) countEvent(event string) int {
	sum := 0
	for _, n := range c.Nodes {
		sum += n.CountLog(event)
	}
	return sum
}

// newTwoRegionCluster returns a cluster of two regions with two nodes each. Each link between nodes
// leads through a proxy, and so does each region's connection to the log; logs holds the latter by
// region.
func newTwoRegionCluster(t *testing.T) (c *cluster, logs map[string]*toxiproxy.Proxy) {
	t.Helper()
	logs = map[string]*toxiproxy.Proxy{}
	c = &cluster{t: t, testName: t.Name(), linkProxies: map[[2]int]*toxiproxy.Proxy{}}
	var err error
	c.Cluster, err = standin.NewCluster(standin.NewClusterOptions{
		Binary: nodeBinary, Dir: t.TempDir(), Nodes: 4, Settings: "lease: 7s\nsync: 500ms\nappends_per_second: 20\n",
		Platform: native.NewServerOptions{Regions: 2, Zones: 1, Racks: 1, Workers: 2},
		LinkVia:  c.proxyLink,
		LogVia: func(node int, platform netip.AddrPort) (netip.AddrPort, error) {
			region := regionOf(node)
			if p := logs[region]; p != nil {
				return netip.ParseAddrPort(p.Listen)
			}
			p, via, err := newProxy("log-"+region, platform)
			logs[region] = p
			return via, err
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.close()
		for _, p := range logs {
			p.Stop()
		}
	})
	if !c.AwaitOwned(waitTimeout, 2, 32) {
		t.Fatal("not all shards of both regions have an owner")
	}
	return c, logs
}

// regionOf returns the region of a node, by its index, in a cluster of two regions.
func regionOf(node int) string {
	if node%2 == 0 {
		return "r1"
	}
	return "r2"
}

// Region r2 loses its connection to region r1 and to the log. Each region goes on serving its own
// services. r2 refuses changes that must be recorded in the log, with the verdict not-run, and has
// the configuration that was published in r1 as soon as the partition ends.
func TestPartitionedRegionsServeTheirOwnJobs(t *testing.T) {
	t.Parallel()
	c, logs := newTwoRegionCluster(t)
	ctx := context.Background()
	c.publishTeam()
	for _, region := range []string{"r1", "r2"} {
		c.submit(region, "team: t\nregion: "+region+"\nkind: service\ntasks: 2\neach: {milli_cpu: 100, memory_mib: 10}\nservice: s-"+region+"\nrequest: {milli_cpu: 10, memory_mib: 1}\n")
		if !standin.Await(waitTimeout, func() bool { return runningInRegion(c, region) == 2 }) {
			t.Fatalf("%s: got: %d tasks, want: 2", region, runningInRegion(c, region))
		}
	}
	partition := linkFault("regions are partitioned", "timeout", blackhole, linksWhere(func(from, to int) bool { return regionOf(from) != regionOf(to) }))
	partition.begin(c)
	c.addToxic(logs["r2"], "timeout", "downstream", blackhole)
	c.addToxic(logs["r2"], "timeout", "upstream", blackhole)
	until := time.Now().Add(leaseDuration + 3*time.Second)
	standin.Await(leaseDuration+4*time.Second, func() bool { return time.Now().After(until) })
	c.requestEachRegionsService()
	c.publishDuringPartition()
	partition.end(c)
	logs["r2"].Toxics.ResetToxics()
	for _, n := range c.Nodes {
		client := operator.NewClient([]string{n.Operators.String()}, waitTimeout, nil)
		if !standin.Await(waitTimeout, func() bool {
			d, err := client.Doc(ctx, "office/head")
			return err == nil && d.Version == 2
		}) {
			t.Errorf("%s: got: an older version, want: 2", n.Link)
		}
	}
	c.submit("later", "team: t\nregion: r2\nkind: service\ntasks: 2\neach: {milli_cpu: 100, memory_mib: 10}\n")
	if !standin.Await(waitTimeout, func() bool { return c.running() == 6 }) {
		t.Errorf("got: %d tasks, want: 6", c.running())
	}
	r := c.Platform.Oracle.Report()
	if r.OverCommits+r.DoubleRuns+r.Repeated+r.StartsOnLeaving+r.LeaseExpirations > 0 {
		t.Errorf("got: violations %v and %d expired leases, want: none", r.Violations, r.LeaseExpirations)
	}
}

func (c *cluster) requestEachRegionsService() {
	c.t.Helper()
	l := &loadGenerator{}
	for _, n := range c.Nodes {
		if !standin.Await(waitTimeout, func() bool { return l.send(http.DefaultClient, n, "s-"+n.Region, "x", "") == leverdyke.VerdictRan }) {
			c.t.Errorf("%s: got: no answer from its region's service during the partition, want: one", n.Link)
		}
	}
}

// publishDuringPartition expects that a document can be changed in r1, which reaches the log, and
// that r2, which does not, refuses the change.
func (c *cluster) publishDuringPartition() {
	c.t.Helper()
	for i, region := range []string{"r1", "r2"} {
		client := operator.NewClient([]string{c.Nodes[i].Operators.String()}, waitTimeout, nil)
		_, err := client.Publish(context.Background(), "office/head", &operator.PublishRequest{Base: 1, Body: "waiting: 0.7\npacking: 0.3\n", Author: region})
		p := &operator.ProblemError{}
		switch {
		case region == "r1" && err != nil:
			c.t.Errorf("%s: got: %v, want: accepted", region, err)
		case region == "r2" && (!errors.As(err, &p) || p.Verdict != leverdyke.VerdictNotRun):
			c.t.Errorf("%s: got: %v, want: refused as not run", region, err)
		}
	}
}

// publishTeam publishes the office and the team to which the tests' jobs belong.
func (c *cluster) publishTeam() {
	c.t.Helper()
	for _, d := range [][2]string{{"office/head", "waiting: 0.8\npacking: 0.2\n"}, {"team/t", "office: head\nquota: {milli_cpu: 90000, memory_mib: 190000, slots: 48}\n"}} {
		if _, err := c.Client().Publish(context.Background(), d[0], &operator.PublishRequest{Body: d[1], Author: "test"}); err != nil {
			c.t.Fatal(err)
		}
	}
}

// A job is submitted at one node and cancelled at another one that reads the log late and does not
// know the job yet. That node once left the job out of the cancellation and answered with success,
// and the job ran on.
func TestCancelAtLaggingNodeReachesUnreadJob(t *testing.T) {
	t.Parallel()
	c, logs := newTwoRegionCluster(t)
	c.publishTeam()
	current := operator.NewClient([]string{c.Nodes[0].Operators.String()}, waitTimeout, nil)
	lagging := operator.NewClient([]string{c.Nodes[1].Operators.String()}, waitTimeout, nil)
	c.addToxic(logs["r2"], "latency", "downstream", `{"latency":2000}`)
	body := "team: t\nregion: r1\nkind: service\ntasks: 2\neach: {milli_cpu: 100, memory_mib: 10}\nservice: s-r1\nrequest: {milli_cpu: 10, memory_mib: 1}\n"
	if _, err := current.Submit(t.Context(), &operator.SubmitRequest{ID: "a", File: "a", Body: body}); err != nil {
		t.Fatal(err)
	}
	out, err := lagging.Cancel(t.Context(), []string{"a", "unknown"})
	if err != nil || out.Cancelled != 1 {
		t.Fatalf("got: %v, %v, want: one job cancelled", out, err)
	}
	if j, err := current.Job(t.Context(), "a"); err != nil || !j.IsCancelled {
		t.Errorf("the job: got: %v, %v, want: cancelled", j, err)
	}
}
