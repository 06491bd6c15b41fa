// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

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
	beatPeriod = 100 * time.Millisecond
	// alivePeriod is the time between two signs of life of a follower.
	alivePeriod = 200 * time.Millisecond
	// configPause is the pause after the configuration could not be read.
	configPause = 150 * time.Millisecond
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
		n.noteRead(fromStore, err, took)
		n.mu.Lock()
		n.isTurnedAway = err != nil
		n.mu.Unlock()
		if err != nil {
			n.sleep(configPause)
			continue
		}
		if data != nil {
			n.takeConfig(data, fromStore, len(data), took)
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
	since time.Time
	tries int
}

// noteRead tells when reads from a source begin to fail and when they succeed
// again, not each try. Each source has one reader at a time.
func (n *Node) noteRead(from configSource, err error, took time.Duration) {
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
		failed.tries++
	default:
		delete(n.failedReads, from)
	}
	n.mu.Unlock()
	switch {
	case isFirst:
		n.options.Log(events.ConfigUnread, "from", from, "version", version, "took", took, "err", err)
	case err == nil && failed != nil:
		n.options.Log(events.ConfigReadAgain, "from", from, "version", version, "tries", failed.tries, "since", now.Sub(failed.since))
	}
}

// takeConfig puts a configuration in force unless a later one is. It came in so
// many bytes, in the time took, which has the wait for a change.
func (n *Node) takeConfig(data []byte, from configSource, came int, took time.Duration) {
	n.mu.Lock()
	isInForce := n.config != nil && bytes.Equal(data, n.config)
	n.mu.Unlock()
	if isInForce {
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
	n.configPacked = sync.OnceValue(func() []byte { return pack(data) })
	n.options.Log(events.ConfigInForce, "version", c.Version, "from", from, "queues", len(c.Policy.Queues), "customers", len(c.Policy.Customers), "bytes", came, "took", took)
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
	fetchAfter = 200 * time.Millisecond
	// fetchTimeout bounds such a question until its answer begins. It may wait
	// behind what else the link carries; an answer that comes goes on.
	fetchTimeout = time.Second
)

// notePeerVersion takes the version that a peer has in force, and asks for it
// when this node cannot read it in the store. The caller holds mu.
func (n *Node) notePeerVersion(from *link.Conn, version uint64) {
	now := n.options.Clock.Now()
	switch {
	case version <= n.configVersion:
		if from == n.behind {
			n.behind = nil
		}
		return
	case n.behind == nil:
		n.behind, n.behindSince = from, now
	}
	if n.isFetching || now.Sub(n.behindSince) < fetchAfter {
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
	data, came, err := n.fetch(from)
	took := n.options.Clock.Now().Sub(began)
	n.noteRead(fromPeer, err, took)
	if err == nil && data != nil {
		n.takeConfig(data, fromPeer, came, took)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isFetching, n.behind = false, nil
}

// fetch returns a peer's configuration, nil when it has none, and how many bytes
// it took to come.
func (n *Node) fetch(from *link.Conn) ([]byte, int, error) {
	ctx, cancel := progress.WithTimeout(n.ctx, fetchTimeout)
	defer cancel()
	m := configMessage{}
	if err := from.Call(ctx, kindConfig, empty{}, &m); err != nil {
		return nil, 0, err
	}
	if len(m.Packed) == 0 {
		return nil, 0, nil
	}
	data, err := unpack(m.Packed)
	return data, len(m.Packed), err
}

// runBeats tells the followers that this node is the owner.
func (n *Node) runBeats() {
	defer n.wg.Done()
	n.every(beatPeriod, n.sendBeats)
}

// runAlive tells the owner that this node follows it.
func (n *Node) runAlive() {
	defer n.wg.Done()
	n.every(alivePeriod, func() {
		if n.carrier != nil {
			n.carrier.Tick()
		}
		n.sendAlive()
	})
}

// every does something again and again until the node is closed.
func (n *Node) every(period time.Duration, do func()) {
	ticks, stop := n.options.Clock.Subscribe(period)
	defer stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticks:
			do()
		}
	}
}

func (n *Node) sendBeats() {
	n.mu.Lock()
	o, version := n.owner, n.configVersion
	n.mu.Unlock()
	if o == nil {
		return
	}
	n.yieldIfUnfit(o)
	record, keptAt := o.LastRecord()
	age := n.options.Clock.Now().Sub(keptAt)
	plain, plainAge := o.LastUnflagged()
	for _, p := range n.peers.all() {
		p.conn.Notify(kindBeat, beat{o.Epoch(), record, age, plain, plainAge, version, o.MayHaveUnpersisted()})
	}
}

func (n *Node) sendAlive() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerLink != nil {
		n.ownerLink.Notify(kindAlive, alive{n.configVersion, n.isLeaving, n.isTurnedAway})
	}
}
