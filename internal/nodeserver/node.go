// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package nodeserver assembles the process of a node, which runs on an entry VM. It
// connects the decisions, which package core takes without doing I/O, with the clock and
// with the clients of the log, the workers, the other nodes and the platform.
package nodeserver

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/boundedqueue"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/journal"
	"github.com/leverdyke/leverdyke/internal/logservice"
	"github.com/leverdyke/leverdyke/internal/metrics"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/settings"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	eventQueueSize = 4096
	tickPeriod     = 50 * time.Millisecond
	vmListPeriod   = 2 * time.Second
)

// Node is the process of one node.
type Node struct {
	settings   *settings.Node
	clock      clock.Service
	owner      state.Process
	eventQueue *boundedqueue.Queue[event]
	done       chan struct{}
	cancel     context.CancelFunc
	ctx        context.Context
	wg         sync.WaitGroup

	links     *node.Links
	reader    *journal.Reader
	writer    *journal.Writer
	router    *router.Router
	metrics   *metrics.Set
	transport *http.Transport
	vms       *vmlist.Client
	answers   *idempotency.Table
	// core is used only by the goroutine of eventLoop. All other goroutines enqueue events,
	// which that goroutine runs.
	core *core.Core
}

// event is an input to the core. It runs in the goroutine that owns the core.
type event func(c *core.Core)

// NewNode listens for links from other nodes and starts the goroutines of the node. It
// does not listen for callers and operators: that is up to the owner of their handlers.
func NewNode(s *settings.Node, m *metrics.Set) (*Node, error) {
	c := clock.Real{}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: s, clock: c, eventQueue: boundedqueue.NewQueue[event](eventQueueSize), done: make(chan struct{}), cancel: cancel, ctx: ctx,
		owner:   state.Process{Node: state.NodeID(s.LinkAddr.String()), Incarnation: uint64(time.Now().UnixNano())},
		metrics: m, answers: idempotency.NewTable(idempotency.NewTableOptions{}), vms: vmlist.NewClient(s.VMListAddr),
	}
	n.transport = worker.NewTransport(func(sent, received int) { n.countControlBytes("worker", sent, received) })
	hello := node.Hello{Node: n.owner.Node, Incarnation: n.owner.Incarnation, Zone: s.Zone, Region: s.Region}
	links, err := node.NewLinks(s.LinkAddr, hello, c, n)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("nodeserver: %w", err)
	}
	n.links = links
	n.router = router.NewRouter(router.NewRouterOptions{Zone: s.Zone, Clock: c})
	log := logservice.NewClient(s.LogAddr, func(sent, received int) { n.countControlBytes("log", sent, received) })
	n.writer = journal.NewWriter(log, n.owner, journal.NewWriterOptions{
		AppendsPerSecond: s.AppendsPerSecond, Clock: c, OnAppended: func() { n.reader.Wake() }, RunInApplier: func(f func()) { n.enqueue(func(*core.Core) { f() }) },
	})
	n.reader = journal.NewReader(log, c, n.writer.HasPendingBatch, func(t journal.ReadResult) { n.enqueue(func(c *core.Core) { c.OnLogRead(&t) }) })
	n.core = core.NewCore(n, core.NewCoreOptions{
		Self: n.owner, Link: s.LinkAddr, Operators: s.OperatorsAddr, Region: s.Region, Zone: s.Zone, Peers: s.PeerAddrs,
		Lease: s.Lease, SnapshotEvery: s.SnapshotEvery, Router: n.router, Meter: m,
	})
	n.start()
	return n, nil
}

func (n *Node) start() {
	for _, run := range []func(){
		n.eventLoop, n.runVMList,
		func() { n.reader.Run(n.ctx) },
		func() { n.writer.Run(n.ctx) },
	} {
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			run()
		}()
	}
	events.Log(events.NodeStarted, "node", n.owner.Node, "incarnation", n.owner.Incarnation, "region", n.settings.Region, "zone", n.settings.Zone)
}

// Close stops the node at once, without handing over what it owns.
func (n *Node) Close() {
	n.cancel()
	close(n.done)
	n.links.Close()
	n.wg.Wait()
	events.Log(events.NodeStopped, "node", n.owner.Node)
}

// Router returns the router that assigns slots to callers' requests.
func (n *Node) Router() *router.Router { return n.router }

// enqueue adds an event for the core. While the queue is full it waits; it drops the event
// if the node closes meanwhile.
func (n *Node) enqueue(e event) { n.eventQueue.Put(e, n.done) }

// eventLoop is the goroutine that runs the core: it processes ticks and events one after
// the other, and carries out the effects that the core has decided on after each.
func (n *Node) eventLoop() {
	ticks, stop := n.clock.Subscribe(tickPeriod)
	defer stop()
	for {
		select {
		case <-n.done:
			return
		case <-ticks:
			n.core.Tick()
		case <-n.router.PlanDue():
			n.core.RequestGrants()
		case e := <-n.eventQueue.Items():
			e(n.core)
			n.drainEvents()
		}
		n.core.ProcessOutputs()
	}
}

// drainEvents processes further queued events, up to a bound, before the effects are
// carried out, so that requests that arrive together are decided together.
func (n *Node) drainEvents() {
	const maxEvents = 64
	for range maxEvents {
		select {
		case e := <-n.eventQueue.Items():
			e(n.core)
		default:
			return
		}
	}
}

// runVMList polls the platform's VM list and passes each change to the core.
func (n *Node) runVMList() {
	ticks, stop := n.clock.Subscribe(vmListPeriod)
	defer stop()
	for {
		ctx, cancel := context.WithTimeout(n.ctx, vmListPeriod)
		list, err := n.vms.List(ctx)
		cancel()
		switch {
		case err != nil:
			events.Log(events.VMListFailed, "err", err.Error())
		case list != nil:
			n.enqueue(func(c *core.Core) { c.OnVMs(list) })
		}
		select {
		case <-n.done:
			return
		case <-ticks:
		}
	}
}

// Deliver passes a message from another node to the core.
func (n *Node) Deliver(e node.Envelope) { n.enqueue(func(c *core.Core) { c.OnMessage(&e) }) }

// BadFrame logs that a link was closed because of an invalid frame.
func (n *Node) BadFrame(from netip.AddrPort, err error) {
	events.Log(events.BadFrame, "from", from.String(), "err", err.Error())
}

// CountBytes adds the bytes of a frame between nodes to the metrics.
func (n *Node) CountBytes(sent, received int) { n.countControlBytes("node", sent, received) }

func (n *Node) countControlBytes(peer string, sent, received int) {
	n.metrics.ControlBytes(metrics.Sent, peer, sent)
	n.metrics.ControlBytes(metrics.Received, peer, received)
}

// Closed returns a channel that is closed when the node is closed.
func (n *Node) Closed() <-chan struct{} { return n.done }
