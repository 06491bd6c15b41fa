// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package integration_test runs cells of real processes behind a proxy that
// injects faults.
package integration_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
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
	lease    = 7 * time.Second
	patience = 40 * time.Second
	callers  = 4
)

var binary string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

// runMain builds the node once for all tests.
func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "leverdyke-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "leverdyked")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/leverdyked").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	return m.Run()
}

// cell is a cell of real processes whose ways to the log and to each worker
// lead through proxies.
type cell struct {
	*standin.Cluster
	t *testing.T
	// name is the test's that made the cell.
	name    string
	log     *toxiproxy.Proxy
	workers map[string]*toxiproxy.Proxy
	// links has the proxy on the way from one node to another.
	links map[[2]int]*toxiproxy.Proxy
	load  load
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

// toxic adds a fault to a proxy, in one direction.
func (c *cell) toxic(p *toxiproxy.Proxy, kind, stream, attributes string) {
	c.t.Helper()
	text := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":%s}`, kind, stream, kind, stream, attributes)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		c.t.Fatal(err)
	}
}

func newCell(t *testing.T, extra string) *cell {
	t.Helper()
	c := &cell{t: t, name: t.Name(), workers: map[string]*toxiproxy.Proxy{}, links: map[[2]int]*toxiproxy.Proxy{}}
	var err error
	c.Cluster, err = standin.NewCluster(standin.NewClusterOptions{
		Binary: binary, Dir: t.TempDir(), Nodes: 3,
		LogVia:   c.logVia,
		LinkVia:  c.linkVia,
		Settings: fmt.Sprintf("lease: %s\nsync: 500ms\ndrain_wait: 300ms\nappends_per_second: 25\n%s", lease, extra),
		Platform: native.NewServerOptions{
			Zones: 1, Racks: 3, Workers: 2, Lag: 500 * time.Millisecond,
			Via: func(name string, addr netip.AddrPort) (netip.AddrPort, error) {
				p, via, err := newProxy(name, addr)
				c.workers[name] = p
				return via, err
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	if !c.AwaitOwned(patience, 3, 16) {
		t.Fatalf("not all shards have an owner:\n%s", c.Nodes[0].Log())
	}
	c.prepare()
	return c
}

// logVia puts one proxy between all nodes and the log.
func (c *cell) logVia(_ int, platform netip.AddrPort) (netip.AddrPort, error) {
	if c.log != nil {
		return netip.ParseAddrPort(c.log.Listen)
	}
	var via netip.AddrPort
	var err error
	c.log, via, err = newProxy("log", platform)
	return via, err
}

// linkVia puts a proxy on the way from one node to another.
func (c *cell) linkVia(from, to int, link netip.AddrPort) (netip.AddrPort, error) {
	p, via, err := newProxy(fmt.Sprintf("link-%d-%d", from, to), link)
	c.links[[2]int{from, to}] = p
	return via, err
}

func (c *cell) close() {
	c.Close()
	c.keepLogs()
	if c.log != nil {
		c.log.Stop()
	}
	for _, p := range c.workers {
		p.Stop()
	}
	for _, p := range c.links {
		p.Stop()
	}
}

// keepLogs copies the nodes' logs to the directory that LEVERDYKE_LOGS names,
// since the test's own is removed.
func (c *cell) keepLogs() {
	dir := os.Getenv("LEVERDYKE_LOGS")
	if dir == "" {
		return
	}
	for i, n := range c.Nodes {
		name := filepath.Join(dir, fmt.Sprintf("%s-node%d.log", strings.ReplaceAll(c.name, "/", "_"), i))
		_ = os.WriteFile(name, []byte(n.Log()), 0o600)
	}
}

// prepare publishes a configuration and starts two services.
func (c *cell) prepare() {
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
	if !standin.Await(patience, func() bool { return c.running() == 6 }) {
		c.t.Fatalf("got: %d tasks running, want: 6", c.running())
	}
}

func (c *cell) submit(id, body string) {
	c.t.Helper()
	if _, err := c.Client().Submit(context.Background(), &operator.SubmitRequest{ID: id, File: id, Body: body}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cell) running() int { return c.Platform.Oracle.Report().Running }

// verify compares what was promised with what the workers saw.
func (c *cell) verify() {
	c.t.Helper()
	r := c.Platform.Oracle.Report()
	if r.OverCommits+r.DoubleRuns+r.Repeated+r.StartsOnLeaving > 0 {
		c.t.Errorf("got: %v, want: nothing violated", r.Violations)
	}
	c.load.verify(c.t, c.Platform.Oracle)
	if !standin.Await(patience, func() bool { return c.running() == 6 }) {
		c.t.Errorf("got: %d tasks running, want: 6", c.running())
	}
}

// load is callers that send requests as long as the test lasts.
type load struct {
	wg     sync.WaitGroup
	cancel context.CancelFunc
	mu     sync.Mutex
	wrong  []string
	// keys has the verdicts that callers got for requests that may not be
	// repeated.
	keys map[string]leverdyke.Verdict
	ran  atomic.Int64
	cut  atomic.Int64
}

func (c *cell) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	c.load.cancel = cancel
	c.load.keys = map[string]leverdyke.Verdict{}
	for i := range callers {
		c.load.wg.Go(func() { c.load.run(ctx, c, i) })
	}
}

func (c *cell) stopLoad() {
	c.load.cancel()
	c.load.wg.Wait()
}

// awaitRequests waits until n more requests have been answered.
func (c *cell) awaitRequests(n int64) {
	c.t.Helper()
	want := c.load.ran.Load() + n
	if !standin.Await(patience, func() bool { return c.load.ran.Load() >= want }) {
		c.t.Errorf("got: %d requests answered, want: %d", c.load.ran.Load(), want)
	}
}

func (l *load) run(ctx context.Context, c *cell, caller int) {
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
		first := l.call(client, c.Nodes[i%3], service, key.String(), header)
		if header == "" {
			continue
		}
		// A caller in doubt asks another node under the same key.
		second := l.call(client, c.Nodes[(i+1)%3], service, key.String(), header)
		l.note(header, first, second)
	}
}

func (l *load) note(key string, first, second leverdyke.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second == leverdyke.VerdictRan || (second == leverdyke.VerdictMayHaveRun && first == leverdyke.VerdictNotRun) {
		first = second
	}
	l.keys[key] = first
}

func (l *load) call(client *http.Client, n *standin.Node, service, body, key string) leverdyke.Verdict {
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
		l.cut.Add(1)
		return leverdyke.VerdictMayHaveRun
	}
	verdict := leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader))
	if verdict != leverdyke.VerdictRan {
		return verdict
	}
	if want := "POST /x\n" + body; res.StatusCode == http.StatusOK && string(got) != want {
		l.mu.Lock()
		l.wrong = append(l.wrong, fmt.Sprintf("got: %q, want: %q", got, want))
		l.mu.Unlock()
	}
	l.ran.Add(1)
	return verdict
}

func (l *load) verify(t *testing.T, o *native.Oracle) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.wrong {
		t.Error(w)
	}
	for key, verdict := range l.keys {
		ran := o.RequestRuns(key)
		if (verdict == leverdyke.VerdictRan && ran != 1) || (verdict == leverdyke.VerdictNotRun && ran != 0) || ran > 1 {
			t.Errorf("%s: got: ran %d times, want: as its caller was told: %s", key, ran, verdict)
		}
	}
}
