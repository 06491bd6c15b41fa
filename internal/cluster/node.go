// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/firstread"
	"github.com/leverdyke/leverdyke/internal/inspect"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/witness"
	"github.com/leverdyke/leverdyke/internal/work"
)

// PermissionService is a client, on this node, of the service that decides which workers may run a
// step.
type PermissionService interface {
	// Query returns the permits for those of the workers that may run the step, and how long the
	// permits are valid.
	Query(ctx context.Context, step work.StepID, workers []order.WorkerID) ([]order.Permit, time.Duration, error)
}

// Config reads the operators' configuration.
type Config interface {
	// Parse decodes a configuration.
	Parse(data []byte) (*Configuration, error)
	// Wait waits until the store has a configuration that is newer than version, and returns the
	// newest one. It returns nil when there was none within the time for which the store waits.
	Wait(ctx context.Context, version uint64) ([]byte, error)
}

// Configuration is a decoded configuration.
type Configuration struct {
	Version uint64
	Policy  order.Policy
	// Faults describes the entries that are not in force and why. It contains no secrets of the
	// configuration, because it is logged.
	Faults []string
	// Apply makes the configuration the active one for callers of this node.
	Apply func()
}

// Options configures a Node. All fields but AdvertiseAddr, Heartbeat, Workers, MaxWorkers and
// RequestTimeout are required.
type Options struct {
	Name string
	Zone string
	// LinkAddr is the address on which the node listens for other nodes. AdvertiseAddr is the
	// address at which other nodes reach it; it defaults to LinkAddr.
	LinkAddr, AdvertiseAddr netip.AddrPort
	// Incarnation distinguishes this process from previous ones of the node.
	Incarnation string
	Clock       clock.Service
	// Direct sends requests to the store from this node, not through a peer.
	Direct            fallback.Doer
	PermissionService PermissionService
	Config            Config
	// NewStore returns a client of the store that sends its requests with d.
	NewStore func(d fallback.Doer) store.Log
	// NewOwner returns the clients that an owner needs: for workers, and for the list of workers,
	// which is read with d.
	NewOwner func(d fallback.Doer) (owner.Workers, owner.List)
	Log      func(e events.Event, keysAndValues ...any)
	Metrics  owner.Metrics
	// StopTime is the longest that a worker takes to stop a task.
	StopTime time.Duration
	// Heartbeat is the time between two heartbeats of a worker; 0 if unknown.
	Heartbeat time.Duration
	// Disabled lists mechanisms that are switched off.
	Disabled []dispatch.Mechanism
	// LargeJobMemory is how many bytes the jobs of the owner may take beyond the ordinary size of
	// each; 0 means without limit.
	LargeJobMemory int64
	// RoundMemory is how many bytes the open rounds of the owner's jobs may take beyond one of each; 0 means a default.
	RoundMemory int64
	// StoreLimits are the bounds of the store.
	StoreLimits owner.StoreLimits
	// ReclaimDelay is how long a node does not claim the shard after it stopped being the owner.
	ReclaimDelay time.Duration
	// Workers talks to workers on behalf of the owner when this node is its delegate; with nil the
	// node is no delegate. MaxWorkers is how many workers the node can talk to as a delegate, and
	// how many it talks to directly as the owner. With 0 it talks to all workers as the owner, and
	// is not used as a delegate.
	Workers    owner.Workers
	MaxWorkers int
	// Strength is the number of processors of the node. The strongest node should be the owner.
	Strength float64
	// NeedsStoreConfig means that the node may serve callers only with a configuration that it has
	// read from the store itself. It then reads the store at once when it starts.
	NeedsStoreConfig bool
	// RequestTimeout is how long a request waits for the next owner; 0 means half a second.
	RequestTimeout time.Duration
}

// Node is a node of the cluster. It is safe for concurrent use.
type Node struct {
	options   Options
	log       store.Log
	fallback  *fallback.Client
	peers     *peers
	listener  net.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// claimRequests has the epoch of an owner that has stopped and has asked this node to be its
	// successor. The election goroutine receives it and claims the shard at once.
	claimRequests chan uint64

	mu sync.Mutex
	// owner is set while this node is the owner.
	owner *owner.Owner
	// ownerLink is the link to the owner while that is another node.
	ownerLink *link.Conn
	// ownerName is the name of that node.
	ownerName string
	// detector decides whether that owner is silent.
	detector failureDetector
	// ownerLostAt is when the last owner was lost. ownerChanged is closed and replaced whenever
	// the owner changes or is lost.
	ownerLostAt  time.Time
	ownerChanged chan struct{}
	// config is the newest known configuration; its version never falls.
	config        []byte
	configVersion uint64
	// configCompressed returns the compressed config; it compresses it only once. It is nil before
	// the first configuration.
	configCompressed func() []byte
	policy           order.Policy
	// firstRead schedules the first read of the configuration from the store.
	firstRead *firstread.Schedule
	// newerPeer is a peer that has a newer version than this node, and newerPeerSince is when this
	// node learned of it. isFetching means that the configuration is being fetched from a peer.
	newerPeer      *link.Conn
	newerPeerSince time.Time
	isFetching     bool
	// failedReads has the sources of the configuration whose last read failed.
	failedReads map[configSource]*failedReads
	isLeaving   bool
	// isStoreUnavailable means that this node's last read of the configuration from the store
	// failed.
	isStoreUnavailable bool
	// isUnfitHandover means that this node is handing the shard over because it is unfit to own it.
	isUnfitHandover bool
	// isComparing means that this node, as an unfit owner, finds out whether others are fitter.
	isComparing bool
	fitness     fitness
	lag         owner.LagMeter
	// noClaimUntil is the time before which this node does not claim; see Options.ReclaimDelay.
	noClaimUntil time.Time
	// unpersistedEpoch is the epoch of the followed owner if its last heartbeat said that tasks may
	// run on placements that are not in the store, else 0.
	unpersistedEpoch uint64
	// witness is what this process has said as a witness of owners.
	witness witness.Ledger
	// lastOwnedEpoch is the last epoch in which this process was the owner.
	lastOwnedEpoch uint64
	wg             sync.WaitGroup
	// delegateSession is the session for delegateLink, the link over which the owner delegated
	// orders to this node.
	delegateLink    *link.Conn
	delegateSession *delegate.Session

	// delegate talks to workers on behalf of the owner; nil if Options.Workers is nil.
	delegate *delegate.Delegate

	// lastRecord is the owner's record as it was read last. Only the election goroutine uses it.
	lastRecord *owner.Record
	// closed is the last owner that is known to have closed its connections. Only the election goroutine
	// uses it.
	closed closedOwner
	// storeLatency is how long the store took for that read. Only the election goroutine uses it.
	storeLatency time.Duration
	// recordReadAt is when that read was sent. Only the election goroutine uses it.
	recordReadAt time.Time
}

// NewNode starts a node: it listens for other nodes and begins to search for the owner.
func NewNode(options Options) (*Node, error) {
	l, err := net.Listen("tcp", options.LinkAddr.String())
	if err != nil {
		return nil, fmt.Errorf("cluster: cannot listen for other nodes: %w", err)
	}
	if !options.AdvertiseAddr.IsValid() {
		options.AdvertiseAddr = options.LinkAddr
	}
	if options.RequestTimeout == 0 {
		options.RequestTimeout = defaultRequestTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		options: options, listener: l, ctx: ctx, cancel: cancel, startedAt: options.Clock.Now(),
		log: options.NewStore(options.Direct), peers: newPeers(options.Clock), claimRequests: make(chan uint64, 1),
		ownerChanged: make(chan struct{}), failedReads: map[configSource]*failedReads{},
		firstRead: firstread.NewSchedule(options.Clock.Now(), rand.Float64()),
	}
	if options.Workers != nil {
		n.delegate = delegate.New(options.Workers, options.Clock)
	}
	n.fallback = fallback.New(options.Direct, n.peers, options.Clock)
	n.wg.Add(6)
	go n.runListener()
	go n.runElection()
	go n.runConfig()
	go n.runOwnerHeartbeats()
	go n.runFollowerHeartbeats()
	go n.runLag()
	return n, nil
}

// Close ends the node at once, without handing the shard over; see Leave. It waits for the node's
// background goroutines, except those of accepted links.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close()
	n.peers.closeAll()
	n.mu.Lock()
	if n.owner != nil {
		n.owner.Stop()
	}
	if n.ownerLink != nil {
		n.ownerLink.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
	if n.options.Workers != nil {
		n.options.Workers.Close()
	}
}

func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-n.options.Clock.After(d):
	}
}

// CustomerUse returns the share of its limit that a customer uses, by customer name, for the
// customers with the highest shares. It returns nil when this node is not the owner.
func (n *Node) CustomerUse() map[string]float64 {
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if o == nil {
		return nil
	}
	out := map[string]float64{}
	for _, u := range o.CustomerUse() {
		out[string(u.Name)] = u.Fraction
	}
	return out
}

// Served returns what became of the accepted jobs, by queue and size class. It returns nil when this
// node is not the owner.
func (n *Node) Served() []served.Count {
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if o == nil {
		return nil
	}
	return o.Served()
}

// Inspect returns what the scheduler does now, if this node is the owner. Otherwise its error is an
// *inspect.NotOwnerError.
func (n *Node) Inspect(ctx context.Context) (*inspect.Report, error) {
	n.mu.Lock()
	o, ownerName := n.owner, n.ownerName
	n.mu.Unlock()
	if o == nil {
		return nil, &inspect.NotOwnerError{Owner: ownerName}
	}
	return o.Inspect(ctx)
}

// maxReadySilence is how long after the owner's last heartbeat a follower still reports that it is
// ready. The platform takes a node out of service when two consecutive checks, a second apart,
// fail.
const maxReadySilence = 1100 * time.Millisecond

// IsReady reports whether this node can serve callers' requests, as the owner or by forwarding them
// to the owner.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isLeaving || n.config == nil {
		return false
	}
	if n.owner != nil {
		return n.owner.IsLoaded() && n.owner.MayActAsOwner()
	}
	return n.ownerLink != nil && n.options.Clock.Now().Sub(n.detector.heardAt) < maxReadySilence
}
