// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package entry assembles a node: it joins the duties of an entry VM, which
// talk to the peers' packages, with the decisions, which are pure.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/front"
	"github.com/leverdyke/leverdyke/internal/journal"
	"github.com/leverdyke/leverdyke/internal/logservice"
	"github.com/leverdyke/leverdyke/internal/metrics"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/once"
	"github.com/leverdyke/leverdyke/internal/ring"
	"github.com/leverdyke/leverdyke/internal/settings"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	eventRing    = 4096
	tickPeriod   = 50 * time.Millisecond
	vmListPeriod = 2 * time.Second
)

// Node is one entry VM's process.
type Node struct {
	settings *settings.Node
	clock    clock.Service
	owner    state.Owner
	events   *ring.Ring[event]
	done     chan struct{}
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup

	links     *node.Links
	reader    *journal.Reader
	writer    *journal.Writer
	router    *front.Router
	metrics   *metrics.Set
	transport *http.Transport
	vms       *vmlist.Client
	answers   *once.Table
	// core belongs to the goroutine of loop; everybody else sends it events.
	core *core.Core
}

// event is something that the core has to take in, in its goroutine.
type event func(c *core.Core)

// NewNode opens the node's link and starts its duties. Its callers' and
// operators' doors are opened by whoever has the handlers.
func NewNode(s *settings.Node, m *metrics.Set) (*Node, error) {
	c := clock.Real{}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: s, clock: c, events: ring.NewRing[event](eventRing), done: make(chan struct{}), cancel: cancel, ctx: ctx,
		owner:   state.Owner{Node: state.NodeID(s.LinkAddr.String()), Incarnation: uint64(time.Now().UnixNano())},
		metrics: m, answers: once.NewTable(once.NewTableOptions{}), vms: vmlist.NewClient(s.VMListAddr),
	}
	n.transport = worker.NewTransport(func(sent, received int) { n.countControl("worker", sent, received) })
	hello := node.Hello{Node: n.owner.Node, Incarnation: n.owner.Incarnation, Zone: s.Zone, Region: s.Region}
	links, err := node.NewLinks(s.LinkAddr, hello, c, n)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("entry: %w", err)
	}
	n.links = links
	n.router = front.NewRouter(front.NewRouterOptions{Zone: s.Zone, Clock: c})
	log := logservice.NewClient(s.LogAddr, func(sent, received int) { n.countControl("log", sent, received) })
	n.writer = journal.NewWriter(log, n.owner, journal.NewWriterOptions{
		AppendsPerSecond: s.AppendsPerSecond, Clock: c, Appended: func() { n.reader.Wake() }, Settle: func(f func()) { n.put(func(*core.Core) { f() }) },
	})
	n.reader = journal.NewReader(log, c, n.writer.IsAwaited, func(t journal.Tailed) { n.put(func(c *core.Core) { c.OnTailed(&t) }) })
	n.core = core.NewCore(n, core.NewCoreOptions{
		Self: n.owner, Link: s.LinkAddr, Operators: s.OperatorsAddr, Region: s.Region, Zone: s.Zone, Peers: s.PeerAddrs,
		Lease: s.Lease, SnapshotEvery: s.SnapshotEvery, Router: n.router, Meter: m,
	})
	n.start()
	return n, nil
}

func (n *Node) start() {
	for _, run := range []func(){
		n.loop, n.runVMList,
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

// Close ends the duties at once, without handing anything over.
func (n *Node) Close() {
	n.cancel()
	close(n.done)
	n.links.Close()
	n.wg.Wait()
	events.Log(events.NodeStopped, "node", n.owner.Node)
}

// Router returns what gives callers' requests their slots.
func (n *Node) Router() *front.Router { return n.router }

// put hands an event to the core; it waits for room, and drops the event when
// the node closes.
func (n *Node) put(e event) { n.events.Put(e, n.done) }

// loop is the one goroutine that decides.
func (n *Node) loop() {
	ticks, stop := n.clock.Subscribe(tickPeriod)
	defer stop()
	for {
		select {
		case <-n.done:
			return
		case <-ticks:
			n.core.Tick()
		case <-n.router.Nudge():
			n.core.PlanGrants()
		case e := <-n.events.Out():
			e(n.core)
			n.drainEvents()
		}
		n.core.Perform()
	}
}

// drainEvents takes what else waits, within a bound, so that asks that came
// together are settled together.
func (n *Node) drainEvents() {
	const burst = 64
	for range burst {
		select {
		case e := <-n.events.Out():
			e(n.core)
		default:
			return
		}
	}
}

// runVMList follows the platform's list.
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
			n.put(func(c *core.Core) { c.OnVMs(list) })
		}
		select {
		case <-n.done:
			return
		case <-ticks:
		}
	}
}

// Deliver takes a message from a peer.
func (n *Node) Deliver(e node.Envelope) { n.put(func(c *core.Core) { c.OnMessage(&e) }) }

// BadFrame notes that a link was closed because of its bytes.
func (n *Node) BadFrame(from netip.AddrPort, err error) {
	events.Log(events.BadFrame, "from", from.String(), "err", err.Error())
}

// Counted counts the bytes of a frame.
func (n *Node) Counted(sent, received int) { n.countControl("node", sent, received) }

func (n *Node) countControl(peer string, sent, received int) {
	n.metrics.ControlBytes(metrics.Sent, peer, sent)
	n.metrics.ControlBytes(metrics.Received, peer, received)
}

// Closed reports when the node has been closed.
func (n *Node) Closed() <-chan struct{} { return n.done }
