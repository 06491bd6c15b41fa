// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package integration_test runs clusters of real node processes. The connections to the log, to
// the store, to workers and between nodes lead through proxies that inject network faults.
package integration_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/google/uuid"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

const (
	leaseDuration = 7 * time.Second
	// waitTimeout is how long tests wait for a condition before they fail.
	waitTimeout = 40 * time.Second
	// callerCount is how many callers of the load send requests at the same time.
	callerCount = 4
)

// nodeBinary is the path of the node's binary, which runMain builds.
var nodeBinary string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

// runMain builds the node's binary once for all tests, under the race detector if the tests are, and runs them.
func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "leverdyke-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if nodeBinary, err = standin.BuildNode(dir, isRaceEnabled); err != nil {
		panic(err)
	}
	return m.Run()
}

// cluster is a cluster of real node processes whose connections to the log, to each worker and to
// each other lead through proxies.
type cluster struct {
	*standin.Cluster
	t *testing.T
	// testName is the name of the test that created the cluster. t changes with each subtest.
	testName      string
	logProxy      *toxiproxy.Proxy
	workerProxies map[string]*toxiproxy.Proxy
	// linkProxies holds the proxy for messages from one node to another, by the indexes of both:
	// sender first.
	linkProxies map[[2]int]*toxiproxy.Proxy
	load        loadGenerator
}

func newProxy(name string, upstream netip.AddrPort) (*toxiproxy.Proxy, netip.AddrPort, error) {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", upstream.String()
	if err := p.Start(); err != nil {
		return nil, netip.AddrPort{}, err
	}
	addr, err := netip.ParseAddrPort(p.Listen)
	return p, addr, err
}

// addToxic adds a fault to one direction (stream) of a proxy.
func (c *cluster) addToxic(p *toxiproxy.Proxy, kind, stream, attributes string) {
	c.t.Helper()
	text := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":%s}`, kind, stream, kind, stream, attributes)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		c.t.Fatal(err)
	}
}

// newCluster starts a cluster of three nodes and six workers in three racks, with two services. extra
// is appended to the nodes' settings.
func newCluster(t *testing.T, extra string) *cluster {
	t.Helper()
	c := &cluster{t: t, testName: t.Name(), workerProxies: map[string]*toxiproxy.Proxy{}, linkProxies: map[[2]int]*toxiproxy.Proxy{}}
	var err error
	c.Cluster, err = standin.NewCluster(standin.NewClusterOptions{
		Binary: nodeBinary, Dir: t.TempDir(), Nodes: 3,
		LogVia:   c.proxyLog,
		LinkVia:  c.proxyLink,
		Settings: fmt.Sprintf("lease: %s\nsync: 500ms\ndrain_wait: 300ms\nappends_per_second: 25\n%s", leaseDuration, extra),
		Platform: native.NewServerOptions{
			Zones: 1, Racks: 3, Workers: 2, Lag: 500 * time.Millisecond,
			Via: func(name string, addr netip.AddrPort) (netip.AddrPort, error) {
				p, via, err := newProxy(name, addr)
				c.workerProxies[name] = p
				return via, err
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	if !c.AwaitOwned(waitTimeout, 3, 16) {
		t.Fatalf("not all shards have an owner:\n%s", c.Nodes[0].Log())
	}
	c.startServices()
	return c
}

// proxyLog puts one proxy between all nodes and the log, and returns its address.
func (c *cluster) proxyLog(_ int, platform netip.AddrPort) (netip.AddrPort, error) {
	if c.logProxy != nil {
		return netip.ParseAddrPort(c.logProxy.Listen)
	}
	var via netip.AddrPort
	var err error
	c.logProxy, via, err = newProxy("log", platform)
	return via, err
}

// proxyLink puts a proxy on the link from one node to another, and returns its address.
func (c *cluster) proxyLink(from, to int, link netip.AddrPort) (netip.AddrPort, error) {
	p, via, err := newProxy(fmt.Sprintf("link-%d-%d", from, to), link)
	c.linkProxies[[2]int{from, to}] = p
	return via, err
}

func (c *cluster) close() {
	c.Close()
	for i, n := range c.Nodes {
		checkRaces(c.t, fmt.Sprintf("node %d", i), n.Log())
	}
	c.saveLogs()
	if c.logProxy != nil {
		c.logProxy.Stop()
	}
	for _, p := range c.workerProxies {
		p.Stop()
	}
	for _, p := range c.linkProxies {
		p.Stop()
	}
}

// checkRaces fails the test if the race detector has reported anything in a node's log.
func checkRaces(t *testing.T, node, log string) {
	t.Helper()
	if _, report, ok := strings.Cut(log, "WARNING: DATA RACE"); ok {
		t.Errorf("%s: got: a data race, want: none:%s", node, report[:min(len(report), 4000)])
	}
}

// saveLogs copies the nodes' logs to the directory that LEVERDYKE_LOGS names, because the test's
// temporary directory is removed at its end.
func (c *cluster) saveLogs() {
	dir := os.Getenv("LEVERDYKE_LOGS")
	if dir == "" {
		return
	}
	for i, n := range c.Nodes {
		name := filepath.Join(dir, fmt.Sprintf("%s-node%d.log", strings.ReplaceAll(c.testName, "/", "_"), i))
		_ = os.WriteFile(name, []byte(n.Log()), 0o600)
	}
}

// startServices publishes a configuration and starts two services of three tasks each.
func (c *cluster) startServices() {
	c.t.Helper()
	for _, d := range [][2]string{
		{"office/head", "waiting: 0.8\npacking: 0.2\n"},
		{"team/filings", "office: head\nquota: {milli_cpu: 90000, memory_mib: 190000, accelerators: 0, slots: 48}\n"},
	} {
		if _, err := c.Client().Publish(context.Background(), d[0], &operator.PublishRequest{Body: d[1], Author: "test"}); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, name := range []string{"search", "deeds"} {
		c.submit(name, fmt.Sprintf(`team: filings
kind: service
tasks: 3
each: {milli_cpu: 500, memory_mib: 256}
service: %s
request: {milli_cpu: 100, memory_mib: 16}
request_once: %v
`, name, name == "deeds"))
	}
	if !standin.Await(waitTimeout, func() bool { return c.running() == 6 }) {
		c.t.Fatalf("got: %d tasks running, want: 6", c.running())
	}
}

func (c *cluster) submit(id, body string) {
	c.t.Helper()
	if _, err := c.Client().Submit(context.Background(), &operator.SubmitRequest{ID: id, File: id, Body: body}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) running() int { return c.Platform.Oracle.Report().Running }

// verify checks the oracle's counts of violated guarantees, and that the requests ran as often as
// their verdicts say. All tasks must run again in the end.
func (c *cluster) verify() {
	c.t.Helper()
	r := c.Platform.Oracle.Report()
	if r.OverCommits+r.DoubleRuns+r.Repeated+r.StartsOnLeaving > 0 {
		c.t.Errorf("got: %v, want: no violations", r.Violations)
	}
	c.load.verify(c.t, c.Platform.Oracle)
	if !standin.Await(waitTimeout, func() bool { return c.running() == 6 }) {
		c.t.Errorf("got: %d tasks running, want: 6", c.running())
	}
}

// loadGenerator is a number of callers that send requests until the load is stopped.
type loadGenerator struct {
	wg             sync.WaitGroup
	cancel         context.CancelFunc
	mu             sync.Mutex
	wrongResponses []string
	// verdictsByKey holds the final verdicts of the requests that may run at most once, by their
	// idempotency keys.
	verdictsByKey  map[string]leverdyke.Verdict
	ranCount       atomic.Int64
	truncatedCount atomic.Int64
}

func (c *cluster) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	c.load.cancel = cancel
	c.load.verdictsByKey = map[string]leverdyke.Verdict{}
	for i := range callerCount {
		c.load.wg.Go(func() { c.load.sendUntilCancelled(ctx, c, i) })
	}
}

func (c *cluster) stopLoad() {
	c.load.cancel()
	c.load.wg.Wait()
}

// awaitRequests waits until n more requests have been answered.
func (c *cluster) awaitRequests(n int64) {
	c.t.Helper()
	want := c.load.ranCount.Load() + n
	if !standin.Await(waitTimeout, func() bool { return c.load.ranCount.Load() >= want }) {
		c.t.Errorf("got: %d requests answered, want: %d", c.load.ranCount.Load(), want)
	}
}

// sendUntilCancelled sends requests of one caller to the nodes in turn until ctx is done. Every third
// request has an idempotency key and is sent twice, to two nodes.
func (l *loadGenerator) sendUntilCancelled(ctx context.Context, c *cluster, caller int) {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}
	for i := caller; ctx.Err() == nil; i++ {
		key, err := uuid.NewV7()
		if err != nil {
			return
		}
		service, header := "search", ""
		if i%3 == 0 {
			service, header = "deeds", key.String()
		}
		first := l.send(client, c.Nodes[i%3], service, key.String(), header)
		if header == "" {
			continue
		}
		// A caller that does not know whether its request ran repeats it at another node under the
		// same idempotency key.
		second := l.send(client, c.Nodes[(i+1)%3], service, key.String(), header)
		l.recordVerdict(header, first, second)
	}
}

// recordVerdict records the stronger verdict of a request and of its retry under the same key: ran
// before may-have-run, and that before not-run.
func (l *loadGenerator) recordVerdict(key string, first, second leverdyke.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second == leverdyke.VerdictRan || (second == leverdyke.VerdictMayHaveRun && first == leverdyke.VerdictNotRun) {
		first = second
	}
	l.verdictsByKey[key] = first
}

// send sends a request for a service to a node and returns the verdict that the caller can rely on.
func (l *loadGenerator) send(client *http.Client, n *standin.Node, service, body, key string) leverdyke.Verdict {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+"/s/"+service+"/x", strings.NewReader(body))
	if err != nil {
		return ""
	}
	req.Header.Set("Leverdyke-Timeout", "5s")
	req.Header.Set(native.DelayHeader, "3")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := client.Do(req)
	if err != nil {
		return leverdyke.VerdictMayHaveRun
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		l.truncatedCount.Add(1)
		return leverdyke.VerdictMayHaveRun
	}
	verdict := leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader))
	if verdict != leverdyke.VerdictRan {
		return verdict
	}
	if want := "POST /x\n" + body; res.StatusCode == http.StatusOK && string(got) != want {
		l.mu.Lock()
		l.wrongResponses = append(l.wrongResponses, fmt.Sprintf("got: %q, want: %q", got, want))
		l.mu.Unlock()
	}
	l.ranCount.Add(1)
	return verdict
}

func (l *loadGenerator) verify(t *testing.T, o *native.Oracle) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.wrongResponses {
		t.Error(w)
	}
	for key, verdict := range l.verdictsByKey {
		ran := o.RequestRuns(key)
		if (verdict == leverdyke.VerdictRan && ran != 1) || (verdict == leverdyke.VerdictNotRun && ran != 0) || ran > 1 {
			t.Errorf("%s: got: ran %d times, want: as its caller's verdict says: %s", key, ran, verdict)
		}
	}
}
