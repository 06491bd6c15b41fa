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

// Now returns the current time of the node's clock.
func (n *Node) Now() time.Time { return n.clock.Now() }

// Send queues a message for another node. It reports false if the message will not be sent.
func (n *Node) Send(to state.NodeID, m *node.Message) bool { return n.links.Send(to, m) }

// Connect opens a link to another node and keeps it open, until Disconnect.
func (n *Node) Connect(peer state.NodeID, addr netip.AddrPort) {
	n.links.Connect(peer, n.settings.Route(addr))
}

// Disconnect closes the link to another node.
func (n *Node) Disconnect(peer state.NodeID) { n.links.Disconnect(peer) }

// Append queues a record for the log's writer, which calls done with the result. It reports
// false, and never calls done, if it does not accept the record.
func (n *Node) Append(r state.Record, done func(error)) bool { return n.writer.Put(r, done) }

// BatchApplied notifies the log's writer that the core has read the writer's batch seq from the
// log, with the outcome of its records.
func (n *Node) BatchApplied(seq uint64, out state.Outcome) { n.writer.OnApplied(seq, out) }

// BatchesSkipped notifies the log's writer that the core has adopted a state from another node that
// includes the writer's batches up to seq, so that their outcomes will not be seen here.
func (n *Node) BatchesSkipped(seq uint64) { n.writer.OnSkipped(seq) }

// IsAppendFailing reports whether appending to the log has been failing for some time.
func (n *Node) IsAppendFailing() bool { return n.writer.IsLogUnavailable() }

// SkipTo makes the log's reader continue after offset.
func (n *Node) SkipTo(offset int64) { n.reader.SkipTo(offset) }

// OpenWorker starts the communication with one worker of a rack that this node owns.
func (n *Node) OpenWorker(rack state.ShardID, epoch worker.Epoch, id worker.ID, addr netip.AddrPort) core.WorkerLink {
	return newWorkerLink(n, rack, epoch, id, addr)
}
