// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/work"
)

// maxEnds bounds the announced ends that a node remembers. While the store is out
// no new jobs come, so that there are as many as jobs at work.
const maxEnds = 8192

// announce tells all followers of ends that are not kept yet. Each of them may be
// the next owner.
func (n *Node) announce(list []work.JobEnd) {
	n.remember(list)
	for _, p := range n.peers.all() {
		p.conn.Notify(kindEnds, ends{list})
	}
}

// remember keeps announced ends until the owner says that all is kept.
func (n *Node) remember(list []work.JobEnd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, end := range list {
		if len(n.ends) >= maxEnds {
			n.options.Log(events.EndsDropped, "dropped", len(list)-i)
			return
		}
		n.ends[end.Job] = end.State
	}
}

// announced returns the ends that this node remembers.
func (n *Node) announced() []work.JobEnd {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]work.JobEnd, 0, len(n.ends))
	for id, state := range n.ends {
		out = append(out, work.JobEnd{Job: id, State: state})
	}
	return out
}

// forgetEnds drops the announced ends once the owner has kept them all.
func (n *Node) forgetEnds() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.ends)
}
