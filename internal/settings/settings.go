// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings file of leverdyked.
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

// Node is the settings of leverdyked. In the file, durations are written like 30s and
// addresses as an IP number and a port.
type Node struct {
	// Link is the address at which other nodes connect to this one. It is also the name of
	// the node.
	Link string `yaml:"link"`
	// Callers and Operators are the addresses at which this node listens for callers'
	// requests and for operators.
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	// Region and Zone are the location of this VM.
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// Peers are the links of nodes to contact before the log has been read, which lists the
	// members.
	Peers []string `yaml:"peers"`
	// Routes maps the link of another node to the address at which this node reaches it, if
	// that differs from the link, for example because of address translation between regions.
	Routes map[string]string `yaml:"routes"`
	// Log and VMList are the addresses of the platform's log service and of its list of VMs.
	Log    string `yaml:"log"`
	VMList string `yaml:"vm_list"`
	// AppendsPerSecond limits the rate at which this node appends to the log, which all nodes
	// share; 0 means 6.
	AppendsPerSecond float64 `yaml:"appends_per_second"`
	// Lease is how long a task keeps running on a worker that its owner does not reach; 0
	// means 20 s.
	Lease time.Duration `yaml:"lease"`
	// Sync is the timeout of a long poll to a worker: how long the worker may delay its
	// report while it has nothing new. 0 means a third of the lease.
	Sync time.Duration `yaml:"sync"`
	// SnapshotEvery is the number of batches of the log after which a snapshot is written; 0
	// means 5000.
	SnapshotEvery int64 `yaml:"snapshot_every"`
	// MemoryLimitMiB is the soft memory limit of the Go runtime; 0 means 24.
	MemoryLimitMiB int64 `yaml:"memory_limit_mib"`
	// DrainWait is how long a stopping node reports that it is not ready before it stops
	// listening, so that the load balancer sends it no more requests; 0 means 1 s.
	DrainWait time.Duration `yaml:"drain_wait"`
	// MaxRequests bounds the callers' requests in progress; 0 means 1024.
	MaxRequests int `yaml:"max_requests"`
	// MaxTimeout bounds the timeout that a caller may ask for; 0 means 60 s.
	MaxTimeout time.Duration `yaml:"max_timeout"`

	// The addresses are the texts above, parsed.
	LinkAddr, CallersAddr, OperatorsAddr, LogAddr, VMListAddr netip.AddrPort   `yaml:"-"`
	PeerAddrs                                                 []netip.AddrPort `yaml:"-"`
	// RouteAddrs is Routes, parsed. A link that is not in it is dialled at its own address.
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
	syncsPerLease        = 3
	addrAllowed          = "an IP number and a port, such as 10.0.0.7:7101"
)

// Load reads a settings file. Its errors name the file, the line and the key.
func Load(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &document.FieldError{File: path, Problem: err.Error()}
	}
	return Parse(path, data)
}

// Parse reads settings from data and sets the defaults. The name stands for the file in
// errors.
func Parse(name string, data []byte) (*Node, error) {
	node := &Node{}
	f, err := document.Decode(name, data, node)
	if err != nil {
		return nil, err
	}
	if err := node.parseAddrs(f); err != nil {
		return nil, err
	}
	if err := node.check(f); err != nil {
		return nil, err
	}
	node.setDefaults()
	return node, nil
}

func (node *Node) parseAddrs(f *document.File) error {
	for _, setting := range []struct {
		key, text string
		out       *netip.AddrPort
	}{
		{"link", node.Link, &node.LinkAddr},
		{"callers", node.Callers, &node.CallersAddr},
		{"operators", node.Operators, &node.OperatorsAddr},
		{"log", node.Log, &node.LogAddr},
		{"vm_list", node.VMList, &node.VMListAddr},
	} {
		addr, err := netip.ParseAddrPort(setting.text)
		if err != nil {
			return f.Errorf(setting.key, addrAllowed, "%q is missing or not an address", setting.text)
		}
		*setting.out = addr
	}
	for _, text := range node.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return f.Errorf("peers", addrAllowed, "%q is not an address", text)
		}
		node.PeerAddrs = append(node.PeerAddrs, addr)
	}
	return node.parseRoutes(f)
}

func (node *Node) parseRoutes(f *document.File) error {
	node.RouteAddrs = make(map[netip.AddrPort]netip.AddrPort, len(node.Routes))
	for _, link := range slices.Sorted(maps.Keys(node.Routes)) {
		to, err := netip.ParseAddrPort(link)
		if err != nil {
			return f.Errorf("routes", addrAllowed, "%q is not an address", link)
		}
		via, err := netip.ParseAddrPort(node.Routes[link])
		if err != nil {
			return f.Errorf("routes", addrAllowed, "%q, for %s, is not an address", node.Routes[link], link)
		}
		node.RouteAddrs[to] = via
	}
	return nil
}

// Route returns the address at which to dial the node that has the link.
func (node *Node) Route(link netip.AddrPort) netip.AddrPort {
	if via, ok := node.RouteAddrs[link]; ok {
		return via
	}
	return link
}

// check returns an error for the first value out of range. A value of 0 is not checked,
// because it stands for the default.
func (node *Node) check(f *document.File) error {
	if !policy.IsName(node.Region) {
		return f.Errorf("region", "a name", "%q is missing or not a name", node.Region)
	}
	if !policy.IsName(node.Zone) {
		return f.Errorf("zone", "a name", "%q is missing or not a name", node.Zone)
	}
	for _, limit := range []struct {
		key      string
		value    time.Duration
		min, max time.Duration
	}{
		{"lease", node.Lease, 2 * time.Second, 10 * time.Minute},
		{"sync", node.Sync, 100 * time.Millisecond, time.Minute},
		{"drain_wait", node.DrainWait, 0, time.Minute},
		{"max_timeout", node.MaxTimeout, time.Second, time.Hour},
	} {
		if limit.value != 0 && (limit.value < limit.min || limit.value > limit.max) {
			return f.Errorf(limit.key, limit.min.String()+" to "+limit.max.String(), "%v is out of range", limit.value)
		}
	}
	if node.Sync != 0 && node.Lease != 0 && node.Sync > node.Lease/2 {
		return f.Errorf("sync", "at most half of the lease", "%v is out of range", node.Sync)
	}
	if node.AppendsPerSecond < 0 || node.AppendsPerSecond > 100 {
		return f.Errorf("appends_per_second", "0 to 100", "%v is out of range", node.AppendsPerSecond)
	}
	for _, limit := range []struct {
		key      string
		value    int64
		min, max int64
	}{
		{"snapshot_every", node.SnapshotEvery, 10, 1 << 30},
		{"memory_limit_mib", node.MemoryLimitMiB, 16, 4096},
		{"max_requests", int64(node.MaxRequests), 1, 100000},
	} {
		if limit.value != 0 && (limit.value < limit.min || limit.value > limit.max) {
			return f.Errorf(limit.key, "a number in its range; see docs/OPERATING.md", "%d is out of range", limit.value)
		}
	}
	return nil
}

func (node *Node) setDefaults() {
	orDefault(&node.AppendsPerSecond, defaultAppends)
	orDefault(&node.Lease, defaultLease)
	orDefault(&node.Sync, node.Lease/syncsPerLease)
	orDefault(&node.SnapshotEvery, defaultSnapshotEvery)
	orDefault(&node.MemoryLimitMiB, defaultMemoryMiB)
	orDefault(&node.DrainWait, defaultDrainWait)
	orDefault(&node.MaxRequests, defaultMaxRequests)
	orDefault(&node.MaxTimeout, defaultMaxTimeout)
}

// orDefault sets v to the default value if it has the zero value.
func orDefault[T comparable](v *T, defaultValue T) {
	var zero T
	if *v == zero {
		*v = defaultValue
	}
}
