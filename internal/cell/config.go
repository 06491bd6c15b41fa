// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

const (
	// beatPeriod is the time between two of the owner's beats over a link. A follower
	// notices after three of them.
	beatPeriod = 100 * time.Millisecond
	// alivePeriod is the time between two signs of life of a follower.
	alivePeriod = 200 * time.Millisecond
	// configPause is the pause after the configuration could not be read.
	configPause = 150 * time.Millisecond
)

// runConfig follows the operators' configuration in the store.
func (n *Node) runConfig() {
	defer n.wg.Done()
	for n.ctx.Err() == nil {
		n.mu.Lock()
		version := n.configVersion
		n.mu.Unlock()
		data, err := n.options.Config.Wait(n.ctx, version)
		if err != nil {
			n.sleep(configPause)
			continue
		}
		if data != nil {
			n.takeConfig(data, "store")
		}
	}
}

// takeConfig puts a configuration in force unless a later one is.
func (n *Node) takeConfig(data []byte, from string) {
	version, queues, err := n.options.Config.Parse(data)
	if err != nil {
		n.options.Log(events.ConfigBad, "from", from, "err", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.configVersion && n.config != nil {
		return
	}
	if err := n.options.Config.Apply(data); err != nil {
		n.options.Log(events.ConfigBad, "version", version, "from", from, "err", err)
		return
	}
	n.config, n.configVersion, n.queues = data, version, queues
	n.options.Log(events.ConfigInForce, "version", version, "from", from, "queues", len(queues))
	if n.owner != nil {
		n.owner.SetQueues(version, queues)
	}
	for _, p := range n.peers.all() {
		p.conn.Notify(kindConfig, configMessage{version, data})
	}
	if n.ownerLink != nil && from == "store" {
		n.ownerLink.Notify(kindConfig, configMessage{version, data})
	}
}

// runBeats tells the followers that this node is the owner.
func (n *Node) runBeats() {
	defer n.wg.Done()
	n.every(beatPeriod, n.sendBeats)
}

// runAlive tells the owner that this node follows it.
func (n *Node) runAlive() {
	defer n.wg.Done()
	n.every(alivePeriod, n.sendAlive)
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
	o, version, data := n.owner, n.configVersion, n.config
	n.mu.Unlock()
	if o == nil {
		return
	}
	n.yieldIfSlow(o)
	record, keptAt := o.LastRecord()
	age := n.options.Clock.Now().Sub(keptAt)
	all := n.peers.all()
	strongest := n.options.Strength
	for i := range all {
		strongest = max(strongest, all[i].hello.Strength)
	}
	for _, p := range all {
		p.conn.Notify(kindBeat, beat{o.Epoch(), record, age, version, o.IsUnlogged(), strongest})
		if p.configVersion < version && data != nil {
			p.conn.Notify(kindConfig, configMessage{version, data})
		}
	}
}

func (n *Node) sendAlive() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerLink != nil {
		n.ownerLink.Notify(kindAlive, alive{n.configVersion, n.isLeaving})
	}
}
