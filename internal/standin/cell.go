// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package standin starts a whole cell of real processes on loopback, for the
// quickstart, the tests and the measurements. It is no part of the product.
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

const pollPause = 20 * time.Millisecond

// Cell is a platform in this process and nodes as processes of their own.
type Cell struct {
	Platform *native.Server
	Nodes    []*Node
	dir      string
	binary   string
	extra    string
}

// Node is one node's process.
type Node struct {
	Link, Callers, Operators netip.AddrPort
	Region, Zone             string
	cell                     *Cell
	process                  *exec.Cmd
	done                     chan struct{}
	log                      string
	// routes is the settings' line for LinkVia.
	routes string
}

// NewCellOptions says what to start. Zero values mean the defaults.
type NewCellOptions struct {
	// Binary is the path of leverdyked; it must be set.
	Binary string
	// Dir is where settings and logs go; it must be set.
	Dir      string
	Platform native.NewServerOptions
	// Nodes is how many nodes there are; they take turns in the zones.
	Nodes int
	// Settings is added to each node's settings file.
	Settings string
	// LogVia returns where a node finds the log, such as a proxy's address; nil
	// means the platform itself.
	LogVia func(node int, platform netip.AddrPort) (netip.AddrPort, error)
	// LinkVia returns where a node finds the link of another, such as a proxy's
	// address; nil means the link itself.
	LinkVia func(from, to int, link netip.AddrPort) (netip.AddrPort, error)
}

// NewCell starts a platform and nodes.
func NewCell(o NewCellOptions) (*Cell, error) {
	p, err := native.NewServer(o.Platform)
	if err != nil {
		return nil, err
	}
	c := &Cell{Platform: p, dir: o.Dir, binary: o.Binary, extra: o.Settings}
	addrs, err := freeAddrs(3 * o.Nodes)
	if err != nil {
		p.Close()
		return nil, err
	}
	zones := max(o.Platform.Zones, 1) * max(o.Platform.Regions, 1)
	for i := range o.Nodes {
		region := i % zones / max(o.Platform.Zones, 1)
		n := &Node{cell: c, Region: fmt.Sprintf("r%d", region+1), Zone: fmt.Sprintf("r%d-z%d", region+1, i%max(o.Platform.Zones, 1)+1)}
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

// cells counts the cells of this process.
var cells atomic.Uint32

// freeAddrs returns free addresses. Each cell has an IP number of the loopback
// for itself, so that nobody else takes a port while a node is down.
func freeAddrs(n int) ([]netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(1 + cells.Add(1)%250), 1})
	addrs := []netip.AddrPort{}
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, fmt.Errorf("standin: %w", err)
		}
		// Held until all are chosen, so that no two are the same.
		defer func() { _ = l.Close() }()
		addrs = append(addrs, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addrs, nil
}

func (n *Node) settingsFile() string { return strings.TrimSuffix(n.log, ".log") + ".yaml" }

// prepare writes the settings of the i-th node.
func (n *Node) prepare(i int, o *NewCellOptions) error {
	log := n.cell.Platform.Addr()
	if o.LogVia != nil {
		via, err := o.LogVia(i, log)
		if err != nil {
			return err
		}
		log = via
	}
	if err := n.findRoutes(i, o.LinkVia); err != nil {
		return err
	}
	return n.writeSettings(i, log)
}

func (n *Node) findRoutes(i int, via func(from, to int, link netip.AddrPort) (netip.AddrPort, error)) error {
	if via == nil {
		return nil
	}
	list := []string{}
	for j, p := range n.cell.Nodes {
		if j == i {
			continue
		}
		addr, err := via(i, j, p.Link)
		if err != nil {
			return err
		}
		list = append(list, fmt.Sprintf("%q: %q", p.Link, addr))
	}
	n.routes = "routes: {" + strings.Join(list, ", ") + "}\n"
	return nil
}

func (n *Node) writeSettings(i int, log netip.AddrPort) error {
	peers := []string{}
	for j, p := range n.cell.Nodes {
		if j != i {
			peers = append(peers, fmt.Sprintf("%q", p.Link))
		}
	}
	text := fmt.Sprintf("link: %s\ncallers: %s\noperators: %s\nregion: %s\nzone: %s\npeers: [%s]\nlog: %s\nvm_list: %s\n%s%s",
		n.Link, n.Callers, n.Operators, n.Region, n.Zone, strings.Join(peers, ", "), log, n.cell.Platform.Addr(), n.routes, n.cell.extra)
	if err := os.WriteFile(n.settingsFile(), []byte(text), 0o600); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}

// Start starts the node's process.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	defer func() { _ = log.Close() }()
	n.process = exec.Command(n.cell.binary, "run", "--settings", n.settingsFile())
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	n.done = make(chan struct{})
	go n.runWait(n.process, n.done)
	return nil
}

func (n *Node) runWait(p *exec.Cmd, done chan struct{}) {
	_ = p.Wait()
	close(done)
}

// Signal sends a signal to the node's process, by its id.
func (n *Node) Signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

// Wait waits until the process has ended, and reports whether it did in time.
func (n *Node) Wait(d time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(d):
		return false
	}
}

// Pid returns the process's id.
func (n *Node) Pid() int { return n.process.Process.Pid }

// Log returns what the node has logged.
func (n *Node) Log() string {
	data, _ := os.ReadFile(n.log)
	return string(data)
}

// CountLog counts the lines of the log that contain a text.
func (n *Node) CountLog(text string) int { return bytes.Count([]byte(n.Log()), []byte(text)) }

// Close ends all processes and the platform.
func (c *Cell) Close() {
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

// Client returns an operators' client for all nodes.
func (c *Cell) Client() *operator.Client {
	addrs := []string{}
	for _, n := range c.Nodes {
		addrs = append(addrs, n.Operators.String())
	}
	return operator.NewClient(addrs, 15*time.Second, nil)
}

// Await polls until f is true, and reports whether it became so in time.
func Await(d time.Duration, f func() bool) bool {
	limit := time.Now().Add(d)
	for time.Now().Before(limit) {
		if f() {
			return true
		}
		time.Sleep(pollPause)
	}
	return f()
}

// IsReady reports whether the node answers that it is ready.
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

// AwaitOwned waits until every rack and home has an owner that answers.
func (c *Cell) AwaitOwned(d time.Duration, racks, homes int) bool {
	return Await(d, func() bool {
		nodes, err := c.Client().Nodes(context.Background())
		if err != nil {
			return false
		}
		haveRacks, haveHomes := 0, 0
		for _, n := range nodes {
			haveRacks += len(n.Racks)
			haveHomes += len(n.JobShards)
		}
		return haveRacks >= racks && haveHomes >= homes
	})
}
