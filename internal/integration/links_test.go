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

// links lists the ways between nodes that a fault is about.
func between(isMeant func(from, to int) bool) func(c *cell) []*toxiproxy.Proxy {
	return func(c *cell) []*toxiproxy.Proxy {
		list := []*toxiproxy.Proxy{}
		for way, p := range c.links {
			if isMeant(way[0], way[1]) {
				list = append(list, p)
			}
		}
		return list
	}
}

// linkFault adds a toxic to links in the direction in which messages go.
func linkFault(name, kind, attributes string, links func(c *cell) []*toxiproxy.Proxy) fault {
	return fault{
		name,
		func(c *cell) {
			for _, p := range links(c) {
				c.toxic(p, kind, "upstream", attributes)
			}
		},
		func(c *cell) {
			for _, p := range links(c) {
				p.Toxics.ResetToxics()
			}
		}, false,
	}
}

const mute = `{"timeout":0}`

var (
	oneWayCut = linkFault("node 1 does not hear node 0", "timeout", mute,
		between(func(from, to int) bool { return from == 0 && to == 1 }))
	unheard = linkFault("nobody hears node 0", "timeout", mute,
		between(func(from, _ int) bool { return from == 0 }))
	deaf = linkFault("node 1 hears nobody", "timeout", mute,
		between(func(_, to int) bool { return to == 1 }))
	apart = linkFault("node 2 is cut off from the others", "timeout", mute,
		between(func(from, to int) bool { return from == 2 || to == 2 }))
	slowLinks = linkFault("messages between nodes are slow", "latency", `{"latency":700,"jitter":300}`,
		between(func(_, _ int) bool { return true }))
	breakingLinks = linkFault("links between nodes break in the middle of a frame", "limit_data", `{"bytes":1500}`,
		between(func(_, _ int) bool { return true }))
)

// All nodes reach the log and all workers: what they do not hear of each other
// may cost nobody a lease and start nothing twice.
func TestFaultsBetweenNodes(t *testing.T) {
	t.Parallel()
	c := newCell(t, "")
	c.startLoad()
	for _, faults := range [][]fault{
		{oneWayCut},
		{unheard},
		{deaf},
		{apart},
		{slowLinks},
		{breakingLinks},
		{unheard, logOut},
		{apart, logOut},
		{apart, kill(1)},
		{breakingLinks, pause(2)},
	} {
		name := faults[0].name
		if len(faults) > 1 {
			name += " and " + faults[1].name
		}
		t.Run(name, func(t *testing.T) {
			c.t = t
			silent, owned := c.countLogs("LD0110"), c.countLogs("LD0300")
			c.suffer(faults...)
			c.verify()
			t.Logf("%d peers fell silent, %d shards changed their owner", c.countLogs("LD0110")-silent, c.countLogs("LD0300")-owned)
		})
	}
	c.t = t
	c.stopLoad()
	c.verify()
}

// countLogs counts the lines of an event in all nodes' logs.
func (c *cell) countLogs(event string) int {
	sum := 0
	for _, n := range c.Nodes {
		sum += n.CountLog(event)
	}
	return sum
}

// newRegions returns two regions of two nodes, with a proxy on each way between
// nodes and one between each region and the log.
func newRegions(t *testing.T) (c *cell, logs map[string]*toxiproxy.Proxy) {
	t.Helper()
	logs = map[string]*toxiproxy.Proxy{}
	c = &cell{t: t, name: t.Name(), links: map[[2]int]*toxiproxy.Proxy{}}
	var err error
	c.Cluster, err = standin.NewCluster(standin.NewClusterOptions{
		Binary: binary, Dir: t.TempDir(), Nodes: 4, Settings: "lease: 7s\nsync: 500ms\nappends_per_second: 20\n",
		Platform: native.NewServerOptions{Regions: 2, Zones: 1, Racks: 1, Workers: 2},
		LinkVia:  c.linkVia,
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
	if !c.AwaitOwned(patience, 2, 32) {
		t.Fatal("not all shards of both regions have an owner")
	}
	return c, logs
}

// regionOf is where a cell of two regions puts a node.
func regionOf(node int) string {
	if node%2 == 0 {
		return "r1"
	}
	return "r2"
}

// The second region loses the first and the log. Each goes on with its own; the
// one without the log refuses what must be recorded, as not run, and has the
// configuration of the other as soon as it is back.
func TestRegionsApart(t *testing.T) {
	t.Parallel()
	c, logs := newRegions(t)
	ctx := context.Background()
	c.publishTeam()
	for _, region := range []string{"r1", "r2"} {
		c.submit(region, "team: t\nregion: "+region+"\nkind: service\ntasks: 2\neach: {milli_cpu: 100, memory_mib: 10}\nservice: s-"+region+"\nrequest: {milli_cpu: 10, memory_mib: 1}\n")
		if !standin.Await(patience, func() bool { return runsIn(c, region) == 2 }) {
			t.Fatalf("%s: got: %d tasks, want: 2", region, runsIn(c, region))
		}
	}
	across := linkFault("regions apart", "timeout", mute, between(func(from, to int) bool { return regionOf(from) != regionOf(to) }))
	across.begin(c)
	c.toxic(logs["r2"], "timeout", "downstream", mute)
	c.toxic(logs["r2"], "timeout", "upstream", mute)
	until := time.Now().Add(lease + 3*time.Second)
	standin.Await(lease+4*time.Second, func() bool { return time.Now().After(until) })
	c.askEachRegionsOwnService()
	c.publishWhileApart()
	across.end(c)
	logs["r2"].Toxics.ResetToxics()
	for _, n := range c.Nodes {
		client := operator.NewClient([]string{n.Operators.String()}, patience, nil)
		if !standin.Await(patience, func() bool {
			d, err := client.Doc(ctx, "office/head")
			return err == nil && d.Version == 2
		}) {
			t.Errorf("%s: got: an older version, want: 2", n.Link)
		}
	}
	c.submit("later", "team: t\nregion: r2\nkind: service\ntasks: 2\neach: {milli_cpu: 100, memory_mib: 10}\n")
	if !standin.Await(patience, func() bool { return c.running() == 6 }) {
		t.Errorf("got: %d tasks, want: 6", c.running())
	}
	r := c.Platform.Oracle.Report()
	if r.OverCommits+r.DoubleRuns+r.Repeated+r.StartsOnLeaving+r.LeaseExpirations > 0 {
		t.Errorf("got: %v and %d lapsed leases, want: nothing", r.Violations, r.LeaseExpirations)
	}
}

func (c *cell) askEachRegionsOwnService() {
	c.t.Helper()
	l := &load{}
	for _, n := range c.Nodes {
		if !standin.Await(patience, func() bool { return l.call(http.DefaultClient, n, "s-"+n.Region, "x", "") == leverdyke.VerdictRan }) {
			c.t.Errorf("%s: got: its region's service is not answered while regions are apart, want: answered", n.Link)
		}
	}
}

// publishWhileApart changes a document where the log is reached, and fails to
// where it is not.
func (c *cell) publishWhileApart() {
	c.t.Helper()
	for i, region := range []string{"r1", "r2"} {
		client := operator.NewClient([]string{c.Nodes[i].Operators.String()}, patience, nil)
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

// publishTeam publishes the office and the team that the tests' jobs are of.
func (c *cell) publishTeam() {
	c.t.Helper()
	for _, d := range [][2]string{{"office/head", "waiting: 0.8\npacking: 0.2\n"}, {"team/t", "office: head\nquota: {milli_cpu: 90000, memory_mib: 190000, slots: 48}\n"}} {
		if _, err := c.Client().Publish(context.Background(), d[0], &operator.PublishRequest{Body: d[1], Author: "test"}); err != nil {
			c.t.Fatal(err)
		}
	}
}

// A node that reads the log late left a job that it had not read yet out of a
// cancelling, and said that all was done: the job ran on.
func TestACancelAtANodeThatLagsIsNotLeftOut(t *testing.T) {
	t.Parallel()
	c, logs := newRegions(t)
	c.publishTeam()
	near := operator.NewClient([]string{c.Nodes[0].Operators.String()}, patience, nil)
	late := operator.NewClient([]string{c.Nodes[1].Operators.String()}, patience, nil)
	c.toxic(logs["r2"], "latency", "downstream", `{"latency":2000}`)
	body := "team: t\nregion: r1\nkind: service\ntasks: 2\neach: {milli_cpu: 100, memory_mib: 10}\nservice: s-r1\nrequest: {milli_cpu: 10, memory_mib: 1}\n"
	if _, err := near.Submit(t.Context(), &operator.SubmitRequest{ID: "a", File: "a", Body: body}); err != nil {
		t.Fatal(err)
	}
	out, err := late.Cancel(t.Context(), []string{"a", "unknown"})
	if err != nil || out.Cancelled != 1 {
		t.Fatalf("got: %v, %v, want: one cancelled", out, err)
	}
	if j, err := near.Job(t.Context(), "a"); err != nil || !j.IsCancelled {
		t.Errorf("the job: got: %v, %v, want: cancelled", j, err)
	}
}
