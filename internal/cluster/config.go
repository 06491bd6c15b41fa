// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/progress"
)

const (
	// beatPeriod is the time between two of the owner's beats over a link. A follower
	// notices after three of them.
	ownerHeartbeatPeriod = 100 * time.Millisecond
	// alivePeriod is the time between two signs of life of a follower.
	followerHeartbeatPeriod = 200 * time.Millisecond
	// configPause is the pause after the configuration could not be read.
	configRetryDelay = 150 * time.Millisecond
	// maxFaultsLogged bounds what is told of a configuration with bad entries.
	maxFaultsLogged = 10
)

// runConfig follows the operators' configuration in the store.
func (n *Node) runConfig() {
	defer n.wg.Done()
	for n.ctx.Err() == nil {
		n.mu.Lock()
		version := n.configVersion
		n.mu.Unlock()
		began := n.options.Clock.Now()
		data, err := n.options.Config.Wait(n.ctx, version)
		took := n.options.Clock.Now().Sub(began)
		n.recordConfigRead(fromStore, err, took)
		n.mu.Lock()
		n.isStoreUnavailable = err != nil
		n.mu.Unlock()
		if err != nil {
			n.sleep(configRetryDelay)
			continue
		}
		if data != nil {
			n.installConfig(data, fromStore, len(data), took)
		}
	}
}

// configSource is where a configuration is read.
type configSource string

const (
	fromStore configSource = "store"
	fromPeer  configSource = "peer"
)

// failedReads are the reads of a configuration from one source that have failed
// since one succeeded.
type failedReads struct {
	since    time.Time
	attempts int
}

// noteRead tells when reads from a source begin to fail and when they succeed
// again, not each try. Each source has one reader at a time.
func (n *Node) recordConfigRead(from configSource, err error, took time.Duration) {
	if n.ctx.Err() != nil {
		return
	}
	now := n.options.Clock.Now()
	n.mu.Lock()
	failed, version := n.failedReads[from], n.configVersion
	isFirst := err != nil && failed == nil
	switch {
	case isFirst:
		n.failedReads[from] = &failedReads{now, 1}
	case err != nil:
		failed.attempts++
	default:
		delete(n.failedReads, from)
	}
	n.mu.Unlock()
	switch {
	case isFirst:
		n.options.Log(events.ConfigUnread, "from", from, "version", version, "took", took, "err", err)
	case err == nil && failed != nil:
		n.options.Log(events.ConfigReadAgain, "from", from, "version", version, "tries", failed.attempts, "since", now.Sub(failed.since))
	}
}

// takeConfig puts a configuration in force unless a later one is. It came in so
// many bytes, in the time took, which has the wait for a change.
func (n *Node) installConfig(data []byte, from configSource, receivedBytes int, took time.Duration) {
	n.mu.Lock()
	isActive := n.config != nil && bytes.Equal(data, n.config)
	n.mu.Unlock()
	if isActive {
		// It came from a peer before, and a weak node takes long to parse it.
		return
	}
	c, err := n.options.Config.Parse(data)
	if err != nil {
		n.options.Log(events.ConfigBad, "from", from, "err", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Version <= n.configVersion && n.config != nil {
		return
	}
	c.Apply()
	n.config, n.configVersion, n.policy = data, c.Version, c.Policy
	n.configCompressed = sync.OnceValue(func() []byte { return compress(data) })
	n.options.Log(events.ConfigInForce, "version", c.Version, "from", from, "queues", len(c.Policy.Queues), "customers", len(c.Policy.Customers), "bytes", receivedBytes, "took", took)
	if len(c.Faults) > 0 {
		n.options.Log(events.ConfigFaulty, "version", c.Version, "faults", c.Faults[:min(len(c.Faults), maxFaultsLogged)], "all", len(c.Faults))
	}
	if n.owner != nil {
		n.owner.SetPolicy(c.Version, c.Policy)
	}
}

const (
	// fetchAfter is how long a node reads the store for a version that a peer has
	// before it asks that peer: a small configuration has come by then.
	peerFetchDelay = 200 * time.Millisecond
	// fetchTimeout bounds such a question until its answer begins. It may wait
	// behind what else the link carries; an answer that comes goes on.
	peerFetchTimeout = time.Second
)

// notePeerVersion takes the version that a peer has in force, and asks for it
// when this node cannot read it in the store. The caller holds mu.
func (n *Node) handlePeerVersion(from *link.Conn, version uint64) {
	now := n.options.Clock.Now()
	switch {
	case version <= n.configVersion:
		if from == n.newerPeer {
			n.newerPeer = nil
		}
		return
	case n.newerPeer == nil:
		n.newerPeer, n.newerPeerSince = from, now
	}
	if n.isFetching || now.Sub(n.newerPeerSince) < peerFetchDelay {
		return
	}
	n.isFetching = true
	n.wg.Add(1)
	go n.runFetch(from)
}

// runFetch asks a peer for its configuration.
func (n *Node) runFetch(from *link.Conn) {
	defer n.wg.Done()
	began := n.options.Clock.Now()
	data, receivedBytes, err := n.fetchConfig(from)
	took := n.options.Clock.Now().Sub(began)
	n.recordConfigRead(fromPeer, err, took)
	if err == nil && data != nil {
		n.installConfig(data, fromPeer, receivedBytes, took)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isFetching, n.newerPeer = false, nil
}

// fetch returns a peer's configuration, nil when it has none, and how many bytes
// it took to come.
func (n *Node) fetchConfig(from *link.Conn) ([]byte, int, error) {
	ctx, cancel := progress.With(n.ctx, peerFetchTimeout)
	defer cancel()
	m := configMessage{}
	if err := from.Call(ctx, kindConfig, empty{}, &m); err != nil {
		return nil, 0, err
	}
	if len(m.Compressed) == 0 {
		return nil, 0, nil
	}
	data, err := decompress(m.Compressed)
	return data, len(m.Compressed), err
}

// runBeats tells the followers that this node is the owner.
func (n *Node) runOwnerHeartbeats() {
	defer n.wg.Done()
	n.runPeriodically(ownerHeartbeatPeriod, n.sendOwnerHeartbeats)
}

// runAlive tells the owner that this node follows it.
func (n *Node) runFollowerHeartbeats() {
	defer n.wg.Done()
	n.runPeriodically(followerHeartbeatPeriod, func() {
		if n.delegate != nil {
			n.delegate.Tick()
		}
		n.sendFollowerHeartbeat()
	})
}

// every does something again and again until the node is closed.
func (n *Node) runPeriodically(period time.Duration, action func()) {
	ticks, stop := n.options.Clock.Subscribe(period)
	defer stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticks:
			action()
		}
	}
}

func (n *Node) sendOwnerHeartbeats() {
	n.mu.Lock()
	o, version := n.owner, n.configVersion
	n.mu.Unlock()
	if o == nil {
		return
	}
	n.handOverIfUnfit(o)
	record, persistedAt := o.LastRecord()
	age := n.options.Clock.Now().Sub(persistedAt)
	unflagged, unflaggedAge := o.LastUnflagged()
	for _, p := range n.peers.all() {
		p.conn.Notify(kindOwnerHeartbeat, ownerHeartbeat{o.Epoch(), record, age, unflagged, unflaggedAge, version, o.MayHaveUnpersisted()})
	}
}

func (n *Node) sendFollowerHeartbeat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerLink != nil {
		n.ownerLink.Notify(kindFollowerHeartbeat, followerHeartbeat{n.configVersion, n.isLeaving, n.isStoreUnavailable})
	}
}
