// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Adviser asks the service that permits workers, from this node.
type Adviser interface {
	Ask(ctx context.Context, step work.StepID, workers []order.WorkerID) ([]order.Ticket, time.Duration, error)
}

// Config follows the operators' configuration.
type Config interface {
	// Parse reads a configuration.
	Parse(data []byte) (*Configuration, error)
	// Wait returns the newest configuration once it is newer than that version, or
	// nil when the time is over.
	Wait(ctx context.Context, version uint64) ([]byte, error)
}

// Configuration is one that was read.
type Configuration struct {
	Version uint64
	Policy  order.Policy
	// Faults tells what of it is not in force and why, without what is secret in it.
	Faults []string
	// Apply puts it in force for callers of this node.
	Apply func()
}

// Options configures a Node. All fields but Workers, Carries and Patience are required.
type Options struct {
	Name string
	Zone string
	// LinkAddr is where it listens for other nodes; AdvertiseAddr is where these
	// reach it, if elsewhere.
	LinkAddr, AdvertiseAddr netip.AddrPort
	// Life tells this process from earlier ones of the node.
	Life    string
	Clock   clock.Service
	Direct  fallback.Doer
	Adviser Adviser
	Config  Config
	// NewStore returns the store as it is reached through d.
	NewStore func(d fallback.Doer) store.Log
	// NewOwner returns what an owner needs, reaching the store through d.
	NewOwner func(d fallback.Doer) (owner.Workers, owner.List)
	Log      func(e events.Event, keysAndValues ...any)
	Metrics  owner.Metrics
	// StopTime is the longest that a worker takes to stop a task.
	StopTime time.Duration
	// Heartbeat is the time between two heartbeats of a worker; 0 when not known.
	Heartbeat time.Duration
	// HolderPause is how long a former owner does not claim again.
	HolderPause time.Duration
	// Workers talks to workers for an owner that leaves them to this node; nil means that
	// this node does not. Carries is how many workers it can talk to so, and how many it
	// talks to itself as the owner; 0 means all.
	Workers owner.Workers
	Carries int
	// Strength is how many processors the node has: the strongest should own.
	Strength float64
	// Patience is how long a request waits for the next owner; 0 means half a
	// second.
	Patience time.Duration
}

// Node is one of the equal nodes. It is safe for concurrent use.
type Node struct {
	options   Options
	log       store.Log
	detour    *fallback.Client
	peers     *peers
	listener  net.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// takeOver asks the seeker to claim at once after the owner of that epoch, which
	// has stopped.
	takeOver chan uint64

	mu sync.Mutex
	// owner is set while this node is the owner.
	owner *owner.Owner
	// ownerLink is the link to the owner while that is another node.
	ownerLink *link.Conn
	// watch judges whether that owner lives.
	watch ownerWatch
	// lostAt is when the last owner was lost, and changed is closed when there is
	// another one or none.
	lostAt  time.Time
	changed chan struct{}
	// config is the newest configuration that is known; its version never falls.
	config        []byte
	configVersion uint64
	// configPacked compresses it, once; nil before the first.
	configPacked func() []byte
	policy       order.Policy
	// behind is a peer that has a later version, since behindSince; isFetching means
	// that one is asked for it.
	behind      *link.Conn
	behindSince time.Time
	isFetching  bool
	// failedReads has the sources of the configuration that cannot be read now.
	failedReads map[configSource]*failedReads
	isLeaving   bool
	// isTurnedAway means that the store did not answer this node's last read.
	isTurnedAway bool
	// isYielding means that this owner hands over to a fitter node.
	isYielding   bool
	fitness      fitness
	noClaimUntil time.Time
	// unloggedEpoch is that of the owner if it runs ahead of the store, by its last
	// beat.
	unloggedEpoch uint64
	// claimed has the epochs that this process has acted on.
	claimed uint64
	wg      sync.WaitGroup
	// carrySession is that of carryLink, over which the owner left orders to this node.
	carryLink    *link.Conn
	carrySession *delegate.Session

	// carrier talks to workers for the owner; nil where Options.Workers is.
	carrier *delegate.Delegate

	// last is the record of the owner that was read last; it belongs to the seeker.
	last *owner.Record
	// answerTime is how long the store took to tell it; it belongs to the seeker.
	answerTime time.Duration
}

// NewNode listens for other nodes and begins to look for the owner.
func NewNode(options Options) (*Node, error) {
	l, err := net.Listen("tcp", options.LinkAddr.String())
	if err != nil {
		return nil, fmt.Errorf("cell: %w", err)
	}
	if !options.AdvertiseAddr.IsValid() {
		options.AdvertiseAddr = options.LinkAddr
	}
	if options.Patience == 0 {
		options.Patience = defaultPatience
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		options: options, listener: l, ctx: ctx, cancel: cancel, startedAt: options.Clock.Now(),
		log: options.NewStore(options.Direct), peers: newPeers(options.Clock), takeOver: make(chan uint64, 1),
		changed: make(chan struct{}), failedReads: map[configSource]*failedReads{},
	}
	if options.Workers != nil {
		n.carrier = delegate.New(options.Workers, options.Clock)
	}
	n.detour = fallback.New(options.Direct, n.peers, options.Clock)
	n.wg.Add(5)
	go n.runListener()
	go n.runSeeker()
	go n.runConfig()
	go n.runBeats()
	go n.runAlive()
	return n, nil
}

// Close ends the node at once.
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

// CustomerUse returns, by customer, what part of its limit it uses, of those that use most; nil
// where another node is the owner.
func (n *Node) CustomerUse() map[string]float64 {
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if o == nil {
		return nil
	}
	out := map[string]float64{}
	for _, u := range o.CustomerUse() {
		out[string(u.Name)] = u.Part
	}
	return out
}

// readySilence is how long a follower without beats still takes requests: the
// platform counts a node out when two checks in a row, a second apart, fail.
const readySilence = 1100 * time.Millisecond

// IsReady reports whether callers' requests can be served through this node.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isLeaving || n.config == nil {
		return false
	}
	if n.owner != nil {
		return n.owner.IsLoaded() && n.owner.MayActAsOwner()
	}
	return n.ownerLink != nil && n.options.Clock.Now().Sub(n.watch.heardAt) < readySilence
}
