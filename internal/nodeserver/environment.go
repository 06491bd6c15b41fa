// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package nodeserver

import (
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// Now returns the time.
func (n *Node) Now() time.Time { return n.clock.Now() }

// Send queues a message for a peer.
func (n *Node) Send(to state.NodeID, m *node.Message) bool { return n.links.Send(to, m) }

// Connect keeps a link to a peer.
func (n *Node) Connect(peer state.NodeID, addr netip.AddrPort) {
	n.links.Connect(peer, n.settings.Route(addr))
}

// Disconnect ends the link to a peer.
func (n *Node) Disconnect(peer state.NodeID) { n.links.Disconnect(peer) }

// Append hands a record to the log's writer.
func (n *Node) Append(r state.Record, done func(error)) bool { return n.writer.Put(r, done) }

// Folded tells the log's writer that its batch was seen in the log.
func (n *Node) Folded(seq uint64, out state.Outcome) { n.writer.Folded(seq, out) }

// Passed tells the log's writer up to which of its batches a peer's state goes.
func (n *Node) Passed(seq uint64) { n.writer.Passed(seq) }

// IsAppendOut reports whether appends have been failing for some time.
func (n *Node) IsAppendOut() bool { return n.writer.IsOut() }

// SkipTo lets the log's reader go on after offset.
func (n *Node) SkipTo(offset int64) { n.reader.SkipTo(offset) }

// OpenWorker starts the duties of one owned worker.
func (n *Node) OpenWorker(rack state.ShardID, epoch worker.Epoch, id worker.ID, addr netip.AddrPort) core.WorkerLink {
	return newWorkerLink(n, rack, epoch, id, addr)
}
