// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package standin starts a whole cluster on loopback for the quickstart, the tests and the measurements: nodes as
// real processes, and a fake platform. It is not part of the product.
package standin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/standin/native"
)

const pollInterval = 20 * time.Millisecond

// Cluster is a fake platform in this process and nodes as processes of their own.
type Cluster struct {
	Platform      *native.Server
	Nodes         []*Node
	dir           string
	binary        string
	extraSettings string
}

// Node is one node's process.
type Node struct {
	Link, Callers, Operators netip.AddrPort
	Region, Zone             string
	cluster                  *Cluster
	process                  *exec.Cmd
	done                     chan struct{}
	log                      string
	// routes is the line of the settings file with the proxy addresses from LinkVia, or empty.
	routes string
}

// NewClusterOptions configures a Cluster. Zero values mean the defaults.
type NewClusterOptions struct {
	// Binary is the path of leverdyked; it must be set.
	Binary string
	// Dir is the directory for settings files and logs; it must be set.
	Dir      string
	Platform native.NewServerOptions
	// Nodes is the number of nodes. They are assigned to the availability zones in rotation.
	Nodes int
	// Settings is text appended to each node's settings file.
	Settings string
	// LogVia returns the address at which a node reaches the log, such as a proxy's; nil means the
	// platform's own address.
	LogVia func(node int, platform netip.AddrPort) (netip.AddrPort, error)
	// LinkVia returns the address at which a node reaches the link of another node, such as a proxy's; nil
	// means the link's own address.
	LinkVia func(from, to int, link netip.AddrPort) (netip.AddrPort, error)
}

// NewCluster starts a fake platform and the nodes. It does not wait until they are ready.
func NewCluster(o NewClusterOptions) (*Cluster, error) {
	p, err := native.NewServer(o.Platform)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Platform: p, dir: o.Dir, binary: o.Binary, extraSettings: o.Settings}
	addrs, err := freeAddrs(3 * o.Nodes)
	if err != nil {
		p.Close()
		return nil, err
	}
	zones := max(o.Platform.Zones, 1) * max(o.Platform.Regions, 1)
	for i := range o.Nodes {
		region := i % zones / max(o.Platform.Zones, 1)
		n := &Node{cluster: c, Region: fmt.Sprintf("r%d", region+1), Zone: fmt.Sprintf("r%d-z%d", region+1, i%max(o.Platform.Zones, 1)+1)}
		n.Link, n.Callers, n.Operators = addrs[3*i], addrs[3*i+1], addrs[3*i+2]
		n.log = filepath.Join(o.Dir, fmt.Sprintf("node%d.log", i+1))
		c.Nodes = append(c.Nodes, n)
	}
	for i, n := range c.Nodes {
		if err := n.prepare(i, &o); err != nil {
			c.Close()
			return nil, err
		}
		if err := n.Start(); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// clusterCount counts the clusters that this process has created; their IP addresses derive from it.
var clusterCount atomic.Uint32

// freeAddrs returns n free addresses. Each cluster uses a loopback IP address of its own, so that no other
// process takes a node's port while that node is down.
func freeAddrs(n int) ([]netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(1 + clusterCount.Add(1)%250), 1})
	addrs := []netip.AddrPort{}
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, fmt.Errorf("standin: %w", err)
		}
		// The listener stays open until all addresses are chosen, so that no two are the same.
		defer func() { _ = l.Close() }()
		addrs = append(addrs, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addrs, nil
}

func (n *Node) settingsFile() string { return strings.TrimSuffix(n.log, ".log") + ".yaml" }

// prepare writes the settings file of the i-th node.
func (n *Node) prepare(i int, o *NewClusterOptions) error {
	log := n.cluster.Platform.Addr()
	if o.LogVia != nil {
		via, err := o.LogVia(i, log)
		if err != nil {
			return err
		}
		log = via
	}
	if err := n.setRoutes(i, o.LinkVia); err != nil {
		return err
	}
	return n.writeSettings(i, log)
}

func (n *Node) setRoutes(i int, via func(from, to int, link netip.AddrPort) (netip.AddrPort, error)) error {
	if via == nil {
		return nil
	}
	routes := []string{}
	for j, p := range n.cluster.Nodes {
		if j == i {
			continue
		}
		addr, err := via(i, j, p.Link)
		if err != nil {
			return err
		}
		routes = append(routes, fmt.Sprintf("%q: %q", p.Link, addr))
	}
	n.routes = "routes: {" + strings.Join(routes, ", ") + "}\n"
	return nil
}

func (n *Node) writeSettings(i int, log netip.AddrPort) error {
	peers := []string{}
	for j, p := range n.cluster.Nodes {
		if j != i {
			peers = append(peers, fmt.Sprintf("%q", p.Link))
		}
	}
	text := fmt.Sprintf("link: %s\ncallers: %s\noperators: %s\nregion: %s\nzone: %s\npeers: [%s]\nlog: %s\nvm_list: %s\n%s%s",
		n.Link, n.Callers, n.Operators, n.Region, n.Zone, strings.Join(peers, ", "), log, n.cluster.Platform.Addr(), n.routes, n.cluster.extraSettings)
	if err := os.WriteFile(n.settingsFile(), []byte(text), 0o600); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}

// Start starts the node's process. Its output is appended to the log of earlier starts.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	defer func() { _ = log.Close() }()
	n.process = exec.Command(n.cluster.binary, "run", "--settings", n.settingsFile())
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	n.done = make(chan struct{})
	go n.reap(n.process, n.done)
	return nil
}

func (n *Node) reap(p *exec.Cmd, done chan struct{}) {
	_ = p.Wait()
	close(done)
}

// Signal sends a signal to the node's process, and ignores errors, such as that the process has ended.
func (n *Node) Signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

// Wait waits until the process has ended, and reports whether it ended before the timeout.
func (n *Node) Wait(timeout time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Pid returns the process ID.
func (n *Node) Pid() int { return n.process.Process.Pid }

// Log returns everything that the node has logged, over all its starts.
func (n *Node) Log() string {
	data, _ := os.ReadFile(n.log)
	return string(data)
}

// CountLog returns how often a text occurs in the log.
func (n *Node) CountLog(text string) int { return bytes.Count([]byte(n.Log()), []byte(text)) }

// Close kills all nodes, stopped ones included, and closes the platform.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if n.process == nil || n.process.Process == nil {
			continue
		}
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.Wait(5 * time.Second)
	}
	c.Platform.Close()
}

// Client returns a client of the operators' interface that knows the addresses of all nodes.
func (c *Cluster) Client() *operator.Client {
	addrs := []string{}
	for _, n := range c.Nodes {
		addrs = append(addrs, n.Operators.String())
	}
	return operator.NewClient(addrs, 15*time.Second, nil)
}

// Await polls until f returns true, and reports whether it did before the timeout.
func Await(timeout time.Duration, f func() bool) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if f() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return f()
}

// IsReady reports whether the node answers its readiness check with status 200 within a second.
func (n *Node) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Callers.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitOwned waits until as many racks and job shards have an owner that answers, and reports whether that
// happened before the timeout.
func (c *Cluster) AwaitOwned(timeout time.Duration, racks, jobShards int) bool {
	return Await(timeout, func() bool {
		nodes, err := c.Client().Nodes(context.Background())
		if err != nil {
			return false
		}
		ownedRacks, ownedShards := 0, 0
		for _, n := range nodes {
			ownedRacks += len(n.Racks)
			ownedShards += len(n.JobShards)
		}
		return ownedRacks >= racks && ownedShards >= jobShards
	})
}
