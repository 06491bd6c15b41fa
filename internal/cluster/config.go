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
	// ownerHeartbeatPeriod is the time between two heartbeats of the owner over a link. A follower
	// suspects the owner after three missed ones.
	ownerHeartbeatPeriod = 100 * time.Millisecond
	// followerHeartbeatPeriod is the time between two heartbeats of a follower to the owner.
	followerHeartbeatPeriod = 200 * time.Millisecond
	// configRetryDelay is the delay after a failed read of the configuration.
	configRetryDelay = 150 * time.Millisecond
	// maxFaultsLogged is how many of a configuration's invalid entries are logged.
	maxFaultsLogged = 10
)

// runConfig reads each new version of the operators' configuration from the store.
func (n *Node) runConfig() {
	defer n.wg.Done()
	n.awaitFirstRead()
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

// firstReadPoll is the time between two looks at whether the first read is due.
const firstReadPoll = 10 * time.Millisecond

// awaitFirstRead waits until the first read of the configuration from the store is due.
func (n *Node) awaitFirstRead() {
	for !n.options.NeedsStoreConfig && n.ctx.Err() == nil {
		n.mu.Lock()
		at := n.firstRead.At()
		n.mu.Unlock()
		if !n.options.Clock.Now().Before(at) {
			return
		}
		n.sleep(firstReadPoll)
	}
}

// configSource is where a configuration was read from.
type configSource string

const (
	fromStore configSource = "store"
	fromPeer  configSource = "peer"
)

// failedReads counts the consecutive failed reads of the configuration from one source; since is
// the time of the first.
type failedReads struct {
	since    time.Time
	attempts int
}

// recordConfigRead logs when reads from a source begin to fail and when they succeed again, but not
// each attempt. Each source has one reader at a time.
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
		n.options.Log(events.ConfigUnavailable, "from", from, "version", version, "took", took, "err", err)
	case err == nil && failed != nil:
		n.options.Log(events.ConfigRecovered, "from", from, "version", version, "tries", failed.attempts, "since", now.Sub(failed.since))
	}
}

// installConfig makes a configuration the active one unless the active one is as new or newer.
// receivedBytes is its size as it was received and took the duration of the read, which includes
// the wait for a change; both are only logged.
func (n *Node) installConfig(data []byte, from configSource, receivedBytes int, took time.Duration) {
	n.mu.Lock()
	isActive := n.config != nil && bytes.Equal(data, n.config)
	n.mu.Unlock()
	if isActive {
		// The same configuration is active already, for example because a peer sent it before
		// it was read from the store. Parsing it again takes long on a weak node.
		return
	}
	c, err := n.options.Config.Parse(data)
	if err != nil {
		n.options.Log(events.ConfigUnreadable, "from", from, "err", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Version <= n.configVersion && n.config != nil {
		return
	}
	c.Apply()
	n.firstRead.SetConfigured()
	n.config, n.configVersion, n.policy = data, c.Version, c.Policy
	n.configCompressed = sync.OnceValue(func() []byte { return compress(data) })
	n.options.Log(events.ConfigInForce, "version", c.Version, "from", from, "queues", len(c.Policy.Queues), "customers", len(c.Policy.Customers), "bytes", receivedBytes, "took", took)
	if len(c.Faults) > 0 {
		n.options.Log(events.ConfigPartlyInvalid, "version", c.Version, "faults", c.Faults[:min(len(c.Faults), maxFaultsLogged)], "all", len(c.Faults))
	}
	if n.owner != nil {
		n.owner.SetPolicy(c.Version, c.Policy)
	}
}

const (
	// peerFetchDelay is how long a node that learns of a newer version from a peer waits for it to
	// arrive from the store before it fetches it from the peer. A small configuration has arrived
	// by then.
	peerFetchDelay = 200 * time.Millisecond
	// peerFetchTimeout bounds the time until a peer's answer begins to arrive, which includes the
	// wait behind other messages on the link. An answer that is arriving is not interrupted.
	peerFetchTimeout = time.Second
)

// handlePeerVersion compares a peer's active version with this node's. If the peer's is newer and
// the store has not provided it within peerFetchDelay, it starts to fetch it from the peer; at once if
// this node has no configuration yet. The caller holds mu.
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
	if n.isFetching || n.config != nil && now.Sub(n.newerPeerSince) < peerFetchDelay {
		return
	}
	n.isFetching = true
	n.wg.Add(1)
	go n.runFetch(from)
}

// runFetch fetches the configuration of a peer and installs it.
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

// fetchConfig returns a peer's configuration, nil when the peer has none, and its compressed size
// in bytes, as it was sent.
func (n *Node) fetchConfig(from *link.Conn) ([]byte, int, error) {
	ctx, cancel := progress.WithTimeout(n.ctx, peerFetchTimeout)
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

// runOwnerHeartbeats sends heartbeats to the followers while this node is the owner.
func (n *Node) runOwnerHeartbeats() {
	defer n.wg.Done()
	n.runPeriodically(ownerHeartbeatPeriod, n.sendOwnerHeartbeats)
}

// runFollowerHeartbeats sends heartbeats to the owner while this node follows one, and lets the
// delegate notice when this node was kept from running.
func (n *Node) runFollowerHeartbeats() {
	defer n.wg.Done()
	n.runPeriodically(followerHeartbeatPeriod, func() {
		if n.delegate != nil {
			n.delegate.Tick()
		}
		n.sendFollowerHeartbeat()
	})
}

// runPeriodically calls action once per period until the node is closed.
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

// sendOwnerHeartbeats sends a heartbeat to each follower if this node is the owner. Before that it
// checks whether this node should hand the shard over.
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
	for _, name := range n.peers.closeSilent() {
		n.options.Log(events.PeerSuspected, "peer", name, "epoch", o.Epoch(), "silent", maxPeerSilence, "link", "closed")
		o.FollowerLost(name)
	}
	n.probePeers(o)
	for _, p := range n.peers.all() {
		p.conn.Notify(kindOwnerHeartbeat, ownerHeartbeat{Epoch: o.Epoch(), Record: record, RecordAge: age, ConfigVersion: version, MayHaveUnpersisted: o.MayHaveUnpersisted()})
	}
}

func (n *Node) sendFollowerHeartbeat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerLink != nil {
		n.ownerLink.Notify(kindFollowerHeartbeat, followerHeartbeat{n.configVersion, n.isLeaving, n.isStoreUnavailable})
	}
}
