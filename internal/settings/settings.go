// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package settings reads a node's settings file.
package settings

import (
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/policy"
)

// Node is the settings of leverdyked. All durations are written like 30s.
type Node struct {
	// Link is where other nodes connect; it is also the node's name.
	Link string `yaml:"link"`
	// Callers and Operators are where requests and operators come in.
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	// Region and Zone say where this VM stands.
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// Peers are links to try before the log has told of any.
	Peers []string `yaml:"peers"`
	// Routes says for each link that this node reaches by another address,
	// such as through address translation between regions, by which one.
	Routes map[string]string `yaml:"routes"`
	// Log and VMList are the platform's services.
	Log    string `yaml:"log"`
	VMList string `yaml:"vm_list"`
	// AppendsPerSecond is this node's share of the log; 0 means 6.
	AppendsPerSecond float64 `yaml:"appends_per_second"`
	// Lease is how long a task lives without its owner; 0 means 20 s.
	Lease time.Duration `yaml:"lease"`
	// Sync is how long a worker may hold a report without news; 0 means a
	// third of the lease.
	Sync time.Duration `yaml:"sync"`
	// SnapshotEvery is after how many batches a snapshot is written; 0 means
	// 5000.
	SnapshotEvery int64 `yaml:"snapshot_every"`
	// MemoryLimitMiB bounds the heap; 0 means 24.
	MemoryLimitMiB int64 `yaml:"memory_limit_mib"`
	// DrainWait is how long a stopping node is not ready before it closes its
	// doors, so that the balancer notices; 0 means 1 s.
	DrainWait time.Duration `yaml:"drain_wait"`
	// MaxRequests bounds the callers' requests in progress; 0 means 1024.
	MaxRequests int `yaml:"max_requests"`
	// MaxTimeout bounds a request's time; 0 means 60 s.
	MaxTimeout time.Duration `yaml:"max_timeout"`

	LinkAddr, CallersAddr, OperatorsAddr, LogAddr, VMListAddr netip.AddrPort   `yaml:"-"`
	PeerAddrs                                                 []netip.AddrPort `yaml:"-"`
	// RouteAddrs is Routes; links that are not in it are dialled as they are.
	RouteAddrs map[netip.AddrPort]netip.AddrPort `yaml:"-"`
}

const (
	defaultAppends       = 6
	defaultLease         = 20 * time.Second
	defaultSnapshotEvery = 5000
	defaultMemoryMiB     = 24
	defaultDrainWait     = time.Second
	defaultMaxRequests   = 1024
	defaultMaxTimeout    = time.Minute
	syncPartOfLease      = 3
	addrAllowed          = "an IP number and a port, such as 10.0.0.7:7101"
)

// Load reads a settings file. Its errors name the file, line and key.
func Load(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &document.FieldError{File: path, Problem: err.Error()}
	}
	return Parse(path, data)
}

// Parse reads settings; name stands for the file in errors.
func Parse(name string, data []byte) (*Node, error) {
	n := &Node{}
	f, err := document.Decode(name, data, n)
	if err != nil {
		return nil, err
	}
	if err := n.parseAddrs(f); err != nil {
		return nil, err
	}
	if err := n.check(f); err != nil {
		return nil, err
	}
	n.setDefaults()
	return n, nil
}

func (n *Node) parseAddrs(f *document.File) error {
	for _, a := range []struct {
		key, text string
		out       *netip.AddrPort
	}{
		{"link", n.Link, &n.LinkAddr},
		{"callers", n.Callers, &n.CallersAddr},
		{"operators", n.Operators, &n.OperatorsAddr},
		{"log", n.Log, &n.LogAddr},
		{"vm_list", n.VMList, &n.VMListAddr},
	} {
		addr, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return f.Errorf(a.key, addrAllowed, "%q is missing or no address", a.text)
		}
		*a.out = addr
	}
	for _, text := range n.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return f.Errorf("peers", addrAllowed, "%q is no address", text)
		}
		n.PeerAddrs = append(n.PeerAddrs, addr)
	}
	return n.parseRoutes(f)
}

func (n *Node) parseRoutes(f *document.File) error {
	n.RouteAddrs = make(map[netip.AddrPort]netip.AddrPort, len(n.Routes))
	for _, link := range slices.Sorted(maps.Keys(n.Routes)) {
		to, err := netip.ParseAddrPort(link)
		if err != nil {
			return f.Errorf("routes", addrAllowed, "%q is no address", link)
		}
		via, err := netip.ParseAddrPort(n.Routes[link])
		if err != nil {
			return f.Errorf("routes", addrAllowed, "%q, for %s, is no address", n.Routes[link], link)
		}
		n.RouteAddrs[to] = via
	}
	return nil
}

// Route returns the address at which to dial the link of a node.
func (n *Node) Route(link netip.AddrPort) netip.AddrPort {
	if via, ok := n.RouteAddrs[link]; ok {
		return via
	}
	return link
}

func (n *Node) check(f *document.File) error {
	if !policy.IsName(n.Region) {
		return f.Errorf("region", "a name", "%q is missing or no name", n.Region)
	}
	if !policy.IsName(n.Zone) {
		return f.Errorf("zone", "a name", "%q is missing or no name", n.Zone)
	}
	for _, d := range []struct {
		key      string
		value    time.Duration
		min, max time.Duration
	}{
		{"lease", n.Lease, 2 * time.Second, 10 * time.Minute},
		{"sync", n.Sync, 100 * time.Millisecond, time.Minute},
		{"drain_wait", n.DrainWait, 0, time.Minute},
		{"max_timeout", n.MaxTimeout, time.Second, time.Hour},
	} {
		if d.value != 0 && (d.value < d.min || d.value > d.max) {
			return f.Errorf(d.key, d.min.String()+" to "+d.max.String(), "%v is out of range", d.value)
		}
	}
	if n.Sync != 0 && n.Lease != 0 && n.Sync > n.Lease/2 {
		return f.Errorf("sync", "at most half of the lease", "%v is out of range", n.Sync)
	}
	if n.AppendsPerSecond < 0 || n.AppendsPerSecond > 100 {
		return f.Errorf("appends_per_second", "0 to 100", "%v is out of range", n.AppendsPerSecond)
	}
	for _, i := range []struct {
		key      string
		value    int64
		min, max int64
	}{
		{"snapshot_every", n.SnapshotEvery, 10, 1 << 30},
		{"memory_limit_mib", n.MemoryLimitMiB, 16, 4096},
		{"max_requests", int64(n.MaxRequests), 1, 100000},
	} {
		if i.value != 0 && (i.value < i.min || i.value > i.max) {
			return f.Errorf(i.key, "a number in its range; see docs/OPERATING.md", "%d is out of range", i.value)
		}
	}
	return nil
}

func (n *Node) setDefaults() {
	orDefault(&n.AppendsPerSecond, defaultAppends)
	orDefault(&n.Lease, defaultLease)
	orDefault(&n.Sync, n.Lease/syncPartOfLease)
	orDefault(&n.SnapshotEvery, defaultSnapshotEvery)
	orDefault(&n.MemoryLimitMiB, defaultMemoryMiB)
	orDefault(&n.DrainWait, defaultDrainWait)
	orDefault(&n.MaxRequests, defaultMaxRequests)
	orDefault(&n.MaxTimeout, defaultMaxTimeout)
}

func orDefault[T comparable](v *T, d T) {
	var none T
	if *v == none {
		*v = d
	}
}
